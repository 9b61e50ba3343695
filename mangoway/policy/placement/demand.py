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
    DEMAND_LOOKS,
    DEMAND_MEAN_S,
    DEMAND_REST_S,
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


@frozen
class _Steps:
    """Parts of the way that the moving averages go in some seconds."""

    rise: float
    mean: float
    fall: float


def _find_steps(elapsed_s: float) -> _Steps:
    return _Steps(
        rise=1.0 - exp(-elapsed_s / DEMAND_RISE_S),
        mean=1.0 - exp(-elapsed_s / DEMAND_MEAN_S),
        fall=1.0 - exp(-elapsed_s / DEMAND_FALL_S),
    )


@define
class _Estimate:
    """What is known of the demand for one artifact; rates are requests per second."""

    recent: float = 0.0
    mean: float = 0.0
    held: float = 0.0
    tokens_each: float = DEFAULT_TOKENS_PER_REQUEST
    moved_at: float = 0.0

    def move(self, requests: float, tokens: float, steps: _Steps) -> None:
        """Move towards the total of the digests by some steps."""
        self.recent += steps.rise * (requests - self.recent)
        self.mean += steps.mean * (requests - self.mean)
        self.held *= 1.0 - steps.fall
        self.held = max(self.held, self._find_certain())
        if requests > 0.0:
            self.tokens_each += steps.rise * (tokens / requests - self.tokens_each)

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

    def update(self, now: float) -> list[Artifact]:
        """Move the estimates towards the digests that still count.

        Returns:
            Artifacts that the digests name, whose estimates may have risen.
        """
        self._drop_expired(now)
        totals = self._sum_digests()
        steps: dict[float, _Steps] = {}
        for artifact, (requests, tokens) in totals.items():
            state = self._states.get(artifact)
            if state is None:
                state = _Estimate(moved_at=self._updated_at)
                self._states[artifact] = state
            self._move(artifact, state, requests, tokens, now, steps)
        rest_s = DEMAND_REST_S if len(self._states) > DEMAND_LOOKS else 0.0
        for artifact, state in list(self._states.items()):
            if 0.0 < now - state.moved_at >= rest_s:
                self._move(artifact, state, 0.0, 0.0, now, steps)
        self._updated_at = now
        return list(totals)

    def _move(
        self,
        artifact: Artifact,
        state: _Estimate,
        requests: float,
        tokens: float,
        now: float,
        steps: dict[float, _Steps],
    ) -> None:
        elapsed_s = now - state.moved_at
        if elapsed_s not in steps:
            steps[elapsed_s] = _find_steps(elapsed_s)
        state.move(requests, tokens, steps[elapsed_s])
        state.moved_at = now
        self._publish(artifact, state)

    def _drop_expired(self, now: float) -> None:
        digests = self._digests
        for gateway in [one for one in digests if digests[one].expires_at < now]:
            del digests[gateway]

    def _sum_digests(self) -> dict[Artifact, tuple[float, float]]:
        """Return the requests and tokens per second of each artifact."""
        totals: dict[Artifact, tuple[float, float]] = {}
        for digest in self._digests.values():
            for artifact, rate in digest.rates.items():
                requests, tokens = totals.get(artifact, (0.0, 0.0))
                requests += rate.requests_per_second
                totals[artifact] = (requests, tokens + rate.tokens_per_second)
        return totals

    def _publish(self, artifact: Artifact, state: _Estimate) -> None:
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
