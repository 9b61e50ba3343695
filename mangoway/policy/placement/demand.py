"""Estimate of the demand for each artifact from the gateways' digests."""

from math import exp

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import HostId
from .const import (
    BACKLOG_DRAIN_S,
    DEFAULT_TOKENS_PER_REQUEST,
    DEMAND_EXPIRY_PERIODS,
    DEMAND_FALL_S,
    DEMAND_FORGET_RPS,
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
class DemandEstimator:
    """Sums the gateways' digests; rises fast and falls slowly."""

    _digests: dict[HostId, _Digest] = field(factory=dict)
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
        rise = 1.0 - exp(-elapsed_s / DEMAND_RISE_S)
        fall = 1.0 - exp(-elapsed_s / DEMAND_FALL_S)
        for gateway in [
            one for one, digest in self._digests.items() if digest.expires_at < now
        ]:
            del self._digests[gateway]
        totals: dict[Artifact, Demand] = {}
        for digest in self._digests.values():
            for artifact, rate in digest.rates.items():
                total = totals.get(artifact, NO_DEMAND)
                totals[artifact] = Demand(
                    requests_per_second=total.requests_per_second
                    + rate.requests_per_second,
                    tokens_per_second=total.tokens_per_second + rate.tokens_per_second,
                )
        for artifact in totals.keys() | self._estimates.keys():
            self._move(artifact, totals.get(artifact, NO_DEMAND), rise, fall)

    def _move(
        self, artifact: Artifact, total: Demand, rise: float, fall: float
    ) -> None:
        old = self._estimates.get(artifact, NO_DEMAND)
        step = rise if total.tokens_per_second > old.tokens_per_second else fall
        requests = old.requests_per_second + step * (
            total.requests_per_second - old.requests_per_second
        )
        tokens = old.tokens_per_second + step * (
            total.tokens_per_second - old.tokens_per_second
        )
        if requests < DEMAND_FORGET_RPS:
            self._estimates.pop(artifact, None)
            return
        self._estimates[artifact] = Demand(
            requests_per_second=requests, tokens_per_second=tokens
        )

    def find(self, artifact: Artifact) -> Demand:
        """Return the estimate of an artifact."""
        return self._estimates.get(artifact, NO_DEMAND)

    def list_all(self) -> dict[Artifact, Demand]:
        """Return the estimates of all artifacts with demand."""
        return self._estimates
