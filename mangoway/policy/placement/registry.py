"""Registry of placement policies."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from ...models.identifiers import IncarnationId
from ..core import Core
from .actions import PlacementAction
from .events import PlacementEvent
from .options import PlacementOptions

PlacementPolicy = Core[PlacementEvent, PlacementAction]


class PlacementFactory(Protocol):
    """Factory of the policy of one controller."""

    def __call__(
        self, incarnation: IncarnationId, options: PlacementOptions, rng: Random
    ) -> PlacementPolicy:
        """Return a policy; its order identifiers start with `incarnation`."""
        ...


_FACTORIES: dict[str, PlacementFactory] = {}


def register_placement(name: str) -> Callable[[PlacementFactory], PlacementFactory]:
    """Return a decorator that registers a factory.

    Raises:
        ValueError: If the name is already registered.
    """

    def register(factory: PlacementFactory) -> PlacementFactory:
        if name in _FACTORIES:
            raise ValueError(f"placement policy {name!r} is registered already")
        _FACTORIES[name] = factory
        return factory

    return register


def find_placement(name: str) -> PlacementFactory:
    """Return the factory registered under a name.

    Raises:
        KeyError: If no factory has that name.
    """
    return _FACTORIES[name]


def list_placements() -> tuple[str, ...]:
    """Return the sorted names of all registered policies."""
    return tuple(sorted(_FACTORIES))
