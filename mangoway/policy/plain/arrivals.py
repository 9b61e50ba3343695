"""Rate of the requests that arrive for a service."""

import math

from attrs import define, field

from .const import ARRIVAL_WINDOW_S


@define(eq=False)
class ArrivalRate:
    """Exponentially averaged rate of arrivals."""

    _rate: float = field(default=0.0, init=False)
    _updated_at: float = field(default=0.0, init=False)

    def add(self, now: float) -> None:
        """Count an arrival."""
        self._rate = self.measure(now) + 1 / ARRIVAL_WINDOW_S
        self._updated_at = now

    def measure(self, now: float) -> float:
        """Return the arrivals per second."""
        age_s = max(0.0, now - self._updated_at)
        return self._rate * math.exp(-age_s / ARRIVAL_WINDOW_S)
