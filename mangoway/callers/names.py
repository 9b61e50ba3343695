"""Model names as given by callers: `name[@version][+adapter]`."""

from ..models.artifact import ADAPTER_SEPARATOR, VERSION_SEPARATOR, Artifact
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import AdapterName, ModelName, VersionName
from ..models.offer import Configuration


def resolve_model(text: str, configuration: Configuration) -> Artifact:
    """Return the artifact of a model name; the default version if none is given.

    Raises:
        MangowayError: UNKNOWN_MODEL if the artifact is not offered.
    """
    base, found_adapter, adapter = text.partition(ADAPTER_SEPARATOR)
    name, found_version, version = base.partition(VERSION_SEPARATOR)
    model = configuration.models.get(ModelName(name))
    has_empty_part = (found_adapter and not adapter) or (found_version and not version)
    if model is None or has_empty_part:
        raise _make_unknown_model_error(text)
    artifact = Artifact(
        ModelName(name),
        VersionName(version) if version else model.default_version,
        AdapterName(adapter) if adapter else None,
    )
    if not _is_offered(artifact, configuration):
        raise _make_unknown_model_error(text)
    return artifact


def _is_offered(artifact: Artifact, configuration: Configuration) -> bool:
    model = configuration.models[artifact.model]
    if artifact.adapter is None:
        return artifact.version in model.versions
    # Adapters are offered for the default version only.
    return (
        artifact.version == model.default_version and artifact.adapter in model.adapters
    )


def _make_unknown_model_error(text: str) -> MangowayError:
    return MangowayError(ErrorCode.UNKNOWN_MODEL, f"model {text!r} is not offered")
