"""Estimates the demand for each model."""

import math

from attrs import define, field

from ...models.prompt import Prompt
from .const import (
    FAST_RATE_DECAY_S,
    LONG_TREND_DECAY_S,
    MAX_REMEMBERED_REJECTIONS,
    REJECTION_MATCH_S,
    SHORT_TREND_DECAY_S,
    SLOW_RATE_DECAY_S,
)


@define
class DecayingRate:
    """An exponentially weighted rate, in the unit of its amounts per second."""

    decay_s: float
    """Time in which the rate decays to a third without further amounts."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.get_rate(now)
        self.value += amount / self.decay_s

    def get_rate(self, now: float) -> float:
        """Return the rate as of now."""
        if now > self.updated_at:
            if self.value:
                self.value *= math.exp((self.updated_at - now) / self.decay_s)
            self.updated_at = now
        return self.value


@define
class Demand:
    """A rate that rises fast and decays slowly, with its trend."""

    fast: DecayingRate = field(factory=lambda: DecayingRate(FAST_RATE_DECAY_S))
    slow: DecayingRate = field(factory=lambda: DecayingRate(SLOW_RATE_DECAY_S))
    short: DecayingRate = field(factory=lambda: DecayingRate(SHORT_TREND_DECAY_S))
    long: DecayingRate = field(factory=lambda: DecayingRate(LONG_TREND_DECAY_S))

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        for rate in (self.fast, self.slow, self.short, self.long):
            rate.add(amount, now)

    def get_rate(self, now: float) -> float:
        """Return the rate as of now."""
        return max(self.fast.get_rate(now), self.slow.get_rate(now))

    def exceeds(self, threshold: float, now: float) -> bool:
        """Return whether the rate exceeds a threshold; cheap if it is clearly lower."""
        if max(self.fast.value, self.slow.value) <= threshold:
            return False
        return self.get_rate(now) > threshold

    def predict(self, now: float, horizon_s: float) -> float:
        """Return the rate expected after a time.

        An average of a rising rate lags behind by about its decay time, so the
        difference of two averages shows the slope. A falling rate is not extrapolated.
        """
        short, long = self.short.get_rate(now), self.long.get_rate(now)
        if short <= long:
            return max(self.fast.get_rate(now), long)
        slope = (short - long) / (LONG_TREND_DECAY_S - SHORT_TREND_DECAY_S)
        expected = short + slope * (SHORT_TREND_DECAY_S + horizon_s)
        return max(self.get_rate(now), expected)


@define(eq=False)
class RejectedRequests:
    """Rejected requests, to recognise the retries of their callers.

    A retry has another request id but the same prompt, and its demand was counted with
    the first attempt. If each retry counted again, a model with rejected requests would
    seem up to twice as popular and would displace other models.
    """

    _rejected: dict[tuple[str, str], float] = field(factory=dict, init=False)
    """Time of each rejection, by model and last part of the prompt."""

    def add(self, model: str, prompt: Prompt, now: float) -> None:
        """Add a rejected request."""
        if prompt.parts:
            self._rejected[(model, prompt.parts[-1].part_id)] = now
        if len(self._rejected) > MAX_REMEMBERED_REJECTIONS:
            self._rejected.pop(next(iter(self._rejected)))

    def pop_recent(self, model: str, prompt: Prompt, now: float) -> bool:
        """Remove a rejected request; return whether it was rejected recently."""
        if not prompt.parts:
            return False
        rejected_at = self._rejected.pop((model, prompt.parts[-1].part_id), None)
        return rejected_at is not None and now - rejected_at <= REJECTION_MATCH_S


@define(eq=False)
class DemandTracker:
    """Requests and prefill time in demand, by service and model."""

    _requests: dict[str, dict[str, Demand]] = field(factory=dict, init=False)
    _prefill: dict[str, dict[str, Demand]] = field(factory=dict, init=False)
    _last_request_at: dict[str, float] = field(factory=dict, init=False)
    """Time of the last request for each service."""

    def record_request(
        self, service: str, model: str, prefill_s: float, now: float
    ) -> None:
        """Record a request with its estimated prefill time."""
        self._last_request_at[service] = now
        _add(self._requests.setdefault(service, {}), model, 1.0, now)
        _add(self._prefill.setdefault(service, {}), model, prefill_s, now)

    def get_last_request_at(self, service: str) -> float | None:
        """Return the time of the last request for a service; None if there was none."""
        return self._last_request_at.get(service)

    def list_models(self, service: str, threshold: float, now: float) -> list[str]:
        """Return the models with more requests per second than a threshold."""
        demands = self._requests.get(service, {})
        return [name for name, each in demands.items() if each.exceeds(threshold, now)]

    def get_request_rate(
        self, service: str, model: str, now: float, horizon_s: float = 0.0
    ) -> float:
        """Return the requests per second for a model, now or after a time."""
        return _read(self._requests.get(service, {}).get(model), now, horizon_s)

    def get_prefill_load(
        self, service: str, model: str, now: float, horizon_s: float = 0.0
    ) -> float:
        """Return the prefill seconds per second in demand for a model."""
        return _read(self._prefill.get(service, {}).get(model), now, horizon_s)


def _add(demands: dict[str, Demand], model: str, amount: float, now: float) -> None:
    demand = demands.get(model)
    if demand is None:
        demand = demands[model] = Demand()
    demand.add(amount, now)


def _read(demand: Demand | None, now: float, horizon_s: float) -> float:
    if demand is None:
        return 0.0
    return demand.predict(now, horizon_s) if horizon_s else demand.get_rate(now)
