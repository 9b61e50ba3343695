"""Choice of the runner for a load, and of what makes way for it."""

from math import inf

from attrs import define, field, frozen

from ...models.artifact import Artifact
from .const import HYSTERESIS, MIN_RESIDENCE_S
from .gains import GainModel
from .load_queue import Need, NeedRank
from .runners import CopyState, Runner
from .state import PlacementState


@frozen(kw_only=True)
class RoomPlan:
    """Copies to unload on a runner so that an artifact fits."""

    runner: Runner
    victims: tuple[Artifact, ...]
    loss: float


@define
class RunnerChoice:
    """Finds runners with room, and room where there is none."""

    _state: PlacementState
    _gains: GainModel
    _promised: dict[Artifact, int] = field(factory=dict)
    """Memory that adapters without a copy need beside each model version."""

    def refresh(self) -> None:
        """Take over which adapters lack their floor."""
        self._promised = {}
        for need in self._state.queue.list_all():
            if need.artifact.adapter is None or need.rank is not NeedRank.LAST_COPY:
                continue
            base = need.artifact.base
            self._promised[base] = self._promised.get(base, 0) + need.memory_mb

    def find_runner(self, need: Need, now: float) -> Runner | None:
        """Return the best runner with room for a need; None if there is none."""
        candidates = [
            runner for runner in self._list_with_room(need, now) if runner.is_free
        ]
        if not candidates:
            return None
        held = self._state.copies.list_held(need.artifact)
        held_in = self._state.list_data_centres(held)
        if need.rank is NeedRank.DEMAND:
            return max(
                candidates,
                key=lambda runner: (
                    self._gains.find_gain(need.artifact, runner),
                    runner.free_mb,
                    runner.id,
                ),
            )
        wanted_mb = need.memory_mb + self._promised.get(need.artifact, 0)

        def find_key(runner: Runner) -> tuple[bool, bool, bool, float, int, str]:
            headroom_mb = self._find_headroom_mb(runner)
            return (
                runner.data_centre in held_in,
                not self._holds_lost(need, runner),
                headroom_mb < wanted_mb,
                self._gains.find_utilisation(runner),
                -headroom_mb,
                runner.id,
            )

        return min(candidates, key=find_key)

    def has_room(self, need: Need, now: float) -> bool:
        """Return whether a runner has room, be it busy with another write."""
        return bool(self._list_with_room(need, now))

    def _list_with_room(self, need: Need, now: float) -> list[Runner]:
        return [
            runner
            for runner in self.list_possible(need, now)
            if self._find_missing_mb(need, runner) <= 0
        ]

    def list_possible(self, need: Need, now: float) -> list[Runner]:
        """Return the runners that could take a need if they had the room."""
        held = self._state.copies.list_held(need.artifact)
        barred = (
            self._state.list_data_centres(held)
            if need.rank is NeedRank.SPREAD
            else set()
        )
        return [
            runner
            for runner in self._state.runners.values()
            if runner.data_centre not in barred and self._is_possible(need, runner, now)
        ]

    def _is_possible(self, need: Need, runner: Runner, now: float) -> bool:
        artifact = need.artifact
        if not runner.takes_loads or not runner.is_fresh(now):
            return False
        if runner.is_busy_with(artifact) or not runner.may_try(artifact, now):
            return False
        claim = self._state.claims.get(runner.id)
        if claim is not None and claim.artifact != artifact:
            return False
        copies = self._state.copies.list_on(runner.id)
        state = copies.get(artifact)
        if state in (CopyState.READY, CopyState.LOADING):
            return False
        if state is CopyState.DRAINING and not runner.checks_fences:
            return False
        if artifact.adapter is None:
            return True
        return copies.get(artifact.base) is CopyState.READY

    def _holds_lost(self, need: Need, runner: Runner) -> bool:
        return need.artifact in self._state.copies.list_on(runner.id)

    def _find_missing_mb(self, need: Need, runner: Runner) -> int:
        held_mb = 0
        if self._holds_lost(need, runner):
            held_mb = self._find_entry_mb(need.artifact, runner)
        return max(need.memory_mb, held_mb) - held_mb - runner.free_mb

    def _find_headroom_mb(self, runner: Runner) -> int:
        """Return free memory less what adapters without a copy need beside bases."""
        if not self._promised:
            return runner.free_mb
        promised_mb = sum(
            self._promised.get(artifact, 0)
            for artifact in self._state.copies.list_on(runner.id)
        )
        return runner.free_mb - promised_mb

    def plan_room(self, need: Need, now: float) -> RoomPlan | None:
        """Return the cheapest evictions that let a need fit; None if none do."""
        best: RoomPlan | None = None
        for runner in self.list_possible(need, now):
            if runner.id in self._state.claims:
                continue
            plan = self._plan_on(need, runner, now)
            if plan is not None and (best is None or _rank_of(plan) < _rank_of(best)):
                best = plan
        return best

    def _plan_on(self, need: Need, runner: Runner, now: float) -> RoomPlan | None:
        missing_mb = self._find_missing_mb(need, runner)
        copies = self._state.copies.list_on(runner.id)
        protected = need.artifact.base
        groups = [
            group
            for artifact in copies
            if artifact not in (need.artifact, protected)
            and (group := self._find_group(artifact, runner))
            and self._may_evict(need, group, runner, now)
        ]
        chosen: dict[Artifact, None] = {}
        loss = 0.0
        order = sorted(
            (self._find_loss(group, runner) / self._find_mb(group, runner), group)
            for group in groups
        )
        for _, group in order:
            if missing_mb <= 0:
                break
            fresh = [artifact for artifact in group if artifact not in chosen]
            missing_mb -= sum(self._find_entry_mb(one, runner) for one in fresh)
            loss += self._find_loss(tuple(fresh), runner)
            chosen.update(dict.fromkeys(fresh))
        if missing_mb > 0 or not chosen:
            return None
        victims = tuple(sorted(chosen, key=lambda one: one.adapter is None))
        return RoomPlan(runner=runner, victims=victims, loss=loss)

    def _may_evict(
        self, need: Need, group: tuple[Artifact, ...], runner: Runner, now: float
    ) -> bool:
        if need.rank is not NeedRank.DEMAND or not self._state.options.hysteresis:
            return True
        return all(
            now - runner.ready_at.get(one, now) >= MIN_RESIDENCE_S for one in group
        )

    def _find_group(self, artifact: Artifact, runner: Runner) -> tuple[Artifact, ...]:
        """Return an artifact with its adapters on a runner; empty if one must stay."""
        if not self.is_evictable(artifact, runner):
            return ()
        if artifact.adapter is not None:
            return (artifact,)
        adapters = tuple(
            one
            for one in self._state.copies.list_on(runner.id)
            if one.adapter is not None and one.base == artifact
        )
        if not all(self.is_evictable(one, runner) for one in adapters):
            return ()
        return (*adapters, artifact)

    def is_evictable(self, artifact: Artifact, runner: Runner) -> bool:
        """Return whether a copy may be unloaded without breaking a floor."""
        if runner.is_busy_with(artifact):
            return False
        copies = self._state.copies.list_on(runner.id)
        if copies.get(artifact) is not CopyState.READY:
            return False
        if artifact in self._state.offered:
            return self._state.is_surplus(artifact, runner.id)
        return self._state.may_withdraw(artifact)

    def _find_entry_mb(self, artifact: Artifact, runner: Runner) -> int:
        if runner.ledger is None:
            return 0
        entries = (*runner.ledger.resident, *runner.ledger.reserved)
        return sum(one.memory_mb for one in entries if one.artifact == artifact)

    def _find_mb(self, group: tuple[Artifact, ...], runner: Runner) -> int:
        return max(1, sum(self._find_entry_mb(one, runner) for one in group))

    def _find_loss(self, group: tuple[Artifact, ...], runner: Runner) -> float:
        return sum(self._gains.find_loss(artifact, runner) for artifact in group)

    def pays(self, need: Need, plan: RoomPlan, gain: float, price: float) -> bool:
        """Return whether a copy for demand is worth the evictions and the moves."""
        if need.rank is not NeedRank.DEMAND:
            return plan.loss < inf
        factor = HYSTERESIS if self._state.options.hysteresis else 1.0
        return gain > factor * plan.loss + price * (1 + len(plan.victims))

    def find_relocation(self, need: Need, now: float) -> Need | None:
        """Return a copy to load elsewhere, after which a need would fit."""
        best: tuple[int, Artifact] | None = None
        for runner in self.list_possible(need, now):
            missing_mb = self._find_missing_mb(need, runner)
            for artifact, state in self._state.copies.list_on(runner.id).items():
                if state is not CopyState.READY or artifact == need.artifact.base:
                    continue
                if artifact.adapter is not None or self._has_adapters(artifact, runner):
                    continue
                memory_mb = self._find_entry_mb(artifact, runner)
                if memory_mb < missing_mb or memory_mb >= need.memory_mb:
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
            one.adapter is not None and one.base == base
            for one in self._state.copies.list_on(runner.id)
        )


def _rank_of(plan: RoomPlan) -> tuple[float, int]:
    return (plan.loss, len(plan.victims))
