"""Estimate of the demand for each artifact from the gateways' digests."""

from math import exp, sqrt

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import HostId
from .const import (
    BACKLOG_DRAIN_S,
    DEFAULT_TOKENS_PER_REQUEST,
    DEMAND_DEVIATIONS,
    DEMAND_EXPIRY_PERIODS,
    DEMAND_FALL_S,
    DEMAND_FORGET_RPS,
    DEMAND_MEAN_S,
    DEMAND_RISE_S,
)
from .events import DemandReported


@frozen(kw_only=True)
class Demand:
    """Demand for one artifact."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0


NO_DEMAND = Demand()


@define
class _Digest:
    expires_at: float
    rates: dict[Artifact, Demand]


@define
class _Total:
    """Sum of the digests for one artifact."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0


_NOTHING = _Total()


@define
class _Estimate:
    """What is known of the demand for one artifact; rates are requests per second."""

    recent: float = 0.0
    mean: float = 0.0
    held: float = 0.0
    tokens_each: float = DEFAULT_TOKENS_PER_REQUEST

    def move(self, total: "_Total", elapsed_s: float) -> None:
        """Move towards the total of the digests over some seconds."""
        requests = total.requests_per_second
        self.recent += _find_step(elapsed_s, DEMAND_RISE_S) * (requests - self.recent)
        self.mean += _find_step(elapsed_s, DEMAND_MEAN_S) * (requests - self.mean)
        self.held *= 1.0 - _find_step(elapsed_s, DEMAND_FALL_S)
        self.held = max(self.held, self._find_certain())
        if requests > 0.0:
            step = _find_step(elapsed_s, DEMAND_RISE_S)
            tokens_each = total.tokens_per_second / requests
            self.tokens_each += step * (tokens_each - self.tokens_each)

    def _find_certain(self) -> float:
        """Return the recent rate less what chance may have added to it.

        Arrivals by chance give a moving average of this rate and time constant a
        standard deviation of sqrt(rate / (2 * time constant)). Without this a few
        requests in one period would look like a surge of an artifact that has a
        trickle only.
        """
        deviation = sqrt(self.recent / (2.0 * DEMAND_RISE_S))
        return max(0.0, self.recent - DEMAND_DEVIATIONS * deviation)

    def as_demand(self) -> Demand:
        """Return the estimate: the mean, or the higher peak that is still held."""
        requests = max(self.mean, self.held)
        return Demand(
            requests_per_second=requests, tokens_per_second=requests * self.tokens_each
        )


def _find_step(elapsed_s: float, constant_s: float) -> float:
    """Return the part of the way that a moving average goes in some seconds."""
    return 1.0 - exp(-elapsed_s / constant_s)


@define
class DemandEstimator:
    """Sums the gateways' digests; rises fast on clear evidence and falls slowly."""

    _digests: dict[HostId, _Digest] = field(factory=dict)
    _states: dict[Artifact, _Estimate] = field(factory=dict)
    _estimates: dict[Artifact, Demand] = field(factory=dict)
    _updated_at: float = 0.0

    def take(self, event: DemandReported, now: float) -> None:
        """Take a gateway's digest in place of its last one."""
        period_s = max(event.period_s, 1e-3)
        rates: dict[Artifact, Demand] = {}
        for rate in event.rates:
            requests = rate.arrived / period_s + rate.queued / BACKLOG_DRAIN_S
            if rate.arrived > 0 and rate.tokens > 0:
                tokens_each = rate.tokens / rate.arrived
            else:
                tokens_each = self._find_tokens_each(rate.artifact)
            rates[rate.artifact] = Demand(
                requests_per_second=requests, tokens_per_second=requests * tokens_each
            )
        expires_at = now + max(period_s * DEMAND_EXPIRY_PERIODS, 3.0)
        self._digests[event.gateway] = _Digest(expires_at, rates)

    def _find_tokens_each(self, artifact: Artifact) -> float:
        estimate = self._estimates.get(artifact)
        if estimate is None or estimate.requests_per_second <= 0.0:
            return DEFAULT_TOKENS_PER_REQUEST
        return estimate.tokens_per_second / estimate.requests_per_second

    def update(self, now: float) -> None:
        """Move the estimates towards the digests that still count."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        for gateway in [
            one for one, digest in self._digests.items() if digest.expires_at < now
        ]:
            del self._digests[gateway]
        totals: dict[Artifact, _Total] = {}
        for digest in self._digests.values():
            for artifact, rate in digest.rates.items():
                total = totals.get(artifact)
                if total is None:
                    total = totals[artifact] = _Total()
                total.requests_per_second += rate.requests_per_second
                total.tokens_per_second += rate.tokens_per_second
        for artifact in totals.keys() | self._states.keys():
            self._move(artifact, totals.get(artifact, _NOTHING), elapsed_s)

    def _move(self, artifact: Artifact, total: "_Total", elapsed_s: float) -> None:
        state = self._states.setdefault(artifact, _Estimate())
        state.move(total, elapsed_s)
        estimate = state.as_demand()
        if estimate.requests_per_second < DEMAND_FORGET_RPS:
            del self._states[artifact]
            self._estimates.pop(artifact, None)
            return
        self._estimates[artifact] = estimate

    def find(self, artifact: Artifact) -> Demand:
        """Return the estimate of an artifact."""
        return self._estimates.get(artifact, NO_DEMAND)

    def list_all(self) -> dict[Artifact, Demand]:
        """Return the estimates of all artifacts with demand."""
        return self._estimates
