"""Artifacts in the demo's configuration files."""

from pathlib import Path

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import ConfigVersion
from mangoway.operators.merger import load_configuration


def read_artifacts(base: Path, overlay: Path) -> tuple[Artifact, ...]:
    """Return all model versions and adapters in the configuration files."""
    configuration = load_configuration(
        base.read_text(), overlay.read_text(), ConfigVersion(1)
    )
    return configuration.list_artifacts()
