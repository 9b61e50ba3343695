"""Delivery of a response to its caller."""

from typing import Final

from attrs import define, field

from ..http1.messages import Headers, ResponseHead
from ..http1.server import Exchange
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.edge.run_history import RunHistory
from .event_times import EventTimes
from .responses import PROMISES, STATUS_FAILED, make_response
from .sse import StreamEvent

UNPROVED_REASON: Final = "the request may have run"


class StreamBrokenError(Exception):
    """A stream can't continue.

    Either an event is missing, or a runner responded without a stream although the
    caller has already received part of one.
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

    last_event_id: str | None = field(default=None, init=False)
    first_at: float | None = field(default=None, init=False)
    longest_gap_s: float = field(default=0.0, init=False)
    event_times: EventTimes | None = field(default=None, init=False)
    """Event times at the current runner; None if they aren't measured."""

    finished: bool = field(default=False, init=False)
    history: RunHistory = field(factory=RunHistory, init=False)
    """The attempts to serve the request."""

    _last_at: float = field(default=0.0, init=False)
    _last_number: int | None = field(default=None, init=False)

    @property
    def started(self) -> bool:
        """Return whether the head of the response was sent to the caller."""
        return self.exchange.started

    def start(self, head: ResponseHead, headers: Headers) -> None:
        """Send the head, unless the head of an earlier runner was sent."""
        if not self.started:
            self.exchange.start(head.status, head.reason, headers)

    async def async_forward_event(self, event: StreamEvent, now: float) -> bool:
        """Forward an event unless the caller has it; return whether it was sent.

        Raises:
            StreamBrokenError: If an event before it is missing.
            CallerGoneError: If the caller has disconnected.
        """
        number = event.number
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                self.duplicates += 1
                return False
            if number > self._last_number + 1:
                self.gaps += 1
                raise StreamBrokenError(
                    f"an event is missing: {number} follows {self._last_number}"
                )
        self._record_event(event, number, now)
        await self.exchange.async_write(event.data)
        return True

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

    def _record_event(self, event: StreamEvent, number: int | None, now: float) -> None:
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
        if number is not None:
            self._last_number = number
