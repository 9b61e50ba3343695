"""Dispatch as a simple balancer does it: no windows, no admission, no classes.

A request goes at once to a ready upstream; the engines queue. An upstream that
failed is left alone for some seconds. Urgent work has the higher engine priority.
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
    Refuse,
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

_DIGEST_PERIOD_S = 2.0
_SILENCE_S = 10.0
_AVOID_S = 5.0
_MAX_TRIES = 3


class Choice(Enum):
    """How an upstream is chosen among the ready ones."""

    ROUND_ROBIN = "round robin"
    LEAST_OUTSTANDING = "least outstanding requests"


@define
class _Open:
    """A request without an answer."""

    request: Request
    tries: int = 0


@define
class _Tally:
    """Demand for one artifact since the last digest."""

    arrived: int = 0
    tokens: int = 0
    refused: int = 0


@define
class SimpleDispatch:
    """A dispatch core for comparison."""

    incarnation: IncarnationId
    choice: Choice
    _open: dict[RequestId, _Open] = field(factory=dict)
    _waiting: list[RequestId] = field(factory=list)
    _attempts: dict[AttemptId, tuple[RequestId, UpstreamId]] = field(factory=dict)
    _outstanding: dict[UpstreamId, int] = field(factory=dict)
    _ready: dict[UpstreamId, frozenset[Artifact]] = field(factory=dict)
    _listed: set[UpstreamId] = field(factory=set)
    _services: dict[ServiceName, list[UpstreamId]] = field(factory=dict)
    _avoid_until: dict[UpstreamId, float] = field(factory=dict)
    _tallies: dict[Artifact, _Tally] = field(factory=dict)
    _turn: int = 0
    _number: int = 0
    _digest_at: float = 0.0

    def handle(self, event: DispatchEvent, now: float) -> list[DispatchAction]:
        """Take one event; return what to do."""
        match event:
            case RequestArrived(request=request):
                return self._arrive(request, now)
            case AttemptSucceeded(attempt_id=attempt_id):
                return self._succeed(attempt_id)
            case AttemptFailed():
                return self._fail(event, now)
            case EngineReported(report=report):
                return self._learn(report, now)
            case UpstreamListChanged():
                self._list(event)
            case Ticked():
                return self._tick(now)
        return []

    def _arrive(self, request: Request, now: float) -> list[DispatchAction]:
        self._open[request.id] = _Open(request)
        if isinstance(request.target, Artifact):
            tally = self._tallies.setdefault(request.target, _Tally())
            tally.arrived += 1
            tally.tokens += request.max_tokens
        return self._send(request.id, now)

    def _send(self, request_id: RequestId, now: float) -> list[DispatchAction]:
        opened = self._open[request_id]
        request = opened.request
        upstream = self._choose(request, now)
        if upstream is None:
            self._waiting.append(request_id)
            return []
        opened.tries += 1
        self._number += 1
        attempt_id = AttemptId(f"{self.incarnation}-a{self._number}")
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

    def _choose(self, request: Request, now: float) -> UpstreamId | None:
        usable = [
            upstream
            for upstream in self._find_candidates(request)
            if self._avoid_until.get(upstream, 0.0) <= now
        ]
        if not usable:
            return None
        self._turn += 1
        if self.choice is Choice.ROUND_ROBIN:
            return usable[self._turn % len(usable)]
        least = min(self._outstanding.get(upstream, 0) for upstream in usable)
        tied = [u for u in usable if self._outstanding.get(u, 0) == least]
        return tied[self._turn % len(tied)]

    def _find_candidates(self, request: Request) -> Iterable[UpstreamId]:
        target = request.target
        if not isinstance(target, Artifact):
            return self._services.get(target.service, [])
        needed = {target, target.base}
        return [u for u, ready in self._ready.items() if needed <= ready]

    def _succeed(self, attempt_id: AttemptId) -> list[DispatchAction]:
        request_id = self._end(attempt_id)
        if request_id is None:
            return []
        del self._open[request_id]
        return [FinishRequest(request_id=request_id)]

    def _end(self, attempt_id: AttemptId) -> RequestId | None:
        found = self._attempts.pop(attempt_id, None)
        if found is None:
            return None
        request_id, upstream = found
        self._outstanding[upstream] -= 1
        return request_id if request_id in self._open else None

    def _fail(self, event: AttemptFailed, now: float) -> list[DispatchAction]:
        found = self._attempts.get(event.attempt_id)
        request_id = self._end(event.attempt_id)
        if found is None or request_id is None:
            return []
        opened = self._open[request_id]
        self._avoid_until[found[1]] = now + _AVOID_S
        may_retry = opened.request.idempotent or event.verdict is Verdict.NOT_RUN
        if may_retry and opened.tries < _MAX_TRIES and now < opened.request.deadline:
            return self._send(request_id, now)
        return self._refuse(request_id, event.failure.code, event.verdict)

    def _refuse(
        self, request_id: RequestId, code: ErrorCode, verdict: Verdict
    ) -> list[DispatchAction]:
        request = self._open.pop(request_id).request
        if isinstance(request.target, Artifact):
            self._tallies.setdefault(request.target, _Tally()).refused += 1
        failure = Failure(code=code, verdict=verdict, detail="")
        return [Refuse(request_id=request_id, failure=failure)]

    def _learn(self, report: EngineReport, now: float) -> list[DispatchAction]:
        ready = frozenset(
            resident.artifact
            for resident in report.residents
            if resident.state is Residency.READY
        )
        if report.upstream not in self._listed:
            return []
        is_new = self._ready.get(report.upstream) != ready
        self._ready[report.upstream] = ready
        return self._send_waiting(now) if is_new else []

    def _send_waiting(self, now: float) -> list[DispatchAction]:
        waiting, self._waiting = self._waiting, []
        actions: list[DispatchAction] = []
        for request_id in waiting:
            if request_id not in self._open:
                continue
            if self._open[request_id].request.deadline <= now:
                code = ErrorCode.DEADLINE_EXCEEDED
                actions.extend(self._refuse(request_id, code, Verdict.NOT_RUN))
            else:
                actions.extend(self._send(request_id, now))
        return actions

    def _list(self, event: UpstreamListChanged) -> None:
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
        if now >= self._digest_at:
            self._digest_at = now + _DIGEST_PERIOD_S
            actions.append(self._build_digest())
        actions.append(WakeAt(time=now + _DIGEST_PERIOD_S / 2))
        return actions

    def _build_digest(self) -> ReportDemand:
        queued: dict[Artifact, int] = {}
        for request_id in self._waiting:
            target = self._open[request_id].request.target
            if isinstance(target, Artifact):
                queued[target] = queued.get(target, 0) + 1
        demands = tuple(
            ArtifactDemand(
                artifact=artifact,
                arrived=tally.arrived,
                queued=queued.get(artifact, 0),
                tokens=tally.tokens,
                refused=tally.refused,
            )
            for artifact, tally in self._tallies.items()
        )
        self._tallies = {}
        return ReportDemand(period_s=_DIGEST_PERIOD_S, demands=demands)
