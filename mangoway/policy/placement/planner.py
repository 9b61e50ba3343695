"""Planning of loads and unloads and of their order."""

from attrs import define, field

from ...models.artifact import Artifact
from .const import (
    DEMAND_EVALUATION_PERIOD_S,
)
from .demand_planner import DemandPlanner
from .demand_rotation import DemandRotation
from .evictions import EvictionManager
from .floors import find_floor_need
from .gains import GainModel
from .ledger_reconciler import LedgerReconciler
from .load_queue import LoadLimiter, Need, NeedRank
from .reservations import Reservations
from .runner_selector import RunnerSelector
from .runners import Runner
from .state import PlacementState
from .withdrawals import Withdrawals


@define
class Planner:
    """Turns missing floor copies and demand into ledger writes."""

    _state: PlacementState
    _reservations: Reservations
    _selector: RunnerSelector = field(init=False)
    _rotation: DemandRotation = field(init=False)
    _demand_planner: DemandPlanner = field(init=False)
    _evictions: EvictionManager = field(init=False)
    _reconciler: LedgerReconciler = field(init=False)
    _withdrawals: Withdrawals = field(init=False)
    _limiter: LoadLimiter = field(factory=LoadLimiter)
    _next_evaluation_at: float = 0.0
    _are_floors_stale: bool = True

    def __attrs_post_init__(self) -> None:
        state, reservations = self._state, self._reservations
        gains = GainModel(state)
        self._selector = RunnerSelector(state, gains)
        self._rotation = DemandRotation(state, gains)
        self._demand_planner = DemandPlanner(
            state, gains, self._selector, self._rotation
        )
        self._evictions = EvictionManager(
            state, reservations, gains, self._selector, self._demand_planner
        )
        self._reconciler = LedgerReconciler(state, reservations)
        self._withdrawals = Withdrawals(state, reservations)

    def refresh_all_floors(self) -> None:
        """Check the floors of all artifacts in the next plan."""
        self._are_floors_stale = True

    def plan(self, now: float) -> None:
        """Make one plan at time `now`."""
        self._reconciler.refresh(now)
        self._reservations.ledger_access.request_unknown_ledgers(now)
        if self._state.configuration is None:
            return
        self._update_floors()
        if now >= self._next_evaluation_at:
            self._next_evaluation_at = now + DEMAND_EVALUATION_PERIOD_S
            self._demand_planner.evaluate(
                now, self._reservations.ledger_access.is_active
            )
        if not self._reservations.ledger_access.is_active:
            return
        self._evictions.continue_evictions(now)
        self._selector.refresh()
        self._serve_needs(now)
        self._withdrawals.withdraw(now)

    def _update_floors(self) -> None:
        if self._are_floors_stale:
            changed = (
                set(self._state.offered) | self._reservations.outbox.changed_artifacts
            )
            self._are_floors_stale = False
        else:
            changed = set(self._reservations.outbox.changed_artifacts)
        self._reservations.outbox.changed_artifacts.clear()
        self._rotation.prioritise(changed)
        for artifact in sorted(changed):
            self._update_floor(artifact)

    def _update_floor(self, artifact: Artifact) -> None:
        need = find_floor_need(self._state, artifact)
        old = self._state.queue.find(artifact)
        if need is not None:
            if old is not None and old.rank is not need.rank:
                self._state.queue.unblock(artifact)
            self._state.queue.put(need)
        elif old is not None and old.rank < NeedRank.ROOM:
            self._state.queue.drop(artifact)
        elif old is not None and artifact not in self._state.offered:
            self._state.queue.drop(artifact)

    def _serve_needs(self, now: float) -> None:
        if self._state.configuration is None:
            return
        site = self._state.configuration.site
        in_flight = self._state.copies.loading_count
        for need in self._state.queue.list_due(now):
            if in_flight >= site.loads_at_full_speed:
                return
            if not self._limiter.may_load(now, site.loads_per_second):
                return
            if self._serve(need, now):
                self._limiter.consume()
                in_flight += 1

    def _serve(self, need: Need, now: float) -> bool:
        """Start a load, or evictions if no runner has room.

        Returns:
            Whether a load was started.
        """
        artifact = need.artifact
        if self._waits_for_base(need):
            return False
        runner = self._selector.find_runner(need, now)
        if runner is not None:
            return self._start_load(need, runner, now)
        if not self._evictions.is_claimed(artifact) and not self._selector.has_room(
            need, now
        ):
            self._evictions.start_evictions(need, now)
        return False

    def _start_load(self, need: Need, runner: Runner, now: float) -> bool:
        artifact = need.artifact
        is_for_demand = need.rank is NeedRank.DEMAND
        if is_for_demand and not self._demand_planner.is_load_worthwhile(need, runner):
            return False
        if not self._reservations.request_load(runner, artifact, now):
            return False
        self._reservations.outbox.explain(
            artifact, runner, f"load_{need.rank.name.lower()}"
        )
        self._state.queue.unblock(artifact)
        self._state.claims.pop(runner.id, None)
        if need.rank >= NeedRank.ROOM:
            self._state.queue.drop(artifact)
        return True

    def _waits_for_base(self, need: Need) -> bool:
        """Return whether an adapter has to wait for the first copy of its base."""
        base = need.artifact.base
        if base == need.artifact:
            return False
        if self._state.copies.list_ready(base):
            return False
        return True
