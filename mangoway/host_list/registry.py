"""Registry of host list adapters, by the name used in the settings."""

from collections.abc import Callable
from importlib import import_module
from typing import Final, TypeVar

from ..settings.errors import SettingError
from ..settings.process import ProcessSettings
from .listing import HostList

ADAPTER_MODULES: Final = ("http",)
"""Modules of this package that register an adapter."""

Factory = Callable[[str], HostList]
FactoryT = TypeVar("FactoryT", bound=Factory)

_factories: dict[str, Factory] = {}


def register_host_list(kind: str) -> Callable[[FactoryT], FactoryT]:
    """Return a decorator that registers an adapter's factory, called with the URL."""

    def register(factory: FactoryT) -> FactoryT:
        _factories[kind] = factory
        return factory

    return register


def make_host_list(settings: ProcessSettings) -> HostList | None:
    """Return the adapter selected by the settings; None if no URL is set.

    Raises:
        SettingError: If no adapter has the selected name.
    """
    for module in ADAPTER_MODULES:
        import_module(f"{__package__}.{module}")
    factory = _factories.get(settings.host_list_kind)
    if factory is None:
        names = ", ".join(sorted(_factories))
        raise SettingError(
            "--host-list-kind",
            f"expected one of {names}, not {settings.host_list_kind!r}",
        )
    return factory(settings.host_list_url) if settings.host_list_url else None
