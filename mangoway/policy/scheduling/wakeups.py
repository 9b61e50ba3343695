"""When runners are to be looked at again, though nothing happens to them."""

import heapq
from itertools import count

from attrs import define, field


@define(eq=False)
class WakeupSchedule:
    """Times at which runners may be given requests that wait; one a runner."""

    _heap: list[tuple[float, int, str]] = field(factory=list, init=False)
    _numbers: "count[int]" = field(factory=count, init=False)
    _times: dict[str, float] = field(factory=dict, init=False)

    def schedule(self, runner_id: str, at: float) -> None:
        """Look at a runner at a time, unless that happens before."""
        known = self._times.get(runner_id)
        if known is None or at < known:
            self._times[runner_id] = at
            heapq.heappush(self._heap, (at, next(self._numbers), runner_id))

    def pop_due(self, now: float) -> list[str]:
        """Return the runners whose time has come, and forget it."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            at, _, runner_id = heapq.heappop(self._heap)
            if self._times.get(runner_id) == at:
                del self._times[runner_id]
                due.append(runner_id)
        return due
