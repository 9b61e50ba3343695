"""Proposals of copies above the floors."""

from attrs import define

from ...models.artifact import Artifact
from .const import (
    MAX_DEMAND_LOADS_PER_EVALUATION,
    MB_PER_GB,
)
from .demand_rotation import DemandRotation
from .gains import GainModel
from .load_queue import Need, NeedRank
from .runner_selector import RunnerSelector
from .runners import Runner
from .state import PlacementState


@define
class DemandPlanner:
    """Proposes the copies with the highest gain per GB."""

    _state: PlacementState
    _gains: GainModel
    _selector: RunnerSelector
    _rotation: DemandRotation

    def evaluate(self, now: float, is_active: bool) -> None:
        """Update the demand, and propose copies if this controller is active."""
        reported = self._state.demand.update(now)
        if not is_active:
            return
        due = self._rotation.select_due(reported)
        self._state.queue.drop_rank(NeedRank.DEMAND)
        if not self._state.options.demand_copies:
            return
        proposals = [
            need
            for artifact in due
            if (need := self._propose(artifact, now)) is not None
        ]
        self._rotation.prioritise(need.artifact for need in proposals)
        proposals.sort(key=lambda need: need.order_key)
        for need in proposals[:MAX_DEMAND_LOADS_PER_EVALUATION]:
            self._state.queue.put(need)

    def _propose(self, artifact: Artifact, now: float) -> Need | None:
        """Return the need for one more copy if its gain exceeds the price of a move."""
        if artifact not in self._state.offered:
            return None
        if self._state.queue.find(artifact) is not None:
            return None
        max_gain = self._gains.find_max_gain(artifact)
        if max_gain <= self.find_move_price():
            return None
        memory_mb = self._state.find_memory_mb(artifact)
        need = Need(artifact=artifact, rank=NeedRank.DEMAND, memory_mb=memory_mb)
        runner = self._selector.find_runner(need, now)
        gain = max_gain if runner is None else self._gains.find_gain(artifact, runner)
        if gain <= self.find_move_price():
            return None
        gain_per_gb = gain * MB_PER_GB / max(memory_mb, 1)
        return Need(
            artifact=artifact,
            rank=NeedRank.DEMAND,
            score=gain_per_gb,
            memory_mb=memory_mb,
        )

    def find_move_price(self) -> float:
        """Return the gain in request-seconds that a move must exceed."""
        if self._state.configuration is None or not self._state.options.move_price:
            return 0.0
        return self._state.configuration.site.move_price

    def is_load_worthwhile(self, need: Need, runner: Runner) -> bool:
        """Return whether a load without evictions is worth the price of a move."""
        return self._gains.find_gain(need.artifact, runner) > self.find_move_price()
