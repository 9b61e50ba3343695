"""Handling of one request: attempts, retries, rejections and failures."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from attrs import define, evolve, field

from ..http1.client import Connection, ConnectionLostError
from ..http1.connection_pool import ConnectionPool
from ..http1.exchange import CallerGoneError
from ..http1.messages import Request, ResponseHead
from ..models.routing import Route, RouteKind, ServiceProfile
from ..models.runner import RunnerEntry
from ..models.signals import NO_SIGNALS
from ..models.streams import make_origin
from ..models.verdict import Verdict
from ..platform.requests import RequestFields, encode_for_runner
from ..platform.signals import decode_signals
from ..policy.crashes.const import EARLY_RUN_S
from ..policy.edge.const import (
    MAX_UNREACHABLE_ATTEMPTS,
    RETRY_AFTER_BUDGET_S,
    RETRY_AFTER_OUTAGE_S,
)
from ..policy.edge.event_order import EventOrder
from ..policy.edge.origin_search import FoundOrigin
from ..policy.edge.response_end import ResponseEnd
from ..policy.edge.retries import FailedAttempt, RetryCause, RetryDecision, decide_retry
from ..policy.scheduling.events import EndKind, Reject
from ..util.statuses import is_success
from .admission import Admission, Caller, Rejection
from .attempt import Attempt, is_not_run
from .attempt_result import AttemptResult
from .const import (
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    NO_VERSION_REASON,
    RETRY_AFTER_STOP_S,
    RETRY_BUDGET_SPENT_REASON,
    SILENCE_OBJECTIVES,
    STOPPING_REASON,
)
from .continuation import (
    CRASH,
    ContinuationContext,
    ContinuedRun,
    StreamContinuation,
)
from .crash_detector import InterruptedRequest
from .delivery import Delivery
from .final_response import FinalResponse
from .identity import identify_stream
from .kept_stream import KeptStream
from .relay import PeerRelay, RelayMark, RequestRelay
from .request_log import RequestLog
from .response_ends import ClosedResponse, ResponseEnds
from .responses import (
    STATUS_FAILED,
    STATUS_NOT_RUN,
    STATUS_OVER_QUOTA,
    STATUS_TIMEOUT,
)
from .runner_connector import RunnerConnector
from .runner_ends import EndEvidence, log_end
from .runner_finder import RunnerFinder
from .sse import parse_number
from .stream_origins import StreamOrigins


class HandlerContext(ContinuationContext, Protocol):
    """The components that all requests of an edge share."""

    admission: Admission
    pool: ConnectionPool
    connector: RunnerConnector
    relay: PeerRelay
    response_ends: ResponseEnds
    stream_origins: StreamOrigins


@define(eq=False)
class RequestHandler:
    """Handles one request from its route to its response."""

    context: HandlerContext
    log: RequestLog
    request: Request
    fields: RequestFields
    route: Route
    caller: Caller
    service: ServiceProfile
    delivery: Delivery
    protects_streams: bool = False
    """Whether streams of the service are transferred and backed up."""

    relay_mark: RelayMark | None = None
    """Mark of a request that another edge sent; None for one of a caller."""

    resumed: FoundOrigin | None = None
    """Origin of a stream that the caller resumes; None if it is unknown, or for a new
    stream."""

    _finder: RunnerFinder = field(init=False)
    _continuation: StreamContinuation | None = field(default=None, init=False)
    """How the stream continues elsewhere; None if it does not."""

    _kept: KeptStream | None = field(default=None, init=False)
    """Stream at a silent runner while the request is sent to another one."""

    _relay: RequestRelay = field(init=False)
    _unreachable_attempts: int = field(default=0, init=False)
    """Attempts that failed to connect."""

    _retry_cause: RetryCause = field(default=RetryCause.FAILED, init=False)
    """Why the request is sent again, if it is."""

    _is_budget_spent: bool = field(default=False, init=False)
    """Whether the request was not retried because no credit was left."""

    _runner: RunnerEntry | None = field(default=None, init=False)
    _sent_at: float = field(default=0.0, init=False)
    _first_event_at: float | None = field(default=None, init=False)
    """When the first event of the current attempt arrived."""

    _may_end_limit: bool = field(default=False, init=False)
    """Whether the head of the current attempt's response has no limit."""

    _stream_digest: str = field(default="", init=False)
    """Digest of the stream once its origin is recorded."""

    _timeout: asyncio.Timeout | None = field(default=None, init=False)
    """Time limit of the request while it is in progress."""

    _is_stopped: bool = field(default=False, init=False)
    """Whether the request ends since this host stops."""

    _response: FinalResponse = field(init=False)
    _clock: Callable[[], float] = field(init=False)
    _deadline: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        time_limit_s = self.route.limit_time(self.fields.time_left_s)
        self._deadline = self.delivery.arrived_at + time_limit_s
        self._finder = RunnerFinder(
            context=self.context,
            log=self.log,
            fields=self.fields,
            route=self.route,
            caller=self.caller,
            service=self.service,
            delivery=self.delivery,
            deadline=self._deadline,
            is_counted=self.relay_mark is RelayMark.COUNTED,
        )
        last_number = parse_number(self.fields.last_event_id)
        if self.route.resumable and last_number is not None:
            self.delivery.order = EventOrder(last_number)
        if self.resumed is not None:
            self._finder.constraint.origin = self.resumed.origin
        self._response = FinalResponse(
            self.log, self.delivery, self._finder, self.relay_mark is not None
        )
        self._relay = RequestRelay(
            relay=self.context.relay,
            request=self.request,
            fields=self.fields,
            route=self.route,
            delivery=self.delivery,
            deadline=self._deadline,
        )
        if self.protects_streams and self.route.kind is RouteKind.STREAMING:
            self._continuation = StreamContinuation(
                context=self.context,
                fields=self.fields,
                service=self.service,
                finder=self._finder,
                delivery=self.delivery,
                deadline=self._deadline,
                send=self._async_send_on,
                check_crash=self._async_check_crash,
            )

    async def async_run(self) -> None:
        """Serve the request, or respond with the reason why it can't be served."""
        try:
            async with asyncio.timeout_at(self._deadline) as self._timeout:
                await self._async_try_runners()
        except TimeoutError:
            self._finder.release_grant(EndKind.LEFT)
            self._handle_timeout()
        except (CallerGoneError, asyncio.CancelledError):
            self._finder.release_grant(EndKind.LEFT)
            self.log.log_abandoned()
            raise
        finally:
            if self._continuation is not None:
                self._continuation.close()
            self._discard_kept()
            self._finder.release_grant(EndKind.FAILED)
            self._finder.release_reserved()
            if self.delivery.finished and self._stream_digest:
                self.context.stream_origins.end(self._stream_digest)
            self.context.crash_filter.probes.end(self.log.identity)

    def end_unanswered(self) -> None:
        """Respond now if the response has not begun, since this host stops."""
        timeout = self._timeout
        if timeout is None or timeout.expired() or self.delivery.started:
            return
        self._is_stopped = True
        timeout.reschedule(self._clock())

    async def _async_try_runners(self) -> None:
        if self._must_relay():
            await self._async_relay()
            return
        self._finder.count_request()
        while True:
            if self._kept is None and not self._finder.constraint.is_satisfiable:
                self._response.reject(NO_VERSION_REASON, None)
                return
            found = await self._finder.async_find()
            if self._kept is not None and isinstance(found, Reject):
                decision: RetryDecision | None = RetryDecision.RETURN
            elif isinstance(found, Reject):
                status = STATUS_OVER_QUOTA if found.over_quota else STATUS_NOT_RUN
                self._response.reject(found.reason, found.retry_after_s, status)
                return
            else:
                rejection = self._recheck_admission()
                if rejection is not None:
                    self._finder.release_grant(EndKind.LEFT)
                    self._response.reject(
                        rejection.reason, rejection.retry_after_s, rejection.status
                    )
                    return
                result = await self._async_attempt(found)
                decision = self._handle_result(found, result)
            while decision is RetryDecision.RETURN and self._kept is not None:
                kept = self._kept
                result = await self._async_return(kept)
                decision = self._handle_result(kept.runner, result)
            if decision is None:
                return
            if self._kept is None and self._must_relay():
                await self._async_relay()
                return

    def _handle_result(
        self, runner: RunnerEntry, result: AttemptResult
    ) -> RetryDecision | None:
        """Return what follows an attempt; None if the response has ended."""
        if result.delivered:
            if result.succeeded:
                self._record_success(self._runner or runner, result)
            self.log.log_served((self._runner or runner).runner_id, result)
            return None
        self._retry_cause = self._get_retry_cause(result)
        decision = self._decide(result)
        self.log.log_failed_attempt(runner, result, decision)
        if decision in (RetryDecision.RETRY, RetryDecision.RETURN):
            return decision
        self._give_up(result, decision)
        return None

    def _must_relay(self) -> bool:
        """Return whether no runner can be reached from this host for the request."""
        if self._unreachable_attempts >= MAX_UNREACHABLE_ATTEMPTS:
            return True
        return self.context.connector.reach.is_lost

    async def _async_relay(self) -> None:
        """Send the request through a peer, or reject it if none can help."""
        result = None
        if self.relay_mark is None:
            mark = RelayMark.UNCOUNTED
            if self._finder.is_counted:
                mark = RelayMark.COUNTED
            self._finder.retry_payment.begin_attempt()
            result = await self._relay.async_run(mark)
            self._finder.retry_payment.settle_attempt(was_sent=result is not None)
        if result is None:
            self._response.reject_unreachable()
        elif result.delivered:
            self.log.log_served("", result)
        elif result.rejection is not None:
            self._response.forward_rejection(result.rejection)
        else:
            self._response.error = result.error
            self._response.fail(STATUS_FAILED, result.reason)

    async def _async_attempt(self, runner: RunnerEntry) -> AttemptResult:
        self.log.attempts += 1
        if self._finder.tried_runner_ids:
            self.log.log_retry(runner, self._retry_cause)
        self._finder.retry_payment.begin_attempt()
        result = await self._async_send(runner)
        return await self._async_end_attempt(runner, result)

    async def _async_return(self, kept: KeptStream) -> AttemptResult:
        """Read on at the silent runner that was kept, since no other one accepted."""
        kept.stop_timer()
        self._kept, self._runner, self._sent_at = None, kept.runner, kept.sent_at
        self._response.runner_id = kept.runner.runner_id
        self._first_event_at = kept.first_event_at
        self._may_end_limit = kept.may_end_limit
        self._finder.resume_attempt(kept.runner.runner_id)
        if self._continuation is not None:
            self._continuation.resume_attempt(kept.runner, kept.attempt)
        result = await self._async_read(
            kept.runner, kept.attempt, kept.attempt.async_resume()
        )
        return await self._async_end_attempt(kept.runner, result)

    async def _async_end_attempt(
        self, runner: RunnerEntry, result: AttemptResult
    ) -> AttemptResult:
        """Continue the stream of an attempt that ended, or record its result."""
        if self._continuation is not None:
            runner, result = await self._continuation.async_follow(runner, result)
        elif result.connection_lost:
            await self._async_check_crash(runner)
        self._runner = runner
        self._response.runner_id = runner.runner_id
        if result.is_suspended:
            self._finder.keep_attempt(runner.runner_id)
            return result
        if result.verdict is not Verdict.NOT_RUN:
            self._discard_kept()
        self._record_result(runner, result)
        return result

    def _discard_kept(self) -> None:
        """Close the connection to the silent runner that was kept."""
        kept, self._kept = self._kept, None
        if kept is None:
            return
        kept.stop_timer()
        kept.attempt.discard()
        self._finder.release_kept()
        self.context.metrics.edge_attempts.add(EndKind.FAILED.value)

    async def _async_send_on(self, run: ContinuedRun) -> AttemptResult:
        """Send the request to a runner that continues its run."""
        self.log.log_retry(run.runner, RetryCause.CONTINUED)
        return await self._async_send(run.runner, run)

    async def _async_send(
        self, runner: RunnerEntry, run: ContinuedRun | None = None
    ) -> AttemptResult:
        """Send the request to a runner, for a new run or to continue one."""
        self._runner, self._sent_at = runner, self._clock()
        self._response.runner_id = runner.runner_id
        attempt = self._make_attempt(runner, run)
        if self._continuation is not None:
            self._continuation.begin_attempt(runner, attempt)
        self._first_event_at = None
        self._may_end_limit = False
        self._log_resumed(runner)
        self._finder.measure_events()
        self.context.signal_tracker.record_sent(runner)
        return await self._async_read(runner, attempt, attempt.async_run())

    async def _async_read(
        self,
        runner: RunnerEntry,
        attempt: Attempt,
        exchange: Coroutine[Any, Any, AttemptResult],
    ) -> AttemptResult:
        """Wait for the end of an attempt, and keep it if it is suspended."""
        in_flight = self.context.plain_grant_provider.in_flight
        in_flight.add(runner.runner_id)
        try:
            result = await exchange
        finally:
            in_flight.remove(runner.runner_id)
        if result.is_suspended:
            self._kept = KeptStream(
                runner=runner,
                attempt=attempt,
                sent_at=self._sent_at,
                first_event_at=self._first_event_at,
                may_end_limit=self._may_end_limit,
            )
        return result

    def _log_resumed(self, runner: RunnerEntry) -> None:
        self.log.log_resumed(runner, self._finder.constraint.origin, self.resumed)

    def _make_attempt(self, runner: RunnerEntry, run: ContinuedRun | None) -> Attempt:
        continuation, sent_at = self._continuation, self._sent_at
        backup_address = ""
        if continuation is not None and (run is None or run.cause != CRASH):
            backup_address = continuation.choose_backup(runner)
        return Attempt(
            request=encode_for_runner(
                self.request,
                runner_id=runner.runner_id,
                time_left_s=self._deadline - self._clock(),
                priority=self._choose_priority(),
                last_event_id=self.delivery.last_event_id,
                customer=self.caller.name,
                forwards_credentials=self.caller.forwards_credentials,
                copy="" if run is None else run.copy,
                backup_address=backup_address,
            ),
            request_id=self.fields.request_id,
            address=runner.address,
            upstream_id=runner.runner_id,
            kind=self.route.kind,
            # A connection that closes without a response doesn't prove that the request
            # has not run. If that must not be retried, an idle connection is used only
            # if it was in use just before.
            async_open=lambda: self._async_open(
                runner, retryable=self.route.idempotent and run is None
            ),
            silence_s=self._get_max_silence(),
            on_silence=lambda: self._async_handle_silence(runner),
            pool=self.context.pool,
            delivery=self.delivery,
            on_first_event=lambda: self._handle_first_event(run),
            on_head=lambda head: self._handle_head(runner, head, sent_at),
            was_stopped=None
            if continuation is None
            else continuation.async_was_stopped,
            may_suspend=self._may_suspend,
            judge_end=lambda ago_s: self._async_judge_end(runner, sent_at, ago_s),
        )

    async def _async_open(self, runner: RunnerEntry, *, retryable: bool) -> Connection:
        connection = await self.context.connector.async_open(
            runner, request_id=self.fields.request_id, retryable=retryable
        )
        if self._kept is not None:
            self._kept.start_timer(self._discard_kept)
        return connection

    def _may_suspend(self) -> bool:
        """Return whether the connection to a silent runner is kept for now."""
        finder, continuation = self._finder, self._continuation
        if continuation is not None and continuation.has_transfer:
            return False
        return finder.has_reserved and finder.keeps_silent_runner

    async def _async_judge_end(
        self, runner: RunnerEntry, sent_at: float, ago_s: float | None
    ) -> ResponseEnd:
        """Return whether a response that ended with its connection is complete."""
        since = sent_at if ago_s is None else max(sent_at, self._clock() - ago_s)
        response = ClosedResponse(
            request_id=self.fields.request_id, events=self.delivery.events, since=since
        )
        return await self.context.response_ends.async_judge(runner, response)

    async def _async_check_crash(self, runner: RunnerEntry) -> None:
        """Start a check whether the runner has crashed.

        A request that this crash may block waits several milliseconds for the result
        before it is retried, because the retry could crash one more runner.
        """
        identity = self.log.identity
        first_at = self._first_event_at
        ran_s = 0.0 if first_at is None else self._clock() - first_at
        interrupted = InterruptedRequest(
            identity=identity,
            sent_at=self._sent_at,
            ran_s=ran_s,
            shared_parts=tuple(
                each.part_id for each in self.fields.prompt.shared_parts
            ),
        )
        self.context.crash_detector.record_interrupted(runner, interrupted)
        if self.context.crash_filter.is_suspected(identity):
            await self.context.crash_detector.async_settle(runner)

    def _record_success(self, runner: RunnerEntry, result: AttemptResult) -> None:
        """Record that the request was served, unless its runner may have crashed.

        A runner that is not listed and goes on may still be about to end.
        """
        first_at = self._first_event_at
        has_run_on = first_at is not None and self._clock() - first_at >= EARLY_RUN_S
        is_framed = result.end is ResponseEnd.FRAMED
        if is_framed or has_run_on or self.context.view.is_listed(runner):
            self.context.crash_filter.record_success(self.log.identity)

    def _recheck_admission(self) -> Rejection | None:
        """Return why the request is rejected; a started response is not stopped."""
        if self.delivery.started:
            return None
        return self.context.admission.recheck(self.caller, self.route)

    def _choose_priority(self) -> int | None:
        if self.service.engine is None:
            return None
        return self.caller.choose_priority(self.route)

    async def _async_handle_silence(self, runner: RunnerEntry) -> bool:
        """Search for another runner if the request may be sent to one.

        Raises:
            ConnectionLostError: If the silent runner's process has ended. A host that
                is gone closes no connections.
        """
        ends, continuation = self.context.runner_ends, self._continuation
        self._raise_if_ended(runner, ends.find_known(runner))
        if not (self.route.idempotent and self.delivery.may_go_on):
            self._raise_if_ended(runner, await ends.async_wait(runner))
        is_listed = self.context.view.is_listed(runner)
        if not is_listed and continuation is not None and continuation.has_backup:
            # Its copy spares the prefill at an alternative.
            self._raise_if_ended(runner, await ends.async_find(runner))
        if continuation is not None and continuation.is_stopping:
            # The stream goes on from its copy.
            return False
        if await self._async_find_alternative(runner):
            return True
        if not is_listed:
            self._raise_if_ended(runner, await ends.async_find(runner))
        return False

    def _raise_if_ended(
        self, runner: RunnerEntry, evidence: EndEvidence | None
    ) -> None:
        if evidence is not None:
            log_end(self.fields.request_id, runner, evidence)
            raise ConnectionLostError("the runner is gone")

    async def _async_find_alternative(self, runner: RunnerEntry) -> bool:
        """Return whether a request may be repeated at another runner or a peer."""
        connector = self.context.connector
        connector.start_check(self._sent_at)
        if connector.reach.is_lost:
            tried = {*self._finder.tried_runner_ids, runner.runner_id}
            return self._finder.try_acquire_retry(tried)
        return await self._finder.async_find_alternative(runner.runner_id)

    def _get_max_silence(self) -> float:
        max_silence_s = SILENCE_OBJECTIVES * self.route.objective_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, max_silence_s))

    def _handle_first_event(self, run: ContinuedRun | None) -> None:
        self._first_event_at = self._clock()
        if not self._stream_digest and self._runner is not None:
            self._record_origin(self._runner)
        if run is None:
            self._finder.handle_first_event()

    def _record_origin(self, runner: RunnerEntry) -> None:
        """Record what wrote the first event, before the caller receives it."""
        origin = self._finder.constraint.origin
        if origin is None:
            origin = self._finder.constraint.origin = make_origin(runner)
        if not self.fields.origin_id:
            return
        self._stream_digest = identify_stream(self.caller.name, self.fields.origin_id)
        self.context.stream_origins.record(self._stream_digest, origin, self.route)

    def _handle_head(
        self, runner: RunnerEntry, head: ResponseHead, sent_at: float
    ) -> None:
        self.context.response_ends.record_answer(runner, sent_at, head.status)
        signals = decode_signals(head.headers, head.status)
        self._may_end_limit = signals.is_limit_known and signals.limit is None
        if self._may_end_limit:
            signals = evolve(signals, is_limit_known=False)
        self.context.signal_tracker.handle_signals(
            runner,
            signals,
            sent_at,
            is_full=head.status == STATUS_NOT_RUN and is_not_run(head),
        )
        if is_success(head.status):
            self._discard_kept()
        if self._continuation is not None and is_success(head.status):
            self._continuation.handle_response()

    def _record_result(self, runner: RunnerEntry, result: AttemptResult) -> None:
        kind = _get_end_kind(result)
        self._unreachable_attempts += kind is EndKind.UNREACHABLE
        if kind is EndKind.SERVED and self._has_paused():
            kind = EndKind.PAUSED
        was_cut_off = kind in (EndKind.UNREACHABLE, EndKind.FAILED) and (
            result.error is None and self.context.connector.reach.is_lost
        )
        # A fault of this host says nothing about the runner.
        reported = EndKind.LEFT if was_cut_off else kind
        if self._may_end_limit and result.verdict is not Verdict.MAY_HAVE_RUN:
            # Only a whole response without a limit ends one: a faulty runner may send
            # bytes that look like the head of a response.
            self.context.signal_tracker.handle_signals(
                runner, NO_SIGNALS, self._sent_at
            )
        self._may_end_limit = False
        was_sent = result.was_sent
        self._finder.record_attempt(runner.runner_id, reported, was_sent=was_sent)
        if not result.delivered:
            self._response.error = result.error
        self.context.metrics.edge_attempts.add(kind.value)

    def _has_paused(self) -> bool:
        """Return whether a stream from a single runner paused beyond its objective."""
        objective_s = self.route.gap_objective_s
        is_single_runner = not self._finder.tried_runner_ids
        return bool(
            objective_s
            and is_single_runner
            and self.delivery.longest_gap_s > objective_s
        )

    def _decide(self, result: AttemptResult) -> RetryDecision:
        failed = FailedAttempt(
            verdict=result.verdict,
            may_have_run=self.delivery.history.may_have_run,
            runners_tried=len(self._finder.tried_runner_ids),
            was_sent=result.was_sent,
            may_repeat_rejected=self._finder.may_repeat_rejected,
            time_left_s=self._deadline - self._clock(),
            may_go_on=self.delivery.may_go_on,
            is_runner_kept=self._kept is not None,
        )
        decision = decide_retry(self.route, failed, budget_left=True)
        needs_credit = decision is RetryDecision.RETRY and result.was_sent
        if needs_credit and not self._finder.retry_payment.try_acquire():
            self._is_budget_spent = True
            decision = decide_retry(self.route, failed, budget_left=False)
        return decision

    def _get_retry_cause(self, result: AttemptResult) -> RetryCause:
        if result.verdict is Verdict.NOT_RUN:
            return RetryCause.REJECTED
        if self._finder.has_reserved:
            return RetryCause.SILENT
        return RetryCause.RESUMED if self.delivery.events else RetryCause.FAILED

    def _give_up(self, result: AttemptResult, decision: RetryDecision) -> None:
        reason, retry_after_s = result.reason, RETRY_AFTER_OUTAGE_S
        if self._is_budget_spent:
            reason, retry_after_s = RETRY_BUDGET_SPENT_REASON, RETRY_AFTER_BUDGET_S
        if decision is RetryDecision.REJECT:
            self._response.reject(reason, retry_after_s)
        else:
            self._response.fail(STATUS_FAILED, reason)

    def _handle_timeout(self) -> None:
        if self._response.must_fail:
            reason = "no response within the timeout of the route"
            if self._is_stopped:
                reason = STOPPING_REASON
            self._response.fail(STATUS_TIMEOUT, reason)
        elif self._is_stopped:
            self._response.reject(STOPPING_REASON, RETRY_AFTER_STOP_S)
        else:
            self._response.reject(
                "no runner had capacity in time", RETRY_AFTER_OUTAGE_S
            )


def _get_end_kind(result: AttemptResult) -> EndKind:
    if result.delivered:
        return EndKind.SERVED
    if not result.was_sent:
        return EndKind.UNREACHABLE
    if result.verdict is Verdict.NOT_RUN:
        return EndKind.NOT_HELD if result.is_model_missing else EndKind.NOT_RUN
    return EndKind.FAILED
