"""Selection of the runner for a load and of the copies to evict for it."""

from math import inf

from attrs import define, field, frozen

from ...models.artifact import Artifact
from .const import HYSTERESIS_FACTOR, MIN_RESIDENCE_S
from .gains import GainModel
from .load_queue import Need, NeedRank
from .runners import CopyState, Runner
from .state import PlacementState


@frozen(kw_only=True)
class EvictionPlan:
    """Copies to unload on a runner so that an artifact fits."""

    runner: Runner
    victims: tuple[Artifact, ...]
    loss: float
    """Request-seconds of waiting that the evictions cost over the horizon."""


@define
class RunnerSelector:
    """Selects runners with enough free memory, or evictions that provide it."""

    _state: PlacementState
    _gains: GainModel
    _pending_adapter_mb: dict[Artifact, int] = field(factory=dict)
    """Memory needed beside each model version for adapters without a copy."""

    def refresh(self) -> None:
        """Update the memory needed by adapters without a ready or loading copy."""
        self._pending_adapter_mb = {}
        for need in self._state.queue.list_all():
            if need.artifact.adapter is None or need.rank is not NeedRank.LAST_COPY:
                continue
            base = need.artifact.base
            self._pending_adapter_mb[base] = (
                self._pending_adapter_mb.get(base, 0) + need.memory_mb
            )

    def find_runner(self, need: Need, now: float) -> Runner | None:
        """Return the best runner with room for a need, or None."""
        candidates = [
            runner for runner in self._list_with_room(need, now) if runner.is_free
        ]
        if not candidates:
            return None
        holders = self._state.copies.list_ready_or_loading(need.artifact)
        occupied = self._state.list_data_centres(holders)
        if need.rank is NeedRank.DEMAND:
            return max(
                candidates,
                key=lambda runner: (
                    self._gains.find_gain(need.artifact, runner),
                    runner.free_mb,
                    runner.id,
                ),
            )
        required_mb = need.memory_mb + self._pending_adapter_mb.get(need.artifact, 0)

        def make_sort_key(runner: Runner) -> tuple[bool, bool, bool, float, int, str]:
            headroom_mb = self._find_headroom_mb(runner)
            return (
                runner.data_centre in occupied,
                not self._has_entry(need, runner),
                headroom_mb < required_mb,
                self._gains.find_utilisation(runner),
                -headroom_mb,
                runner.id,
            )

        return min(candidates, key=make_sort_key)

    def has_room(self, need: Need, now: float) -> bool:
        """Return whether a runner has room, even if another write is pending on it."""
        return bool(self._list_with_room(need, now))

    def _list_with_room(self, need: Need, now: float) -> list[Runner]:
        return [
            runner
            for runner in self.list_candidates(need, now)
            if self._find_shortfall_mb(need, runner) <= 0
        ]

    def list_candidates(self, need: Need, now: float) -> list[Runner]:
        """Return the runners that could load a need if they had enough memory."""
        holders = self._state.copies.list_ready_or_loading(need.artifact)
        excluded = (
            self._state.list_data_centres(holders)
            if need.rank is NeedRank.SPREAD
            else set()
        )
        return [
            runner
            for runner in self._state.runners.values()
            if runner.data_centre not in excluded
            and self._is_candidate(need, runner, now)
        ]

    def _is_candidate(self, need: Need, runner: Runner, now: float) -> bool:
        artifact = need.artifact
        if not runner.accepts_loads or not runner.is_fresh(now):
            return False
        if runner.is_busy_with(artifact) or not runner.may_retry(artifact, now):
            return False
        claim = self._state.claims.get(runner.id)
        if claim is not None and claim.artifact != artifact:
            return False
        copies = self._state.copies.list_on_runner(runner.id)
        state = copies.get(artifact)
        if state in (CopyState.READY, CopyState.LOADING):
            return False
        if state is CopyState.DRAINING and not runner.checks_fences:
            return False
        if artifact.adapter is None:
            return True
        return copies.get(artifact.base) is CopyState.READY

    def _has_entry(self, need: Need, runner: Runner) -> bool:
        return need.artifact in self._state.copies.list_on_runner(runner.id)

    def _find_shortfall_mb(self, need: Need, runner: Runner) -> int:
        reserved_mb = 0
        if self._has_entry(need, runner):
            reserved_mb = self._find_allocated_mb(need.artifact, runner)
        return max(need.memory_mb, reserved_mb) - reserved_mb - runner.free_mb

    def _find_headroom_mb(self, runner: Runner) -> int:
        """Return free memory less what pending adapters need beside their bases."""
        if not self._pending_adapter_mb:
            return runner.free_mb
        pending_adapter_mb = sum(
            self._pending_adapter_mb.get(artifact, 0)
            for artifact in self._state.copies.list_on_runner(runner.id)
        )
        return runner.free_mb - pending_adapter_mb

    def plan_evictions(self, need: Need, now: float) -> EvictionPlan | None:
        """Return the cheapest evictions that make a need fit, or None."""
        best: EvictionPlan | None = None
        for runner in self.list_candidates(need, now):
            if runner.id in self._state.claims:
                continue
            plan = self._plan_evictions_on(need, runner, now)
            if plan is not None and (
                best is None or _make_plan_key(plan) < _make_plan_key(best)
            ):
                best = plan
        return best

    def _plan_evictions_on(
        self, need: Need, runner: Runner, now: float
    ) -> EvictionPlan | None:
        shortfall_mb = self._find_shortfall_mb(need, runner)
        copies = self._state.copies.list_on_runner(runner.id)
        base = need.artifact.base
        groups = [
            group
            for artifact in copies
            if artifact not in (need.artifact, base)
            and (group := self._find_group(artifact, runner))
            and self._may_evict(need, group, runner, now)
        ]
        chosen: dict[Artifact, None] = {}
        loss = 0.0
        ranked = sorted(
            (
                self._find_group_loss(group, runner)
                / self._find_group_mb(group, runner),
                group,
            )
            for group in groups
        )
        for _, group in ranked:
            if shortfall_mb <= 0:
                break
            added = [artifact for artifact in group if artifact not in chosen]
            shortfall_mb -= sum(self._find_allocated_mb(each, runner) for each in added)
            loss += self._find_group_loss(tuple(added), runner)
            chosen.update(dict.fromkeys(added))
        if shortfall_mb > 0 or not chosen:
            return None
        victims = tuple(sorted(chosen, key=lambda each: each.adapter is None))
        return EvictionPlan(runner=runner, victims=victims, loss=loss)

    def _may_evict(
        self, need: Need, group: tuple[Artifact, ...], runner: Runner, now: float
    ) -> bool:
        if need.rank is not NeedRank.DEMAND or not self._state.options.hysteresis:
            return True
        return all(
            now - runner.ready_since.get(artifact, now) >= MIN_RESIDENCE_S
            for artifact in group
        )

    def _find_group(self, artifact: Artifact, runner: Runner) -> tuple[Artifact, ...]:
        """Return an artifact and its adapters on a runner; empty if any must stay."""
        if not self.is_evictable(artifact, runner):
            return ()
        if artifact.adapter is not None:
            return (artifact,)
        adapters = tuple(
            adapter
            for adapter in self._state.copies.list_on_runner(runner.id)
            if adapter.adapter is not None and adapter.base == artifact
        )
        if not all(self.is_evictable(adapter, runner) for adapter in adapters):
            return ()
        return (*adapters, artifact)

    def is_evictable(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether a copy can be unloaded without violating a floor."""
        if runner.is_busy_with(artifact):
            return False
        copies = self._state.copies.list_on_runner(runner.id)
        if copies.get(artifact) is not CopyState.READY:
            return False
        if artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return self._state.may_withdraw(artifact)

    def _find_allocated_mb(self, artifact: Artifact, runner: Runner) -> int:
        if runner.ledger is None:
            return 0
        entries = (*runner.ledger.resident, *runner.ledger.reserved)
        return sum(entry.memory_mb for entry in entries if entry.artifact == artifact)

    def _find_group_mb(self, group: tuple[Artifact, ...], runner: Runner) -> int:
        return max(
            1, sum(self._find_allocated_mb(artifact, runner) for artifact in group)
        )

    def _find_group_loss(self, group: tuple[Artifact, ...], runner: Runner) -> float:
        return sum(self._gains.find_loss(artifact, runner) for artifact in group)

    def is_worthwhile(
        self, need: Need, plan: EvictionPlan, gain: float, price: float
    ) -> bool:
        """Return whether a load justifies its evictions and the price of the moves."""
        if need.rank is not NeedRank.DEMAND:
            return plan.loss < inf
        factor = HYSTERESIS_FACTOR if self._state.options.hysteresis else 1.0
        return gain > factor * plan.loss + price * (1 + len(plan.victims))

    def find_relocation(self, need: Need, now: float) -> Need | None:
        """Return a copy that has to be loaded elsewhere first so that a need fits."""
        best: tuple[int, Artifact] | None = None
        for runner in self.list_candidates(need, now):
            shortfall_mb = self._find_shortfall_mb(need, runner)
            for artifact, state in self._state.copies.list_on_runner(runner.id).items():
                if state is not CopyState.READY or artifact == need.artifact.base:
                    continue
                if artifact.adapter is not None or self._has_adapters(artifact, runner):
                    continue
                memory_mb = self._find_allocated_mb(artifact, runner)
                if memory_mb < shortfall_mb or memory_mb >= need.memory_mb:
                    continue
                move = Need(artifact=artifact, rank=NeedRank.ROOM, memory_mb=memory_mb)
                if self.find_runner(move, now) is None:
                    continue
                if best is None or (memory_mb, artifact) < best:
                    best = (memory_mb, artifact)
        if best is None:
            return None
        return Need(artifact=best[1], rank=NeedRank.ROOM, memory_mb=best[0])

    def _has_adapters(self, base: Artifact, runner: Runner) -> bool:
        return any(
            artifact.adapter is not None and artifact.base == base
            for artifact in self._state.copies.list_on_runner(runner.id)
        )


def _make_plan_key(plan: EvictionPlan) -> tuple[float, int]:
    return (plan.loss, len(plan.victims))
