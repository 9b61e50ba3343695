"""Dispatch of a simple load balancer, without windows, admission or classes.

A request is sent immediately to a ready upstream, and waits only while there is none;
the engines queue requests. An upstream gets a cooldown of some seconds after a failure.
Urgent requests have the higher engine priority.
"""

from collections.abc import Iterable
from enum import Enum

from attrs import define, field

from mangoway.models.artifact import Artifact
from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.identifiers import (
    AttemptId,
    IncarnationId,
    RequestId,
    ServiceName,
    UpstreamId,
)
from mangoway.models.request import Request, WorkClass
from mangoway.models.upstream import EngineReport, Residency
from mangoway.models.verdict import Verdict
from mangoway.policy.dispatch.actions import (
    DispatchAction,
    FinishRequest,
    Reject,
    ReportDemand,
    StartAttempt,
    WakeAt,
)
from mangoway.policy.dispatch.events import (
    ArtifactDemand,
    AttemptFailed,
    AttemptSucceeded,
    DispatchEvent,
    EngineReported,
    RequestArrived,
    Ticked,
    UpstreamListChanged,
)

_REPORT_PERIOD_S = 2.0
_SILENCE_S = 10.0
_COOLDOWN_S = 5.0
_MAX_ATTEMPTS = 3


class Choice(Enum):
    """Rule for the choice among the ready upstreams."""

    ROUND_ROBIN = "round robin"
    LEAST_OUTSTANDING = "least outstanding requests"


@define
class _OpenRequest:
    """A request that has not ended, and the number of its attempts."""

    request: Request
    attempts: int = 0


@define
class _DemandCount:
    """Demand for one artifact since the last demand report."""

    arrived: int = 0
    tokens: int = 0
    refused: int = 0


@define
class SimpleDispatch:
    """Dispatch core of a simple load balancer."""

    incarnation: IncarnationId
    choice: Choice
    _open_requests: dict[RequestId, _OpenRequest] = field(factory=dict)
    _waiting: list[RequestId] = field(factory=list)
    _attempts: dict[AttemptId, tuple[RequestId, UpstreamId]] = field(factory=dict)
    _outstanding: dict[UpstreamId, int] = field(factory=dict)
    _ready: dict[UpstreamId, frozenset[Artifact]] = field(factory=dict)
    _listed: set[UpstreamId] = field(factory=set)
    _services: dict[ServiceName, list[UpstreamId]] = field(factory=dict)
    _cooldown_until: dict[UpstreamId, float] = field(factory=dict)
    _demand_counts: dict[Artifact, _DemandCount] = field(factory=dict)
    _choice_count: int = 0
    _attempt_count: int = 0
    _next_report_at: float = 0.0

    def handle(self, event: DispatchEvent, now: float) -> list[DispatchAction]:
        """Handle one event; return the actions to execute."""
        match event:
            case RequestArrived(request=request):
                return self._add_request(request, now)
            case AttemptSucceeded(attempt_id=attempt_id):
                return self._handle_success(attempt_id)
            case AttemptFailed():
                return self._handle_failure(event, now)
            case EngineReported(report=report):
                return self._apply_report(report, now)
            case UpstreamListChanged():
                self._update_upstreams(event)
            case Ticked():
                return self._tick(now)
        return []

    def _add_request(self, request: Request, now: float) -> list[DispatchAction]:
        self._open_requests[request.id] = _OpenRequest(request)
        if isinstance(request.target, Artifact):
            demand_count = self._demand_counts.setdefault(
                request.target, _DemandCount()
            )
            demand_count.arrived += 1
            demand_count.tokens += request.max_tokens
        return self._send(request.id, now)

    def _send(self, request_id: RequestId, now: float) -> list[DispatchAction]:
        open_request = self._open_requests[request_id]
        request = open_request.request
        upstream = self._choose_upstream(request, now)
        if upstream is None:
            self._waiting.append(request_id)
            return []
        open_request.attempts += 1
        self._attempt_count += 1
        attempt_id = AttemptId(f"{self.incarnation}-a{self._attempt_count}")
        self._attempts[attempt_id] = (request_id, upstream)
        self._outstanding[upstream] = self._outstanding.get(upstream, 0) + 1
        return [
            StartAttempt(
                attempt_id=attempt_id,
                request_id=request_id,
                upstream_id=upstream,
                priority=1 if request.work_class is WorkClass.URGENT else 0,
                timeout_s=max(0.0, request.deadline - now),
                silence_s=_SILENCE_S,
            )
        ]

    def _choose_upstream(self, request: Request, now: float) -> UpstreamId | None:
        usable = [
            upstream
            for upstream in self._find_candidates(request)
            if self._cooldown_until.get(upstream, 0.0) <= now
        ]
        if not usable:
            return None
        self._choice_count += 1
        if self.choice is Choice.ROUND_ROBIN:
            return usable[self._choice_count % len(usable)]
        least = min(self._outstanding.get(upstream, 0) for upstream in usable)
        tied = [u for u in usable if self._outstanding.get(u, 0) == least]
        return tied[self._choice_count % len(tied)]

    def _find_candidates(self, request: Request) -> Iterable[UpstreamId]:
        target = request.target
        if not isinstance(target, Artifact):
            return self._services.get(target.service, [])
        needed = {target, target.base}
        return [u for u, ready in self._ready.items() if needed <= ready]

    def _handle_success(self, attempt_id: AttemptId) -> list[DispatchAction]:
        request_id = self._end_attempt(attempt_id)
        if request_id is None:
            return []
        del self._open_requests[request_id]
        return [FinishRequest(request_id=request_id)]

    def _end_attempt(self, attempt_id: AttemptId) -> RequestId | None:
        found = self._attempts.pop(attempt_id, None)
        if found is None:
            return None
        request_id, upstream = found
        self._outstanding[upstream] -= 1
        return request_id if request_id in self._open_requests else None

    def _handle_failure(self, event: AttemptFailed, now: float) -> list[DispatchAction]:
        found = self._attempts.get(event.attempt_id)
        request_id = self._end_attempt(event.attempt_id)
        if found is None or request_id is None:
            return []
        open_request = self._open_requests[request_id]
        self._cooldown_until[found[1]] = now + _COOLDOWN_S
        may_retry = open_request.request.idempotent or event.verdict is Verdict.NOT_RUN
        if (
            may_retry
            and open_request.attempts < _MAX_ATTEMPTS
            and now < open_request.request.deadline
        ):
            return self._send(request_id, now)
        return self._reject(request_id, event.failure.code, event.verdict)

    def _reject(
        self, request_id: RequestId, code: ErrorCode, verdict: Verdict
    ) -> list[DispatchAction]:
        request = self._open_requests.pop(request_id).request
        if isinstance(request.target, Artifact):
            self._demand_counts.setdefault(request.target, _DemandCount()).refused += 1
        failure = Failure(code=code, verdict=verdict, detail="")
        return [Reject(request_id=request_id, failure=failure)]

    def _apply_report(self, report: EngineReport, now: float) -> list[DispatchAction]:
        ready = frozenset(
            resident.artifact
            for resident in report.residents
            if resident.state is Residency.READY
        )
        if report.upstream not in self._listed:
            return []
        has_changed = self._ready.get(report.upstream) != ready
        self._ready[report.upstream] = ready
        return self._send_waiting(now) if has_changed else []

    def _send_waiting(self, now: float) -> list[DispatchAction]:
        waiting, self._waiting = self._waiting, []
        actions: list[DispatchAction] = []
        for request_id in waiting:
            if request_id not in self._open_requests:
                continue
            if self._open_requests[request_id].request.deadline <= now:
                code = ErrorCode.DEADLINE_EXCEEDED
                actions.extend(self._reject(request_id, code, Verdict.NOT_RUN))
            else:
                actions.extend(self._send(request_id, now))
        return actions

    def _update_upstreams(self, event: UpstreamListChanged) -> None:
        self._listed = {upstream.id for upstream in event.upstreams}
        for upstream_id in list(self._ready):
            if upstream_id not in self._listed:
                del self._ready[upstream_id]
        self._services = {}
        for upstream in event.upstreams:
            if upstream.service is not None:
                self._services.setdefault(upstream.service, []).append(upstream.id)

    def _tick(self, now: float) -> list[DispatchAction]:
        actions = self._send_waiting(now)
        if now >= self._next_report_at:
            self._next_report_at = now + _REPORT_PERIOD_S
            actions.append(self._build_report())
        actions.append(WakeAt(time=now + _REPORT_PERIOD_S / 2))
        return actions

    def _build_report(self) -> ReportDemand:
        queued: dict[Artifact, int] = {}
        for request_id in self._waiting:
            target = self._open_requests[request_id].request.target
            if isinstance(target, Artifact):
                queued[target] = queued.get(target, 0) + 1
        demands = tuple(
            ArtifactDemand(
                artifact=artifact,
                arrived=demand_count.arrived,
                queued=queued.get(artifact, 0),
                tokens=demand_count.tokens,
                refused=demand_count.refused,
            )
            for artifact, demand_count in self._demand_counts.items()
        )
        self._demand_counts = {}
        return ReportDemand(period_s=_REPORT_PERIOD_S, demands=demands)
