"""Paces the requests to one limited runner."""

import math

from attrs import define, field

from .const import BURST_S

WHOLE_TOKEN = 1 - 1e-9
"""One token, as it is where fractions were added up."""


@define(eq=False)
class Pacer:
    """A token bucket that starts empty, whose rate may change at any time."""

    filled_at: float
    _tokens: float = field(default=0.0, init=False)
    _rate: float = field(default=0.0, init=False)

    def measure_wait(self, rate: float, now: float) -> float:
        """Return the seconds until a request may be sent; `inf` at no rate."""
        self._fill(rate, now)
        if self._tokens >= WHOLE_TOKEN:
            return 0.0
        return (1 - self._tokens) / rate if rate > 0 else math.inf

    def take(self, rate: float, now: float) -> None:
        """Count a request that is sent."""
        self._fill(rate, now)
        self._tokens -= 1

    def owe(self, requests: float) -> None:
        """Count requests that were sent before the limit was known."""
        self._tokens -= requests

    def _fill(self, rate: float, now: float) -> None:
        # The rate may have changed at any time since.
        added = min(self._rate, rate) * max(0.0, now - self.filled_at)
        most = 1 + BURST_S * rate if rate > 0 else 0.0
        self._tokens = min(most, self._tokens + added)
        self._rate = rate
        self.filled_at = max(self.filled_at, now)
