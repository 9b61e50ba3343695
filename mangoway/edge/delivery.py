"""What a caller has got of an answer so far."""

from attrs import define, field

from ..http1.messages import Headers, ResponseHead
from ..http1.server import Exchange
from .sse import StreamEvent


class StreamBrokenError(Exception):
    """A stream can't go on: an event is missing, or the caller has part of it."""


@define(eq=False)
class Delivery:
    """Passes an answer on, over several runners if a stream is resumed."""

    exchange: Exchange
    arrived_at: float
    events: int = field(default=0, init=False)
    last_event_id: str | None = field(default=None, init=False)
    first_at: float | None = field(default=None, init=False)
    longest_gap_s: float = field(default=0.0, init=False)
    finished: bool = field(default=False, init=False)
    _last_at: float = field(default=0.0, init=False)
    _last_number: int | None = field(default=None, init=False)

    @property
    def started(self) -> bool:
        """Return whether the caller has got the head of the answer."""
        return self.exchange.started

    def start(self, head: ResponseHead, headers: Headers) -> None:
        """Write the head, unless an earlier runner's head was written."""
        if not self.started:
            self.exchange.start(head.status, head.reason, headers)

    async def async_pass_event(self, event: StreamEvent, now: float) -> bool:
        """Pass an event on; returns whether it was new to the caller.

        Raises:
            StreamBrokenError: If an event before it is missing.
            CallerGoneError: If the caller has left.
        """
        number = event.number
        if number is not None and self._last_number is not None:
            if number <= self._last_number:
                return False
            if number > self._last_number + 1:
                raise StreamBrokenError(f"event {number} after {self._last_number}")
        self._note(event, number, now)
        await self.exchange.async_write(event.data)
        return True

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.exchange.finish()
        self.finished = True

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer."""
        self.exchange.answer(status, headers, body)
        self.finished = True

    def _note(self, event: StreamEvent, number: int | None, now: float) -> None:
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap_s = max(self.longest_gap_s, now - self._last_at)
        self._last_at = now
        self.events += 1
        if event.event_id is not None:
            self.last_event_id = event.event_id
        if number is not None:
            self._last_number = number
