"""A gateway without I/O that executes the actions of the dispatch core."""

from collections.abc import Callable
from typing import Any, Protocol

from attrs import define, frozen

from mangoway.models.errors import ErrorCode, Failure
from mangoway.models.idempotency import HomedKey
from mangoway.models.identifiers import (
    AttemptId,
    DataCentreId,
    HostId,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    UpstreamId,
)
from mangoway.models.request import Request
from mangoway.models.verdict import Verdict
from mangoway.policy.core import Core
from mangoway.policy.dispatch.actions import (
    CancelAttempt,
    DeleteAnswer,
    DispatchAction,
    Explain,
    FinishRequest,
    LogBreakerChange,
    Reject,
    ReportDemand,
    StartAttempt,
    WakeAt,
)
from mangoway.policy.dispatch.events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
    DispatchEvent,
    RequestArrived,
    Ticked,
)

from .clock import Clock
from .const import CONNECT_TIMEOUT_S
from .demand import Arrival
from .upstreams import Attempt, EngineHost, ServiceHost, find_latency

DispatchCoreType = Core[DispatchEvent, DispatchAction]


class GatewayCaller(Protocol):
    """Receiver of the results of a request, implemented by the caller."""

    arrival: Arrival

    def receive_first_token(self) -> None:
        """Handle the first token of the response."""
        ...

    def receive_end(self) -> None:
        """Handle the end of the response."""
        ...

    def receive_failure(self, failure: Failure) -> None:
        """Handle the rejection of the request."""
        ...

    def receive_disconnect(self) -> None:
        """Handle the loss of the connection to the gateway."""
        ...


@frozen(kw_only=True)
class GatewayIdentity:
    """Host, incarnation and data centre of a gateway."""

    host: HostId
    incarnation: IncarnationId
    data_centre: DataCentreId


@define
class _OpenRequest:
    """A request that the gateway has not finished yet."""

    caller: GatewayCaller
    has_first_token: bool = False


@define
class _RunningAttempt:
    """An attempt in progress, and the time of its last progress."""

    request_id: RequestId
    upstream_id: UpstreamId
    progress_at: float
    silence_s: float
    resume_from: int
    tokens: int = 0
    is_cancelled: bool = False


class GatewayShell:
    """Adapter between the dispatch core and the fakes."""

    def __init__(
        self,
        clock: Clock,
        identity: GatewayIdentity,
        core: DispatchCoreType,
        upstreams: "dict[UpstreamId, EngineHost | ServiceHost]",
        report_demand: "Callable[[GatewayShell, ReportDemand], None]",
    ) -> None:
        self.clock = clock
        self.identity = identity
        self.data_centre = identity.data_centre
        self.is_down = False
        self._core = core
        self._upstreams = upstreams
        self._report_demand = report_demand
        self._open_requests: dict[RequestId, _OpenRequest] = {}
        self._attempts: dict[AttemptId, _RunningAttempt] = {}
        self._wakeup_at: float | None = None
        self._request_count = 0
        self._executors: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            Reject: self._reject_request,
            FinishRequest: self._finish_request,
            ReportDemand: self._send_demand,
            WakeAt: self._schedule_wakeup,
            Explain: lambda _: None,
            DeleteAnswer: lambda _: None,
            LogBreakerChange: lambda _: None,
        }

    def handle(self, event: DispatchEvent) -> None:
        """Pass an event to the core and execute the returned actions."""
        if self.is_down:
            return
        for action in self._core.handle(event, self.clock.now):
            self._executors[type(action)](action)

    def accept(self, caller: GatewayCaller) -> None:
        """Accept a request of a caller."""
        self._request_count += 1
        incarnation = self.identity.incarnation
        request_id = RequestId(f"{incarnation}-{self._request_count}")
        arrival = caller.arrival
        self._open_requests[request_id] = _OpenRequest(caller)
        needs_key = not arrival.idempotent
        request = Request(
            id=request_id,
            caller=arrival.caller,
            work_class=arrival.work_class,
            target=arrival.target,
            arrived_at=self.clock.now,
            deadline=arrival.deadline,
            first_token_deadline=arrival.first_token_deadline,
            idempotent=arrival.idempotent,
            key=self._make_key(arrival) if needs_key else None,
            key_home=incarnation if needs_key else None,
            fingerprint=arrival.number,
            prompt_tokens=arrival.prompt_tokens,
            max_tokens=arrival.max_tokens,
            prefix_hashes=arrival.prefix_hashes,
            streamed=True,
        )
        self.handle(RequestArrived(request=request))

    def _make_key(self, arrival: Arrival) -> IdempotencyKey:
        return HomedKey(
            home=self.identity.incarnation,
            issued_at=int(self.clock.now),
            own_id=str(arrival.number),
        ).format()

    def crash(self) -> list[GatewayCaller]:
        """Stop immediately; return the callers of the interrupted requests."""
        self.is_down = True
        callers = [request.caller for request in self._open_requests.values()]
        self._open_requests.clear()
        self._attempts.clear()
        return callers

    def receive_progress(self, attempt_id: AttemptId, tokens: int) -> None:
        """Report progress to the core, and the first token to the caller."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        attempt.progress_at = self.clock.now
        attempt.tokens = tokens
        self._send_first_token(attempt.request_id)
        self.handle(AttemptProgressed(attempt_id=attempt_id, tokens=tokens))

    def receive_success(self, attempt_id: AttemptId) -> None:
        """Report the end of a response to the core."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        self._send_first_token(attempt.request_id)
        self.handle(AttemptSucceeded(attempt_id=attempt_id))

    def receive_rejection(self, attempt_id: AttemptId) -> None:
        """Report to the core that an upstream did not run an attempt."""
        self._fail_attempt(attempt_id, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)

    def receive_connection_loss(self, attempt_id: AttemptId) -> None:
        """Report to the core that the connection of an attempt was lost."""
        self._fail_attempt(attempt_id, ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN)

    def receive_cancelled(self, attempt_id: AttemptId, tokens: int) -> None:
        """Report to the core that a cancelled attempt has ended."""
        if self._attempts.pop(attempt_id, None) is not None:
            self.handle(AttemptCancelled(attempt_id=attempt_id, tokens=tokens))

    def _send_first_token(self, request_id: RequestId) -> None:
        request = self._open_requests.get(request_id)
        if request is not None and not request.has_first_token:
            request.has_first_token = True
            request.caller.receive_first_token()

    def _fail_attempt(
        self, attempt_id: AttemptId, code: ErrorCode, verdict: Verdict
    ) -> None:
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        failure = Failure(code=code, verdict=verdict, detail="")
        self.handle(
            AttemptFailed(
                attempt_id=attempt_id,
                verdict=verdict,
                failure=failure,
                tokens=attempt.tokens,
            )
        )

    def _start_attempt(self, action: StartAttempt) -> None:
        host = self._upstreams[action.upstream_id]
        arrival = self._open_requests[action.request_id].caller.arrival
        self._attempts[action.attempt_id] = _RunningAttempt(
            request_id=action.request_id,
            upstream_id=action.upstream_id,
            progress_at=self.clock.now,
            silence_s=action.silence_s,
            resume_from=action.resume_from,
            tokens=action.resume_from,
        )
        attempt = Attempt(
            id=action.attempt_id,
            arrival=arrival,
            priority=action.priority,
            resume_from=min(action.resume_from, max(0, arrival.output_tokens - 1)),
        )
        latency = find_latency(self.data_centre, host.data_centre)
        self.clock.call_later(latency, self._deliver, host, attempt)
        self.clock.call_later(action.silence_s, self._check_silence, action.attempt_id)
        self.clock.call_later(action.timeout_s, self._time_out, action.attempt_id)

    def _deliver(self, host: EngineHost | ServiceHost, attempt: Attempt) -> None:
        if not self.is_down:
            host.submit(attempt, self)

    def _check_silence(self, attempt_id: AttemptId) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        due = attempt.progress_at + attempt.silence_s
        if due > self.clock.now + 1e-9:
            self.clock.call_at(due, self._check_silence, attempt_id)
            return
        self._abort(attempt_id, ErrorCode.UPSTREAM_SILENT)

    def _time_out(self, attempt_id: AttemptId) -> None:
        if attempt_id in self._attempts:
            self._abort(attempt_id, ErrorCode.DEADLINE_EXCEEDED)

    def _abort(self, attempt_id: AttemptId, code: ErrorCode) -> None:
        self._send_cancel(attempt_id)
        self._fail_attempt(attempt_id, code, Verdict.MAY_HAVE_RUN)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        attempt = self._attempts.get(action.attempt_id)
        if attempt is None:
            return
        self._send_cancel(action.attempt_id)
        self.clock.call_later(
            CONNECT_TIMEOUT_S,
            self.receive_cancelled,
            action.attempt_id,
            attempt.tokens,
        )

    def _send_cancel(self, attempt_id: AttemptId) -> None:
        host = self._upstreams[self._attempts[attempt_id].upstream_id]
        if isinstance(host, EngineHost):
            latency = find_latency(self.data_centre, host.data_centre)
            self.clock.call_later(latency, host.cancel, attempt_id, self)

    def _reject_request(self, action: Reject) -> None:
        request = self._open_requests.pop(action.request_id, None)
        if request is not None:
            request.caller.receive_failure(action.failure)

    def _finish_request(self, action: FinishRequest) -> None:
        request = self._open_requests.pop(action.request_id, None)
        if request is not None:
            request.caller.receive_end()

    def _send_demand(self, action: ReportDemand) -> None:
        self._report_demand(self, action)

    def _schedule_wakeup(self, action: WakeAt) -> None:
        self._wakeup_at = action.time
        self.clock.call_at(action.time, self._wake_up, action.time)

    def _wake_up(self, time: float) -> None:
        if self._wakeup_at == time:
            self._wakeup_at = None
            self.handle(Ticked())
