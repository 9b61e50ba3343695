"""Log events and metrics of one request."""

from collections.abc import Callable

import h11
from attrs import define

from ..models.crash import RequestIdentity
from ..models.routing import Route
from ..models.runner import RunnerEntry
from ..models.streams import StreamOrigin
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..platform import headers as names
from ..platform.requests import RequestFields
from ..policy.edge.origin_search import FoundOrigin, OriginBasis, UnknownOrigin
from ..policy.edge.retries import RetryCause, RetryDecision
from .attempt_result import AttemptResult
from .delivery import Delivery
from .stream_origins import OWN_RECORD


@define(eq=False)
class RequestLog:
    """Logs the outcome of a request and the decisions about it."""

    metrics: Metrics
    fields: RequestFields
    identity: RequestIdentity
    route: Route | None
    """The route of the request; None if none was found."""

    delivery: Delivery
    version: int | None
    """Version of the configuration by which the request was routed."""

    clock: Callable[[], float]
    customer: str | None = None
    """Name of the customer, if known."""

    attempts: int = 0
    queued_s: float = 0.0
    """Time for which the request waited for a runner."""

    @property
    def _route_name(self) -> str:
        return self.route.name if self.route else ""

    @property
    def _kind(self) -> str:
        return self.route.kind.value if self.route else ""

    def log_served(self, runner_id: str, result: AttemptResult) -> None:
        """Log a request whose response was sent completely.

        Args:
            runner_id: The runner; empty if a peer chose it.
            result: The result of the attempt whose response it was.
        """
        delivery, status = self.delivery, result.status
        first_s = (delivery.first_at or self.clock()) - delivery.arrived_at
        self._count("served", status)
        name = self._route_name
        self.metrics.edge_first_seconds.observe(name, seconds=first_s)
        self.metrics.edge_queue_seconds.observe(name, seconds=self.queued_s)
        self.metrics.edge_request_seconds.observe(name, seconds=self._measure_seconds())
        log_event(
            log.RequestServed(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                route=self._route_name,
                customer=self.customer,
                artifact=self.fields.artifact,
                runner_id=runner_id,
                status=status,
                attempts=self.attempts,
                queued_s=round(self.queued_s, 4),
                first_s=round(first_s, 4),
                seconds=self._measure_seconds(),
                longest_gap_s=round(delivery.longest_gap_s, 4),
                events=delivery.events,
                end=result.end.value,
                duplicates=delivery.duplicates,
                gaps=delivery.gaps,
                conflicts=delivery.conflicts,
                objective_s=self.route.objective_s if self.route else 0.0,
                gap_objective_s=self.route.gap_objective_s if self.route else 0.0,
            )
        )

    def log_rejected(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Log a request that was rejected and has not run."""
        self._count("rejected", status)
        log_event(
            log.RequestRejected(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                kind=self._kind,
                route=self._route_name or None,
                customer=self.customer,
                artifact=self.fields.artifact,
                status=status,
                reason=reason,
                retry_after_s=retry_after_s,
                attempts=self.attempts,
                rejected_by=tuple(self.delivery.history.rejected_by),
                seconds=self._measure_seconds(),
                version=self.version,
            )
        )

    def log_failed(
        self, status: int | None, reason: str, runner_id: str | None
    ) -> None:
        """Log a request that may have run and failed; status None if it was cut off."""
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
                duplicates=self.delivery.duplicates,
                gaps=self.delivery.gaps,
                conflicts=self.delivery.conflicts,
                seconds=self._measure_seconds(),
            )
        )

    def log_abandoned(self) -> None:
        """Log a request whose caller disconnected."""
        self._count("abandoned", 0)
        log_event(
            log.RequestAbandoned(
                request_id=self.fields.request_id,
                route=self._route_name,
                attempts=self.attempts,
                events=self.delivery.events,
                seconds=self._measure_seconds(),
            )
        )

    def log_failed_attempt(
        self, runner: RunnerEntry, result: AttemptResult, decision: RetryDecision
    ) -> None:
        """Log a failed attempt and the decision that follows."""
        log_event(
            log.AttemptFailed(
                request_id=self.fields.request_id,
                identity=self.identity.text,
                kind=self._kind,
                runner_id=runner.runner_id,
                verdict=result.verdict.value,
                reason=result.reason,
                decision=decision.value,
                attempts=self.attempts,
                events=self.delivery.events,
            )
        )

    def log_retry(self, runner: RunnerEntry, cause: RetryCause) -> None:
        """Log that the request is sent to a runner again."""
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

    def log_resumed(
        self,
        runner: RunnerEntry,
        origin: StreamOrigin | None,
        found: FoundOrigin | None,
    ) -> None:
        """Log that a stream goes on at a runner, if its caller has a part of it.

        Args:
            runner: The runner that receives the request.
            origin: What wrote the first event of the stream; None if it is unknown.
            found: What was found for a caller's request for the rest; None for others.
        """
        by_caller = bool(self.fields.last_event_id)
        if not (self.delivery.events or by_caller):
            return
        resumed_by = "edge" if self.delivery.events else "caller"
        origin_version = "" if origin is None else origin.software_version
        version = runner.software_version
        match = "same" if version == origin_version else "other"
        self.metrics.resumed_streams.add(
            runner.service, resumed_by, match if origin_version else "unknown"
        )
        if by_caller and found is not None:
            self.metrics.found_origins.add(runner.service, found.basis.value)
        log_event(
            log.StreamResumed(
                request_id=self.fields.request_id,
                origin_id=self.fields.origin_id,
                resumed_by=resumed_by,
                runner_id=runner.runner_id,
                origin_version=origin_version,
                version=version,
                told_by=OWN_RECORD if found is None else found.told_by,
                basis=OriginBasis.OWN_RECORD if found is None else found.basis,
            )
        )

    def log_unknown_origin(self, service: str, unknown: UnknownOrigin) -> None:
        """Log that a stream is not resumed, since its origin is unknown.

        Args:
            service: Service of the request.
            unknown: What is known of the origin.
        """
        self.metrics.unknown_origins.add(service)
        log_event(
            log.StreamOriginUnknown(
                request_id=self.fields.request_id,
                origin_id=self.fields.resumes,
                unanswered=unknown.unanswered,
                versions=tuple(" ".join(each) for each in unknown.versions),
            )
        )

    def _count(self, outcome: str, status: int) -> None:
        self.metrics.edge_requests.add(self._route_name, outcome, str(status))
        delivery = self.delivery
        faults = {
            "duplicate": delivery.duplicates,
            "gap": delivery.gaps,
            "conflict": delivery.conflicts,
        }
        for fault, amount in faults.items():
            if amount:
                self.metrics.stream_faults.add(self._route_name, fault, amount=amount)
        if self.customer is not None:
            self.metrics.edge_customers.add(self.customer, outcome, str(status))

    def _measure_seconds(self) -> float:
        return round(self.clock() - self.delivery.arrived_at, 4)


def log_unread(status: int, reason: str, head: h11.Request | None) -> None:
    """Log a request that was rejected before it was read completely.

    Args:
        status: Status of the response.
        reason: Why it was rejected.
        head: Its method, path and headers; None if these were not read.
    """
    headers = dict(head.headers) if head is not None else {}
    request_id = headers.get(names.REQUEST_ID, b"").decode("latin-1")
    log_event(
        log.UnreadRequestRejected(request_id=request_id, status=status, reason=reason)
    )
