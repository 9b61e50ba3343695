"""What a runner can hold in memory: a model version, or an adapter on it."""

from typing import Self

from attrs import field, frozen

from .identifiers import AdapterName, ModelName, VersionName

VERSION_SEPARATOR = "@"
ADAPTER_SEPARATOR = "+"


def _order_adapter(adapter: AdapterName | None) -> str:
    """Return what adapters are sorted by; a base comes before its adapters."""
    return adapter or ""


@frozen(order=True, cache_hash=True)
class Artifact:
    """A loadable unit: the weights of a model version, or one adapter for them.

    An adapter can only be resident where its base (`base`) is resident too.
    """

    model: ModelName
    version: VersionName
    adapter: AdapterName | None = field(default=None, order=_order_adapter)

    @property
    def base(self) -> "Artifact":
        """Return the model version this artifact runs on (itself if no adapter)."""
        if self.adapter is None:
            return self
        return Artifact(self.model, self.version)

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse `model@version` or `model@version+adapter`.

        Raises:
            ValueError: If the text has no version or an empty part.
        """
        base, found_adapter, adapter = text.partition(ADAPTER_SEPARATOR)
        model, _, version = base.partition(VERSION_SEPARATOR)
        if not model or not version or (found_adapter and not adapter):
            raise ValueError(f"not an artifact name: {text!r}")
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
