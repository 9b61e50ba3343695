"""Room on full runners: evictions, replacement of versions and relocation."""

from attrs import define

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .choice import RoomPlan, RunnerChoice
from .const import (
    BREAK_AFTER_S,
    ROOM_CLAIM_S,
)
from .demand_needs import DemandNeeds
from .gains import GainModel
from .load_queue import Need, NeedRank
from .reservations import Reservations
from .runners import CopyState, Runner
from .state import PlacementState, RoomClaim


@define
class RoomMaker:
    """Begins evictions and goes on with them, one unload at a time on a runner."""

    _state: PlacementState
    _steps: Reservations
    _gains: GainModel
    _choice: RunnerChoice
    _demand: DemandNeeds

    def is_claimed(self, artifact: Artifact) -> bool:
        """Return whether room is being made for an artifact."""
        return any(claim.artifact == artifact for claim in self._state.claims.values())

    def find_room(self, need: Need, now: float) -> None:
        """Begin to make room for a need that no runner has room for."""
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
            self._steps.outbox.explain(
                move.artifact, None, "relocate_for_room", f"for {artifact}"
            )
            return
        self._steps.outbox.explain(artifact, None, "no_room")

    def _can_evict(self, need: Need) -> bool:
        return self._state.options.make_room or need.rank is not NeedRank.DEMAND

    def _is_worth(self, need: Need, plan: RoomPlan) -> bool:
        if need.rank is not NeedRank.DEMAND:
            return True
        gain = self._gains.find_gain(need.artifact, plan.runner)
        if self._choice.pays(need, plan, gain, self._demand.find_price()):
            return True
        self._steps.outbox.explain(need.artifact, plan.runner, "eviction_does_not_pay")
        return False

    def _claim(self, need: Need, plan: RoomPlan, now: float) -> None:
        claim = RoomClaim(
            artifact=need.artifact,
            victims=list(plan.victims),
            until=now + ROOM_CLAIM_S,
        )
        self._state.claims[plan.runner.id] = claim
        self._steps.outbox.explain(
            need.artifact,
            plan.runner,
            "make_room",
            ", ".join(str(victim) for victim in plan.victims),
        )
        self._evict_next(plan.runner.id, claim, now)

    def go_on(self, now: float) -> None:
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
                    self._steps.outbox.explain(other, runner, "break_before_make")
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
        self._steps.outbox.explain(
            base, None, "base_for_adapter", f"for {need.artifact}"
        )
