"""The way of a request through an edge: route, place, tries, answer."""

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random

from attrs import define, field, frozen

from ..coordination.view import FleetView
from ..http1.client import ConnectionPool
from ..http1.messages import Request
from ..http1.server import CallerGoneError, Exchange
from ..models.routing import Route, RouteKind, ServiceProfile, TrafficShare
from ..models.runner import RunnerEntry
from ..models.verdict import Verdict
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..platform.requests import RequestFields, decode_request, encode_for_runner
from ..policy.edge.const import (
    MIN_RETRY_TIME_S,
    RETRY_AFTER_OUTAGE_S,
    RETRY_AFTER_START_S,
)
from ..policy.edge.retries import FailedTry, Next, decide_next
from ..policy.scheduling.events import Asked, EndKind, Refuse
from ..scheduling.placing import Placer
from .answers import (
    STATUS_FAILED,
    STATUS_NO_ROUTE,
    STATUS_NOT_RUN,
    STATUS_TIMEOUT,
    make_answer,
)
from .attempt import Attempt, AttemptResult, WholeResponse, deliver_whole
from .const import MAX_SILENCE_S, MIN_SILENCE_S, OTHER_PLACE_S, SILENT_OBJECTIVES
from .delivery import Delivery
from .plain import PlainPlacer


@define(eq=False)
class Forwarder:
    """Handles the requests of an edge."""

    data_centre: str
    incarnation: str
    view: FleetView
    placer: Placer
    """Places requests for services with a model engine."""

    plain: PlainPlacer
    """Places requests for all others."""

    pool: ConnectionPool
    metrics: Metrics
    random: Random
    numbers: "count[int]" = field(factory=count, init=False)

    async def async_handle(self, request: Request, exchange: Exchange) -> None:
        """Answer a request; cancelled when its caller leaves."""
        now = asyncio.get_running_loop().time()
        fields = decode_request(request)
        table = self.view.table
        delivery = Delivery(exchange, now)
        if table is None:
            self._reject(delivery, fields, STATUS_NOT_RUN, "no configuration yet", None)
            return
        host = (request.find(b"host") or "").partition(":")[0]
        route = table.find_route(host, request.path)
        if route is None:
            self._reject(delivery, fields, STATUS_NO_ROUTE, "no such route", None)
            return
        service = self._choose_service(route, table.services)
        handling = Handling(self, request, fields, route, service, delivery)
        await handling.async_run()

    def _choose_service(
        self, route: Route, services: dict[str, ServiceProfile]
    ) -> ServiceProfile:
        shares = route.shares
        name = _draw(shares, self.random) if len(shares) > 1 else shares[0].service
        profile = services.get(name)
        return profile or ServiceProfile(name=name, health_path="", max_connections=0)

    def _reject(
        self,
        delivery: Delivery,
        fields: RequestFields,
        status: int,
        reason: str,
        route: Route | None,
    ) -> None:
        retry_after = RETRY_AFTER_START_S if status == STATUS_NOT_RUN else None
        log_event(
            log.RequestRejected(
                request_id=fields.request_id,
                route=route.name if route else None,
                artifact=fields.artifact,
                status=status,
                reason=reason,
                retry_after_s=retry_after,
                attempts=0,
                seconds=0.0,
                version=self.view.table.version if self.view.table else None,
            )
        )
        self.metrics.edge_requests.add("", "rejected", str(status))
        delivery.answer(status, *make_answer(reason, retry_after))


def _draw(shares: tuple[TrafficShare, ...], random: Random) -> str:
    weights = [each.weight for each in shares]
    return random.choices(shares, weights)[0].service


@frozen
class NextPlace:
    """A place that was found while the runner before was silent."""

    key: str | None
    """Key under which it was asked for; None at a plain service."""

    runner: RunnerEntry


@define(eq=False)
class Handling:
    """One request from its route to its answer."""

    edge: Forwarder
    request: Request
    fields: RequestFields
    route: Route
    service: ServiceProfile
    delivery: Delivery
    _reached: set[str] = field(factory=set, init=False)
    _excluded: list[str] = field(factory=list, init=False)
    _may_have_run: bool = field(default=False, init=False)
    _tries: int = field(default=0, init=False)
    _sent: bool = field(default=False, init=False)
    _queued_s: float = field(default=0.0, init=False)
    _key: str | None = field(default=None, init=False)
    """Key of the place that is asked for or held."""

    _next: NextPlace | None = field(default=None, init=False)
    _in_attempt: bool = field(default=False, init=False)
    _runner_id: str | None = field(default=None, init=False)
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
            self._log_abandoned()
            raise
        finally:
            self._end_place(EndKind.FAILED)
            self._end_next()

    async def _async_try_runners(self) -> None:
        if self.service.engine is None:
            self.edge.plain.note_request(self.service.name)
        while True:
            placed = await self._async_place()
            if isinstance(placed, Refuse):
                self._refuse(placed.reason, placed.retry_after_s)
                return
            result = await self._async_attempt(placed)
            if result.delivered:
                self._log_served(placed)
                return
            decision = self._decide(result)
            self._log_attempt(placed, result, decision)
            if decision is Next.RETRY:
                continue
            self._give_up(result, decision)
            return

    async def _async_place(self) -> RunnerEntry | Refuse:
        """Return the runner to send to, or why there is none."""
        if self._next is not None:
            placed, self._next = self._next, None
            self._key = placed.key
            return placed.runner
        if self.service.engine is None:
            return self.edge.plain.place(
                self.service.name, self._excluded, self._list_allowed()
            )
        asked_at = self._clock()
        asked = self._make_ask(asked_at, self._excluded)
        self._key = asked.request_id
        answer = await self.edge.placer.ask(asked)
        self._queued_s += self._clock() - asked_at
        if isinstance(answer, Refuse):
            self._end_place(EndKind.LEFT)
            return answer
        entry = self.edge.view.find_open_runner(answer.runner_id)
        if entry is None:
            self._end_place(EndKind.NOT_RUN)
            return self._make_refusal("the runner is leaving", RETRY_AFTER_OUTAGE_S)
        return entry

    async def _async_find_other(self) -> bool:
        """Look for another runner while the present one is silent.

        The present one is given up only if there is another: its silence is no reason
        to end an answer.
        """
        reached = {*self._reached, *([self._runner_id] if self._runner_id else [])}
        time_left_s = self._deadline - self._clock()
        if len(reached) >= self.route.max_attempts or time_left_s < MIN_RETRY_TIME_S:
            return False
        excluded = [*self._excluded, *reached]
        if self.service.engine is None:
            placed = self.edge.plain.place(self.service.name, excluded, ())
            if isinstance(placed, Refuse) or placed.runner_id in excluded:
                return False
            self._next = NextPlace(None, placed)
            return self.edge.plain.take_repeat(self.service.name)
        return await self._async_ask_other(excluded)

    async def _async_ask_other(self, excluded: list[str]) -> bool:
        asked = self._make_ask(self._clock(), excluded, repeat=True)
        placer = self.edge.placer
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
            entry = self.edge.view.find_open_runner(answer.runner_id)
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
            request_id=f"{self.fields.request_id}/{next(self.edge.numbers)}",
            edge=self.edge.incarnation,
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
        self._tries += 1
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
            fresh_connection=not idempotent,
            silence_s=self._choose_silence() if idempotent else None,
            on_silence=self._async_find_other,
            pool=self.edge.pool,
            delivery=self.delivery,
            on_first_event=self._note_first_event,
        )
        self.edge.plain.in_flight.add(runner.runner_id)
        self._in_attempt = True
        try:
            result = await attempt.async_run()
        finally:
            self.edge.plain.in_flight.remove(runner.runner_id)
        self._in_attempt = False
        self._note_result(runner, result)
        return result

    def _choose_silence(self) -> float:
        wanted = SILENT_OBJECTIVES * self.route.objective_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, wanted))

    def _note_first_event(self) -> None:
        if self._key is not None:
            self.edge.placer.note_first_event(self._key)

    def _note_result(self, runner: RunnerEntry, result: AttemptResult) -> None:
        kind = _judge(result)
        self._end_place(kind)
        if self.service.engine is None:
            self.edge.plain.note(runner.runner_id, kind)
        if result.was_sent:
            self._sent = True
            self._reached.add(runner.runner_id)
        if not result.delivered:
            self._error = result.error
        if kind not in (EndKind.NOT_HELD, EndKind.NOT_RUN):
            self._excluded.append(runner.runner_id)
        self.edge.metrics.edge_attempts.add(kind.value)

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
            budget_left = self.edge.plain.take_repeat(self.service.name)
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
        log_event(
            log.RequestRejected(
                request_id=self.fields.request_id,
                route=self.route.name,
                artifact=self.fields.artifact,
                status=STATUS_NOT_RUN,
                reason=reason,
                retry_after_s=retry_after_s,
                attempts=self._tries,
                seconds=self._measure(),
                version=self.edge.view.table.version if self.edge.view.table else None,
            )
        )
        self._count("rejected", STATUS_NOT_RUN)
        self.delivery.answer(STATUS_NOT_RUN, *make_answer(reason, retry_after_s))

    def _fail(self, status: int, reason: str) -> None:
        """Answer a failure: the runner's own if it gave one."""
        error = self._error
        cut = self.delivery.started
        shown = None if cut else (error.head.status if error else status)
        log_event(
            log.RequestFailed(
                request_id=self.fields.request_id,
                route=self.route.name,
                status=shown,
                reason=reason,
                runner_id=self._runner_id,
                attempts=self._tries,
                events=self.delivery.events,
                seconds=self._measure(),
            )
        )
        self._count("failed", shown or 0)
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
            edge=self.edge.incarnation,
            request_id=self.fields.request_id,
            retry_after_s=retry_after_s,
            reason=reason,
        )

    def _end_place(self, kind: EndKind) -> None:
        key, self._key = self._key, None
        if key is not None:
            self.edge.placer.end(key, kind)

    def _end_next(self) -> None:
        """Give back a place that was found and not used."""
        placed, self._next = self._next, None
        if placed is not None and placed.key is not None:
            self.edge.placer.end(placed.key, EndKind.LEFT)

    def _measure(self) -> float:
        return round(self._clock() - self.delivery.arrived_at, 4)

    def _count(self, outcome: str, status: int) -> None:
        self.edge.metrics.edge_requests.add(self.route.name, outcome, str(status))

    def _log_served(self, runner: RunnerEntry) -> None:
        delivery = self.delivery
        first_at = delivery.first_at or self._clock()
        first_s = first_at - delivery.arrived_at
        self._count("served", 200)
        self.edge.metrics.edge_first_seconds.observe(self.route.name, seconds=first_s)
        self.edge.metrics.edge_queue_seconds.observe(
            self.route.name, seconds=self._queued_s
        )
        self.edge.metrics.edge_request_seconds.observe(
            self.route.name, seconds=self._measure()
        )
        log_event(
            log.RequestServed(
                request_id=self.fields.request_id,
                route=self.route.name,
                artifact=self.fields.artifact,
                runner_id=runner.runner_id,
                status=200,
                attempts=self._tries,
                queued_s=round(self._queued_s, 4),
                first_s=round(first_s, 4),
                seconds=self._measure(),
                longest_gap_s=round(delivery.longest_gap_s, 4),
                events=delivery.events,
            )
        )

    def _log_attempt(
        self, runner: RunnerEntry, result: AttemptResult, decision: Next
    ) -> None:
        log_event(
            log.AttemptFailed(
                request_id=self.fields.request_id,
                runner_id=runner.runner_id,
                verdict=result.verdict.value,
                reason=result.reason,
                decision=decision.value,
                attempts=self._tries,
                events=self.delivery.events,
            )
        )

    def _log_abandoned(self) -> None:
        self._count("abandoned", 0)
        log_event(
            log.RequestAbandoned(
                request_id=self.fields.request_id,
                route=self.route.name,
                attempts=self._tries,
                events=self.delivery.events,
                seconds=self._measure(),
            )
        )


def _judge(result: AttemptResult) -> EndKind:
    if result.delivered:
        return EndKind.SERVED
    if not result.was_sent:
        return EndKind.UNREACHABLE
    if result.verdict is Verdict.NOT_RUN:
        return EndKind.NOT_HELD if result.not_held else EndKind.NOT_RUN
    return EndKind.FAILED
