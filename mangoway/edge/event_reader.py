"""Reading of the events of a stream within their limits."""

import asyncio
from collections.abc import AsyncIterator

from attrs import define, field

from ..http1.client import Connection, ExchangeFailedError
from ..http1.messages import ResponseHead
from .const import EVENTS_PER_TURN, MAX_EVENT_BYTES, MAX_EVENT_S, MAX_STREAM_EVENTS
from .sse import EventSplitter, StreamEvent


@define(eq=False)
class EventReader:
    """Reads the events of one response, which a faulty runner may send without end."""

    connection: Connection
    _splitter: EventSplitter = field(factory=EventSplitter, init=False)
    _events: int = field(default=0, init=False)
    _incomplete_since: float | None = field(default=None, init=False)
    """`waited_s` of the connection at the first bytes of an incomplete event."""

    @property
    def has_rest(self) -> bool:
        """Return whether the last event is incomplete."""
        return bool(self._splitter.rest)

    async def async_iterate(self, data: bytes) -> AsyncIterator[StreamEvent]:
        """Yield the events that further bytes complete.

        Raises:
            ExchangeFailedError: If a limit is exceeded.
        """
        for event in self._splitter.feed(data):
            self._incomplete_since = None
            self._events += 1
            if self._events > MAX_STREAM_EVENTS:
                raise ExchangeFailedError("the stream has too many events")
            if self._events % EVENTS_PER_TURN == 0:
                await asyncio.sleep(0)
            yield event
        self._check_rest()

    def _check_rest(self) -> None:
        size = len(self._splitter.rest)
        if not size:
            return
        waited_s = self.connection.waited_s
        if self._incomplete_since is None:
            self._incomplete_since = waited_s
        if size > MAX_EVENT_BYTES:
            raise ExchangeFailedError("an event is too large")
        if waited_s - self._incomplete_since > MAX_EVENT_S:
            raise ExchangeFailedError(f"an event takes over {MAX_EVENT_S:g} s")


@define(eq=False)
class StreamReading:
    """How far the stream of a response was read."""

    head: ResponseHead
    reader: EventReader
    size: int = 0
    """Bytes of its body that were read."""

    is_first_event_reported: bool = False
