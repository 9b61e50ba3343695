"""Circuit breakers of upstreams."""

from enum import Enum

from attrs import define

from .const import BREAKER_FAILURES, BREAKER_OPEN_MAX_S, BREAKER_OPEN_MIN_S


class BreakerState(Enum):
    """Whether an upstream is given work."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    """One attempt at a time, as a probe."""


@define(eq=False)
class Breaker:
    """The breaker of one upstream.

    It trips after a run of failures. Each trip that a probe doesn't mend lasts
    twice as long as the one before.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    open_s: float = BREAKER_OPEN_MIN_S
    probing: bool = False
    """Whether a probe is out."""

    def record_success(self) -> None:
        """Close the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.open_s = BREAKER_OPEN_MIN_S

    def record_failure(self, probe: bool) -> bool:
        """Count a failure; return whether the breaker should trip now.

        While it is half open only the probe counts, not what was sent before.
        """
        if self.state is BreakerState.HALF_OPEN:
            return probe
        self.failures += 1
        return self.state is BreakerState.CLOSED and self.failures >= BREAKER_FAILURES

    def trip(self) -> float:
        """Open the breaker; return the seconds until it may be probed."""
        if self.state is BreakerState.HALF_OPEN:
            self.open_s = min(BREAKER_OPEN_MAX_S, self.open_s * 2)
        self.state = BreakerState.OPEN
        return self.open_s

    def probe(self) -> None:
        """Let a probe through after the time that `trip` named."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.HALF_OPEN
