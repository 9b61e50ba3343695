"""Executes the actions of the dispatch core and feeds it the resulting events."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, Final, Protocol, TypeVar

from attrs import define, field

from ..callers.answer import Answer
from ..callers.messages import Submission
from ..models.errors import ErrorCode, Failure
from ..models.identifiers import IncarnationId, RequestId, UpstreamId
from ..models.offer import Configuration
from ..models.upstream import UpstreamAddress
from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import CircuitClosed, CircuitOpened
from ..observability.journal import DecisionKind, Journal, JournalEntry
from ..observability.tracing import Hop, HopSpan, Tracing
from ..policy.core import Core
from ..policy.dispatch.actions import (
    CancelAttempt,
    ClaimKey,
    DeleteAnswer,
    DispatchAction,
    Explain,
    FinishRequest,
    ForwardToHome,
    ForwardToPeer,
    JoinRequest,
    LogBreakerChange,
    Reject,
    ReplayAnswer,
    ReportDemand,
    StartAttempt,
    WakeAt,
)
from ..policy.dispatch.events import (
    AttemptFailed,
    ConfigurationChanged,
    DispatchEvent,
    RequestArrived,
    RequestCancelled,
    Ticked,
    UpstreamListChanged,
)
from ..util.core_driver import CoreDriver
from .attempts import AttemptRunner
from .records import Records, RequestRecord

DECISION_SPAN: Final = "decide"
REASON_FORWARDED_HOME: Final = "forwarded_home"
REASON_FORWARDED_LEAVING: Final = "forwarded_leaving"

ActionT = TypeVar("ActionT")
ActionHandler = Callable[["Dispatcher", Any], None]

_handlers: dict[type, ActionHandler] = {}


def _handles(
    kind: type[ActionT],
) -> Callable[
    [Callable[["Dispatcher", ActionT], None]], Callable[["Dispatcher", ActionT], None]
]:
    """Register the handler of one kind of action."""

    def register(
        handler: Callable[["Dispatcher", ActionT], None],
    ) -> Callable[["Dispatcher", ActionT], None]:
        _handlers[kind] = handler
        return handler

    return register


class KeyClaimer(Protocol):
    """Claims plain idempotency keys; the outcome is sent as an event."""

    def async_claim(self, action: ClaimKey, submission: Submission) -> None:
        """Start a claim."""
        ...


class PeerRouter(Protocol):
    """Forwards requests to other gateways and fills in their answers."""

    def async_forward_home(self, record: RequestRecord, home: IncarnationId) -> None:
        """Forward a request to the home of its key."""
        ...

    def async_forward_any(self, record: RequestRecord) -> None:
        """Forward a request to any other live gateway."""
        ...


class DemandSink(Protocol):
    """Receives the demand that a gateway measured."""

    def async_report_demand(self, action: ReportDemand) -> None:
        """Report the demand to the active controller."""
        ...


@define(eq=False, kw_only=True)
class Dispatcher:
    """Drives the dispatch core: one event at a time, with its actions in order."""

    core: Core[DispatchEvent, DispatchAction]
    journal: Journal
    tracing: Tracing
    runner: AttemptRunner
    claimer: KeyClaimer
    router: PeerRouter
    demand: DemandSink
    records: Records = field(factory=Records, init=False)
    configuration: Configuration | None = field(default=None, init=False)
    upstreams: dict[UpstreamId, UpstreamAddress] = field(factory=dict, init=False)
    _driver: CoreDriver[DispatchEvent, DispatchAction] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._driver = CoreDriver(self.core, self._execute, Ticked)

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress, here or at upstreams."""
        return not self.records and not self.runner

    def now(self) -> float:
        """Return the loop time, which the dispatch core uses as well."""
        return asyncio.get_running_loop().time()

    def submit(self, submission: Submission, span: HopSpan) -> Answer:
        """Accept a validated request and return its answer, which is filled later."""
        answer = Answer()
        decision = self.tracing.start(Hop.GATEWAY, DECISION_SPAN, span)
        self.records.add(RequestRecord(submission, answer, span, decision))
        self.send(RequestArrived(request=submission.request))
        return answer

    def hang_up(self, request_id: RequestId) -> None:
        """Handle a caller that no longer waits for a request's answer."""
        if self.records.get(request_id) is not None:
            self.send(RequestCancelled(request_id=request_id))

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self.send(ConfigurationChanged(configuration=configuration))

    def set_upstreams(self, upstreams: Iterable[UpstreamAddress]) -> None:
        """Replace the list of known upstreams."""
        self.upstreams = {each.id: each for each in upstreams}
        self.send(UpstreamListChanged(upstreams=tuple(self.upstreams.values())))

    def send(self, event: DispatchEvent) -> None:
        """Pass an event to the core and execute the resulting actions."""
        self._driver.async_handle(event)

    def close(self) -> None:
        """Stop handling events."""
        self._driver.async_stop()

    def _execute(self, action: DispatchAction) -> None:
        _handlers[type(action)](self, action)

    @_handles(StartAttempt)
    def _start_attempt(self, action: StartAttempt) -> None:
        record = self.records.get(action.request_id)
        upstream = self.upstreams.get(action.upstream_id)
        if record is None or upstream is None:
            self.send(_make_unlisted_event(action))
            return
        record.end_decision()
        self.runner.async_start(action, record, upstream.address)

    @_handles(CancelAttempt)
    def _cancel_attempt(self, action: CancelAttempt) -> None:
        self.runner.async_cancel(action.attempt_id)

    @_handles(Reject)
    def _reject(self, action: Reject) -> None:
        record = self.records.pop(action.request_id)
        if record is not None:
            record.attempt = None
            record.answer.fail(action.failure)

    @_handles(FinishRequest)
    def _finish(self, action: FinishRequest) -> None:
        record = self.records.pop(action.request_id)
        if record is None:
            return
        record.attempt = None
        record.answer.finish()
        if action.keep_answer:
            self.records.store_answer(action.request_id, record.answer)

    @_handles(ReplayAnswer)
    def _replay(self, action: ReplayAnswer) -> None:
        record = self.records.pop(action.request_id)
        if record is None:
            return
        stored_answer = self.records.find_answer(action.answer_id)
        if stored_answer is None:
            record.answer.fail(_make_lost_answer_failure())
            return
        record.answer.follow(stored_answer)

    @_handles(JoinRequest)
    def _join(self, action: JoinRequest) -> None:
        record = self.records.get(action.request_id)
        leader = self.records.get(action.leader_id)
        if record is not None and leader is not None:
            leader.followers.append(record.id)
            record.answer.follow(leader.answer)

    @_handles(DeleteAnswer)
    def _delete_answer(self, action: DeleteAnswer) -> None:
        self.records.delete_answer(action.answer_id)

    @_handles(ClaimKey)
    def _claim(self, action: ClaimKey) -> None:
        record = self.records.get(action.request_id)
        if record is not None:
            self.claimer.async_claim(action, record.submission)

    @_handles(ForwardToHome)
    def _forward_home(self, action: ForwardToHome) -> None:
        record = self.records.pop(action.request_id)
        if record is not None:
            self._record_forward(record, REASON_FORWARDED_HOME, f"home {action.home}")
            self.router.async_forward_home(record, action.home)

    @_handles(ForwardToPeer)
    def _forward_any(self, action: ForwardToPeer) -> None:
        record = self.records.pop(action.request_id)
        if record is not None:
            self._record_forward(
                record, REASON_FORWARDED_LEAVING, "this gateway is leaving"
            )
            self.router.async_forward_any(record)

    @_handles(ReportDemand)
    def _report_demand(self, action: ReportDemand) -> None:
        self.demand.async_report_demand(action)

    @_handles(Explain)
    def _explain(self, action: Explain) -> None:
        record = self.records.get(action.request_id)
        self.journal.add(
            JournalEntry(
                at=time.time(),
                kind=DecisionKind.REQUEST,
                reason=action.reason,
                detail=action.detail,
                request=action.request_id,
                upstream=action.upstream_id,
                trace_id=None if record is None else record.span.trace_id,
            )
        )

    def _record_forward(self, record: RequestRecord, reason: str, detail: str) -> None:
        self.journal.add(
            JournalEntry(
                at=time.time(),
                kind=DecisionKind.REQUEST,
                reason=reason,
                detail=detail,
                request=record.id,
                trace_id=record.span.trace_id,
            )
        )

    @_handles(LogBreakerChange)
    def _log_breaker(self, action: LogBreakerChange) -> None:
        upstream = action.upstream_id
        if action.failures:
            log_event(CircuitOpened(upstream_id=upstream, failures=action.failures))
        else:
            log_event(CircuitClosed(upstream_id=upstream))

    @_handles(WakeAt)
    def _schedule_wakeup(self, action: WakeAt) -> None:
        self._driver.async_wake_at(action.time)


def _make_unlisted_event(action: StartAttempt) -> AttemptFailed:
    failure = Failure(
        code=ErrorCode.NO_UPSTREAM,
        verdict=Verdict.NOT_RUN,
        detail=f"{action.upstream_id} is no longer listed",
    )
    return AttemptFailed(
        attempt_id=action.attempt_id, verdict=failure.verdict, failure=failure
    )


def _make_lost_answer_failure() -> Failure:
    return Failure(
        code=ErrorCode.KEY_EXPIRED,
        verdict=Verdict.RAN,
        detail="the request ran, but its answer is no longer stored",
    )
