"""Number of edges that an edge has seen recently."""

from collections import deque

from attrs import define, field

from .const import SPENDING_RETENTION_S


@define(eq=False)
class FleetSize:
    """The most edges seen at once within `SPENDING_RETENTION_S`.

    The spending of an edge matters for that long after it has ended, when the store no
    longer lists it. A scheduler that starts can't know of it by itself.
    """

    _counts: deque[tuple[float, int]] = field(factory=deque, init=False)
    """Times and counts, oldest first."""

    def record(self, edges: int, now: float) -> None:
        """Record the number of edges at a time."""
        self._counts.append((now, edges))
        while self._counts[0][0] < now - SPENDING_RETENTION_S:
            self._counts.popleft()

    def measure(self) -> int:
        """Return the most edges seen at once; 0 if none was recorded."""
        return max((edges for _, edges in self._counts), default=0)
