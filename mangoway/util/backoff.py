"""Waits between tries that grow and are spread."""

from random import Random

from attrs import define, field


@define
class Backoff:
    """Doubles the wait with each failure, up to a bound, and spreads it by half."""

    first_s: float
    most_s: float
    random: Random = field(factory=Random)
    _next_s: float = field(default=0.0, init=False)

    def next(self) -> float:
        """Return the seconds to wait after one more failure."""
        self._next_s = min(self.most_s, max(self.first_s, self._next_s * 2))
        return self._next_s * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start anew after a success."""
        self._next_s = 0.0
