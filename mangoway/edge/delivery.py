"""Delivery of a response to its caller."""

from typing import Final

from attrs import define, field

from ..http1.exchange import Exchange
from ..http1.messages import Headers, ResponseHead
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.edge.event_order import EventOrder, Placement
from ..policy.edge.run_history import RunHistory
from .event_times import EventTimes
from .responses import PROMISES, STATUS_FAILED, make_response
from .sse import StreamEvent

UNPROVED_REASON: Final = "the request may have run"


class StreamBrokenError(Exception):
    """A stream can't continue.

    An event is missing or belongs to another run, or a runner responded without a
    stream although the caller has already received part of one.
    """


@define(eq=False)
class Delivery:
    """Forwards a response, from several runners if a stream is resumed."""

    exchange: Exchange
    arrived_at: float
    request_id: str = ""
    events: int = field(default=0, init=False)
    duplicates: int = field(default=0, init=False)
    """Events dropped because the caller had them already."""

    gaps: int = field(default=0, init=False)
    """Attempts that were broken off since an event was missing."""

    conflicts: int = field(default=0, init=False)
    """Attempts that were broken off since an event belongs to another run."""

    order: EventOrder = field(factory=EventOrder, init=False)
    last_event_id: str | None = field(default=None, init=False)
    first_at: float | None = field(default=None, init=False)
    longest_gap_s: float = field(default=0.0, init=False)
    event_times: EventTimes | None = field(default=None, init=False)
    """Event times at the current runner; None if they aren't measured."""

    finished: bool = field(default=False, init=False)
    history: RunHistory = field(factory=RunHistory, init=False)
    """The attempts to serve the request."""

    _last_at: float = field(default=0.0, init=False)

    @property
    def started(self) -> bool:
        """Return whether the head of the response was sent to the caller."""
        return self.exchange.started

    @property
    def may_go_on(self) -> bool:
        """Return whether another runner can send what the caller has not received."""
        return self.events == 0 or self.order.is_resumable

    def start(self, head: ResponseHead, headers: Headers) -> None:
        """Send the head, unless the head of an earlier runner was sent."""
        if not self.started:
            self.exchange.start(head.status, head.reason, headers)

    def is_new(self, event: StreamEvent) -> bool:
        """Return whether the caller lacks an event, which it gets next.

        Raises:
            StreamBrokenError: If an event before it is missing, or the caller has
                another event in its place.
        """
        placement = self.order.place(event.event_id, event.number, event.data)
        if placement is Placement.GAP:
            self.gaps += 1
            raise StreamBrokenError(
                f"an event is missing: {event.event_id} follows {self.last_event_id}"
            )
        if placement is Placement.CONFLICT:
            self.conflicts += 1
            raise StreamBrokenError(
                f"another run: the caller has another event than {event.event_id}"
            )
        self.duplicates += placement is Placement.DUPLICATE
        return placement is Placement.NEW

    async def async_forward_event(self, event: StreamEvent, now: float) -> None:
        """Forward an event.

        Raises:
            CallerGoneError: If the caller has disconnected.
        """
        self._record_event(event, now)
        await self.exchange.async_write(event.data)

    def finish(self) -> None:
        """Mark the response as complete."""
        self.exchange.finish()
        self.finished = True

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        A status that promises "not run" is replaced if the request may have run.
        """
        if status in PROMISES and self.history.may_have_run:
            log_event(log.PromiseWithheld(request_id=self.request_id, status=status))
            status, (headers, body) = STATUS_FAILED, make_response(UNPROVED_REASON)
        self.exchange.answer(status, headers, body)
        self.finished = True

    def _record_event(self, event: StreamEvent, now: float) -> None:
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        if self.event_times is not None:
            self.event_times.add(now)
        self._last_at = now
        self.events += 1
        if event.event_id is not None:
            self.last_event_id = event.event_id
