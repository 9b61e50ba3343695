"""Times at which runners are evaluated again without an event."""

import heapq
from itertools import count

from attrs import define, field


@define(eq=False)
class WakeupSchedule:
    """Times at which waiting requests may be granted to runners, one per runner."""

    _heap: list[tuple[float, int, str]] = field(factory=list, init=False)
    _numbers: "count[int]" = field(factory=count, init=False)
    _times: dict[str, float] = field(factory=dict, init=False)

    def schedule(self, runner_id: str, at: float) -> None:
        """Schedule the evaluation of a runner, unless an earlier one is scheduled."""
        known = self._times.get(runner_id)
        if known is None or at < known:
            self._times[runner_id] = at
            heapq.heappush(self._heap, (at, next(self._numbers), runner_id))

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the runners whose wakeup time has come."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            at, _, runner_id = heapq.heappop(self._heap)
            if self._times.get(runner_id) == at:
                del self._times[runner_id]
                due.append(runner_id)
        return due
