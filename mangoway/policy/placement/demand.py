"""Estimation of the demand for each artifact from the gateways' reports."""

from math import exp, sqrt

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import HostId
from .const import (
    BACKLOG_DRAIN_S,
    DEFAULT_TOKENS_PER_REQUEST,
    DEMAND_DECAY_TIME_CONSTANT_S,
    DEMAND_MEAN_TIME_CONSTANT_S,
    DEMAND_REPORT_EXPIRY_PERIODS,
    DEMAND_RISE_TIME_CONSTANT_S,
    IDLE_DEMAND_UPDATE_PERIOD_S,
    MAX_ARTIFACTS_PER_EVALUATION,
    MIN_DEMAND_DEVIATIONS,
    MIN_DEMAND_RPS,
)
from .events import DemandReported


@frozen(kw_only=True)
class Demand:
    """Demand for an artifact."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0


NO_DEMAND = Demand()


@define
class _Report:
    expires_at: float
    rates: dict[Artifact, Demand]


@frozen
class _Weights:
    """Weights of a new value in the moving averages after some elapsed time."""

    rise: float
    mean: float
    decay: float


def _find_weights(elapsed_s: float) -> _Weights:
    return _Weights(
        rise=1.0 - exp(-elapsed_s / DEMAND_RISE_TIME_CONSTANT_S),
        mean=1.0 - exp(-elapsed_s / DEMAND_MEAN_TIME_CONSTANT_S),
        decay=1.0 - exp(-elapsed_s / DEMAND_DECAY_TIME_CONSTANT_S),
    )


@define
class _Averages:
    """Moving averages of the demand for an artifact; rates are requests per second."""

    recent: float = 0.0
    mean: float = 0.0
    peak: float = 0.0
    tokens_per_request: float = DEFAULT_TOKENS_PER_REQUEST
    updated_at: float = 0.0

    def update(self, requests: float, tokens: float, weights: _Weights) -> None:
        """Update the averages with the total of all reports."""
        self.recent += weights.rise * (requests - self.recent)
        self.mean += weights.mean * (requests - self.mean)
        self.peak *= 1.0 - weights.decay
        self.peak = max(self.peak, self._find_significant_rate())
        if requests > 0.0:
            self.tokens_per_request += weights.rise * (
                tokens / requests - self.tokens_per_request
            )

    def _find_significant_rate(self) -> float:
        """Return the recent rate less its probable random excess.

        With random arrivals, a moving average of this rate and time constant has a
        standard deviation of sqrt(rate / (2 * time constant)). Without the
        subtraction, a few requests in one period would look like a surge of an
        artifact with low demand.
        """
        deviation = sqrt(self.recent / (2.0 * DEMAND_RISE_TIME_CONSTANT_S))
        return max(0.0, self.recent - MIN_DEMAND_DEVIATIONS * deviation)

    def to_demand(self) -> Demand:
        """Return the estimate: the mean rate, or the decaying peak if it is higher."""
        requests = max(self.mean, self.peak)
        return Demand(
            requests_per_second=requests,
            tokens_per_second=requests * self.tokens_per_request,
        )


@define
class DemandEstimator:
    """Estimates demand from the gateways' reports.

    An estimate rises fast on a significant increase and decays slowly.
    """

    _reports: dict[HostId, _Report] = field(factory=dict)
    _averages: dict[Artifact, _Averages] = field(factory=dict)
    _estimates: dict[Artifact, Demand] = field(factory=dict)
    _updated_at: float = 0.0

    def apply_report(self, event: DemandReported, now: float) -> None:
        """Replace a gateway's previous report."""
        period_s = max(event.period_s, 1e-3)
        rates: dict[Artifact, Demand] = {}
        for rate in event.rates:
            requests = rate.arrived / period_s + rate.queued / BACKLOG_DRAIN_S
            if rate.arrived > 0 and rate.tokens > 0:
                tokens_per_request = rate.tokens / rate.arrived
            else:
                tokens_per_request = self._find_tokens_per_request(rate.artifact)
            rates[rate.artifact] = Demand(
                requests_per_second=requests,
                tokens_per_second=requests * tokens_per_request,
            )
        expires_at = now + max(period_s * DEMAND_REPORT_EXPIRY_PERIODS, 3.0)
        self._reports[event.gateway] = _Report(expires_at, rates)

    def _find_tokens_per_request(self, artifact: Artifact) -> float:
        estimate = self._estimates.get(artifact)
        if estimate is None or estimate.requests_per_second <= 0.0:
            return DEFAULT_TOKENS_PER_REQUEST
        return estimate.tokens_per_second / estimate.requests_per_second

    def update(self, now: float) -> list[Artifact]:
        """Update the estimates from the reports that have not expired.

        Returns:
            Artifacts in the reports, whose estimates may have risen.
        """
        self._drop_expired(now)
        totals = self._sum_reports()
        weights: dict[float, _Weights] = {}
        for artifact, (requests, tokens) in totals.items():
            averages = self._averages.get(artifact)
            if averages is None:
                averages = _Averages(updated_at=self._updated_at)
                self._averages[artifact] = averages
            self._update_averages(artifact, averages, requests, tokens, now, weights)
        update_period_s = (
            IDLE_DEMAND_UPDATE_PERIOD_S
            if len(self._averages) > MAX_ARTIFACTS_PER_EVALUATION
            else 0.0
        )
        for artifact, averages in list(self._averages.items()):
            if 0.0 < now - averages.updated_at >= update_period_s:
                self._update_averages(artifact, averages, 0.0, 0.0, now, weights)
        self._updated_at = now
        return list(totals)

    def _update_averages(
        self,
        artifact: Artifact,
        averages: _Averages,
        requests: float,
        tokens: float,
        now: float,
        weights: dict[float, _Weights],
    ) -> None:
        elapsed_s = now - averages.updated_at
        if elapsed_s not in weights:
            weights[elapsed_s] = _find_weights(elapsed_s)
        averages.update(requests, tokens, weights[elapsed_s])
        averages.updated_at = now
        self._publish(artifact, averages)

    def _drop_expired(self, now: float) -> None:
        reports = self._reports
        for gateway in [each for each in reports if reports[each].expires_at < now]:
            del reports[gateway]

    def _sum_reports(self) -> dict[Artifact, tuple[float, float]]:
        """Return the total requests and tokens per second of each artifact."""
        totals: dict[Artifact, tuple[float, float]] = {}
        for report in self._reports.values():
            for artifact, rate in report.rates.items():
                requests, tokens = totals.get(artifact, (0.0, 0.0))
                requests += rate.requests_per_second
                totals[artifact] = (requests, tokens + rate.tokens_per_second)
        return totals

    def _publish(self, artifact: Artifact, averages: _Averages) -> None:
        estimate = averages.to_demand()
        if estimate.requests_per_second < MIN_DEMAND_RPS:
            del self._averages[artifact]
            self._estimates.pop(artifact, None)
            return
        self._estimates[artifact] = estimate

    def find(self, artifact: Artifact) -> Demand:
        """Return the estimated demand for an artifact."""
        return self._estimates.get(artifact, NO_DEMAND)

    def list_all(self) -> dict[Artifact, Demand]:
        """Return the estimated demand for all artifacts that have any."""
        return self._estimates
