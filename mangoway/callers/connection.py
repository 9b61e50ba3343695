"""Connections of callers, with limits on what they send ahead and timeouts."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, field
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ..policy.connections import MAX_CALLERS, ConnectionState, ConnectionTable
from ..util.address import get_peer_address
from .const import (
    BODY_PART_BYTES,
    HEAD_PART_BYTES,
    HEADERS_TIMEOUT_S,
    MAX_SENT_AHEAD_BYTES,
    UNREAD_TIMEOUT_S,
)
from .input_budget import InputBudget


@define(eq=False)
class ListenerState:
    """State that all connections of a listener share."""

    budget: InputBudget = field(factory=InputBudget)
    table: "ConnectionTable[CallerConnection]" = field(
        factory=lambda: ConnectionTable(MAX_CALLERS)
    )
    on_displaced: Callable[[int, str, str], None] = lambda limit, state, peer: None
    """Called with the limit, the state and the address of a connection that was closed
    to make room for a new one."""

    on_rejected: Callable[[str, str], None] = lambda reason, peer: None
    """Called with the reason and the address of a connection that was closed for what
    its caller sent ahead."""


class CallerConnection(HttpToolsProtocol):
    """Connection that is aborted on incomplete headers or an unread response.

    uvicorn limits only the time between two requests, and only until the first byte
    of the next one. It parses all requests of a read at once and reads on after each
    response, so that it is given a small part at a time here, and none while a request
    waits for another one. Each abort is logged as a warning of uvicorn's logger.
    """

    _headers_timer: asyncio.TimerHandle | None = None
    _unread_timer: asyncio.TimerHandle | None = None

    def __init__(
        self, *args: Any, shared: ListenerState | None = None, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._shared = shared or ListenerState()
        self._unparsed = bytearray()
        self._will_parse = False
        """Whether parsing goes on in the next turn of the event loop."""

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout for the headers of the first request."""
        super().connection_made(transport)
        self.flow = _ParserFlow(transport, self._parse_soon)
        self._start_headers_timer()
        closed = self._shared.table.add(self)
        if closed is not None:
            closed[0]._make_room(closed[1])

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timers."""
        super().connection_lost(exc)
        self._shared.table.remove(self)
        self._drop_unparsed(len(self._unparsed))
        self._stop_headers_timer()
        self._stop_unread_timer()

    def data_received(self, data: bytes) -> None:
        """Keep bytes until they are parsed."""
        if not self._shared.budget.try_add(len(data)):
            reason = "too many bytes of all callers wait to be parsed"
            self._shared.on_rejected(reason, get_peer_address(self.transport))
            self._abort(reason)
            return
        self._unparsed += data
        self._parse()

    def on_headers_complete(self) -> None:
        """Stop the headers timeout and start the request."""
        self._stop_headers_timer()
        super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request."""
        super().on_response_complete()
        self._parse_soon()

    def pause_writing(self) -> None:
        """Start the timeout for a caller that does not read."""
        super().pause_writing()
        self._unread_timer = self.loop.call_later(
            UNREAD_TIMEOUT_S,
            self._abort,
            "timeout while waiting for the caller to read its response",
        )

    def resume_writing(self) -> None:
        """Stop the timeout, since the caller has read."""
        self._stop_unread_timer()
        super().resume_writing()

    def _parse_soon(self) -> None:
        """Go on parsing in the next turn of the event loop."""
        if not self._will_parse:
            self._will_parse = True
            self.loop.call_soon(self._parse_on)

    def _parse_on(self) -> None:
        self._will_parse = False
        self._parse()

    def _parse(self) -> None:
        """Parse one part, and the others in further turns of the event loop."""
        if self.parser is None or self.transport.is_closing():
            return
        if self._unparsed and self._may_parse():
            size = BODY_PART_BYTES if self._is_reading_body() else HEAD_PART_BYTES
            part = bytes(self._unparsed[:size])
            self._drop_unparsed(len(part))
            super().data_received(part)
            if self._unparsed and self._may_parse():
                self._parse_soon()
            if self._headers_timer is None and self._is_between_requests():
                self._start_headers_timer()
        self._update_state()
        self._control_reading()

    def _may_parse(self) -> bool:
        """Return whether the current request needs further bytes, or there is none."""
        if self.flow.read_paused:
            return False
        return self._is_between_requests() or self._is_reading_body()

    def _is_reading_body(self) -> bool:
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete and cycle.more_body

    def _is_between_requests(self) -> bool:
        idle = self.cycle is None or self.cycle.response_complete
        return idle and not self.transport.is_closing()

    def _drop_unparsed(self, size: int) -> None:
        del self._unparsed[:size]
        self._shared.budget.release(size)

    def _control_reading(self) -> None:
        """Read on unless the caller has sent too much ahead."""
        if len(self._unparsed) > MAX_SENT_AHEAD_BYTES:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _update_state(self) -> None:
        if self._is_reading_body() or self._headers_timer is not None:
            state = ConnectionState.RECEIVING
        elif self._is_between_requests():
            state = ConnectionState.IDLE
        else:
            state = ConnectionState.BUSY
        self._shared.table.update_state(self, state)

    def _make_room(self, state: ConnectionState) -> None:
        """Close the connection, since another one needs its place."""
        peer = get_peer_address(self.transport)
        self._shared.on_displaced(self._shared.table.limit, state.value, peer)
        self.transport.close()

    def _start_headers_timer(self) -> None:
        self._headers_timer = self.loop.call_later(
            HEADERS_TIMEOUT_S,
            self._abort,
            "timeout while waiting for the headers of a request",
        )

    def _stop_headers_timer(self) -> None:
        if self._headers_timer is not None:
            self._headers_timer.cancel()
            self._headers_timer = None

    def _stop_unread_timer(self) -> None:
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _abort(self, reason: str) -> None:
        self.logger.warning("%s: %s", self.client, reason)
        self.transport.abort()


class _ParserFlow(FlowControl):
    """Flow control of uvicorn that stops the parser instead of the transport."""

    def __init__(
        self, transport: asyncio.Transport, resume: Callable[[], None]
    ) -> None:
        super().__init__(transport)
        self._resume = resume

    def pause_reading(self) -> None:
        """Parse nothing until the body was taken."""
        self.read_paused = True

    def resume_reading(self) -> None:
        """Parse on."""
        if self.read_paused:
            self.read_paused = False
            self._resume()
