"""Freeing of memory on full runners: evictions, version changes and relocation."""

from attrs import define

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .const import (
    MEMORY_CLAIM_TIMEOUT_S,
    UNLOAD_FIRST_AFTER_S,
)
from .demand_planner import DemandPlanner
from .gains import GainModel
from .load_queue import Need, NeedRank
from .reservations import Reservations
from .runner_selector import EvictionPlan, RunnerSelector
from .runners import CopyState, Runner
from .state import MemoryClaim, PlacementState


@define
class EvictionManager:
    """Starts and continues evictions, one unload at a time on each runner."""

    _state: PlacementState
    _reservations: Reservations
    _gains: GainModel
    _selector: RunnerSelector
    _demand_planner: DemandPlanner

    def is_claimed(self, artifact: Artifact) -> bool:
        """Return whether memory on a runner is claimed for an artifact."""
        return any(claim.artifact == artifact for claim in self._state.claims.values())

    def start_evictions(self, need: Need, now: float) -> None:
        """Start to free memory for a need for which no runner has room."""
        artifact = need.artifact
        queue = self._state.queue
        plan = (
            self._selector.plan_evictions(need, now) if self._can_evict(need) else None
        )
        if plan is not None and self._is_worthwhile(need, plan):
            self._claim(need, plan, now)
            return
        queue.block(artifact, now)
        if need.rank >= NeedRank.ROOM:
            return
        if self._unload_withdrawn_first(need, now):
            return
        if artifact.adapter is not None:
            self._request_base(need)
            return
        move = self._selector.find_relocation(need, now)
        if move is not None and queue.find(move.artifact) is None:
            queue.put(move)
            self._reservations.outbox.explain(
                move.artifact, None, "relocate_for_room", f"for {artifact}"
            )
            return
        self._reservations.outbox.explain(artifact, None, "no_room")

    def _can_evict(self, need: Need) -> bool:
        return self._state.options.make_room or need.rank is not NeedRank.DEMAND

    def _is_worthwhile(self, need: Need, plan: EvictionPlan) -> bool:
        if need.rank is not NeedRank.DEMAND:
            return True
        gain = self._gains.find_gain(need.artifact, plan.runner)
        if self._selector.is_worthwhile(
            need, plan, gain, self._demand_planner.find_move_price()
        ):
            return True
        self._reservations.outbox.explain(
            need.artifact, plan.runner, "eviction_does_not_pay"
        )
        return False

    def _claim(self, need: Need, plan: EvictionPlan, now: float) -> None:
        claim = MemoryClaim(
            artifact=need.artifact,
            victims=list(plan.victims),
            until=now + MEMORY_CLAIM_TIMEOUT_S,
        )
        self._state.claims[plan.runner.id] = claim
        self._reservations.outbox.explain(
            need.artifact,
            plan.runner,
            "make_room",
            ", ".join(str(victim) for victim in plan.victims),
        )
        self._evict_next(plan.runner.id, claim, now)

    def continue_evictions(self, now: float) -> None:
        """Continue the evictions that were started."""
        for upstream_id, claim in list(self._state.claims.items()):
            runner = self._state.runners.get(upstream_id)
            is_queued = self._state.queue.find(claim.artifact) is not None
            if runner is None or claim.until <= now or not runner.accepts_loads:
                del self._state.claims[upstream_id]
            elif not is_queued and not self._is_demanded(claim):
                del self._state.claims[upstream_id]
            elif self._is_exhausted(claim, runner):
                del self._state.claims[upstream_id]
            else:
                self._evict_next(upstream_id, claim, now)

    def _is_exhausted(self, claim: MemoryClaim, runner: Runner) -> bool:
        """Return whether all evictions are complete and freed too little memory."""
        if claim.victims or not runner.is_free or runner.ledger is None:
            return False
        if any(entry.order is not None for entry in runner.ledger.resident):
            return False
        return runner.free_mb < self._state.find_memory_mb(claim.artifact)

    def _is_demanded(self, claim: MemoryClaim) -> bool:
        return self._gains.find_demand(claim.artifact).requests_per_second > 0.0

    def _evict_next(
        self, upstream_id: UpstreamId, claim: MemoryClaim, now: float
    ) -> None:
        runner = self._state.runners[upstream_id]
        if not claim.victims or not runner.is_free:
            return
        victim = claim.victims[0]
        if not self._selector.is_evictable(victim, runner):
            claim.victims.pop(0)
            return
        if self._reservations.request_unload(runner, victim, now):
            claim.victims.pop(0)

    def _unload_withdrawn_first(self, need: Need, now: float) -> bool:
        """Unload a withdrawn version whose successor has found no room for too long."""
        artifact = need.artifact
        if self._state.queue.find_blocked_s(artifact, now) < UNLOAD_FIRST_AFTER_S:
            return False
        for runner in self._selector.list_candidates(need, now):
            for other in self._list_withdrawn(artifact, runner):
                if runner.is_free and self._reservations.request_unload(
                    runner, other, now
                ):
                    self._reservations.outbox.explain(
                        other, runner, "break_before_make"
                    )
                    return True
        return False

    def _list_withdrawn(self, artifact: Artifact, runner: Runner) -> list[Artifact]:
        copies = self._state.copies.list_on_runner(runner.id)
        old = [
            each
            for each, state in copies.items()
            if each.model == artifact.model
            and each not in self._state.offered
            and state is CopyState.READY
        ]
        return sorted(old, key=lambda each: each.adapter is None)

    def _request_base(self, need: Need) -> None:
        """Add a need for a further copy of an adapter's base on a runner with room."""
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
        self._reservations.outbox.explain(
            base, None, "base_for_adapter", f"for {need.artifact}"
        )
