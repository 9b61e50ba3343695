"""The times between the events of one stream."""

from collections import deque
from statistics import median
from typing import Final

from attrs import define, field

MAX_GAPS: Final = 64
"""Latest gaps that are kept. Their median is as good as that of the whole stream, and a
stream of any length takes the same memory."""


@define(eq=False)
class EventTimes:
    """Counts the events of a stream at one runner, and the time between them."""

    count: int = field(default=0, init=False)
    _last_at: float = field(default=0.0, init=False)
    _gaps: deque[float] = field(factory=lambda: deque(maxlen=MAX_GAPS), init=False)

    def add(self, now: float) -> None:
        """Record an event."""
        if self.count:
            self._gaps.append(now - self._last_at)
        self.count += 1
        self._last_at = now

    def compute_median_s(self) -> float:
        """Return the median seconds between two events; 0 if there are fewer."""
        return median(self._gaps) if self._gaps else 0.0
