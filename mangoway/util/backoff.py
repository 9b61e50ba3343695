"""Exponential backoff with jitter."""

from random import Random

from attrs import define, field


@define
class Backoff:
    """Delays that double with each failure up to a maximum.

    Each delay is reduced by a random share of up to half.
    """

    initial_s: float
    max_s: float
    random: Random = field(factory=Random)
    _delay_s: float = field(default=0.0, init=False)
    """Delay after the last failure, without jitter; 0 after a success."""

    def next(self) -> float:
        """Return the delay in seconds after another failure."""
        self._delay_s = min(self.max_s, max(self.initial_s, self._delay_s * 2))
        return self._delay_s * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Start again at the initial delay, after a success."""
        self._delay_s = 0.0
