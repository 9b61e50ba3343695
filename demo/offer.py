"""What the demo's files offer."""

from pathlib import Path

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.merger import load_configuration


def read_artifacts(base: Path, overlay: Path) -> tuple[Artifact, ...]:
    """Return every model version and adapter that the files offer."""
    configuration = load_configuration(
        base.read_text(), overlay.read_text(), ConfigVersion(1)
    )
    return configuration.list_artifacts()
