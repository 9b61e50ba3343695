"""Connections of callers: complete requests are read, responses are streamed."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any, Final

import h11

from ..policy.connections import ConnectionState
from ..util.address import get_peer_address
from ..util.listener import async_serve
from .const import (
    LOW_WRITE_BUFFER_BYTES,
    MAX_PIPELINED_BYTES,
    MAX_UNSENT_KERNEL_BYTES,
    MAX_WRITE_BUFFER_BYTES,
    PARTS_PER_TURN,
)
from .exchange import CallerGoneError, Exchange
from .messages import Headers, Request
from .request_parser import RequestParser
from .request_problems import MEMORY_SHORT, TOO_MANY, find_problem, measure_head
from .response_memory import CallerHolding, count_in_kernel
from .server_options import ServerOptions

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Zero linger time: closing drops unsent data and resets the connection."""

CLOSE: Final = (b"Connection", b"close")


class CallerConnection(asyncio.BufferedProtocol):
    """Connection of a caller; pipelined requests are handled one at a time.

    At most `MAX_PIPELINED_BYTES` and those of one read are kept beyond the current
    request: reading is paused until they have been parsed.
    """

    def __init__(self, options: ServerOptions) -> None:
        self._options = options
        self._limits = options.limits()
        self._parser = RequestParser(self._limits.max_header_bytes)
        self._http = self._parser.http
        self._loop = asyncio.get_running_loop()
        self._head: h11.Request | None = None
        self._head_bytes = 0
        """Memory of the head that counts."""

        self._handled_bytes = 0
        """Memory of the request that is handled."""

        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._transport: asyncio.Transport
        self.holding: CallerHolding
        self._lost = False
        self._close_after = False
        self._rejected = False
        self._has_begun = False
        """Whether bytes of a request arrived that no handler has yet."""

        self._will_parse = False
        """Whether parsing goes on in the next turn of the event loop."""

        self._was_paused = False
        """Whether reading was ever paused."""

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self._task is not None or self._head is not None

    @property
    def has_undelivered(self) -> bool:
        """Return whether the caller has yet to receive bytes of a response."""
        unsent = self._transport.get_write_buffer_size()
        return unsent > 0 or count_in_kernel(self._transport) > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the idle timeout."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(
            high=MAX_WRITE_BUFFER_BYTES, low=LOW_WRITE_BUFFER_BYTES
        )
        _limit_kernel_buffer(transport)
        self.holding = CallerHolding(
            self._options.memory, transport, self.abort, self._drop_input
        )
        self._options.connections.add(self)
        self._start_timer(self._limits.idle_timeout_s, self._handle_idle_timeout)
        closed = self._options.table.add(self)
        if closed is not None:
            closed[0].make_room(closed[1])

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._options.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse bytes of the caller; keep them while a request is handled."""
        if self._rejected:
            return
        self._parser.receive(self._options.receive_buffer[:nbytes])
        if self._task is None and self._writable.is_set() and not self._will_parse:
            self._read_events()
        self._handle_parsed()

    def eof_received(self) -> bool:
        """Treat the end of the caller's stream as a disconnect."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the handler of a caller that disconnected."""
        self._lost = True
        self._options.connections.discard(self)
        self._options.table.remove(self)
        self._writable.set()
        self.holding.close()
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Block the writer until the caller reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock the writer, or read the next request after a complete response."""
        self._writable.set()
        self.holding.wake()
        if self._task is None and not self._transport.is_closing():
            self._await_request()

    def make_room(self, state: ConnectionState) -> None:
        """Close the connection, since another one needs its place.

        A request that was not received completely has not run, and is rejected so.
        """
        self._options.on_full(state.value, self._peer)
        if state is ConnectionState.RECEIVING:
            self._reject(TOO_MANY.status, TOO_MANY.reason)
        if self._transport.get_write_buffer_size():
            self.abort()
        else:
            self._transport.close()

    @property
    def is_stalled(self) -> bool:
        """Return whether the caller has read nothing of a response for some seconds."""
        unread_s = self.holding.measure_unread_s()
        unsent = self._transport.get_write_buffer_size()
        return not unsent or unread_s >= self._options.memory.limits.unread_s

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if not self.busy:
            self._close()

    def abort(self) -> None:
        """Reset the connection so that a partly sent response cannot look complete."""
        raw = self._transport.get_extra_info("socket")
        if raw is not None and not self._lost:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def write_head(
        self, status: int, reason: bytes, headers: Headers, *, close: bool
    ) -> None:
        """Write the status line and fields of a response."""
        if self._options.closing or close:
            self._close_after = True
        fields = [*headers, CLOSE] if self._close_after else list(headers)
        head = h11.Response(status_code=status, reason=reason, headers=fields)
        self._write(self._http.send(head))

    def write_part(self, data: bytes) -> None:
        """Write a part of the body without waiting."""
        if data:
            self._write(self._http.send(h11.Data(data=data)))

    async def async_write_body(self, data: bytes) -> None:
        """Write a part of the body and wait while the write buffer is full."""
        self.write_part(data)
        if not self._writable.is_set() or self._options.memory.is_short():
            await self.holding.async_wait(self._writable.is_set)
        if self._lost or self.holding.is_closed:
            raise CallerGoneError

    def finish_response(self) -> None:
        """Write the end of the response."""
        self._write(self._http.send(h11.EndOfMessage()))

    def _write(self, data: bytes | None) -> None:
        if data and not self._lost and not self._transport.is_closing():
            self._transport.write(data)
            self.holding.record_written(len(data))

    def _set_state(self, state: ConnectionState) -> None:
        self._options.table.update_state(self, state)

    def _control_reading(self) -> None:
        """Pause reading while enough bytes wait to be parsed."""
        if self._transport.is_closing():
            return
        if self._parser.unparsed_bytes <= MAX_PIPELINED_BYTES:
            self._transport.resume_reading()
            return
        self._transport.pause_reading()
        if not self._was_paused:
            self._was_paused = True
            self._options.on_read_ahead(self._parser.unparsed_bytes, self._peer)

    def _read_events(self) -> None:
        """Parse the current request, a few parts in each turn of the event loop."""
        if self._will_parse:
            return
        for _ in range(PARTS_PER_TURN):
            if not self._may_parse():
                return
            try:
                event = self._parser.read_event()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
                return
            if event is h11.NEED_DATA:
                self._send_continue()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._handle_event(event)
        self._will_parse = True
        self._loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        self._will_parse = False
        self._read_events()
        self._handle_parsed()

    def _handle_parsed(self) -> None:
        self._limit_time()
        self._count_bytes()
        self._control_reading()

    def _limit_time(self) -> None:
        """Start the timeout of a request at its first byte."""
        if self._has_begun or not self._may_parse() or not self._writable.is_set():
            return
        if self._head is not None or self._parser.held_bytes:
            self._has_begun = True
            self._set_state(ConnectionState.RECEIVING)
            self._start_timer(self._limits.header_timeout_s, self._handle_head_timeout)

    def _count_bytes(self) -> None:
        """Report what is held for the requests; this may drop those not handled yet."""
        if self._lost or self._rejected:
            return
        received = self._parser.held_bytes
        if self._task is None and self._head is not None:
            received += self._head_bytes + len(self._body)
        self.holding.set_request_bytes(self._handled_bytes, received)

    def _drop_input(self) -> None:
        """Drop the requests that no handler has, and close the connection."""
        if self._task is None:
            self._reject(MEMORY_SHORT.status, MEMORY_SHORT.reason)
            return
        self._rejected = self._close_after = True
        self._parser.clear()
        self._transport.resume_reading()
        self.holding.set_request_bytes(self._handled_bytes, 0)

    def _may_parse(self) -> bool:
        return self._task is None and not self._lost and not self._rejected

    @property
    def _peer(self) -> str:
        """Return the address of the caller."""
        return get_peer_address(self._transport)

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._head = event
            self._body = bytearray()
            self._head_bytes = measure_head(event)
            problem = find_problem(event, self._limits.max_header_bytes)
            if problem is None and not self._options.responds_when_short:
                problem = MEMORY_SHORT if self._options.memory.is_short() else None
            if problem is not None:
                self._reject(problem.status, problem.reason)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.max_body_bytes:
                self._reject(413, "the body is too large")
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim))

    def _start_handler(self) -> None:
        head = self._head
        assert head is not None
        self._stop_timer()
        self._has_begun = False
        self._set_state(ConnectionState.BUSY)
        request = Request(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=tuple(head.headers.raw_items()),
            body=bytes(self._body),
        )
        self._handled_bytes = self._head_bytes + len(self._body)
        self._body = bytearray()
        exchange = Exchange(self)
        task = self._loop.create_task(self._async_handle(request, exchange))
        self._task = task

    async def _async_handle(self, request: Request, exchange: Exchange) -> None:
        try:
            await self._options.handle(request, exchange)
        except CallerGoneError:
            self.abort()
        except asyncio.CancelledError:
            self.abort()
            raise
        except Exception as error:
            self._options.on_error(error)
            self.abort()
        finally:
            self._end_exchange()

    def _end_exchange(self) -> None:
        self._task = None
        self._head = None
        self._handled_bytes = 0
        self.holding.end_exchange()
        if self._lost:
            return
        if self._http.our_state is not h11.DONE or self._close_after:
            # After an incomplete response, which must not look complete, the connection
            # was already reset by abort().
            self._close()
            return
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self._close()
            return
        if self._writable.is_set():
            self._await_request()
        else:
            self._set_state(ConnectionState.UNREAD)
            self._limit_delivery()

    def _await_request(self) -> None:
        """Read the next request once the caller has read most of the last response."""
        self._limits = self._options.limits()
        self._start_timer(self._limits.idle_timeout_s, self._handle_idle_timeout)
        unsent = self._transport.get_write_buffer_size()
        self._set_state(ConnectionState.UNREAD if unsent else ConnectionState.IDLE)
        self._read_events()
        self._handle_parsed()

    def _reject(self, status: int, reason: str) -> None:
        """Reject a request that was not read to its end, and close the connection.

        The connection cannot be reused, since it is unknown where the next request
        would begin.
        """
        self._stop_timer()
        self._rejected = True
        if self._options.on_rejected is not None:
            self._options.on_rejected(status, reason, self._head)
        self._head = None
        self.holding.set_request_bytes(0, 0)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers, body = self._options.reject(status, reason)
            self._close_after = True
            Exchange(self).answer(status, headers, body)
        self._close()

    def _handle_head_timeout(self) -> None:
        self._reject(408, "timeout while receiving the request")

    def _handle_idle_timeout(self) -> None:
        self._close()

    def _close(self) -> None:
        """Close the connection once the caller has read the rest of its response."""
        self._transport.close()
        if self._transport.get_write_buffer_size():
            self._limit_delivery()

    def _limit_delivery(self) -> None:
        """Reset the connection once the caller reads nothing for the idle timeout."""
        unread_s = self.holding.measure_unread_s()
        limit_s = self._limits.idle_timeout_s
        if unread_s < limit_s:
            self._start_timer(limit_s - unread_s, self._limit_delivery)
        else:
            self._options.on_unread(unread_s, self._peer)
            self.abort()

    def _start_timer(self, seconds: float, call: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, call)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _limit_kernel_buffer(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_KERNEL_BYTES
        )


async def async_listen(options: ServerOptions, listener: Any) -> asyncio.AbstractServer:
    """Serve callers on a listening socket."""
    return await async_serve(listener, lambda: CallerConnection(options))
