"""Artifacts that a runner can load: model versions and adapters for them."""

from typing import Self

from attrs import field, frozen

from .identifiers import AdapterName, ModelName, VersionName

VERSION_SEPARATOR = "@"
ADAPTER_SEPARATOR = "+"


def _get_adapter_sort_key(adapter: AdapterName | None) -> str:
    """Return the sort key of an adapter; a base is sorted before its adapters."""
    return adapter or ""


@frozen(order=True, cache_hash=True)
class Artifact:
    """A loadable unit: the weights of a model version, or one adapter for them.

    An adapter can only be resident at a runner at which its `base` is resident.
    """

    model: ModelName
    version: VersionName
    adapter: AdapterName | None = field(default=None, order=_get_adapter_sort_key)

    @property
    def base(self) -> "Artifact":
        """Return the model version of this artifact (itself if it has no adapter)."""
        if self.adapter is None:
            return self
        return Artifact(self.model, self.version)

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse `model@version` or `model@version+adapter`.

        Raises:
            ValueError: If the text has no version or an empty part.
        """
        base, separator, adapter = text.partition(ADAPTER_SEPARATOR)
        model, _, version = base.partition(VERSION_SEPARATOR)
        if not model or not version or (separator and not adapter):
            raise ValueError(
                f"not an artifact name <model>@<version>[+<adapter>]: {text!r}"
            )
        return cls(
            ModelName(model),
            VersionName(version),
            AdapterName(adapter) if adapter else None,
        )

    def __str__(self) -> str:
        base = f"{self.model}{VERSION_SEPARATOR}{self.version}"
        if self.adapter is None:
            return base
        return f"{base}{ADAPTER_SEPARATOR}{self.adapter}"
