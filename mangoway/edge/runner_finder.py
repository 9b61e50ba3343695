"""Finds runners for one request: places at engines, choices among plain runners."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from attrs import define, field, frozen

from ..coordination.view import FleetView
from ..models.routing import Route, ServiceProfile
from ..models.runner import RunnerEntry
from ..platform.requests import RequestFields
from ..policy.crashes.const import RETRY_AFTER_BLOCK_S
from ..policy.customers.const import OVER_QUOTA
from ..policy.edge.const import MIN_RETRY_TIME_S, RETRY_AFTER_OUTAGE_S
from ..policy.scheduling.events import EndKind, GrantRequest, Refuse
from ..scheduling.grant_provider import GrantProvider, GrantResponse
from .admission import Caller
from .const import CRASHING_REQUEST_REASON, OTHER_PLACE_S, PLACES_ASKED
from .crash_filter import CrashFilter
from .delivery import Delivery
from .plain_grant_provider import PlainGrantProvider
from .repeat_payment import RepeatPayment
from .request_log import RequestLog
from .retry_budgets import RetryBudgets
from .signal_tracker import SignalTracker


class FinderTools(Protocol):
    """What all requests of an edge share to find runners."""

    incarnation: str
    view: FleetView
    grant_provider: GrantProvider
    plain_grant_provider: PlainGrantProvider
    retry_budgets: RetryBudgets
    crash_filter: CrashFilter
    signal_tracker: SignalTracker
    numbers: "count[int]"


@frozen
class NextPlace:
    """A place that was found while the runner before was silent."""

    key: str | None
    """Key under which it was asked for; None at a plain service."""

    runner: RunnerEntry


@define(eq=False, kw_only=True)
class RunnerFinder:
    """Finds the runners of one request, and gives their places back."""

    tools: FinderTools
    log: RequestLog
    fields: RequestFields
    route: Route
    caller: Caller
    service: ServiceProfile
    delivery: Delivery
    deadline: float
    """When the request must have its answer, in the loop's time."""

    reached: set[str] = field(factory=set, init=False)
    """Runners that it was sent to."""

    payment: RepeatPayment = field(init=False)

    _excluded: list[str] = field(factory=list, init=False)
    """Runners that failed it."""

    _refused: set[str] = field(factory=set, init=False)
    """Runners that refused it as not run."""

    _key: str | None = field(default=None, init=False)
    """Key of the place that is asked for or held."""

    _charged: float = field(default=0.0, init=False)
    """What the request has taken of its customer's quota."""

    _next: NextPlace | None = field(default=None, init=False)
    _clock: Callable[[], float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        budgets, service = self.tools.retry_budgets, self.service.name
        self.payment = RepeatPayment(budgets, service, self._clock)
        if not self._is_held_back():
            budgets.note_request(service)

    @property
    def has_next(self) -> bool:
        """Return whether a runner was found while the one before was silent."""
        return self._next is not None

    async def async_find(self) -> RunnerEntry | Refuse:
        """Return the runner to send to, or why there is none.

        Whether the request is held back is looked at once more when a runner is found:
        crashes at other edges may have told what it does while it waited.
        """
        if self._is_held_back():
            return self._refuse_held()
        placed = await self._async_place()
        if self._is_held_back():
            self.end(EndKind.NOT_RUN)
            return self._refuse_held()
        return placed

    async def async_find_other(self, present: str | None) -> bool:
        """Look for another runner while the present one is silent.

        The present one is given up only if there is another: its silence is no reason
        to end an answer.

        Args:
            present: The runner that is silent; None if there is none.
        """
        if self._is_held_back():
            return False
        reached = {*self.reached, *([present] if present else [])}
        time_left_s = self.deadline - self._clock()
        if len(reached) >= self.route.max_attempts or time_left_s < MIN_RETRY_TIME_S:
            return False
        if not self.payment.pay():
            return False
        if await self._async_find_beside([*self._excluded, *reached]):
            return True
        self.payment.give_back()
        return False

    async def _async_find_beside(self, excluded: list[str]) -> bool:
        """Find a runner beside one that is silent."""
        if self.service.engine is None:
            placed = await self._async_place_plain(excluded, ())
            if isinstance(placed, Refuse) or placed.runner_id in excluded:
                return False
            self._next = NextPlace(None, placed)
            return True
        return await self._async_ask_other(excluded)

    def note_first_event(self) -> None:
        """Say that the first event of the present try came."""
        self.payment.settle_try(was_sent=True)
        if self._key is not None:
            self.tools.grant_provider.report_first_event(self._key)

    def note_tried(self, runner_id: str, kind: EndKind, *, was_sent: bool) -> None:
        """Note how a try ended, and give its place back.

        Args:
            runner_id: The runner.
            kind: How the try ended.
            was_sent: Whether bytes of the request went out.
        """
        self.end(kind)
        self.payment.settle_try(was_sent=was_sent)
        if self.service.engine is None:
            self.tools.plain_grant_provider.note(runner_id, kind)
        if was_sent:
            self.reached.add(runner_id)
        if kind in (EndKind.NOT_HELD, EndKind.NOT_RUN):
            self._refused.add(runner_id)
        else:
            self._excluded.append(runner_id)

    def end(self, kind: EndKind) -> None:
        """Give the place back that is asked for or held."""
        key, self._key = self._key, None
        if key is not None:
            self.tools.grant_provider.end_request(key, kind)

    def end_next(self) -> None:
        """Give back a place that was found and not used, and what was paid for it."""
        self.payment.end()
        placed, self._next = self._next, None
        if placed is not None and placed.key is not None:
            self.tools.grant_provider.end_request(placed.key, EndKind.LEFT)

    def give_back_quota(self) -> None:
        """Give back what the request took of its customer's quota: it has not run."""
        amount, self._charged = self._charged, 0.0
        if amount and self.caller.name is not None:
            self.tools.grant_provider.refund_quota(self.caller.name, amount)

    def _measure_cost(self) -> float:
        """Return what the request has still to take of its customer's quota."""
        return 0.0 if self._charged else self.caller.measure(self.fields)

    def _take_quota(self) -> Refuse | None:
        """Take what a request takes that needs no place; returns why it can't."""
        cost = self._measure_cost()
        if not cost or self.caller.name is None:
            return None
        wait_s = self.tools.grant_provider.consume_quota(self.caller.name, cost)
        if wait_s > 0:
            return self._make_refusal(OVER_QUOTA, wait_s, over_quota=True)
        self._charged = cost
        return None

    def _is_held_back(self) -> bool:
        return self.tools.crash_filter.is_blocked(self.log.identity)

    def _refuse_held(self) -> Refuse:
        return self._make_refusal(CRASHING_REQUEST_REASON, RETRY_AFTER_BLOCK_S)

    async def _async_place(self) -> RunnerEntry | Refuse:
        """Return the runner to send to, or why there is none."""
        if self._next is not None:
            placed, self._next = self._next, None
            self._key = placed.key
            if self._may_send(placed.runner):
                return placed.runner
            self.end(EndKind.LEFT)
        if self.service.engine is None:
            return self._take_quota() or await self._async_place_plain(
                self._excluded, self._list_allowed()
            )
        for _ in range(PLACES_ASKED):
            answer = await self._async_ask_place()
            if isinstance(answer, Refuse):
                return answer
            entry = self.tools.view.find_open_runner(answer.runner_id)
            if entry is not None and self._may_send(entry):
                return entry
            # This host knows better than who granted it.
            self.end(EndKind.LEFT)
            if entry is None:
                self._excluded.append(answer.runner_id)
        return self._make_refusal("the runner takes no more", RETRY_AFTER_OUTAGE_S)

    async def _async_ask_place(self) -> GrantResponse:
        """Ask for a place, whose key is kept."""
        asked_at = self._clock()
        grant_request = self._make_ask(asked_at, self._excluded)
        self._key = grant_request.request_id
        answer = await self._async_ask(grant_request)
        self.log.queued_s += self._clock() - asked_at
        if isinstance(answer, Refuse):
            self.end(EndKind.LEFT)
        else:
            self._charged += grant_request.cost
        return answer

    async def _async_place_plain(
        self, excluded: list[str], only: tuple[str, ...]
    ) -> RunnerEntry | Refuse:
        """Choose a plain runner; a limited one only with a permit."""
        waits = self._list_rests()
        while True:
            placed = self.tools.plain_grant_provider.place(
                self.service.name, excluded, only, self._refused, waits
            )
            if isinstance(placed, Refuse) or not self._is_limited(placed):
                return placed
            wait_s = await self.tools.grant_provider.async_request_permit(placed)
            if wait_s == 0.0:
                return placed
            waits[placed.runner_id] = wait_s

    def _list_rests(self) -> dict[str, float]:
        """Return the plain runners that want nothing of this edge, and for how long."""
        watch = self.tools.signal_tracker
        if not watch.cooldowns.has_cooldowns(self._clock()):
            return {}
        runners = self.tools.view.list_runners(self.service.name)
        waits = {each.runner_id: watch.measure_rest(each) for each in runners}
        return {key: wait_s for key, wait_s in waits.items() if wait_s > 0}

    def _may_send(self, runner: RunnerEntry) -> bool:
        """Return whether a runner takes requests of this edge, as far as it knows."""
        if not self.tools.view.is_open(runner):
            return False
        return self.tools.signal_tracker.measure_rest(runner) == 0

    def _is_limited(self, runner: RunnerEntry) -> bool:
        limits = self.tools.signal_tracker.limits
        return limits.get_limit(runner.runner_id, runner.started_ms) is not None

    async def _async_ask(self, grant_request: GrantRequest) -> GrantResponse:
        """Ask for a place; refused at once if the request becomes held back."""
        future = self.tools.grant_provider.request_grant(grant_request)

        def refuse() -> None:
            if not future.done():
                future.set_result(self._refuse_held())

        with self.tools.crash_filter.call_if_held(self.log.identity, refuse):
            return await future

    async def _async_ask_other(self, excluded: list[str]) -> bool:
        grant_request = self._make_ask(self._clock(), excluded, repeat=True)
        grant_provider = self.tools.grant_provider
        try:
            async with asyncio.timeout(OTHER_PLACE_S):
                answer = await grant_provider.request_grant(grant_request)
        except (TimeoutError, asyncio.CancelledError) as error:
            grant_provider.end_request(grant_request.request_id, EndKind.LEFT)
            if isinstance(error, asyncio.CancelledError):
                raise
            return False
        entry = None
        if not isinstance(answer, Refuse):
            entry = self.tools.view.find_open_runner(answer.runner_id)
        if entry is None or not self._may_send(entry):
            grant_provider.end_request(grant_request.request_id, EndKind.LEFT)
            return False
        self._next = NextPlace(grant_request.request_id, entry)
        return True

    def _make_ask(
        self, now: float, excluded: list[str], *, repeat: bool = False
    ) -> GrantRequest:
        elapsed = now - self.delivery.arrived_at
        patience = min(self.deadline - now, self.route.patience_s - elapsed)
        if self.delivery.events:
            patience = self.route.patience_s
        return GrantRequest(
            request_id=f"{self.fields.request_id}/{next(self.tools.numbers)}",
            edge=self.tools.incarnation,
            service=self.service.name,
            model=self.fields.model,
            adapter=self.fields.adapter,
            prompt=self.fields.prompt,
            priority=self.caller.choose_priority(self.route),
            objective_left_s=self.route.objective_s - elapsed,
            patience_left_s=max(0.0, patience),
            excluded=tuple(excluded),
            only=self._list_allowed(),
            customer=self.caller.name or "",
            cost=self._measure_cost(),
            route_priority=self.route.priority,
            repeat=repeat or bool(self.reached),
        )

    def _list_allowed(self) -> tuple[str, ...]:
        """Return the runners that alone may get the request; empty if any may."""
        if len(self.reached) < self.route.max_attempts:
            return ()
        return tuple(self.reached)

    def _make_refusal(
        self, reason: str, retry_after_s: float, *, over_quota: bool = False
    ) -> Refuse:
        return Refuse(
            edge=self.tools.incarnation,
            request_id=self.fields.request_id,
            retry_after_s=retry_after_s,
            reason=reason,
            over_quota=over_quota,
        )
