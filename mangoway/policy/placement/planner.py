"""Plans: which copies to load, which to unload, and in which order."""

from attrs import define, field

from ...models.artifact import Artifact
from .choice import RunnerChoice
from .const import (
    DEMAND_PERIOD_S,
)
from .demand_needs import DemandNeeds
from .demand_rounds import DemandRounds
from .floors import find_floor_need
from .gains import GainModel
from .load_queue import LoadLimiter, Need, NeedRank
from .reservations import Reservations
from .room import RoomMaker
from .runners import Runner
from .settling import Settling
from .state import PlacementState
from .withdrawals import Withdrawals


@define
class Planner:
    """Turns lacking floors and demand into ledger writes."""

    _state: PlacementState
    _steps: Reservations
    _choice: RunnerChoice = field(init=False)
    _rounds: DemandRounds = field(init=False)
    _demand: DemandNeeds = field(init=False)
    _room: RoomMaker = field(init=False)
    _settling: Settling = field(init=False)
    _withdrawals: Withdrawals = field(init=False)
    _limiter: LoadLimiter = field(factory=LoadLimiter)
    _demand_at: float = 0.0
    _floors_stale: bool = True

    def __attrs_post_init__(self) -> None:
        state, steps = self._state, self._steps
        gains = GainModel(state)
        self._choice = RunnerChoice(state, gains)
        self._rounds = DemandRounds(state, gains)
        self._demand = DemandNeeds(state, gains, self._choice, self._rounds)
        self._room = RoomMaker(state, steps, gains, self._choice, self._demand)
        self._settling = Settling(state, steps)
        self._withdrawals = Withdrawals(state, steps)

    def restart_floors(self) -> None:
        """Look at the floors of all artifacts in the next plan."""
        self._floors_stale = True

    def plan(self, now: float) -> None:
        """Make one plan at time `now`."""
        self._settling.refresh(now)
        self._steps.access.read_ledgers(now)
        if self._state.configuration is None:
            return
        self._update_floors()
        if now >= self._demand_at:
            self._demand_at = now + DEMAND_PERIOD_S
            self._demand.look(now, self._steps.access.is_active)
        if not self._steps.access.is_active:
            return
        self._room.go_on(now)
        self._choice.refresh()
        self._serve_needs(now)
        self._withdrawals.withdraw(now)

    def _update_floors(self) -> None:
        if self._floors_stale:
            changed = set(self._state.offered) | self._steps.outbox.changed
            self._floors_stale = False
        else:
            changed = set(self._steps.outbox.changed)
        self._steps.outbox.changed.clear()
        self._rounds.hurry(changed)
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

    # Loads.

    def _serve_needs(self, now: float) -> None:
        if self._state.configuration is None:
            return
        site = self._state.configuration.site
        in_flight = self._state.copies.loading
        for need in self._state.queue.list_due(now):
            if in_flight >= site.loads_at_full_speed:
                return
            if not self._limiter.may_load(now, site.loads_per_second):
                return
            if self._serve(need, now):
                self._limiter.take()
                in_flight += 1

    def _serve(self, need: Need, now: float) -> bool:
        """Start a load; if nothing has room, begin to make some."""
        artifact = need.artifact
        if self._waits_for_base(need):
            return False
        runner = self._choice.find_runner(need, now)
        if runner is not None:
            return self._start_load(need, runner, now)
        if not self._room.is_claimed(artifact) and not self._choice.has_room(need, now):
            self._room.find_room(need, now)
        return False

    def _start_load(self, need: Need, runner: Runner, now: float) -> bool:
        artifact = need.artifact
        is_extra = need.rank is NeedRank.DEMAND
        if is_extra and not self._demand.pays_alone(need, runner):
            return False
        if not self._steps.reserve(runner, artifact, now):
            return False
        self._steps.outbox.explain(artifact, runner, f"load_{need.rank.name.lower()}")
        self._state.queue.unblock(artifact)
        self._state.claims.pop(runner.id, None)
        if need.rank >= NeedRank.ROOM:
            self._state.queue.drop(artifact)
        return True

    def _waits_for_base(self, need: Need) -> bool:
        """Return whether an adapter's base comes first anyway."""
        base = need.artifact.base
        if base == need.artifact:
            return False
        if self._state.copies.list_ready(base):
            return False
        return True
