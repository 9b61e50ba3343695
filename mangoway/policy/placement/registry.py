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
    """Builds the policy of one controller."""

    def __call__(
        self, incarnation: IncarnationId, options: PlacementOptions, rng: Random
    ) -> PlacementPolicy:
        """Return a policy; `incarnation` makes its order identifiers unique."""
        ...


_FACTORIES: dict[str, PlacementFactory] = {}


def register_placement(name: str) -> Callable[[PlacementFactory], PlacementFactory]:
    """Return a decorator that registers a factory.

    Raises:
        ValueError: If the name is taken.
    """

    def register(factory: PlacementFactory) -> PlacementFactory:
        if name in _FACTORIES:
            raise ValueError(f"placement policy {name!r} is registered already")
        _FACTORIES[name] = factory
        return factory

    return register


def find_placement(name: str) -> PlacementFactory:
    """Return a registered factory.

    Raises:
        KeyError: If there is none of that name.
    """
    return _FACTORIES[name]


def list_placements() -> tuple[str, ...]:
    """Return the names of all registered policies in order."""
    return tuple(sorted(_FACTORIES))
