"""One request from its route to its answer: tries, refusals, failures."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from ..http1.client import ConnectionPool
from ..http1.messages import Request, ResponseHead
from ..http1.server import CallerGoneError
from ..models.routing import Route, RouteKind, ServiceProfile
from ..models.runner import RunnerEntry
from ..models.verdict import Verdict
from ..observability.metrics import Metrics
from ..platform.requests import RequestFields, encode_for_runner
from ..platform.signals import decode_signals
from ..policy.edge.const import RETRY_AFTER_BUDGET_S, RETRY_AFTER_OUTAGE_S
from ..policy.edge.retries import FailedAttempt, Next, RetryCause, decide_retry
from ..policy.scheduling.events import EndKind, Refuse
from .admission import Admission, Caller, Denial
from .attempt import Attempt, AttemptResult, WholeResponse, deliver_whole
from .const import BUDGET_SPENT, MAX_SILENCE_S, MIN_SILENCE_S, SILENT_OBJECTIVES
from .crash_detector import CrashDetector, InterruptedRequest
from .delivery import Delivery
from .request_log import RequestLog
from .responses import (
    STATUS_FAILED,
    STATUS_NOT_RUN,
    STATUS_OVER_QUOTA,
    STATUS_TIMEOUT,
    make_response,
)
from .runner_finder import FinderTools, RunnerFinder


class Tools(FinderTools, Protocol):
    """What all requests of an edge share."""

    admission: Admission
    pool: ConnectionPool
    metrics: Metrics
    crash_detector: CrashDetector


@define(eq=False)
class Handling:
    """One request from its route to its answer."""

    tools: Tools
    log: RequestLog
    request: Request
    fields: RequestFields
    route: Route
    caller: Caller
    service: ServiceProfile
    delivery: Delivery
    _finder: RunnerFinder = field(init=False)
    _may_have_run: bool = field(default=False, init=False)
    _in_attempt: bool = field(default=False, init=False)
    _cause: RetryCause = field(default=RetryCause.FAILED, init=False)
    """Why the request is sent once more, if it is."""

    _budget_spent: bool = field(default=False, init=False)
    """Whether it would be sent once more if there were credit for it."""

    _runner_id: str | None = field(default=None, init=False)
    _first_event_at: float | None = field(default=None, init=False)
    """When the first event of the present try came."""

    _error: WholeResponse | None = field(default=None, init=False)
    _clock: Callable[[], float] = field(init=False)
    _deadline: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        left = self.route.timeout_s
        if self.fields.time_left_s is not None:
            left = min(left, self.fields.time_left_s)
        self._deadline = self.delivery.arrived_at + left
        self._finder = RunnerFinder(
            tools=self.tools,
            log=self.log,
            fields=self.fields,
            route=self.route,
            caller=self.caller,
            service=self.service,
            delivery=self.delivery,
            deadline=self._deadline,
        )

    async def async_run(self) -> None:
        """Serve the request, or answer why not."""
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._async_try_runners()
        except TimeoutError:
            self._finder.end(EndKind.LEFT)
            self._time_out()
        except (CallerGoneError, asyncio.CancelledError):
            self._finder.end(EndKind.LEFT)
            self.log.note_abandoned()
            raise
        finally:
            self._finder.end(EndKind.FAILED)
            self._finder.end_next()

    async def _async_try_runners(self) -> None:
        while True:
            placed = await self._finder.async_find()
            if isinstance(placed, Refuse):
                status = STATUS_OVER_QUOTA if placed.over_quota else STATUS_NOT_RUN
                self._refuse(placed.reason, placed.retry_after_s, status)
                return
            denial = self._check_again()
            if denial is not None:
                self._finder.end(EndKind.LEFT)
                self._refuse(denial.reason, denial.retry_after_s, denial.status)
                return
            result = await self._async_attempt(placed)
            if result.delivered:
                if result.ended_well:
                    self.tools.crash_filter.record_success(self.log.identity)
                self.log.note_served(placed)
                return
            self._cause = self._find_cause(result)
            decision = self._decide(result)
            self.log.note_attempt(placed, result, decision)
            if decision is Next.RETRY:
                continue
            self._give_up(result, decision)
            return

    async def _async_attempt(self, runner: RunnerEntry) -> AttemptResult:
        self.log.attempts += 1
        if self._finder.reached:
            self.log.note_repeat(runner, self._cause)
        self._runner_id = runner.runner_id
        idempotent = self.route.idempotent
        sent_at = self._clock()
        attempt = Attempt(
            request=encode_for_runner(
                self.request,
                runner_id=runner.runner_id,
                time_left_s=self._deadline - self._clock(),
                priority=self._choose_priority(),
                last_event_id=self.delivery.last_event_id,
                customer=self.caller.name,
                forwards_credentials=self.caller.forwards_credentials,
            ),
            request_id=self.fields.request_id,
            runner=runner,
            streaming=self.route.kind is RouteKind.STREAMING,
            repeatable=idempotent,
            silence_s=self._choose_silence() if idempotent else None,
            on_silence=self._async_find_other,
            pool=self.tools.pool,
            delivery=self.delivery,
            on_first_event=self._note_first_event,
            on_head=lambda head: self._note_head(runner, head, sent_at),
        )
        self.tools.plain_grant_provider.in_flight.add(runner.runner_id)
        self._in_attempt = True
        self._finder.payment.begin_try()
        self._first_event_at = None
        self.tools.signal_tracker.note_sent(runner)
        try:
            result = await attempt.async_run()
        finally:
            self.tools.plain_grant_provider.in_flight.remove(runner.runner_id)
        if result.connection_lost:
            await self._async_note_lost(runner, sent_at)
        self._in_attempt = False
        self._note_result(runner, result)
        return result

    async def _async_note_lost(self, runner: RunnerEntry, sent_at: float) -> None:
        """Have it checked whether the runner crashed.

        One that may be held back for this crash waits for the verdict, some
        milliseconds, before it is repeated: it would cost one more runner.
        """
        identity = self.log.identity
        first_at = self._first_event_at
        ran_s = 0.0 if first_at is None else self._clock() - first_at
        lost = InterruptedRequest(identity=identity, sent_at=sent_at, ran_s=ran_s)
        self.tools.crash_detector.note_lost(runner, lost)
        if self.tools.crash_filter.is_suspected(identity):
            await self.tools.crash_detector.async_settle(runner)

    def _check_again(self) -> Denial | None:
        """Return why the request may not go on; an answer that has begun may."""
        if self.delivery.started:
            return None
        return self.tools.admission.check_again(self.caller, self.route)

    def _choose_priority(self) -> int | None:
        if self.service.engine is None:
            return None
        return self.caller.choose_priority(self.route)

    async def _async_find_other(self) -> bool:
        return await self._finder.async_find_other(self._runner_id)

    def _choose_silence(self) -> float:
        wanted = SILENT_OBJECTIVES * self.route.objective_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, wanted))

    def _note_first_event(self) -> None:
        self._first_event_at = self._clock()
        self._finder.note_first_event()

    def _note_head(
        self, runner: RunnerEntry, head: ResponseHead, sent_at: float
    ) -> None:
        self.tools.signal_tracker.note(
            runner, decode_signals(head.headers, head.status), sent_at
        )

    def _note_result(self, runner: RunnerEntry, result: AttemptResult) -> None:
        kind = _judge(result)
        if kind is EndKind.SERVED and self._has_paused():
            kind = EndKind.PAUSED
        self._finder.note_tried(runner.runner_id, kind, was_sent=result.was_sent)
        if not result.delivered:
            self._error = result.error
        self.tools.metrics.edge_attempts.add(kind.value)

    def _has_paused(self) -> bool:
        """Return whether a stream that one runner served is late by a pause."""
        objective_s = self.route.gap_objective_s
        alone = not self._finder.reached
        return bool(objective_s and alone and self.delivery.longest_gap_s > objective_s)

    def _decide(self, result: AttemptResult) -> Next:
        failed = FailedAttempt(
            verdict=result.verdict,
            ran_before=self._may_have_run,
            runners_tried=len(self._finder.reached),
            was_sent=result.was_sent,
            time_left_s=self._deadline - self._clock(),
        )
        decision = decide_retry(self.route, failed, budget_left=True)
        needs_credit = decision is Next.RETRY and result.was_sent
        if needs_credit and not self._finder.payment.pay():
            self._budget_spent = True
            decision = decide_retry(self.route, failed, budget_left=False)
        if result.verdict is not Verdict.NOT_RUN:
            self._may_have_run = True
        return decision

    def _find_cause(self, result: AttemptResult) -> RetryCause:
        if result.verdict is Verdict.NOT_RUN:
            return RetryCause.REFUSED
        if self._finder.has_next:
            return RetryCause.SILENT
        return RetryCause.RESUMED if self.delivery.events else RetryCause.FAILED

    def _give_up(self, result: AttemptResult, decision: Next) -> None:
        reason, retry_after_s = result.reason, RETRY_AFTER_OUTAGE_S
        if self._budget_spent:
            reason, retry_after_s = BUDGET_SPENT, RETRY_AFTER_BUDGET_S
        if decision is Next.REFUSE:
            self._refuse(reason, retry_after_s)
        else:
            self._fail(STATUS_FAILED, reason)

    def _refuse(
        self, reason: str, retry_after_s: float | None, status: int = STATUS_NOT_RUN
    ) -> None:
        """Answer that the request has not run; a failure if it may have."""
        if self._may_have_run or self.delivery.started:
            self._fail(STATUS_FAILED, reason)
            return
        self._finder.give_back_quota()
        self.log.note_rejected(status, reason, retry_after_s)
        self.delivery.answer(status, *make_response(reason, retry_after_s))

    def _fail(self, status: int, reason: str) -> None:
        """Answer a failure: the runner's own if it gave one."""
        error = self._error
        cut = self.delivery.started
        shown = None if cut else (error.head.status if error else status)
        self.log.note_failed(shown, reason, self._runner_id)
        if cut:
            self.delivery.exchange.break_off()
        elif error is not None:
            deliver_whole(self.delivery, error)
        else:
            self.delivery.answer(status, *make_response(reason))

    def _time_out(self) -> None:
        if self._in_attempt:
            self._may_have_run = True
        if self._may_have_run or self.delivery.started:
            self._fail(STATUS_TIMEOUT, "no answer within the route's timeout")
        else:
            self._refuse("no runner had room in time", RETRY_AFTER_OUTAGE_S)


def _judge(result: AttemptResult) -> EndKind:
    if result.delivered:
        return EndKind.SERVED
    if not result.was_sent:
        return EndKind.UNREACHABLE
    if result.verdict is Verdict.NOT_RUN:
        return EndKind.NOT_HELD if result.not_held else EndKind.NOT_RUN
    return EndKind.FAILED
