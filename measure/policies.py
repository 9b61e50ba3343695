"""The policies that are compared."""

from collections.abc import Callable

from attrs import frozen

from .baselines import SimpleDispatch, SimplePlacement
from .baselines.dispatch import Choice
from .controllers import ControllerIdentity, PlacementCoreType
from .gateways import DispatchCoreType, GatewayIdentity

DispatchFactory = Callable[[GatewayIdentity, int], DispatchCoreType]
"""Builds a dispatch core for a gateway and a seed."""

PlacementFactory = Callable[[ControllerIdentity, int], PlacementCoreType]
"""Builds a placement core for a controller and a seed."""


@frozen(kw_only=True)
class Policy:
    """How gateways dispatch and controllers place."""

    name: str
    dispatch: DispatchFactory
    placement: PlacementFactory


def _dispatch_simply(choice: Choice) -> DispatchFactory:
    return lambda identity, seed: SimpleDispatch(identity.incarnation, choice)


def _place_simply(on_demand: bool) -> PlacementFactory:
    return lambda identity, seed: SimplePlacement(identity.incarnation, on_demand)


BASELINES = (
    Policy(
        name="static floors, round robin",
        dispatch=_dispatch_simply(Choice.ROUND_ROBIN),
        placement=_place_simply(on_demand=False),
    ),
    Policy(
        name="static floors, least outstanding",
        dispatch=_dispatch_simply(Choice.LEAST_OUTSTANDING),
        placement=_place_simply(on_demand=False),
    ),
    Policy(
        name="load on demand, LRU unloads",
        dispatch=_dispatch_simply(Choice.LEAST_OUTSTANDING),
        placement=_place_simply(on_demand=True),
    ),
)
