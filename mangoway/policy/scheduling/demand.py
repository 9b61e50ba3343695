"""How much is asked of each model."""

import math

from attrs import define, field

from ...models.prompt import Prompt
from .const import (
    FAST_RATE_DECAY_S,
    LONG_TREND_DECAY_S,
    MAX_REMEMBERED_REFUSALS,
    REFUSAL_MATCH_S,
    SHORT_TREND_DECAY_S,
    SLOW_RATE_DECAY_S,
)


@define
class DecayingRate:
    """An exponentially weighted rate; units are those of the amounts, per second."""

    decay_s: float
    """Time in which it falls to a third without further amounts."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
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
    """A rate that rises fast and falls slowly, and where it tends."""

    fast: DecayingRate = field(factory=lambda: DecayingRate(FAST_RATE_DECAY_S))
    slow: DecayingRate = field(factory=lambda: DecayingRate(SLOW_RATE_DECAY_S))
    short: DecayingRate = field(factory=lambda: DecayingRate(SHORT_TREND_DECAY_S))
    long: DecayingRate = field(factory=lambda: DecayingRate(LONG_TREND_DECAY_S))

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        for rate in (self.fast, self.slow, self.short, self.long):
            rate.add(amount, now)

    def get_rate(self, now: float) -> float:
        """Return the rate as of now."""
        return max(self.fast.get_rate(now), self.slow.get_rate(now))

    def exceeds(self, threshold: float, now: float) -> bool:
        """Return whether the rate is above a bound; cheap where it long isn't."""
        if max(self.fast.value, self.slow.value) <= threshold:
            return False
        return self.get_rate(now) > threshold

    def predict(self, now: float, horizon_s: float) -> float:
        """Return the rate that is expected some seconds from now.

        A rate that rises evenly is seen late by each average, by about the time in
        which it falls; the difference of two of them shows how steeply it rises. One
        that falls is not expected to go on falling.
        """
        short, long = self.short.get_rate(now), self.long.get_rate(now)
        if short <= long:
            return max(self.fast.get_rate(now), long)
        slope = (short - long) / (LONG_TREND_DECAY_S - SHORT_TREND_DECAY_S)
        expected = short + slope * (SHORT_TREND_DECAY_S + horizon_s)
        return max(self.get_rate(now), expected)


@define(eq=False)
class RefusedRequests:
    """Requests that were refused, to know them when their callers come back.

    A caller that returns asks under another id, with the same prompt. It was counted
    when it came first: counted again at each return, a model whose requests are refused
    looked up to twice as popular, and took the places of others.
    """

    _refused: dict[tuple[str, str], float] = field(factory=dict, init=False)
    """Model and last part of the prompt, with the time of the refusal."""

    def add(self, model: str, prompt: Prompt, now: float) -> None:
        """Note that a request was refused."""
        if prompt.parts:
            self._refused[(model, prompt.parts[-1].part_id)] = now
        if len(self._refused) > MAX_REMEMBERED_REFUSALS:
            self._refused.pop(next(iter(self._refused)))

    def pop_recent(self, model: str, prompt: Prompt, now: float) -> bool:
        """Return whether a request was refused shortly before; it counts once."""
        if not prompt.parts:
            return False
        refused_at = self._refused.pop((model, prompt.parts[-1].part_id), None)
        return refused_at is not None and now - refused_at <= REFUSAL_MATCH_S


@define(eq=False)
class DemandTracker:
    """Requests and reading time that are asked for, by service and model."""

    _requests: dict[str, dict[str, Demand]] = field(factory=dict, init=False)
    _prefill: dict[str, dict[str, Demand]] = field(factory=dict, init=False)
    _last_request_at: dict[str, float] = field(factory=dict, init=False)
    """Time of the last request for each service."""

    def record_request(
        self, service: str, model: str, prefill_s: float, now: float
    ) -> None:
        """Count a request that takes so many seconds to read."""
        self._last_request_at[service] = now
        _add(self._requests.setdefault(service, {}), model, 1.0, now)
        _add(self._prefill.setdefault(service, {}), model, prefill_s, now)

    def get_last_request_at(self, service: str) -> float | None:
        """Return when something was last asked of a service; None if never."""
        return self._last_request_at.get(service)

    def list_models(self, service: str, threshold: float, now: float) -> list[str]:
        """Return the models that are asked for more than some times a second."""
        demands = self._requests.get(service, {})
        return [name for name, each in demands.items() if each.exceeds(threshold, now)]

    def get_request_rate(
        self, service: str, model: str, now: float, horizon_s: float = 0.0
    ) -> float:
        """Return the requests a second for a model, now or some seconds ahead."""
        return _read(self._requests.get(service, {}).get(model), now, horizon_s)

    def get_prefill_load(
        self, service: str, model: str, now: float, horizon_s: float = 0.0
    ) -> float:
        """Return the seconds of reading a second that a model's requests ask for."""
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
