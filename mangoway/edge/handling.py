"""One request from its route to its answer: places, tries, refusals."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from attrs import define, field, frozen

from ..coordination.view import FleetView
from ..http1.client import ConnectionPool
from ..http1.messages import Request
from ..http1.server import CallerGoneError
from ..models.routing import Route, RouteKind, ServiceProfile
from ..models.runner import RunnerEntry
from ..models.verdict import Verdict
from ..observability.metrics import Metrics
from ..platform.requests import RequestFields, encode_for_runner
from ..policy.crashes.const import RETRY_AFTER_HELD_S
from ..policy.edge.const import MIN_RETRY_TIME_S, RETRY_AFTER_OUTAGE_S
from ..policy.edge.retries import FailedTry, Next, decide_next
from ..policy.scheduling.events import Asked, EndKind, Refuse
from ..scheduling.placing import Answer, Placer
from .answers import STATUS_FAILED, STATUS_NOT_RUN, STATUS_TIMEOUT, make_answer
from .attempt import Attempt, AttemptResult, WholeResponse, deliver_whole
from .const import (
    HELD_BACK,
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    OTHER_PLACE_S,
    SILENT_OBJECTIVES,
)
from .crash_screen import CrashScreen
from .crash_watch import CrashWatch, LostRequest
from .delivery import Delivery
from .plain import PlainPlacer
from .request_log import RequestLog


class Tools(Protocol):
    """What all requests of an edge share."""

    incarnation: str
    view: FleetView
    placer: Placer
    plain: PlainPlacer
    pool: ConnectionPool
    metrics: Metrics
    crash_watch: CrashWatch
    screen: CrashScreen
    numbers: "count[int]"


@frozen
class NextPlace:
    """A place that was found while the runner before was silent."""

    key: str | None
    """Key under which it was asked for; None at a plain service."""

    runner: RunnerEntry


@define(eq=False)
class Handling:
    """One request from its route to its answer."""

    tools: Tools
    log: RequestLog
    request: Request
    fields: RequestFields
    route: Route
    service: ServiceProfile
    delivery: Delivery
    _reached: set[str] = field(factory=set, init=False)
    _excluded: list[str] = field(factory=list, init=False)
    _may_have_run: bool = field(default=False, init=False)
    _sent: bool = field(default=False, init=False)
    _key: str | None = field(default=None, init=False)
    """Key of the place that is asked for or held."""

    _next: NextPlace | None = field(default=None, init=False)
    _in_attempt: bool = field(default=False, init=False)
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

    async def async_run(self) -> None:
        """Serve the request, or answer why not."""
        try:
            async with asyncio.timeout_at(self._deadline):
                await self._async_try_runners()
        except TimeoutError:
            self._end_place(EndKind.LEFT)
            self._time_out()
        except (CallerGoneError, asyncio.CancelledError):
            self._end_place(EndKind.LEFT)
            self.log.note_abandoned()
            raise
        finally:
            self._end_place(EndKind.FAILED)
            self._end_next()

    async def _async_try_runners(self) -> None:
        if self.service.engine is None and not self._is_held_back():
            self.tools.plain.note_request(self.service.name)
        while True:
            placed = await self._async_find_runner()
            if isinstance(placed, Refuse):
                self._refuse(placed.reason, placed.retry_after_s)
                return
            result = await self._async_attempt(placed)
            if result.delivered:
                if result.ended_well:
                    self.tools.screen.note_served(self.log.identity)
                self.log.note_served(placed)
                return
            decision = self._decide(result)
            self.log.note_attempt(placed, result, decision)
            if decision is Next.RETRY:
                continue
            self._give_up(result, decision)
            return

    async def _async_find_runner(self) -> RunnerEntry | Refuse:
        """Return the runner to send to, unless the request is held back.

        Looked at once more when a runner is found: crashes at other edges may have told
        what the request does while it waited.
        """
        if self._is_held_back():
            return self._refuse_held()
        placed = await self._async_place()
        if self._is_held_back():
            self._end_place(EndKind.NOT_RUN)
            return self._refuse_held()
        return placed

    def _is_held_back(self) -> bool:
        return self.tools.screen.is_held_back(self.log.identity)

    def _refuse_held(self) -> Refuse:
        return self._make_refusal(HELD_BACK, RETRY_AFTER_HELD_S)

    async def _async_place(self) -> RunnerEntry | Refuse:
        """Return the runner to send to, or why there is none."""
        if self._next is not None:
            placed, self._next = self._next, None
            self._key = placed.key
            return placed.runner
        if self.service.engine is None:
            return self.tools.plain.place(
                self.service.name, self._excluded, self._list_allowed()
            )
        asked_at = self._clock()
        asked = self._make_ask(asked_at, self._excluded)
        self._key = asked.request_id
        answer = await self._async_ask(asked)
        self.log.queued_s += self._clock() - asked_at
        if isinstance(answer, Refuse):
            self._end_place(EndKind.LEFT)
            return answer
        entry = self.tools.view.find_open_runner(answer.runner_id)
        if entry is None:
            self._end_place(EndKind.NOT_RUN)
            return self._make_refusal("the runner is leaving", RETRY_AFTER_OUTAGE_S)
        return entry

    async def _async_ask(self, asked: Asked) -> Answer:
        """Ask for a place; refused at once if the request becomes held back."""
        future = self.tools.placer.ask(asked)

        def refuse() -> None:
            if not future.done():
                future.set_result(self._refuse_held())

        with self.tools.screen.call_if_held(self.log.identity, refuse):
            return await future

    async def _async_find_other(self) -> bool:
        """Look for another runner while the present one is silent.

        The present one is given up only if there is another: its silence is no reason
        to end an answer.
        """
        if self._is_held_back():
            return False
        reached = {*self._reached, *([self._runner_id] if self._runner_id else [])}
        time_left_s = self._deadline - self._clock()
        if len(reached) >= self.route.max_attempts or time_left_s < MIN_RETRY_TIME_S:
            return False
        excluded = [*self._excluded, *reached]
        if self.service.engine is None:
            placed = self.tools.plain.place(self.service.name, excluded, ())
            if isinstance(placed, Refuse) or placed.runner_id in excluded:
                return False
            self._next = NextPlace(None, placed)
            return self.tools.plain.take_repeat(self.service.name)
        return await self._async_ask_other(excluded)

    async def _async_ask_other(self, excluded: list[str]) -> bool:
        asked = self._make_ask(self._clock(), excluded, repeat=True)
        placer = self.tools.placer
        try:
            async with asyncio.timeout(OTHER_PLACE_S):
                answer = await placer.ask(asked)
        except (TimeoutError, asyncio.CancelledError) as error:
            placer.end(asked.request_id, EndKind.LEFT)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        entry = None
        if not isinstance(answer, Refuse):
            entry = self.tools.view.find_open_runner(answer.runner_id)
        if entry is None:
            placer.end(asked.request_id, EndKind.LEFT)
            return False
        self._next = NextPlace(asked.request_id, entry)
        return True

    def _make_ask(
        self, now: float, excluded: list[str], *, repeat: bool = False
    ) -> Asked:
        elapsed = now - self.delivery.arrived_at
        patience = min(self._deadline - now, self.route.patience_s - elapsed)
        if self.delivery.events:
            patience = self.route.patience_s
        return Asked(
            request_id=f"{self.fields.request_id}/{next(self.tools.numbers)}",
            edge=self.tools.incarnation,
            service=self.service.name,
            model=self.fields.model,
            adapter=self.fields.adapter,
            prompt=self.fields.prompt,
            priority=self.route.priority,
            objective_left_s=self.route.objective_s - elapsed,
            patience_left_s=max(0.0, patience),
            excluded=tuple(excluded),
            only=self._list_allowed(),
            repeat=repeat or self._sent,
        )

    def _list_allowed(self) -> tuple[str, ...]:
        """Return the runners that alone may get the request; empty if any may."""
        if len(self._reached) < self.route.max_attempts:
            return ()
        return tuple(self._reached)

    async def _async_attempt(self, runner: RunnerEntry) -> AttemptResult:
        self.log.attempts += 1
        self._runner_id = runner.runner_id
        idempotent = self.route.idempotent
        attempt = Attempt(
            request=encode_for_runner(
                self.request,
                runner_id=runner.runner_id,
                time_left_s=self._deadline - self._clock(),
                priority=self.route.priority if self.service.engine else None,
                last_event_id=self.delivery.last_event_id,
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
        )
        self.tools.plain.in_flight.add(runner.runner_id)
        self._in_attempt = True
        self._first_event_at = None
        sent_at = self._clock()
        try:
            result = await attempt.async_run()
        finally:
            self.tools.plain.in_flight.remove(runner.runner_id)
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
        lost = LostRequest(identity=identity, sent_at=sent_at, ran_s=ran_s)
        self.tools.crash_watch.note_lost(runner, lost)
        if self.tools.screen.is_suspected(identity):
            await self.tools.crash_watch.async_settle(runner)

    def _choose_silence(self) -> float:
        wanted = SILENT_OBJECTIVES * self.route.objective_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, wanted))

    def _note_first_event(self) -> None:
        self._first_event_at = self._clock()
        if self._key is not None:
            self.tools.placer.note_first_event(self._key)

    def _note_result(self, runner: RunnerEntry, result: AttemptResult) -> None:
        kind = _judge(result)
        if kind is EndKind.SERVED and self._has_paused():
            kind = EndKind.PAUSED
        self._end_place(kind)
        if self.service.engine is None:
            self.tools.plain.note(runner.runner_id, kind)
        if result.was_sent:
            self._sent = True
            self._reached.add(runner.runner_id)
        if not result.delivered:
            self._error = result.error
        if kind not in (EndKind.NOT_HELD, EndKind.NOT_RUN):
            self._excluded.append(runner.runner_id)
        self.tools.metrics.edge_attempts.add(kind.value)

    def _has_paused(self) -> bool:
        """Return whether a stream that one runner served is late by a pause."""
        objective_s = self.route.gap_objective_s
        alone = not self._reached
        return bool(objective_s and alone and self.delivery.longest_gap_s > objective_s)

    def _decide(self, result: AttemptResult) -> Next:
        failed = FailedTry(
            verdict=result.verdict,
            ran_before=self._may_have_run,
            runners_reached=len(self._reached),
            was_sent=result.was_sent,
            time_left_s=self._deadline - self._clock(),
        )
        budget_left = True
        if self.service.engine is None and result.was_sent and self._next is None:
            budget_left = self.tools.plain.take_repeat(self.service.name)
        decision = decide_next(self.route, failed, budget_left=budget_left)
        if result.verdict is not Verdict.NOT_RUN:
            self._may_have_run = True
        return decision

    def _give_up(self, result: AttemptResult, decision: Next) -> None:
        if decision is Next.REFUSE:
            self._refuse(result.reason, RETRY_AFTER_OUTAGE_S)
        else:
            self._fail(STATUS_FAILED, result.reason)

    def _refuse(self, reason: str, retry_after_s: float) -> None:
        """Answer that the request has not run; a failure if it may have."""
        if self._may_have_run or self.delivery.started:
            self._fail(STATUS_FAILED, reason)
            return
        self.log.note_rejected(STATUS_NOT_RUN, reason, retry_after_s)
        self.delivery.answer(STATUS_NOT_RUN, *make_answer(reason, retry_after_s))

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
            self.delivery.answer(status, *make_answer(reason))

    def _time_out(self) -> None:
        if self._in_attempt:
            self._may_have_run = True
        if self._may_have_run or self.delivery.started:
            self._fail(STATUS_TIMEOUT, "no answer within the route's timeout")
        else:
            self._refuse("no runner had room in time", RETRY_AFTER_OUTAGE_S)

    def _make_refusal(self, reason: str, retry_after_s: float) -> Refuse:
        return Refuse(
            edge=self.tools.incarnation,
            request_id=self.fields.request_id,
            retry_after_s=retry_after_s,
            reason=reason,
        )

    def _end_place(self, kind: EndKind) -> None:
        key, self._key = self._key, None
        if key is not None:
            self.tools.placer.end(key, kind)

    def _end_next(self) -> None:
        """Give back a place that was found and not used."""
        placed, self._next = self._next, None
        if placed is not None and placed.key is not None:
            self.tools.placer.end(placed.key, EndKind.LEFT)


def _judge(result: AttemptResult) -> EndKind:
    if result.delivered:
        return EndKind.SERVED
    if not result.was_sent:
        return EndKind.UNREACHABLE
    if result.verdict is Verdict.NOT_RUN:
        return EndKind.NOT_HELD if result.not_held else EndKind.NOT_RUN
    return EndKind.FAILED
