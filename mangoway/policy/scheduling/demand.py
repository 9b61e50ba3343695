"""How much is asked of each model."""

import math

from attrs import define, field

from ...models.prompt import Prompt
from .const import (
    FAST_RATE_FALL_S,
    MAX_RETURNS,
    RETURN_S,
    SLOW_RATE_FALL_S,
    TREND_FAR_FALL_S,
    TREND_NEAR_FALL_S,
)


@define
class Rate:
    """An exponentially weighted rate; units are those of the amounts, per second."""

    fall_s: float
    """Time in which it falls to a third without further amounts."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.decay(now)
        self.value += amount / self.fall_s

    def decay(self, now: float) -> float:
        """Return the rate as of now."""
        if now > self.updated_at:
            if self.value:
                self.value *= math.exp((self.updated_at - now) / self.fall_s)
            self.updated_at = now
        return self.value


@define
class Demand:
    """A rate that rises fast and falls slowly, and where it tends."""

    fast: Rate = field(factory=lambda: Rate(FAST_RATE_FALL_S))
    slow: Rate = field(factory=lambda: Rate(SLOW_RATE_FALL_S))
    near: Rate = field(factory=lambda: Rate(TREND_NEAR_FALL_S))
    far: Rate = field(factory=lambda: Rate(TREND_FAR_FALL_S))

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        for rate in (self.fast, self.slow, self.near, self.far):
            rate.add(amount, now)

    def get(self, now: float) -> float:
        """Return the rate as of now."""
        return max(self.fast.decay(now), self.slow.decay(now))

    def exceeds(self, least: float, now: float) -> bool:
        """Return whether the rate is above a bound; cheap where it long isn't."""
        if max(self.fast.value, self.slow.value) <= least:
            return False
        return self.get(now) > least

    def expect(self, now: float, ahead_s: float) -> float:
        """Return the rate that is expected some seconds from now.

        A rate that rises evenly is seen late by each average, by about the time in
        which it falls; the difference of two of them shows how steeply it rises. One
        that falls is not expected to go on falling.
        """
        near, far = self.near.decay(now), self.far.decay(now)
        if near <= far:
            return max(self.fast.decay(now), far)
        slope = (near - far) / (TREND_FAR_FALL_S - TREND_NEAR_FALL_S)
        expected = near + slope * (TREND_NEAR_FALL_S + ahead_s)
        return max(self.get(now), expected)


@define(eq=False)
class Returns:
    """Requests that were refused, to know them when their callers come back.

    A caller that returns asks under another id, with the same prompt. It was counted
    when it came first: counted again at each return, a model whose requests are refused
    looked up to twice as popular, and took the places of others.
    """

    _refused: dict[tuple[str, str], float] = field(factory=dict, init=False)
    """Model and last part of the prompt, with the time of the refusal."""

    def note_refused(self, model: str, prompt: Prompt, now: float) -> None:
        """Note that a request was refused."""
        if prompt.parts:
            self._refused[(model, prompt.parts[-1].part_id)] = now
        if len(self._refused) > MAX_RETURNS:
            self._refused.pop(next(iter(self._refused)))

    def take(self, model: str, prompt: Prompt, now: float) -> bool:
        """Return whether a request was refused shortly before; it counts once."""
        if not prompt.parts:
            return False
        refused_at = self._refused.pop((model, prompt.parts[-1].part_id), None)
        return refused_at is not None and now - refused_at <= RETURN_S


@define(eq=False)
class DemandBook:
    """Requests and reading time that are asked for, by service and model."""

    _requests: dict[str, dict[str, Demand]] = field(factory=dict, init=False)
    _work: dict[str, dict[str, Demand]] = field(factory=dict, init=False)
    _asked_at: dict[str, float] = field(factory=dict, init=False)
    """Time of the last request for each service."""

    def note(self, service: str, model: str, work_s: float, now: float) -> None:
        """Count a request that takes so many seconds to read."""
        self._asked_at[service] = now
        _add(self._requests.setdefault(service, {}), model, 1.0, now)
        _add(self._work.setdefault(service, {}), model, work_s, now)

    def get_last(self, service: str) -> float | None:
        """Return when something was last asked of a service; None if never."""
        return self._asked_at.get(service)

    def list_models(self, service: str, least: float, now: float) -> list[str]:
        """Return the models that are asked for more than some times a second."""
        demands = self._requests.get(service, {})
        return [name for name, each in demands.items() if each.exceeds(least, now)]

    def get_requests(
        self, service: str, model: str, now: float, ahead_s: float = 0.0
    ) -> float:
        """Return the requests a second for a model, now or some seconds ahead."""
        return _read(self._requests.get(service, {}).get(model), now, ahead_s)

    def get_work(
        self, service: str, model: str, now: float, ahead_s: float = 0.0
    ) -> float:
        """Return the seconds of reading a second that a model's requests ask for."""
        return _read(self._work.get(service, {}).get(model), now, ahead_s)


def _add(demands: dict[str, Demand], model: str, amount: float, now: float) -> None:
    demand = demands.get(model)
    if demand is None:
        demand = demands[model] = Demand()
    demand.add(amount, now)


def _read(demand: Demand | None, now: float, ahead_s: float) -> float:
    if demand is None:
        return 0.0
    return demand.expect(now, ahead_s) if ahead_s else demand.get(now)
