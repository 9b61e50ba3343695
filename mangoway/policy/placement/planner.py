"""Plans: which copies to load, which to unload, and in which order."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .choice import RoomPlan, RunnerChoice
from .const import (
    BREAK_AFTER_S,
    DEMAND_LOADS_IN_PLAN,
    DEMAND_PERIOD_S,
    MB_PER_GB,
    ROOM_CLAIM_S,
)
from .demand_rounds import DemandRounds
from .floors import find_floor_need
from .gains import GainModel
from .ledgers import list_entries
from .load_queue import LoadLimiter, Need, NeedRank
from .reservations import Reservations
from .runners import CopyState, Runner
from .state import PlacementState, RoomClaim


@define
class Planner:
    """Turns lacking floors and demand into ledger writes."""

    _state: PlacementState
    _steps: Reservations
    _gains: GainModel = field(init=False)
    _choice: RunnerChoice = field(init=False)
    _rounds: DemandRounds = field(init=False)
    _limiter: LoadLimiter = field(factory=LoadLimiter)
    _demand_at: float = 0.0
    _floors_stale: bool = True

    def __attrs_post_init__(self) -> None:
        self._gains = GainModel(self._state)
        self._choice = RunnerChoice(self._state, self._gains)
        self._rounds = DemandRounds(self._state, self._gains)

    def restart_floors(self) -> None:
        """Look at the floors of all artifacts in the next plan."""
        self._floors_stale = True

    def plan(self, now: float) -> None:
        """Make one plan at time `now`."""
        self._refresh(now)
        self._steps.read_ledgers(now)
        if self._state.configuration is None:
            return
        self._update_floors()
        if now >= self._demand_at:
            self._demand_at = now + DEMAND_PERIOD_S
            self._look_at_demand(now)
        if not self._steps.is_active:
            return
        self._make_room(now)
        self._choice.refresh()
        self._serve_needs(now)
        self._withdraw(now)

    # Evidence and floors.

    def _refresh(self, now: float) -> None:
        """Take over what changed and write what the evidence allows."""
        for runner in self._state.runners.values():
            if runner.appear_by:
                self._steps.dirty.add(runner.id)
            if runner.holds_back and runner.write_after <= now:
                runner.holds_back = False
                self._steps.dirty.add(runner.id)
        self._steps.refresh_copies(now)
        for upstream_id in sorted(self._steps.dirty):
            if upstream_id not in self._state.runners:
                continue
            runner = self._state.runners[upstream_id]
            if self._steps.settle_runner(runner):
                self._state.queue.unblock_all()
            self._forget_appeared(runner)
            runner.forget(now)
            runner.is_settled = self._is_settled(runner)
        self._steps.dirty.clear()

    def _is_settled(self, runner: Runner) -> bool:
        """Return whether a ledger holds ready and offered copies only."""
        if not runner.is_free or runner.ledger is None or runner.unsent:
            return False
        copies = self._state.copies.list_on(runner.id)
        return all(
            entry.order is None
            and entry.artifact in self._state.offered
            and copies.get(entry.artifact) is CopyState.READY
            for entry in list_entries(runner.ledger)
        )

    def _forget_appeared(self, runner: Runner) -> None:
        copies = self._state.copies.list_on(runner.id)
        for artifact in list(runner.appear_by):
            if copies.get(artifact) is not CopyState.LOADING:
                del runner.appear_by[artifact]

    def _update_floors(self) -> None:
        if self._floors_stale:
            changed = set(self._state.offered) | self._steps.changed
            self._floors_stale = False
        else:
            changed = set(self._steps.changed)
        self._steps.changed.clear()
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

    # Copies above the floors.

    def _look_at_demand(self, now: float) -> None:
        named = self._state.demand.update(now)
        if not self._steps.is_active:
            return
        due = self._rounds.start(named)
        self._state.queue.drop_rank(NeedRank.DEMAND)
        if not self._state.options.demand_copies:
            return
        proposals = [
            need
            for artifact in due
            if (need := self._propose(artifact, now)) is not None
        ]
        self._rounds.hurry(need.artifact for need in proposals)
        proposals.sort(key=lambda need: need.order_key)
        for need in proposals[:DEMAND_LOADS_IN_PLAN]:
            self._state.queue.put(need)

    def _propose(self, artifact: Artifact, now: float) -> Need | None:
        """Return the need for one more copy if a fresh runner would be worth it."""
        if artifact not in self._state.offered:
            return None
        if self._state.queue.find(artifact) is not None:
            return None
        memory_mb = self._state.find_memory_mb(artifact)
        need = Need(artifact=artifact, rank=NeedRank.DEMAND, memory_mb=memory_mb)
        bound = self._gains.find_most(artifact)
        if bound <= self._find_price():
            return None
        runner = self._choice.find_runner(need, now)
        gain = bound if runner is None else self._gains.find_gain(artifact, runner)
        if gain <= self._find_price():
            return None
        gain_per_gb = gain * MB_PER_GB / max(memory_mb, 1)
        return Need(
            artifact=artifact,
            rank=NeedRank.DEMAND,
            score=gain_per_gb,
            memory_mb=memory_mb,
        )

    def _find_price(self) -> float:
        if self._state.configuration is None or not self._state.options.move_price:
            return 0.0
        return self._state.configuration.site.move_price

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
            if need.rank is NeedRank.DEMAND and not self._pays_alone(need, runner):
                return False
            if not self._steps.reserve(runner, artifact, now):
                return False
            self._steps.explain(artifact, runner, f"load_{need.rank.name.lower()}")
            self._state.queue.unblock(artifact)
            self._state.claims.pop(runner.id, None)
            if need.rank >= NeedRank.ROOM:
                self._state.queue.drop(artifact)
            return True
        if not self._is_claimed(artifact) and not self._choice.has_room(need, now):
            self._find_room(need, now)
        return False

    def _pays_alone(self, need: Need, runner: Runner) -> bool:
        return self._gains.find_gain(need.artifact, runner) > self._find_price()

    def _waits_for_base(self, need: Need) -> bool:
        """Return whether an adapter's base comes first anyway."""
        base = need.artifact.base
        if base == need.artifact:
            return False
        if self._state.copies.list_ready(base):
            return False
        return True

    def _is_claimed(self, artifact: Artifact) -> bool:
        return any(claim.artifact == artifact for claim in self._state.claims.values())

    # Room.

    def _find_room(self, need: Need, now: float) -> None:
        artifact = need.artifact
        queue = self._state.queue
        plan = self._choice.plan_room(need, now) if self._can_evict(need) else None
        if plan is not None and self._is_worth(need, plan):
            self._claim(need, plan, now)
            return
        queue.block(artifact, now)
        if need.rank >= NeedRank.ROOM:
            return
        if self._break_first(need, now):
            return
        if artifact.adapter is not None:
            self._ask_base(need)
            return
        move = self._choice.find_relocation(need, now)
        if move is not None and queue.find(move.artifact) is None:
            queue.put(move)
            self._steps.explain(
                move.artifact, None, "relocate_for_room", f"for {artifact}"
            )
            return
        self._steps.explain(artifact, None, "no_room")

    def _can_evict(self, need: Need) -> bool:
        return self._state.options.make_room or need.rank is not NeedRank.DEMAND

    def _is_worth(self, need: Need, plan: RoomPlan) -> bool:
        if need.rank is not NeedRank.DEMAND:
            return True
        gain = self._gains.find_gain(need.artifact, plan.runner)
        if self._choice.pays(need, plan, gain, self._find_price()):
            return True
        self._steps.explain(need.artifact, plan.runner, "eviction_does_not_pay")
        return False

    def _claim(self, need: Need, plan: RoomPlan, now: float) -> None:
        claim = RoomClaim(
            artifact=need.artifact,
            victims=list(plan.victims),
            until=now + ROOM_CLAIM_S,
        )
        self._state.claims[plan.runner.id] = claim
        self._steps.explain(
            need.artifact,
            plan.runner,
            "make_room",
            ", ".join(str(victim) for victim in plan.victims),
        )
        self._evict_next(plan.runner.id, claim, now)

    def _make_room(self, now: float) -> None:
        """Go on with the evictions that were begun."""
        for upstream_id, claim in list(self._state.claims.items()):
            runner = self._state.runners.get(upstream_id)
            wanted = self._state.queue.find(claim.artifact) is not None
            if runner is None or claim.until <= now or not runner.takes_loads:
                del self._state.claims[upstream_id]
            elif not wanted and not self._is_demanded(claim):
                del self._state.claims[upstream_id]
            elif self._is_spent(claim, runner):
                del self._state.claims[upstream_id]
            else:
                self._evict_next(upstream_id, claim, now)

    def _is_spent(self, claim: RoomClaim, runner: Runner) -> bool:
        """Return whether all evictions are over and still left too little room."""
        if claim.victims or not runner.is_free or runner.ledger is None:
            return False
        if any(entry.order is not None for entry in runner.ledger.resident):
            return False
        return runner.free_mb < self._state.find_memory_mb(claim.artifact)

    def _is_demanded(self, claim: RoomClaim) -> bool:
        return self._gains.find_demand(claim.artifact).requests_per_second > 0.0

    def _evict_next(
        self, upstream_id: UpstreamId, claim: RoomClaim, now: float
    ) -> None:
        runner = self._state.runners[upstream_id]
        if not claim.victims or not runner.is_free:
            return
        victim = claim.victims[0]
        if not self._choice.is_evictable(victim, runner):
            claim.victims.pop(0)
            return
        if self._steps.mark(runner, victim, now):
            claim.victims.pop(0)

    def _break_first(self, need: Need, now: float) -> bool:
        """Unload a withdrawn version whose successor finds no room at all."""
        artifact = need.artifact
        if self._state.queue.find_blocked_s(artifact, now) < BREAK_AFTER_S:
            return False
        for runner in self._choice.list_possible(need, now):
            for other in self._list_withdrawn(artifact, runner):
                if runner.is_free and self._steps.mark(runner, other, now):
                    self._steps.explain(other, runner, "break_before_make")
                    return True
        return False

    def _list_withdrawn(self, artifact: Artifact, runner: Runner) -> list[Artifact]:
        copies = self._state.copies.list_on(runner.id)
        old = [
            one
            for one, state in copies.items()
            if one.model == artifact.model
            and one not in self._state.offered
            and state is CopyState.READY
        ]
        return sorted(old, key=lambda one: one.adapter is None)

    def _ask_base(self, need: Need) -> None:
        """Ask for a further copy of a base beside which an adapter has room."""
        base = need.artifact.base
        if self._state.queue.find(base) is not None:
            return
        copies = self._state.copies.find(base)
        if any(state is CopyState.LOADING for state in copies.values()):
            return
        memory_mb = self._state.find_memory_mb(base)
        self._state.queue.put(
            Need(artifact=base, rank=NeedRank.ROOM, memory_mb=memory_mb)
        )
        self._steps.explain(base, None, "base_for_adapter", f"for {need.artifact}")

    # Unloads outside of evictions.

    def _withdraw(self, now: float) -> None:
        """Unload what is not offered, and raise fences past lost loads."""
        for runner in self._state.runners.values():
            if runner.is_settled or not runner.is_free or runner.is_leaving:
                continue
            artifact = self._find_unwanted(runner, now)
            if artifact is not None and self._steps.mark(runner, artifact, now):
                self._steps.explain(artifact, runner, "withdraw")

    def _find_unwanted(self, runner: Runner, now: float) -> Artifact | None:
        if runner.ledger is None:
            return None
        copies = self._state.copies.list_on(runner.id)
        bases = {one.base for one in copies if one.adapter is not None}
        for entry in list_entries(runner.ledger):
            artifact = entry.artifact
            if artifact in bases and artifact.adapter is None:
                continue
            if runner.is_busy_with(artifact) or not runner.may_try(artifact, now):
                continue
            if self._is_unwanted(artifact, copies.get(artifact), runner):
                return artifact
        return None

    def _is_unwanted(
        self, artifact: Artifact, state: CopyState | None, runner: Runner
    ) -> bool:
        if state is CopyState.DRAINING or state is None:
            return self._is_stuck(artifact, runner)
        if artifact not in self._state.offered:
            return self._state.may_withdraw(artifact)
        return state is CopyState.LOST and self._is_idle(artifact, runner)

    def _is_idle(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether a lost load is not wanted, and only a new fence frees it."""
        return runner.checks_fences and self._state.is_surplus(artifact, runner.id)

    def _is_stuck(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether an unload was lost and should be sent again."""
        report = runner.report
        if report is None or artifact in runner.unsent:
            return False
        shown = any(found.artifact == artifact for found in report.residents)
        if shown and artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return shown or runner.checks_fences
