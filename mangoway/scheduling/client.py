"""The edge's end: asks the scheduler, and chooses alone when that is silent."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Final

from attrs import define, evolve, field

from ..models.runner import RunnerEntry
from ..models.signals import LeavingReport
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.customers.spending import SpendingHistory
from ..policy.limits.cooldowns import CooldownReport
from ..policy.limits.tracker import LimitReport
from ..policy.scheduling.events import (
    EndKind,
    FirstEventSeen,
    Grant,
    GrantRequest,
    PermitRequest,
    QuotaSpent,
    Refuse,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
)
from .grant_provider import Answer, OpenAsks
from .leader_link import LeaderLink
from .link import Link
from .local_grant_provider import LocalGrantProvider
from .messages import Message

HOLD_S: Final = 0.25
"""Time for which requests wait for another scheduler when theirs is lost. It is reached
in a tenth of a second where one stands in, and callers want a first event in 0.4 s. If
each of 195 edges placed what waits by itself, 450 requests would meet on runners that
are full, at each change of scheduler."""

PERMIT_S: Final = 0.3
"""Time for which an answer is waited for on whether a request may go to a limited
runner: it comes within milliseconds, unless the scheduler is lost."""

RETRY_AFTER_PERMIT_S: Final = 0.5
"""When to ask again if there was no answer."""


@define(eq=False)
class Placed:
    """A request that was asked for, and what became of it."""

    grant_request: GrantRequest
    link: Link | None
    """Who places it: a link, or None for the local placer."""

    future: "asyncio.Future[Answer]"

    runner_id: str | None = None
    reading: bool = True
    held_since: float | None = None
    """Since when it waits for another scheduler."""

    held_before: bool = False
    """Whether it has waited for one already: that is done once."""


@define(eq=False)
class SchedulerClient:
    """A placer that uses the scheduler while it answers, and a local one otherwise."""

    leader: LeaderLink
    local: LocalGrantProvider
    incarnation: str
    spending: SpendingHistory = field(factory=SpendingHistory, init=False)
    """What customers have spent at this edge lately, whoever granted it."""

    on_limit: Callable[[LimitReport], None] = field(
        default=lambda said: None, init=False
    )
    """Told of the limits that the scheduler passes on."""

    on_leaving: Callable[[LeavingReport], None] = field(
        default=lambda said: None, init=False
    )
    """Told of the runners of which the scheduler passes on that they leave."""

    list_leaving: Callable[[], list[LeavingReport]] = field(default=list, init=False)
    """Returns the runners of which this edge knows that they leave."""

    list_limits: Callable[[], list[LimitReport]] = field(default=list, init=False)
    """Returns the limits of runners that this edge knows."""

    _asks: OpenAsks = field(factory=OpenAsks, init=False)
    _permits: "dict[str, asyncio.Future[Answer]]" = field(factory=dict, init=False)
    """Requests that wait for a permit."""

    _numbers: "count[int]" = field(factory=count, init=False)
    _placed: dict[str, Placed] = field(factory=dict, init=False)
    _granting: Link | None = field(default=None, init=False)
    """The connection whose other end grants, or granted until it was lost."""

    _holding: asyncio.TimerHandle | None = field(default=None, init=False)
    """Runs while requests wait for another scheduler."""

    def __attrs_post_init__(self) -> None:
        self.leader.on_message = self._take
        self.leader.on_leading = self._adopt
        self.leader.on_lost = self._move

    def ask(self, grant_request: GrantRequest) -> "asyncio.Future[Answer]":
        """Ask for a place."""
        link = self._find_link()
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        future.add_done_callback(self._note_answer)
        placed = Placed(grant_request, link, future)
        self._placed[grant_request.request_id] = placed
        if link is None and self._holding is not None:
            placed.held_since = asyncio.get_running_loop().time()
            return future
        if link is None:
            return self.local.ask(grant_request, future)
        link.send(grant_request)
        return self._asks.add(grant_request, future)

    def note_first_event(self, request_id: str) -> None:
        """Say that the first event of a granted request came."""
        placed = self._placed.get(request_id)
        if placed is None:
            return
        placed.reading = False
        if placed.link is not None:
            message = FirstEventSeen(edge=self.incarnation, request_id=request_id)
            placed.link.send(message)
        else:
            self.local.note_first_event(request_id)

    def end(self, request_id: str, kind: EndKind) -> None:
        """Say that a request is over."""
        placed = self._placed.pop(request_id, None)
        if placed is None:
            return
        if placed.link is None:
            self.local.end(request_id, kind)
            return
        self._asks.drop(request_id)
        ended = RequestEnded(edge=self.incarnation, request_id=request_id, kind=kind)
        placed.link.send(ended)

    def consume_quota(self, customer: str, amount: float) -> float:
        """Take an amount of a customer's quota for a request that needs no place.

        The scheduler hears of it at once, and tells all edges who has nothing left. So
        a customer may come into debt by what all edges let in between two heartbeats.

        Returns:
            0.0 if it was taken, otherwise the seconds until it can be.
        """
        link = self._find_link()
        if link is None:
            wait_s = self.local.consume_quota(customer, amount)
        else:
            wait_s = self.leader.measure_exhausted(customer)
        if wait_s > 0:
            return wait_s
        self._note_spent(customer, amount)
        if link is not None:
            link.send(QuotaSpent(customer=customer, amount=amount))
        return 0.0

    def give_back(self, customer: str, amount: float) -> None:
        """Give back what was taken for a request that no runner has run."""
        self._note_spent(customer, -amount)
        message = QuotaSpent(customer=customer, amount=-amount)
        link = self._find_link()
        if link is not None:
            link.send(message)
        else:
            self.local.handle(message)

    async def async_request_permit(self, runner: RunnerEntry) -> float:
        """Ask whether a request that needs no place may go to a limited runner.

        Returns:
            0.0 if it may, otherwise the seconds until it can be asked again.
        """
        link = self._find_link()
        if link is None:
            return self.local.take_permit(runner)
        request_id = f"permit/{next(self._numbers)}"
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._permits[request_id] = future
        grant_request = PermitRequest(
            request_id=request_id,
            edge=self.incarnation,
            runner_id=runner.runner_id,
            started_ms=runner.started_ms,
        )
        link.send(grant_request)
        try:
            async with asyncio.timeout(PERMIT_S):
                answer = await future
        except TimeoutError:
            return RETRY_AFTER_PERMIT_S
        finally:
            del self._permits[request_id]
        return answer.retry_after_s if isinstance(answer, Refuse) else 0.0

    def report_signal(self, said: LimitReport | LeavingReport | CooldownReport) -> None:
        """Tell the scheduler what a runner said of itself."""
        link = self._find_link()
        if link is not None:
            link.send(said)

    def _note_spent(self, customer: str, amount: float) -> None:
        self.spending.add(customer, amount, asyncio.get_running_loop().time())

    def _find_link(self) -> Link | None:
        """Return the connection to a scheduler that grants; None if there is none."""
        link = self.leader.link
        if link is None or not link.is_open or not self.leader.leading:
            return None
        return link

    def refuse_waiting(self, reason: str, retry_after_s: float) -> None:
        """Refuse the requests that still wait for a place."""
        for placed in list(self._placed.values()):
            if placed.runner_id is None and not placed.future.done():
                placed.future.set_result(
                    Refuse(
                        edge=self.incarnation,
                        request_id=placed.grant_request.request_id,
                        retry_after_s=retry_after_s,
                        reason=reason,
                    )
                )

    def _note_answer(self, future: "asyncio.Future[Answer]") -> None:
        if future.cancelled():
            return
        answer = future.result()
        placed = self._placed.get(answer.request_id)
        if placed is not None and isinstance(answer, Grant):
            placed.runner_id = answer.runner_id
            if placed.grant_request.cost > 0:
                self._note_spent(
                    placed.grant_request.customer, placed.grant_request.cost
                )

    def _take(self, message: Message) -> None:
        if isinstance(message, LimitReport):
            self.on_limit(message)
        elif isinstance(message, LeavingReport):
            self.on_leaving(message)
        elif isinstance(message, Grant | Refuse):
            permit = self._permits.get(message.request_id)
            if permit is not None:
                permit.set_result(message)
            else:
                # Where nobody waits any more, the request's end is on its way.
                self._asks.resolve(message)

    def _adopt(self, link: Link) -> None:
        """Tell a scheduler that begins to lead what runs where already, and ask it."""
        self._granting = link
        rows = tuple(self.spending.list_all(asyncio.get_running_loop().time()))
        if rows:
            link.send(SpendingReported(rows=rows))
        for leaving in self.list_leaving():
            link.send(leaving)
        for said in self.list_limits():
            link.send(said)
        cooldowns = self.local.core.state.cooldowns
        for rest in cooldowns.list_reports(self.incarnation, self.local.clock()):
            link.send(rest)
        for placed in self._placed.values():
            if placed.runner_id is None:
                continue
            if placed.link is None:
                self.local.forget(placed.grant_request.request_id)
            placed.link = link
            link.send(
                RequestAdopted(
                    grant_request=placed.grant_request,
                    runner_id=placed.runner_id,
                    reading=placed.reading,
                )
            )
        for placed in self._take_held():
            placed.link = link
            link.send(placed.grant_request)
            self._asks.add(placed.grant_request, placed.future)

    def _move(self, link: Link) -> None:
        """Hold what the lost scheduler was asked until another one is reached."""
        loop = asyncio.get_running_loop()
        if link is self._granting:
            self.local.allow_overdraft(self.leader.list_exhausted())
        if link is self._granting and self._holding is None:
            self._holding = loop.call_later(HOLD_S, self._choose_alone)
        for placed in self._placed.values():
            if placed.link is link and placed.runner_id is not None:
                placed.link = None
                self.local.adopt(placed.grant_request, placed.runner_id, placed.reading)
        for grant_request, future in self._asks.take_all():
            placed = self._placed[grant_request.request_id]
            placed.link = None
            if self._holding is None or placed.held_before:
                self.local.ask(grant_request, future)
            else:
                placed.held_since = loop.time()

    def _choose_alone(self) -> None:
        """Let the local placer answer, since no scheduler was reached in time."""
        held = self._take_held()
        if held:
            log_event(log.LocalChoiceBegan(reason=f"{len(held)} requests wait"))
        for placed in held:
            self.local.ask(placed.grant_request, placed.future)

    def _take_held(self) -> list[Placed]:
        """Return the requests that wait for a scheduler, with what is left of time."""
        if self._holding is not None:
            self._holding.cancel()
            self._holding = None
        now = asyncio.get_running_loop().time()
        taken = []
        for placed in self._placed.values():
            if placed.held_since is None or placed.future.done():
                continue
            held_s = now - placed.held_since
            placed.held_since, placed.held_before = None, True
            placed.grant_request = evolve(
                placed.grant_request,
                objective_left_s=placed.grant_request.objective_left_s - held_s,
                patience_left_s=placed.grant_request.patience_left_s - held_s,
            )
            taken.append(placed)
        return taken
