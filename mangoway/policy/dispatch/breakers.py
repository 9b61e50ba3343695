"""Circuit breakers of upstreams."""

from enum import Enum

from attrs import define

from .const import BREAKER_FAILURES, BREAKER_OPEN_MAX_S, BREAKER_OPEN_MIN_S


class BreakerState(Enum):
    """State of a circuit breaker: whether an upstream gets requests."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    """The upstream gets one attempt at a time, as a probe."""


@define(eq=False)
class Breaker:
    """The circuit breaker of one upstream.

    It trips after consecutive failures. When a probe fails, the breaker opens again
    for twice as long as before, up to `BREAKER_OPEN_MAX_S`.
    """

    state: BreakerState = BreakerState.CLOSED
    failures: int = 0
    open_s: float = BREAKER_OPEN_MIN_S
    probing: bool = False
    """Whether a probe is in progress."""

    def record_success(self) -> None:
        """Close the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.open_s = BREAKER_OPEN_MIN_S

    def record_failure(self, probe: bool) -> bool:
        """Count a failure; return whether the breaker should trip now.

        In the half-open state only the probe counts, not attempts that began before.
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
        """Become half open after the time that `trip` returned."""
        if self.state is BreakerState.OPEN:
            self.state = BreakerState.HALF_OPEN
