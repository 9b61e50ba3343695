"""Registry of the adapters for key-value services by name."""

from collections.abc import Callable
from importlib import import_module
from typing import Final, TypeVar

from ..observability.metrics import Metrics
from ..settings.errors import SettingError
from ..settings.process import KeyValueSettings
from .store import KeyValueStore

ADAPTER_MODULES: Final = ("etcd",)
"""Modules of this package that register an adapter."""

Factory = Callable[[KeyValueSettings, Metrics], KeyValueStore]
FactoryT = TypeVar("FactoryT", bound=Factory)

_factories: dict[str, Factory] = {}


def register_key_value(kind: str) -> Callable[[FactoryT], FactoryT]:
    """Return a decorator that registers the factory of an adapter under a name."""

    def register(factory: FactoryT) -> FactoryT:
        _factories[kind] = factory
        return factory

    return register


def make_key_value_store(settings: KeyValueSettings, metrics: Metrics) -> KeyValueStore:
    """Return the store chosen in the settings; an event loop must be running.

    Raises:
        SettingError: If no adapter has the chosen name.
    """
    for module in ADAPTER_MODULES:
        import_module(f"{__package__}.{module}")
    factory = _factories.get(settings.key_value_kind)
    if factory is None:
        names = ", ".join(sorted(_factories))
        raise SettingError(
            "--key-value-kind",
            f"expected one of {names}, not {settings.key_value_kind!r}",
        )
    return factory(settings, metrics)
