"""A gateway without I/O: it carries the dispatch core's actions out."""

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
    Refuse,
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
    """The caller's end of a request."""

    arrival: Arrival

    def receive_first_token(self) -> None:
        """Take the beginning of the answer."""
        ...

    def receive_end(self) -> None:
        """Take the end of the answer."""
        ...

    def receive_failure(self, failure: Failure) -> None:
        """Take a failure."""
        ...

    def receive_disconnect(self) -> None:
        """Take the loss of the gateway."""
        ...


@frozen(kw_only=True)
class GatewayIdentity:
    """Who a gateway is."""

    host: HostId
    incarnation: IncarnationId
    data_centre: DataCentreId


@define
class _Open:
    """One request that the gateway has not answered yet."""

    caller: GatewayCaller
    has_token: bool = False


@define
class _Try:
    """One attempt in progress."""

    request_id: RequestId
    upstream_id: UpstreamId
    progress_at: float
    silence_s: float
    resume_from: int
    tokens: int = 0
    is_cancelled: bool = False


class GatewayShell:
    """Translate between the dispatch core and the fakes."""

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
        self._open: dict[RequestId, _Open] = {}
        self._tries: dict[AttemptId, _Try] = {}
        self._wake_at: float | None = None
        self._requests = 0
        self._carry: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start,
            CancelAttempt: self._cancel,
            Refuse: self._refuse,
            FinishRequest: self._finish,
            ReportDemand: self._send_demand,
            WakeAt: self._set_wake,
            Explain: lambda _: None,
            DeleteAnswer: lambda _: None,
            LogBreakerChange: lambda _: None,
        }

    def handle(self, event: DispatchEvent) -> None:
        """Give the core an event and carry out what it decides."""
        if self.is_down:
            return
        for action in self._core.handle(event, self.clock.now):
            self._carry[type(action)](action)

    def accept(self, caller: GatewayCaller) -> None:
        """Take a request that has just arrived."""
        self._requests += 1
        incarnation = self.identity.incarnation
        request_id = RequestId(f"{incarnation}-{self._requests}")
        arrival = caller.arrival
        self._open[request_id] = _Open(caller)
        keyed = not arrival.idempotent
        request = Request(
            id=request_id,
            caller=arrival.caller,
            work_class=arrival.work_class,
            target=arrival.target,
            arrived_at=self.clock.now,
            deadline=arrival.deadline,
            first_token_deadline=arrival.first_token_deadline,
            idempotent=arrival.idempotent,
            key=self._make_key(arrival) if keyed else None,
            key_home=incarnation if keyed else None,
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
        """Stop at once; return the callers whose requests were cut off."""
        self.is_down = True
        callers = [request.caller for request in self._open.values()]
        self._open.clear()
        self._tries.clear()
        return callers

    def receive_progress(self, attempt_id: AttemptId, tokens: int) -> None:
        """Pass progress on to the core and the caller."""
        attempt = self._tries.get(attempt_id)
        if attempt is None:
            return
        attempt.progress_at = self.clock.now
        attempt.tokens = tokens
        self._tell_first_token(attempt.request_id)
        self.handle(AttemptProgressed(attempt_id=attempt_id, tokens=tokens))

    def receive_success(self, attempt_id: AttemptId) -> None:
        """Pass the end of an answer on."""
        attempt = self._tries.pop(attempt_id, None)
        if attempt is None:
            return
        self._tell_first_token(attempt.request_id)
        self.handle(AttemptSucceeded(attempt_id=attempt_id))

    def receive_refusal(self, attempt_id: AttemptId) -> None:
        """Pass on that an upstream certainly did not run an attempt."""
        self._fail(attempt_id, ErrorCode.UPSTREAM_BUSY, Verdict.NOT_RUN)

    def receive_break(self, attempt_id: AttemptId) -> None:
        """Pass on that a connection broke."""
        self._fail(attempt_id, ErrorCode.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN)

    def receive_cancelled(self, attempt_id: AttemptId, tokens: int) -> None:
        """Pass on that a cancelled attempt has ended."""
        if self._tries.pop(attempt_id, None) is not None:
            self.handle(AttemptCancelled(attempt_id=attempt_id, tokens=tokens))

    def _tell_first_token(self, request_id: RequestId) -> None:
        request = self._open.get(request_id)
        if request is not None and not request.has_token:
            request.has_token = True
            request.caller.receive_first_token()

    def _fail(self, attempt_id: AttemptId, code: ErrorCode, verdict: Verdict) -> None:
        attempt = self._tries.pop(attempt_id, None)
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

    def _start(self, action: StartAttempt) -> None:
        host = self._upstreams[action.upstream_id]
        arrival = self._open[action.request_id].caller.arrival
        self._tries[action.attempt_id] = _Try(
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
        attempt = self._tries.get(attempt_id)
        if attempt is None:
            return
        due = attempt.progress_at + attempt.silence_s
        if due > self.clock.now + 1e-9:
            self.clock.call_at(due, self._check_silence, attempt_id)
            return
        self._give_up(attempt_id, ErrorCode.UPSTREAM_SILENT)

    def _time_out(self, attempt_id: AttemptId) -> None:
        if attempt_id in self._tries:
            self._give_up(attempt_id, ErrorCode.DEADLINE_EXCEEDED)

    def _give_up(self, attempt_id: AttemptId, code: ErrorCode) -> None:
        self._send_cancel(attempt_id)
        self._fail(attempt_id, code, Verdict.MAY_HAVE_RUN)

    def _cancel(self, action: CancelAttempt) -> None:
        attempt = self._tries.get(action.attempt_id)
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
        host = self._upstreams[self._tries[attempt_id].upstream_id]
        if isinstance(host, EngineHost):
            latency = find_latency(self.data_centre, host.data_centre)
            self.clock.call_later(latency, host.cancel, attempt_id, self)

    def _refuse(self, action: Refuse) -> None:
        request = self._open.pop(action.request_id, None)
        if request is not None:
            request.caller.receive_failure(action.failure)

    def _finish(self, action: FinishRequest) -> None:
        request = self._open.pop(action.request_id, None)
        if request is not None:
            request.caller.receive_end()

    def _send_demand(self, action: ReportDemand) -> None:
        self._report_demand(self, action)

    def _set_wake(self, action: WakeAt) -> None:
        self._wake_at = action.time
        self.clock.call_at(action.time, self._wake, action.time)

    def _wake(self, time: float) -> None:
        if self._wake_at == time:
            self._wake_at = None
            self.handle(Ticked())
