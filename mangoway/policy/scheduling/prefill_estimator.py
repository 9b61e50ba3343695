"""How fast the runners of a service read prompts, learned from first events."""

from typing import Final

from attrs import define, field

from .const import FIRST_EVENT_OVERHEAD_S, PREFILL_S_PER_TOKEN

MEMORY_SAMPLES: Final = 60.0
"""Samples of a model after which older ones count a third: some seconds of a popular
model, so that a runner's change of pace is followed within a burst."""

PRIOR_SAMPLES: Final = 2.0
PRIOR_TOKENS: Final = 800.0
"""Weight of the first guess of a slope: two prompts of a common length."""

PRIOR_OFFSETS: Final = 0.1
"""Weight of the first guess of the offset. Prompts of like lengths tell little of it: a
few that differ must outweigh the guess."""

OUTLIER_FACTOR: Final = 2.5
OUTLIER_S: Final = 0.15
"""Factor to the estimate, and time on top, beyond which a sample counts as no more: a
frozen host says nothing about reading. Prompts that were read in one step show their
first events together: to the first of them goes the time of all."""

MIN_OUTLIER_SAMPLES: Final = 5.0
"""Samples of a model from which the estimate tells an outlier."""

MIN_S_PER_TOKEN: Final = 1e-6
"""A million prompt tokens a second: faster than any engine reads."""


@define(eq=False)
class RegressionSums:
    """Sums over the samples of one model; older samples weigh less."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = PRIOR_SAMPLES * PRIOR_TOKENS**2
    tokens_seconds: float = PRIOR_SAMPLES * PRIOR_TOKENS**2 * PREFILL_S_PER_TOKEN
    offset_weight: float = 0.0
    offset_sum: float = 0.0
    """What the samples tell of the offset once their slope is eliminated: its weight,
    and its value times the weight."""

    def add(self, tokens: float, seconds: float) -> None:
        """Count a sample."""
        keep = 1 - 1 / MEMORY_SAMPLES
        prior = PRIOR_SAMPLES * PRIOR_TOKENS**2
        self.count = keep * self.count + 1
        self.tokens = keep * self.tokens + tokens
        self.seconds = keep * self.seconds + seconds
        self.tokens_squared = keep * (self.tokens_squared - prior) + prior + tokens**2
        prior *= PREFILL_S_PER_TOKEN
        rest = keep * (self.tokens_seconds - prior) + prior
        self.tokens_seconds = rest + tokens * seconds
        share = self.tokens / self.tokens_squared
        self.offset_weight = self.count - share * self.tokens
        self.offset_sum = self.seconds - share * self.tokens_seconds

    def compute_slope(self, offset_s: float) -> float:
        """Return the seconds a token, given the offset in seconds."""
        slope = (self.tokens_seconds - offset_s * self.tokens) / self.tokens_squared
        return max(MIN_S_PER_TOKEN, slope)


@define(eq=False)
class PrefillEstimator:
    """A straight line of first-event time over tokens: one offset, a slope a model.

    The offset is what takes time beside reading: ways, the steps of decoding and what
    the engine adds to each first event. Streams and other prompts are read meanwhile,
    so it delays an answer and keeps no runner. One offset holds for all models of a
    service; it is fitted together with the slopes by least squares.
    """

    first_event_overhead_s: float = FIRST_EVENT_OVERHEAD_S
    """The offset, in seconds."""

    _models: dict[str, RegressionSums] = field(factory=dict, init=False)
    _offset_weight: float = field(default=PRIOR_OFFSETS, init=False)
    _offset_sum_s: float = field(
        default=PRIOR_OFFSETS * FIRST_EVENT_OVERHEAD_S, init=False
    )
    """Sums over all models of what their samples tell of the offset."""

    def estimate(self, model: str, tokens: int) -> float:
        """Return the seconds that reading so many tokens keeps a runner."""
        sums = self._models.get(model)
        if sums is None:
            return tokens * PREFILL_S_PER_TOKEN
        return tokens * sums.compute_slope(self.first_event_overhead_s)

    def add_sample(self, model: str, tokens: int, seconds: float) -> None:
        """Learn from one prompt.

        Args:
            model: Name of the model.
            tokens: Tokens that the runner had to read.
            seconds: Time from the begin of its reading to the first event.
        """
        if tokens <= 0:
            return
        sums = self._models.setdefault(model, RegressionSums())
        if sums.count >= MIN_OUTLIER_SAMPLES:
            expected = self.first_event_overhead_s + self.estimate(model, tokens)
            seconds = min(seconds, OUTLIER_FACTOR * expected + OUTLIER_S)
        self._offset_weight -= sums.offset_weight
        self._offset_sum_s -= sums.offset_sum
        sums.add(tokens, seconds)
        self._offset_weight += sums.offset_weight
        self._offset_sum_s += sums.offset_sum
        # The offset that fits all samples best, with the slopes eliminated.
        self.first_event_overhead_s = max(0.0, self._offset_sum_s / self._offset_weight)


@define(eq=False)
class PrefillEstimators:
    """The pace of each service's runners."""

    _services: dict[str, PrefillEstimator] = field(factory=dict, init=False)

    def get(self, service: str) -> PrefillEstimator:
        """Return the pace of a service's runners; a first guess if none is known."""
        return self._services.setdefault(service, PrefillEstimator())
