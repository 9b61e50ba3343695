"""The compared policies."""

from collections.abc import Callable
from random import Random

from attrs import evolve, frozen

from mangoway.policy.dispatch.options import DispatchOptions
from mangoway.policy.dispatch.registry import POLICY_DEADLINE_AWARE, create_dispatch
from mangoway.policy.placement import core as placement_core
from mangoway.policy.placement.options import PlacementOptions
from mangoway.policy.placement.registry import find_placement

from .baselines import SimpleDispatch, SimplePlacement
from .baselines.dispatch import Choice
from .const import CALLER_LIMIT_RPS
from .controllers import ControllerIdentity, PlacementCoreType
from .gateways import DispatchCoreType, GatewayIdentity

# The import of the core registers its policy.
assert placement_core
_PLACEMENT_NAME = "marginal_gain"

DispatchFactory = Callable[[GatewayIdentity, int], DispatchCoreType]
"""Function that creates the dispatch core of a gateway for a seed."""

PlacementFactory = Callable[[ControllerIdentity, int], PlacementCoreType]
"""Function that creates the placement core of a controller for a seed."""


@frozen(kw_only=True)
class Policy:
    """Dispatch policy of the gateways and placement policy of the controllers."""

    name: str
    dispatch: DispatchFactory
    placement: PlacementFactory
    caller_limit_rps: float | None = None
    """Rate limit of each caller at each gateway; None for no limit."""


def _make_simple_dispatch(choice: Choice) -> DispatchFactory:
    return lambda identity, seed: SimpleDispatch(identity.incarnation, choice)


def _make_simple_placement(on_demand: bool) -> PlacementFactory:
    return lambda identity, seed: SimplePlacement(identity.incarnation, on_demand)


BASELINES = (
    Policy(
        name="static floors, round robin",
        dispatch=_make_simple_dispatch(Choice.ROUND_ROBIN),
        placement=_make_simple_placement(on_demand=False),
    ),
    Policy(
        name="static floors, least outstanding",
        dispatch=_make_simple_dispatch(Choice.LEAST_OUTSTANDING),
        placement=_make_simple_placement(on_demand=False),
    ),
    Policy(
        name="load on demand, LRU unloads",
        dispatch=_make_simple_dispatch(Choice.LEAST_OUTSTANDING),
        placement=_make_simple_placement(on_demand=True),
    ),
)


def _build_ours(
    name: str,
    dispatch: DispatchOptions | None = None,
    placement: PlacementOptions | None = None,
    caller_limit_rps: float | None = None,
) -> Policy:
    def create_gateway_core(identity: GatewayIdentity, seed: int) -> DispatchCoreType:
        options = evolve(
            dispatch or DispatchOptions(), data_centre=identity.data_centre
        )
        rng = Random(f"{identity.incarnation} {seed}")
        return create_dispatch(
            POLICY_DEADLINE_AWARE, identity.incarnation, rng, options
        )

    def create_controller_core(
        identity: ControllerIdentity, seed: int
    ) -> PlacementCoreType:
        rng = Random(f"{identity.incarnation} {seed}")
        create = find_placement(_PLACEMENT_NAME)
        return create(identity.incarnation, placement or PlacementOptions(), rng)

    return Policy(
        name=name,
        dispatch=create_gateway_core,
        placement=create_controller_core,
        caller_limit_rps=caller_limit_rps,
    )


OURS = _build_ours("ours")

PREEMPTION = _build_ours("ours, with preemption", DispatchOptions(preemption=True))

DAY_ABLATIONS = (
    _build_ours("ours, no prefix affinity", DispatchOptions(prefix_affinity=False)),
    _build_ours("ours, no windows", DispatchOptions(windows=False)),
    _build_ours("ours, no patient headroom", DispatchOptions(patient_headroom=False)),
    PREEMPTION,
    _build_ours("ours, no hysteresis", None, PlacementOptions(hysteresis=False)),
    _build_ours("ours, no demand copies", None, PlacementOptions(demand_copies=False)),
    _build_ours("ours, no evictions", None, PlacementOptions(make_room=False)),
    _build_ours("ours, no move price", None, PlacementOptions(move_price=False)),
)
"""Variants that are measured without faults.

Each lacks one mechanism of this project's policy, or adds preemption to it.
"""

BROWN_OUT_ABLATIONS = (
    _build_ours("ours, no retry budget", DispatchOptions(retry_budget=False)),
    _build_ours("ours, no breakers", DispatchOptions(breakers=False)),
)
"""Variants without one of the mechanisms against failing upstreams."""

FLOOD_ABLATIONS = (
    _build_ours("ours, no fair share", DispatchOptions(fair_share=False)),
    _build_ours("ours, no patient reserve", DispatchOptions(patient_reserve=False)),
    _build_ours("ours, no early refusal", DispatchOptions(early_rejection=False)),
    _build_ours("ours, limits on callers", caller_limit_rps=CALLER_LIMIT_RPS),
)
"""Variants without one of the overload mechanisms, or with caller rate limits."""
