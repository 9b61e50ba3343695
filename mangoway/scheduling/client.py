"""Scheduler client of an edge, with local grants as the fallback."""

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
from ..policy.plain.events import CHOOSE_LOCALLY, PlainGrantQueued, PlainShortage
from ..policy.scheduling.events import (
    EndKind,
    FirstEventSeen,
    Grant,
    GrantRequest,
    PermitRequest,
    QuotaSpent,
    Reject,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
    StreamMoved,
    TransferFailed,
    TransferStream,
)
from .grant_provider import GrantResponse, PendingRequests, TransferHandler
from .leader_link import LeaderLink
from .link import Link
from .local_grant_provider import LocalGrantProvider
from .messages import Message
from .plain_client import PlainGrantClient
from .tracked_request import TrackedRequest

FAILOVER_WAIT_S: Final = 0.25
"""Time for which requests wait for another scheduler after theirs is lost. Connecting
to a standby takes 0.1 s, and callers expect the first event within 0.4 s. If each of
195 edges granted its waiting requests locally, 450 requests would arrive at full
runners at each change of scheduler."""

PERMIT_TIMEOUT_S: Final = 0.3
"""Timeout of a permit request for a limited runner. The response arrives within
milliseconds unless the scheduler is lost."""

RETRY_AFTER_PERMIT_S: Final = 0.5
"""Delay before the next permit request after a timeout."""


@define(eq=False)
class SchedulerClient:
    """A grant provider that uses the scheduler, or a local one while disconnected."""

    leader: LeaderLink
    local: LocalGrantProvider
    incarnation: str
    spending: SpendingHistory = field(factory=SpendingHistory, init=False)
    """Recent spending of customers at this edge, whoever granted it."""

    on_limit: Callable[[LimitReport], None] = field(
        default=lambda report: None, init=False
    )
    """Called with each runner limit that the scheduler relays."""

    on_leaving: Callable[[LeavingReport], None] = field(
        default=lambda report: None, init=False
    )
    """Called with each leaving runner that the scheduler relays."""

    list_leaving: Callable[[], list[LeavingReport]] = field(default=list, init=False)
    """Returns the runners that this edge knows to be leaving."""

    list_limits: Callable[[], list[LimitReport]] = field(default=list, init=False)
    """Returns the runner limits that this edge knows."""

    plain: PlainGrantClient = field(init=False)
    """Grants for plain services that are short of room."""

    _pending: PendingRequests = field(factory=PendingRequests, init=False)
    _permits: "dict[str, asyncio.Future[GrantResponse]]" = field(
        factory=dict, init=False
    )
    """Pending permit requests by request id."""

    _permit_numbers: "count[int]" = field(factory=count, init=False)
    _requests: dict[str, TrackedRequest] = field(factory=dict, init=False)
    _granting_link: Link | None = field(default=None, init=False)
    """Link to the scheduler that grants, or that granted until the link was lost."""

    _failover_timer: asyncio.TimerHandle | None = field(default=None, init=False)
    """Timer that runs while requests wait for another scheduler."""

    def __attrs_post_init__(self) -> None:
        self.leader.on_message = self._handle_message
        self.leader.on_leading = self._handle_leading
        self.leader.on_lost = self._handle_link_lost
        self.plain = PlainGrantClient(self.incarnation, self._find_plain_link)

    def request_grant(
        self, grant_request: GrantRequest
    ) -> "asyncio.Future[GrantResponse]":
        """Request a grant."""
        link = self._find_link()
        future: asyncio.Future[GrantResponse] = (
            asyncio.get_running_loop().create_future()
        )
        future.add_done_callback(self._record_response)
        tracked = TrackedRequest(grant_request, link, future)
        self._requests[grant_request.request_id] = tracked
        if link is None and self._failover_timer is not None:
            tracked.waiting_since = asyncio.get_running_loop().time()
            return future
        if link is None:
            return self.local.request_grant(grant_request, future)
        link.send(grant_request)
        return self._pending.add(grant_request, future)

    def report_first_event(self, request_id: str) -> None:
        """Report that the first event of a granted request arrived."""
        tracked = self._requests.get(request_id)
        if tracked is None:
            return
        tracked.prefilling = False
        if tracked.link is not None:
            message = FirstEventSeen(edge=self.incarnation, request_id=request_id)
            tracked.link.send(message)
        else:
            self.local.report_first_event(request_id)

    def end_request(
        self, request_id: str, kind: EndKind, events: int = 0, event_s: float = 0.0
    ) -> None:
        """Report that a request has ended."""
        tracked = self._requests.pop(request_id, None)
        if tracked is None:
            return
        if tracked.link is None:
            self.local.end_request(request_id, kind, events, event_s)
            return
        self._pending.remove(request_id)
        ended = RequestEnded(
            edge=self.incarnation,
            request_id=request_id,
            kind=kind,
            events=events,
            event_s=event_s,
        )
        tracked.link.send(ended)

    def accept_transfers(self, request_id: str, handler: TransferHandler) -> None:
        """Call a handler with each order to transfer a granted request's stream."""
        tracked = self._requests.get(request_id)
        if tracked is not None:
            tracked.on_transfer = handler

    def report_moved(self, request_id: str, runner_id: str) -> None:
        """Report that the stream of a granted request now runs at another runner."""
        tracked = self._requests.get(request_id)
        if tracked is None:
            return
        tracked.runner_id = runner_id
        if tracked.link is None:
            self.local.move(tracked.grant_request, runner_id)
        elif self.leader.takes_transfers:
            tracked.link.send(
                StreamMoved(
                    edge=self.incarnation, request_id=request_id, runner_id=runner_id
                )
            )
        else:
            # A scheduler of the previous release counts the request anew.
            tracked.link.send(
                RequestEnded(
                    edge=self.incarnation, request_id=request_id, kind=EndKind.LEFT
                )
            )
            tracked.link.send(_make_adopted(tracked, runner_id))

    def report_transfer_failed(self, request_id: str, target_runner_id: str) -> None:
        """Report that a stream doesn't move, so that its reservation is released.

        A scheduler that doesn't know of the reservation ignores the report.
        """
        link = self._find_link()
        if link is not None and self.leader.takes_transfers:
            link.send(
                TransferFailed(
                    edge=self.incarnation,
                    request_id=request_id,
                    target_runner_id=target_runner_id,
                )
            )

    def consume_quota(self, customer: str, amount: float) -> float:
        """Consume an amount of a customer's quota for a request that needs no grant.

        The consumption is reported to the scheduler at once, whose heartbeats list the
        customers with an exhausted quota. A customer can therefore overdraw its quota
        by what all edges admit between two heartbeats.

        Returns:
            0.0 if the amount was consumed, otherwise the seconds until it can be.
        """
        link = self._find_link()
        if link is None:
            wait_s = self.local.consume_quota(customer, amount)
        else:
            wait_s = self.leader.measure_quota_wait(customer)
        if wait_s > 0:
            return wait_s
        self._record_spending(customer, amount)
        if link is not None:
            link.send(QuotaSpent(customer=customer, amount=amount))
        return 0.0

    def refund_quota(self, customer: str, amount: float) -> None:
        """Refund the quota consumed for a request that no runner has run."""
        self._record_spending(customer, -amount)
        message = QuotaSpent(customer=customer, amount=-amount)
        link = self._find_link()
        if link is not None:
            link.send(message)
        else:
            self.local.handle(message)

    async def async_request_permit(self, runner: RunnerEntry) -> float:
        """Request a permit to send a request that needs no grant to a limited runner.

        Returns:
            0.0 if it was granted, otherwise the seconds until the next permit request.
        """
        link = self._find_link()
        if link is None:
            return self.local.consume_permit(runner)
        request_id = f"permit/{next(self._permit_numbers)}"
        future: asyncio.Future[GrantResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self._permits[request_id] = future
        permit_request = PermitRequest(
            request_id=request_id,
            edge=self.incarnation,
            runner_id=runner.runner_id,
            started_ms=runner.started_ms,
        )
        link.send(permit_request)
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_S):
                response = await future
        except TimeoutError:
            return RETRY_AFTER_PERMIT_S
        finally:
            del self._permits[request_id]
        return response.retry_after_s if isinstance(response, Reject) else 0.0

    def report_signal(
        self, report: LimitReport | LeavingReport | CooldownReport
    ) -> None:
        """Report a signal of a runner to the scheduler."""
        link = self._find_link()
        if link is not None:
            link.send(report)

    def _record_spending(self, customer: str, amount: float) -> None:
        self.spending.add(customer, amount, asyncio.get_running_loop().time())

    def _find_link(self) -> Link | None:
        """Return the link to the granting scheduler; None if there is none."""
        link = self.leader.link
        if link is None or not link.is_open or not self.leader.leading:
            return None
        return link

    def _find_plain_link(self) -> Link | None:
        """Return the link to a scheduler that grants plain requests."""
        return self._find_link() if self.leader.grants_plain else None

    def reject_waiting(self, reason: str, retry_after_s: float) -> None:
        """Reject the requests that still wait for a grant."""
        self.plain.reject_waiting(reason, retry_after_s)
        for tracked in list(self._requests.values()):
            if tracked.runner_id is None and not tracked.future.done():
                tracked.future.set_result(
                    Reject(
                        edge=self.incarnation,
                        request_id=tracked.grant_request.request_id,
                        retry_after_s=retry_after_s,
                        reason=reason,
                    )
                )

    def _record_response(self, future: "asyncio.Future[GrantResponse]") -> None:
        if future.cancelled():
            return
        response = future.result()
        tracked = self._requests.get(response.request_id)
        if tracked is not None and isinstance(response, Grant):
            tracked.runner_id = response.runner_id
            if tracked.grant_request.cost > 0:
                self._record_spending(
                    tracked.grant_request.customer, tracked.grant_request.cost
                )

    def _handle_message(self, message: Message) -> None:
        if isinstance(message, LimitReport):
            self.on_limit(message)
        elif isinstance(message, LeavingReport):
            self.on_leaving(message)
        elif isinstance(message, PlainShortage):
            self.plain.handle_shortage(message)
        elif isinstance(message, PlainGrantQueued):
            self.plain.handle_queued(message)
        elif isinstance(message, TransferStream):
            self._handle_transfer(message)
        elif isinstance(message, Grant | Reject):
            if self.plain.resolve(message):
                return
            permit = self._permits.get(message.request_id)
            if permit is not None:
                permit.set_result(message)
            elif isinstance(message, Grant) and message.runner_id == CHOOSE_LOCALLY:
                self._grant_returned(message.request_id)
            else:
                # If the request no longer waits, its end has been sent already.
                self._pending.resolve(message)

    def _grant_returned(self, request_id: str) -> None:
        """Grant a request locally that the scheduler could not handle."""
        tracked = self._requests.get(request_id)
        if tracked is None or tracked.future.done():
            return
        log_event(log.LocalChoiceBegan(reason="the scheduler failed at a request"))
        self._pending.remove(request_id)
        tracked.link = None
        self.local.request_grant(tracked.grant_request, tracked.future)

    def _handle_transfer(self, order: TransferStream) -> None:
        """Pass an order to the request that it concerns, if that takes one."""
        # A scheduler may order before its next heartbeat states that it does.
        self.leader.takes_transfers = True
        tracked = self._requests.get(order.request_id)
        if tracked is not None and tracked.on_transfer is not None:
            tracked.on_transfer(order)
        else:
            self.report_transfer_failed(order.request_id, order.target_runner_id)

    def _handle_leading(self, link: Link) -> None:
        """Send this edge's state and waiting requests to a scheduler that now leads."""
        self._granting_link = link
        rows = tuple(self.spending.list_all(asyncio.get_running_loop().time()))
        if rows:
            link.send(SpendingReported(rows=rows))
        for leaving in self.list_leaving():
            link.send(leaving)
        for report in self.list_limits():
            link.send(report)
        cooldowns = self.local.core.state.cooldowns
        for cooldown in cooldowns.list_reports(self.incarnation, self.local.clock()):
            link.send(cooldown)
        self.plain.handle_leading(link)
        for tracked in self._requests.values():
            if tracked.runner_id is None:
                continue
            if tracked.link is None:
                self.local.remove_request(tracked.grant_request.request_id)
            tracked.link = link
            link.send(_make_adopted(tracked, tracked.runner_id))
        for tracked in self._pop_waiting():
            tracked.link = link
            link.send(tracked.grant_request)
            self._pending.add(tracked.grant_request, tracked.future)

    def _handle_link_lost(self, link: Link) -> None:
        """Hold the requests that wait at a lost scheduler until another is reached.

        Requests that it has granted are passed to the local provider.
        """
        loop = asyncio.get_running_loop()
        self.plain.handle_lost(link)
        if link is self._granting_link:
            self.local.allow_overdraft(self.leader.list_exhausted())
        if link is self._granting_link and self._failover_timer is None:
            self._failover_timer = loop.call_later(FAILOVER_WAIT_S, self._grant_locally)
        for tracked in self._requests.values():
            if tracked.link is link and tracked.runner_id is not None:
                tracked.link = None
                self.local.adopt(
                    tracked.grant_request, tracked.runner_id, tracked.prefilling
                )
        for grant_request, future in self._pending.pop_all():
            tracked = self._requests[grant_request.request_id]
            tracked.link = None
            if self._failover_timer is None or tracked.has_waited:
                self.local.request_grant(grant_request, future)
            else:
                tracked.waiting_since = loop.time()

    def _grant_locally(self) -> None:
        """Grant the held requests locally, since no scheduler was reached in time."""
        waiting = self._pop_waiting()
        if waiting:
            log_event(
                log.LocalChoiceBegan(reason=f"{len(waiting)} requests are waiting")
            )
        for tracked in waiting:
            self.local.request_grant(tracked.grant_request, tracked.future)

    def _pop_waiting(self) -> list[TrackedRequest]:
        """End the wait for a scheduler and return the requests with their time left."""
        if self._failover_timer is not None:
            self._failover_timer.cancel()
            self._failover_timer = None
        now = asyncio.get_running_loop().time()
        waiting_requests = []
        for tracked in self._requests.values():
            if tracked.waiting_since is None or tracked.future.done():
                continue
            waited_s = now - tracked.waiting_since
            tracked.waiting_since, tracked.has_waited = None, True
            tracked.grant_request = evolve(
                tracked.grant_request,
                objective_left_s=tracked.grant_request.objective_left_s - waited_s,
                patience_left_s=tracked.grant_request.patience_left_s - waited_s,
            )
            waiting_requests.append(tracked)
        return waiting_requests


def _make_adopted(tracked: TrackedRequest, runner_id: str) -> RequestAdopted:
    return RequestAdopted(
        grant_request=tracked.grant_request,
        runner_id=runner_id,
        prefilling=tracked.prefilling,
    )
