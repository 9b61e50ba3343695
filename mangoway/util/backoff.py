"""Exponential backoff with jitter."""

from random import Random

from attrs import define, field


@define
class Backoff:
    """Delays that double with each failure up to a maximum, with a jitter of half."""

    initial_s: float
    max_s: float
    random: Random = field(factory=Random)
    _next_s: float = field(default=0.0, init=False)

    def next(self) -> float:
        """Return the delay in seconds after another failure."""
        self._next_s = min(self.max_s, max(self.initial_s, self._next_s * 2))
        return self._next_s * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again at the initial delay, after a success."""
        self._next_s = 0.0
