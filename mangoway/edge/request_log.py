"""Log lines and metrics of one request."""

from collections.abc import Callable

from attrs import define

from ..models.crash import RequestIdentity
from ..models.routing import Route
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..platform.requests import RequestFields
from ..policy.edge.retries import RetryCause, RetryDecision
from .attempt import AttemptResult
from .delivery import Delivery

SERVED = 200


@define(eq=False)
class RequestLog:
    """Says what became of a request, and on what it was decided."""

    metrics: Metrics
    fields: RequestFields
    identity: RequestIdentity
    route: Route | None
    """The route; None if none was found."""

    delivery: Delivery
    version: int | None
    """Configuration by which the request was routed."""

    clock: Callable[[], float]
    customer: str | None = None
    """Name of the customer who asks, if that is known."""

    attempts: int = 0
    queued_s: float = 0.0
    """Time for which it waited for a runner."""

    @property
    def _route_name(self) -> str:
        return self.route.name if self.route else ""

    def note_served(self, runner: RunnerEntry) -> None:
        """Log a request that got its whole answer."""
        delivery = self.delivery
        first_s = (delivery.first_at or self.clock()) - delivery.arrived_at
        self._count("served", SERVED)
        name = self._route_name
        self.metrics.edge_first_seconds.observe(name, seconds=first_s)
        self.metrics.edge_queue_seconds.observe(name, seconds=self.queued_s)
        self.metrics.edge_request_seconds.observe(name, seconds=self._measure())
        log_event(
            log.RequestServed(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                route=self._route_name,
                customer=self.customer,
                artifact=self.fields.artifact,
                runner_id=runner.runner_id,
                status=SERVED,
                attempts=self.attempts,
                queued_s=round(self.queued_s, 4),
                first_s=round(first_s, 4),
                seconds=self._measure(),
                longest_gap_s=round(delivery.longest_gap_s, 4),
                events=delivery.events,
                objective_s=self.route.objective_s if self.route else 0.0,
                gap_objective_s=self.route.gap_objective_s if self.route else 0.0,
            )
        )

    def note_rejected(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Log a request that was refused and has not run."""
        self._count("rejected", status)
        log_event(
            log.RequestRejected(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                route=self._route_name or None,
                customer=self.customer,
                artifact=self.fields.artifact,
                status=status,
                reason=reason,
                retry_after_s=retry_after_s,
                attempts=self.attempts,
                seconds=self._measure(),
                version=self.version,
            )
        )

    def note_failed(
        self, status: int | None, reason: str, runner_id: str | None
    ) -> None:
        """Log a request that failed after it may have run; no status: cut off."""
        self._count("failed", status or 0)
        log_event(
            log.RequestFailed(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                route=self._route_name,
                customer=self.customer,
                status=status,
                reason=reason,
                runner_id=runner_id,
                attempts=self.attempts,
                events=self.delivery.events,
                seconds=self._measure(),
            )
        )

    def note_abandoned(self) -> None:
        """Log a request whose caller left."""
        self._count("abandoned", 0)
        log_event(
            log.RequestAbandoned(
                request_id=self.fields.request_id,
                route=self._route_name,
                attempts=self.attempts,
                events=self.delivery.events,
                seconds=self._measure(),
            )
        )

    def note_attempt(
        self, runner: RunnerEntry, result: AttemptResult, decision: RetryDecision
    ) -> None:
        """Log a try that failed, and what follows."""
        log_event(
            log.AttemptFailed(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                runner_id=runner.runner_id,
                verdict=result.verdict.value,
                reason=result.reason,
                decision=decision.value,
                attempts=self.attempts,
                events=self.delivery.events,
            )
        )

    def note_repeat(self, runner: RunnerEntry, cause: RetryCause) -> None:
        """Log that the request is sent to a runner once more."""
        self.metrics.edge_repeats.add(runner.service, cause.value)
        log_event(
            log.RepeatSent(
                request_id=self.fields.request_id,
                service=runner.service,
                runner_id=runner.runner_id,
                cause=cause.value,
                attempts=self.attempts,
            )
        )

    def _count(self, outcome: str, status: int) -> None:
        self.metrics.edge_requests.add(self._route_name, outcome, str(status))
        if self.customer is not None:
            self.metrics.edge_customers.add(self.customer, outcome, str(status))

    def _measure(self) -> float:
        return round(self.clock() - self.delivery.arrived_at, 4)
