"""How much is asked of each model."""

import math

from attrs import define, field

from .const import RATE_FALL_S


@define
class Rate:
    """An exponentially weighted rate; units are those of the amounts, per second."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.decay(now)
        self.value += amount / RATE_FALL_S

    def decay(self, now: float) -> float:
        """Return the rate as of now."""
        if now > self.updated_at:
            self.value *= math.exp((self.updated_at - now) / RATE_FALL_S)
            self.updated_at = now
        return self.value


@define(eq=False)
class DemandBook:
    """Requests and reading time that are asked for, by service and model."""

    _requests: dict[tuple[str, str], Rate] = field(factory=dict, init=False)
    _work: dict[tuple[str, str], Rate] = field(factory=dict, init=False)

    def note(self, service: str, model: str, work_s: float, now: float) -> None:
        """Count a request that takes so many seconds to read."""
        key = (service, model)
        self._requests.setdefault(key, Rate(updated_at=now)).add(1, now)
        self._work.setdefault(key, Rate(updated_at=now)).add(work_s, now)

    def get_requests(self, service: str, model: str, now: float) -> float:
        """Return the requests a second for a model."""
        rate = self._requests.get((service, model))
        return 0.0 if rate is None else rate.decay(now)

    def get_work(self, service: str, model: str, now: float) -> float:
        """Return the seconds of reading a second that a model's requests ask for."""
        rate = self._work.get((service, model))
        return 0.0 if rate is None else rate.decay(now)
