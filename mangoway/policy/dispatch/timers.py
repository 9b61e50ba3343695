"""Timers on the clock of the core."""

import heapq
from collections.abc import Callable

from attrs import define, field

TimerCallback = Callable[[], None]


@define(eq=False)
class Timer:
    """A scheduled callback; cancelled by `Timers.cancel`."""

    at: float
    callback: TimerCallback | None


@define(eq=False)
class Timers:
    """A heap of timers; cancelled ones are dropped once they outnumber the others."""

    _heap: list[tuple[float, int, Timer]] = field(factory=list)
    _sequence: int = 0
    _cancelled: int = 0

    def schedule(self, at: float, callback: TimerCallback) -> Timer:
        """Schedule a callback for the first `run_due` at or after `at`."""
        timer = Timer(at, callback)
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer, unless it ran or was cancelled before."""
        if timer is None or timer.callback is None:
            return
        timer.callback = None
        self._cancelled += 1
        if self._cancelled * 2 > len(self._heap):
            self._compact()

    def run_due(self, now: float) -> None:
        """Run all due timers in order."""
        while self._heap and self._heap[0][0] <= now:
            _, _, timer = heapq.heappop(self._heap)
            callback = timer.callback
            if callback is None:
                self._cancelled -= 1
                continue
            timer.callback = None
            callback()

    def find_next(self) -> float | None:
        """Return the time of the next timer; None if there is none."""
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else None

    def _compact(self) -> None:
        self._heap = [item for item in self._heap if item[2].callback is not None]
        heapq.heapify(self._heap)
        self._cancelled = 0
