"""Rate limiter for the requests to one limited runner."""

import math

from attrs import define, field

from .const import BURST_S

MIN_WHOLE_TOKEN = 1 - 1e-9
"""One token, less a tolerance for the rounding errors of added fractions."""


@define(eq=False)
class RateLimiter:
    """A token bucket that starts empty and whose rate may change at any time."""

    filled_at: float
    _tokens: float = field(default=0.0, init=False)
    _last_rate: float = field(default=0.0, init=False)

    def measure_wait(self, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent; `inf` at a rate of zero."""
        self._fill(rate, now)
        if self._tokens >= MIN_WHOLE_TOKEN:
            return 0.0
        return (1 - self._tokens) / rate if rate > 0 else math.inf

    def consume(self, rate: float, now: float) -> None:
        """Count a request that is sent."""
        self._fill(rate, now)
        self._tokens -= 1

    def charge(self, requests: float) -> None:
        """Charge requests that were sent before the limit was received."""
        self._tokens -= requests

    def _fill(self, rate: float, now: float) -> None:
        # The rate may have changed at any time since the last call, so the lower of the
        # old and the new one applies.
        added = min(self._last_rate, rate) * max(0.0, now - self.filled_at)
        capacity = 1 + BURST_S * rate if rate > 0 else 0.0
        self._tokens = min(capacity, self._tokens + added)
        self._last_rate = rate
        self.filled_at = max(self.filled_at, now)
