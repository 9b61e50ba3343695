"""Estimates the prefill time of prompts from the times of earlier first events."""

from typing import Final

from attrs import define, field

from .const import FIRST_EVENT_OVERHEAD_S, PREFILL_S_PER_TOKEN

MEMORY_SAMPLES: Final = 60.0
"""Samples of a model after which older ones count a third. They cover some seconds of a
popular model, so that a change of the prefill speed is followed within a burst."""

PRIOR_SAMPLES: Final = 2.0
PRIOR_TOKENS: Final = 800.0
"""Weight of the prior estimate of a slope: two prompts of a common length."""

PRIOR_OFFSETS: Final = 0.1
"""Weight of the prior estimate of the offset. Prompts of similar lengths carry little
information about it; a few that differ must outweigh the prior."""

OUTLIER_FACTOR: Final = 2.5
OUTLIER_S: Final = 0.15
"""Factor to the estimate, and additional time, at which samples are capped. The time of
a frozen host carries no information about prefill. Prompts that were prefilled in one
step have their first events together, and the sample of the first one contains the time
of all."""

MIN_OUTLIER_SAMPLES: Final = 5.0
"""Samples of a model from which its estimate is used to cap outliers."""

MIN_S_PER_TOKEN: Final = 1e-6
"""A million prompt tokens per second, which is faster than any engine."""


@define(eq=False)
class RegressionSums:
    """Regression sums over the samples of one model; older samples weigh less."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    tokens_squared: float = PRIOR_SAMPLES * PRIOR_TOKENS**2
    tokens_seconds: float = PRIOR_SAMPLES * PRIOR_TOKENS**2 * PREFILL_S_PER_TOKEN
    offset_weight: float = 0.0
    offset_sum: float = 0.0
    """Information of the samples about the offset after elimination of their slope: its
    weight, and its value times the weight."""

    def add(self, tokens: float, seconds: float) -> None:
        """Add a sample."""
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
        """Return the seconds per token, given the offset in seconds."""
        slope = (self.tokens_seconds - offset_s * self.tokens) / self.tokens_squared
        return max(MIN_S_PER_TOKEN, slope)


@define(eq=False)
class PrefillEstimator:
    """A linear model of first-event time over tokens: one offset, one slope per model.

    The offset is the time that is not prefill: network delays, decoding steps, and the
    engine's overhead for each first event. Streams and other prompts are processed
    during it, so that it delays an answer but does not occupy a runner. All models of a
    service share the offset; it is fitted together with the slopes by least squares.
    """

    first_event_overhead_s: float = FIRST_EVENT_OVERHEAD_S
    """The offset, in seconds."""

    _models: dict[str, RegressionSums] = field(factory=dict, init=False)
    _offset_weight: float = field(default=PRIOR_OFFSETS, init=False)
    _offset_sum_s: float = field(
        default=PRIOR_OFFSETS * FIRST_EVENT_OVERHEAD_S, init=False
    )
    """Sums over all models of the information about the offset."""

    def estimate(self, model: str, tokens: int) -> float:
        """Return the seconds for which the prefill of some tokens occupies a runner."""
        sums = self._models.get(model)
        if sums is None:
            return tokens * PREFILL_S_PER_TOKEN
        return tokens * sums.compute_slope(self.first_event_overhead_s)

    def add_sample(self, model: str, tokens: int, seconds: float) -> None:
        """Add the sample of one prompt.

        Args:
            model: Name of the model.
            tokens: Tokens that the runner had to prefill.
            seconds: Time from the start of its prefill to the first event.
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
    """The prefill estimators of all services."""

    _services: dict[str, PrefillEstimator] = field(factory=dict, init=False)

    def get(self, service: str) -> PrefillEstimator:
        """Return the estimator of a service, which starts with prior estimates."""
        return self._services.setdefault(service, PrefillEstimator())
