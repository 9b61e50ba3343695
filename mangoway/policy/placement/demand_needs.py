"""Needs for copies above the floors."""

from attrs import define

from ...models.artifact import Artifact
from .choice import RunnerChoice
from .const import (
    DEMAND_LOADS_IN_PLAN,
    MB_PER_GB,
)
from .demand_rounds import DemandRounds
from .gains import GainModel
from .load_queue import Need, NeedRank
from .runners import Runner
from .state import PlacementState


@define
class DemandNeeds:
    """Proposes the copies that are worth most per GB."""

    _state: PlacementState
    _gains: GainModel
    _choice: RunnerChoice
    _rounds: DemandRounds

    def look(self, now: float, is_active: bool) -> None:
        """Take over the demand, and propose copies if this controller plans."""
        named = self._state.demand.update(now)
        if not is_active:
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
        bound = self._gains.find_most(artifact)
        if bound <= self.find_price():
            return None
        memory_mb = self._state.find_memory_mb(artifact)
        need = Need(artifact=artifact, rank=NeedRank.DEMAND, memory_mb=memory_mb)
        runner = self._choice.find_runner(need, now)
        gain = bound if runner is None else self._gains.find_gain(artifact, runner)
        if gain <= self.find_price():
            return None
        gain_per_gb = gain * MB_PER_GB / max(memory_mb, 1)
        return Need(
            artifact=artifact,
            rank=NeedRank.DEMAND,
            score=gain_per_gb,
            memory_mb=memory_mb,
        )

    def find_price(self) -> float:
        """Return the gain in request-seconds that a move has to exceed."""
        if self._state.configuration is None or not self._state.options.move_price:
            return 0.0
        return self._state.configuration.site.move_price

    def pays_alone(self, need: Need, runner: Runner) -> bool:
        """Return whether a copy that evicts nothing is worth a move."""
        return self._gains.find_gain(need.artifact, runner) > self.find_price()
