"""Estimates how long requests occupy a slot of a runner.

On engines with few slots, a stream of two seconds occupies a slot for longer than the
prefill of its prompt takes, so that a model needs copies for its streams as well.
"""

from typing import Final

from attrs import define, field

MEAN_MEMORY_REQUESTS: Final = 50.0
"""Requests after which older ones count a third."""


@define
class DecayingMean:
    """A mean in which older values weigh less."""

    value: float = 0.0
    count: float = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        self.count = min(MEAN_MEMORY_REQUESTS, self.count + 1)
        self.value += (value - self.value) / self.count


@define(eq=False)
class SlotTimeEstimator:
    """Mean seconds from the grant to the end of the requests of one service."""

    _all: DecayingMean = field(factory=DecayingMean, init=False)
    _models: dict[str, DecayingMean] = field(factory=dict, init=False)

    def add_sample(self, model: str, seconds: float) -> None:
        """Add the time of a request that was served."""
        self._all.add(seconds)
        known = self._models.get(model)
        if known is None:
            known = self._models[model] = DecayingMean()
        known.add(seconds)

    def estimate(self, model: str) -> float:
        """Return the seconds that a request occupies a slot; 0 if unknown."""
        known = self._models.get(model)
        return self._all.value if known is None else known.value
