"""The edge's side of grants for plain services that are short of room."""

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Final

from attrs import define, field

from ..observability import plain_events as log
from ..observability.event_log import log_event
from ..policy.plain.events import (
    CHOOSE_LOCALLY,
    PlainGrantEnded,
    PlainGrantQueued,
    PlainGrantRequest,
    PlainShortage,
    ShortageReported,
)
from ..policy.plain.shortage import KnownShortages
from ..policy.plain.slowness import SlownessTracker
from ..policy.scheduling.events import EndKind, Grant, Reject
from .link import Link

ANSWER_TIMEOUT_S: Final = 0.3
"""Timeout of the first answer to a request. It arrives within milliseconds unless the
scheduler is lost, and callers expect a response within 0.13 to 0.4 s."""


@define(eq=False)
class PendingPlainRequest:
    """A request that waits for a grant."""

    grant_request: PlainGrantRequest
    link: Link
    future: "asyncio.Future[Grant | Reject | None]"
    timeout: asyncio.Timeout


@define(eq=False)
class PlainGrantClient:
    """Requests grants for plain services from the scheduler while they are short."""

    edge: str
    find_link: Callable[[], Link | None]
    """Returns the link to a scheduler that grants plain requests; None if there is
    none."""

    shortages: KnownShortages = field(factory=KnownShortages, init=False)
    _slowness: SlownessTracker = field(factory=SlownessTracker, init=False)
    _pending: dict[str, PendingPlainRequest] = field(factory=dict, init=False)
    _granted: dict[str, Link] = field(factory=dict, init=False)
    """Link to the scheduler that granted each running request."""

    _numbers: "count[int]" = field(factory=count, init=False)

    def is_short(self, service: str) -> bool:
        """Return whether requests for a service need grants."""
        now = asyncio.get_running_loop().time()
        return self.shortages.is_short(service, now) and self.find_link() is not None

    def make_request_id(self) -> str:
        """Return a request id that no other request of this edge has.

        It has no slash: ids of other requests consist of an id that the caller may
        choose, a slash and a number.
        """
        return f"plain-{next(self._numbers)}"

    async def async_request(
        self, grant_request: PlainGrantRequest
    ) -> Grant | Reject | None:
        """Request a grant; None if the edge must choose a runner on its own."""
        link = self.find_link()
        if link is None:
            return None
        loop = asyncio.get_running_loop()
        request_id, future = grant_request.request_id, loop.create_future()
        link.send(grant_request)
        response: Grant | Reject | None = None
        is_answered = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S) as timeout:
                self._pending[request_id] = PendingPlainRequest(
                    grant_request, link, future, timeout
                )
                response = await future
                is_answered = True
        except TimeoutError:
            service = grant_request.service
            log_event(log.PlainGrantUnanswered(service=service, request_id=request_id))
        finally:
            del self._pending[request_id]
            if not is_answered:
                self._send_end(link, request_id, EndKind.LEFT)
        if isinstance(response, Grant):
            if response.runner_id == CHOOSE_LOCALLY:
                return None
            self._granted[request_id] = link
        return response

    def end(self, request_id: str, kind: EndKind) -> None:
        """Report that a granted request has ended."""
        link = self._granted.pop(request_id, None)
        if link is not None:
            self._send_end(link, request_id, kind)

    def record_answer(self, service: str, *, late: bool) -> None:
        """Count an answer of a runner, and report a shortage if many are late."""
        now = asyncio.get_running_loop().time()
        if self._slowness.record_answer(service, late=late, now=now):
            self.report(service)

    def report(self, service: str) -> None:
        """Report that a service is short of room."""
        link = self.find_link()
        now = asyncio.get_running_loop().time()
        if link is not None and self.shortages.should_report(service, now):
            link.send(ShortageReported(edge=self.edge, service=service))

    def handle_shortage(self, message: PlainShortage) -> None:
        """Record a shortage that the scheduler relays."""
        now = asyncio.get_running_loop().time()
        self.shortages.update(message.service, message.left_s, now)

    def handle_queued(self, message: PlainGrantQueued) -> None:
        """Let a request wait as long as its caller does."""
        pending = self._pending.get(message.request_id)
        if pending is None or pending.future.done() or pending.timeout.expired():
            return
        now = asyncio.get_running_loop().time()
        patience_s = pending.grant_request.patience_left_s
        pending.timeout.reschedule(now + patience_s + ANSWER_TIMEOUT_S)

    def resolve(self, response: Grant | Reject) -> bool:
        """Resolve a pending request; False if the response is for no such request."""
        pending = self._pending.get(response.request_id)
        if pending is None:
            return False
        if not pending.future.done():
            pending.future.set_result(response)
        return True

    def handle_leading(self, link: Link) -> None:
        """Report the known shortages to a scheduler that now leads."""
        if self.find_link() is None:
            return
        now = asyncio.get_running_loop().time()
        for service in self.shortages.list_services(now):
            link.send(ShortageReported(edge=self.edge, service=service))

    def handle_lost(self, link: Link) -> None:
        """Let the requests that wait at a lost scheduler choose on their own."""
        for pending in self._pending.values():
            if pending.link is link and not pending.future.done():
                pending.future.set_result(None)
        self._granted = {
            key: each for key, each in self._granted.items() if each is not link
        }

    def reject_waiting(self, reason: str, retry_after_s: float) -> None:
        """Reject the requests that still wait for a grant."""
        for request_id, pending in self._pending.items():
            if not pending.future.done():
                self._send_end(pending.link, request_id, EndKind.LEFT)
                pending.future.set_result(
                    Reject(
                        edge=self.edge,
                        request_id=request_id,
                        retry_after_s=retry_after_s,
                        reason=reason,
                    )
                )

    def _send_end(self, link: Link, request_id: str, kind: EndKind) -> None:
        ended = PlainGrantEnded(edge=self.edge, request_id=request_id, kind=kind)
        link.send(ended)
