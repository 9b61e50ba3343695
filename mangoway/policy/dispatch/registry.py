"""Dispatch policies by name."""

from collections.abc import Callable
from random import Random

from ...models.identifiers import IncarnationId
from ..core import Core
from .actions import DispatchAction
from .core import DispatchCore
from .events import DispatchEvent
from .options import DispatchOptions

DispatchPolicy = Core[DispatchEvent, DispatchAction]
DispatchFactory = Callable[[IncarnationId, Random, DispatchOptions], DispatchPolicy]

POLICY_DEADLINE_AWARE = "deadline_aware"

_FACTORIES: dict[str, DispatchFactory] = {}


def register_dispatch(
    name: str,
) -> Callable[[DispatchFactory], DispatchFactory]:
    """Register a factory of dispatch cores under a name."""

    def register(factory: DispatchFactory) -> DispatchFactory:
        _FACTORIES[name] = factory
        return factory

    return register


def list_dispatch_names() -> tuple[str, ...]:
    """Return the names of all registered policies."""
    return tuple(sorted(_FACTORIES))


def create_dispatch(
    name: str, identity: IncarnationId, rng: Random, options: DispatchOptions
) -> DispatchPolicy:
    """Create a dispatch core.

    Raises:
        KeyError: If no policy has the name.
    """
    return _FACTORIES[name](identity, rng, options)


@register_dispatch(POLICY_DEADLINE_AWARE)
def _create_deadline_aware(
    identity: IncarnationId, rng: Random, options: DispatchOptions
) -> DispatchPolicy:
    return DispatchCore(identity, rng, options)
