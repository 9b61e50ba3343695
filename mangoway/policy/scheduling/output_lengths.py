"""Learns how far outputs differ from callers' hints, and plans KV memory with it.

The output of a request is taken as the caller's hint times a lognormal factor. The
factor's median and spread are learned from ended streams. The memory that a runner's
requests need together is planned at a quantile of their sum, which varies less than
each of them. A long output runs for longer, so that the outputs that run at a moment
are longer than those that begin: each counts by its length.
"""

import math
from typing import Final

from attrs import define, field, frozen

from ...models.prompt import Prompt
from ...models.routing import EngineProfile, RoutingTable

MEMORY_SAMPLES: Final = 500.0
"""Ended streams after which older ones count a third: some seconds to minutes of a busy
service, so that a change of its requests is followed within the day."""

PRIOR_SAMPLES: Final = 20.0
"""Weight of the prior estimate in ended streams."""

PRIOR_SPREAD: Final = 0.6
"""Prior standard deviation of the logarithm of an output over its hint. Hints are right
at the median only; one output in six is then over 1.8 times its hint."""

MIN_SPREAD: Final = 0.001
"""Spread below which outputs are taken as known."""

MAX_LOG_RATIO: Final = 3.0
"""Limit of the logarithm of one sample (a factor of 20), so that a single stream with a
wrong hint does not fill all margins."""

EXCEEDANCE: Final = 0.001
"""Probability with which the outputs of a runner's requests may need more memory than
is planned. A runner that lacks memory crashes and breaks all its streams."""

EXCEEDANCE_Z: Final = 3.0902
"""Quantile of the standard normal distribution at this probability."""

USABLE_PLANNED_SHARE: Final = 0.99
"""Share of a runner's KV memory that is planned. Engines allocate it in blocks of some
16 tokens, of which each request leaves a part unused."""

TOO_LARGE_REASON: Final = "it needs more KV memory than a whole runner has"


@frozen
class ExpectedMemory:
    """KV memory that a request is expected to use, in tokens."""

    mean: float
    """Prompt and expected output of a request that runs."""

    variance: float = 0.0
    third_moment: float = 0.0
    """Third central moment, since outputs are skewed: few are very long."""

    most: float = math.inf
    """Prompt and maximum output; infinite if the output has no maximum."""

    granted_mean: float = 0.0
    """Prompt and expected output of a request that has not begun."""


def get_output_hint(prompt: Prompt) -> int:
    """Return the caller's estimate of the output, or half of the maximum, in tokens."""
    output = prompt.expected_output_tokens or prompt.max_output_tokens // 2
    return min(output, prompt.max_output_tokens or output)


@define(eq=False)
class OutputLengths:
    """Distribution of the outputs of one service, relative to their hints."""

    count: float = field(default=0.0, init=False)
    _weight: float = field(default=PRIOR_SAMPLES, init=False)
    _log_sum: float = field(default=0.0, init=False)
    _square_sum: float = field(default=PRIOR_SAMPLES * PRIOR_SPREAD**2, init=False)

    @property
    def median_ratio(self) -> float:
        """Return the median of the outputs over their hints."""
        return math.exp(self._log_sum / self._weight)

    @property
    def spread(self) -> float:
        """Return the standard deviation of the logarithms of these ratios."""
        mean = self._log_sum / self._weight
        return math.sqrt(max(0.0, self._square_sum / self._weight - mean**2))

    def add_sample(self, prompt: Prompt, output_tokens: int) -> None:
        """Add an ended stream.

        Args:
            prompt: Its prompt.
            output_tokens: Upper estimate of its output; 0 if unknown.
        """
        hint = get_output_hint(prompt)
        if output_tokens <= 0 or hint <= 0:
            return
        ratio = math.log(output_tokens / hint)
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))
        keep = 1 - 1 / MEMORY_SAMPLES
        self.count = keep * self.count + 1
        self._weight = keep * self._weight + 1
        self._log_sum = keep * self._log_sum + ratio
        self._square_sum = keep * self._square_sum + ratio**2

    def estimate(self, prompt: Prompt) -> ExpectedMemory:
        """Return the KV memory that a request is expected to use."""
        median = get_output_hint(prompt) * self.median_ratio
        most = prompt.max_output_tokens or math.inf
        if median <= 0 or self.spread < MIN_SPREAD:
            output = min(median, most)
            mean = prompt.tokens + output
            return ExpectedMemory(mean, most=prompt.tokens + most, granted_mean=mean)
        # Scaled by the median, so that the powers stay small.
        spread = self.spread
        begun, *moments = (
            _compute_clipped_moment(order, spread, most / median)
            for order in (1, 2, 3, 4)
        )
        first, second, third = (each / begun for each in moments)
        variance = max(0.0, second - first**2)
        third_moment = max(0.0, third - 3 * first * second + 2 * first**3)
        return ExpectedMemory(
            mean=prompt.tokens + min(most, median * first),
            variance=median**2 * variance,
            third_moment=median**3 * third_moment,
            most=prompt.tokens + most,
            granted_mean=prompt.tokens + min(most, median * begun),
        )


@define(eq=False)
class MemoryPlan:
    """Running sums of the expected memory of a runner's requests and reservations."""

    mean: float = 0.0
    _variance: float = 0.0
    _third_moment: float = 0.0
    _most: float = 0.0
    _count: int = 0
    _unbounded: int = 0
    """Requests without a maximum of their output."""

    def add(self, expected: ExpectedMemory) -> None:
        """Add a request or a reservation."""
        self._change(expected, 1)

    def remove(self, expected: ExpectedMemory) -> None:
        """Remove a request or a reservation."""
        self._change(expected, -1)
        if not self._count:
            # Clears the rounding error.
            self.mean = self._variance = self._third_moment = self._most = 0.0

    def plan_tokens(self, extra: ExpectedMemory | None = None) -> float:
        """Return the tokens that are exceeded with the probability `EXCEEDANCE` only.

        The quantile of the normal distribution is corrected for the skewness of the sum
        (Cornish and Fisher). It is no more than the sum of the maxima.

        Args:
            extra: A further request, or None.
        """
        mean, variance = self.mean, max(0.0, self._variance)
        third, most = max(0.0, self._third_moment), self._most
        if self._unbounded:
            most = math.inf
        if extra is not None:
            mean, variance = mean + extra.mean, variance + extra.variance
            third, most = third + extra.third_moment, most + extra.most
        if variance <= 0:
            return mean
        correction = (EXCEEDANCE_Z**2 - 1) / 6 * third / variance
        return min(most, mean + EXCEEDANCE_Z * math.sqrt(variance) + correction)

    def fits(
        self, extra: ExpectedMemory, capacity_tokens: int, promised_tokens: int = 0
    ) -> bool:
        """Return whether a further request fits a runner's memory.

        Args:
            extra: The request.
            capacity_tokens: KV memory of the runner.
            promised_tokens: KV memory that copies and reservations take.
        """
        usable_tokens = USABLE_PLANNED_SHARE * capacity_tokens - promised_tokens
        if not self._unbounded and self._most + extra.most <= usable_tokens:
            return True
        return self.plan_tokens(extra) <= usable_tokens

    def _change(self, expected: ExpectedMemory, sign: int) -> None:
        self._count += sign
        self.mean += sign * expected.mean
        self._variance += sign * expected.variance
        self._third_moment += sign * expected.third_moment
        if math.isinf(expected.most):
            self._unbounded += sign
        else:
            self._most += sign * expected.most


@define(eq=False)
class MemoryEstimator:
    """Expected memory of requests, for the services whose streams are protected."""

    _lengths: dict[str, OutputLengths] = field(factory=dict, init=False)
    _table: RoutingTable | None = field(default=None, init=False)
    _protected: dict[str, bool] = field(factory=dict, init=False)
    """Whether streams of a service are protected, by the table above."""

    def get(self, service: str) -> OutputLengths:
        """Return the output lengths of a service."""
        return self._lengths.setdefault(service, OutputLengths())

    def applies(self, table: RoutingTable | None, service: str) -> bool:
        """Return whether the memory of a service is planned by its output lengths."""
        if table is None:
            return False
        if table is not self._table:
            self._table, self._protected = table, {}
        if service not in self._protected:
            self._protected[service] = table.protects_streams(service)
        return self._protected[service]

    def estimate(
        self, table: RoutingTable | None, service: str, prompt: Prompt
    ) -> ExpectedMemory | None:
        """Return the expected memory of a request; None if it is not planned so."""
        if not self.applies(table, service):
            return None
        return self.get(service).estimate(prompt)

    def add_sample(
        self, table: RoutingTable | None, service: str, prompt: Prompt, events: int
    ) -> None:
        """Add an ended stream.

        Args:
            table: The configuration.
            service: The service.
            prompt: Prompt of the stream.
            events: Events of the stream; 0 if unknown.
        """
        if table is None or not self.applies(table, service):
            return
        engine = table.services[service].engine
        if engine is not None:
            self.get(service).add_sample(prompt, events * engine.tokens_per_event)


def _compute_clipped_moment(order: int, spread: float, most: float) -> float:
    """Return a moment of a lognormal quantity of median 1 that is cut at a maximum."""
    whole = math.exp((order * spread) ** 2 / 2)
    if math.isinf(most):
        return whole
    cut = math.log(most) / spread
    below = whole * _compute_normal_share(cut - order * spread)
    return below + most**order * _compute_normal_share(-cut)


def _compute_normal_share(limit: float) -> float:
    """Return the share of a standard normal quantity that is below a limit."""
    return math.erfc(-limit / math.sqrt(2)) / 2


def is_too_large(expected: ExpectedMemory | None, engine: EngineProfile | None) -> bool:
    """Return whether a request is expected to need more than a runner's memory."""
    if expected is None or engine is None:
        return False
    return expected.granted_mean > engine.kv_capacity_tokens
