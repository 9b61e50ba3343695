"""Connections to upstreams with one request at a time and streamed responses."""

import asyncio
import errno
import re
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from math import inf
from typing import Any, Final

import h11
from attrs import frozen

from ..util.address import CONNECT_ERRORS, split_address
from ..util.statuses import is_final
from .const import (
    BODY_GRACE_S,
    CONNECT_TIMEOUT_S,
    DEFAULT_KEEP_ALIVE_S,
    KEEP_ALIVE_MARGIN_S,
    MAX_BODY_PARTS,
    MAX_COUNTED_WAIT_S,
    MAX_INCOMPLETE_S,
    MAX_INTERIM_RESPONSES,
    MAX_NAMED_REQUESTS,
    MAX_READ_AHEAD_BYTES,
    MAX_RESPONSE_HEADER_BYTES,
    MAX_SKIPPED_BYTES,
    MAX_SKIPPED_RESPONSES,
    MIN_BODY_BYTES_PER_S,
    PARTS_PER_TURN,
    READ_BYTES,
    READ_TURNS,
)
from .messages import Request, ResponseHead

KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout\s*=\s*(\d+)")
HTTP_1: Final = b"1."
NAGLE_OFF: Final = 1
UNREACHABLE_ERRORS: Final = (errno.EHOSTUNREACH, errno.ENETUNREACH)


TCP_INFO_BYTES: Final = 60
LAST_ACK_RECEIVED_OFFSET: Final = 56
"""Position of `tcpi_last_ack_recv`, in milliseconds, in Linux' `struct tcp_info`. All
packets acknowledge something, that with the end of the connection as well."""

PACKET_TIME_ERROR_S: Final = 0.01
"""Largest error of that time, which counts the kernel's ticks of 1 to 10 ms."""

DIGEST_BYTES: Final = 8

SilenceHandler = Callable[[], Awaitable[bool]]


class ConnectFailedError(Exception):
    """No connection was opened, so nothing was sent."""

    def __init__(
        self, detail: str, *, refused: bool = False, timed_out: bool = False
    ) -> None:
        super().__init__(detail)
        self.refused = refused
        """Whether the host refused the connection since no process listens there."""

        self.timed_out = timed_out
        """Whether the host did not respond, or the network knows no way to it."""


class ExchangeFailedError(Exception):
    """The exchange failed after bytes were sent; the request may have run."""


class UpstreamSilentError(ExchangeFailedError):
    """The upstream is silent, and the handler of silences gave it up.

    The connection is still usable: reading may go on where it stopped.
    """


class ConnectionLostError(ExchangeFailedError):
    """The upstream closed or reset the connection before the end of its response."""


@frozen(kw_only=True)
class BodyLimits:
    """What the body of one response may take at most."""

    max_bytes: int
    grace_s: float | None = None
    """Seconds from its head to its end, beyond which `MIN_BODY_BYTES_PER_S` must have
    been received; None if its time is limited by other means."""

    def measure_max_s(self, size: int) -> float:
        """Return the seconds within which this many bytes may be received."""
        if self.grace_s is None:
            return inf
        return self.grace_s + size / MIN_BODY_BYTES_PER_S


SKIPPED_LIMITS: Final = BodyLimits(max_bytes=MAX_SKIPPED_BYTES, grace_s=BODY_GRACE_S)


class Connection:
    """Connection to an upstream.

    All bytes that an upstream sends are read here. A faulty one may send bytes without
    end, fast or slowly, so each part of a response has a largest size and a longest
    time, and parsing takes turns with the other tasks.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, now: float
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        self.usable_until = now + DEFAULT_KEEP_ALIVE_S
        self.idle_since = now
        self.idle_s: float | None = None
        """Idle time before the current request; None for a new connection."""

        self.silence_s: float | None = None
        """Time without data after which `on_silence` is called, or None."""

        self.on_silence: SilenceHandler | None = None
        """Called after each silence, and cancelled if data arrives meanwhile.

        It returns whether to abort the exchange, or raises `ExchangeFailedError` if no
        data can arrive any more.
        """

        self._unread = b""
        """Data that arrived just as the exchange was aborted."""

        self.on_result: Callable[[bool], None] | None = None
        """Called once: with True at the first data from the upstream, or with False if
        the connection ends without any."""

        self._ended = False
        """Whether the upstream has closed its side of the connection."""

        self._clock = asyncio.get_running_loop().time
        self.waited_s = 0.0
        """Time spent waiting for reads. Slow parts are timed by it, since the time in
        which this host is busy or its caller reads slowly is not the upstream's."""

        self._incomplete_since: float | None = None
        """`waited_s` at the first bytes of an incomplete part, for example a head."""

        self._parsed = 0
        """Parts parsed since other tasks of the event loop could run."""

        self.skipped = 0
        """Responses to other requests skipped since the current request was sent."""

        self.requests = 0
        """Requests sent on this connection."""

        self._sent_ids = bytearray()
        """Digests of the IDs of requests that were sent on this connection."""

    async def async_send(self, request: Request, request_id: str = "") -> None:
        """Send a whole request.

        Args:
            request: The request.
            request_id: ID that its response names; empty without one.

        Raises:
            ExchangeFailedError: If the connection fails, or the request can't be
                encoded.
        """
        self._closes_after = True
        self.skipped = 0
        self.requests += 1
        if request_id:
            self._sent_ids += _digest(request_id)
        try:
            parts = self._encode(request)
        except h11.LocalProtocolError as error:
            raise ExchangeFailedError(f"cannot encode the request: {error}") from error
        try:
            self._writer.write(b"".join(parts))
        except (OSError, RuntimeError) as error:
            raise ConnectionLostError(f"cannot send the request: {error}") from error

    def _encode(self, request: Request) -> list[bytes]:
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        parts = [self._http.send(head) or b""]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        return parts

    async def async_read_head(self) -> ResponseHead:
        """Read the head of the next response; interim responses are skipped.

        Raises:
            ExchangeFailedError: If the connection fails or the response is malformed.
        """
        interim = 0
        while True:
            event = await self._async_next()
            if isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > MAX_INTERIM_RESPONSES:
                    raise ExchangeFailedError("too many interim responses")
                continue
            if isinstance(event, h11.Response):
                _check_status_line(event)
                head = ResponseHead(
                    status=event.status_code,
                    reason=bytes(event.reason),
                    headers=tuple(event.headers.raw_items()),
                )
                self._update_keep_alive(head)
                return head
            raise ConnectionLostError("connection closed before the response")

    async def async_iterate_body(self, limits: BodyLimits) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they arrive, until it is complete.

        Raises:
            ExchangeFailedError: If the body ends early, or exceeds its limits.
        """
        started_at = self.waited_s
        size = parts = 0
        while True:
            event = await self._async_next()
            if isinstance(event, h11.Data):
                size += len(event.data)
                parts += 1
                if size > limits.max_bytes:
                    raise ExchangeFailedError("the response is too large")
                if self.waited_s - started_at > limits.measure_max_s(size):
                    raise ExchangeFailedError("the body arrives too slowly")
                if parts > MAX_BODY_PARTS:
                    raise ExchangeFailedError("the response has too many parts")
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLostError("connection closed within the body")

    async def async_skip_response(self, request: Request) -> None:
        """Read the rest of a response that belongs to another request, and discard it.

        The next response is then read as the response to `request`, which was already
        sent on this connection.

        Raises:
            ExchangeFailedError: If the connection cannot carry another response.
        """
        self.skipped += 1
        if self.skipped > MAX_SKIPPED_RESPONSES:
            raise ExchangeFailedError("too many responses to other requests")
        async for _ in self.async_iterate_body(SKIPPED_LIMITS):
            pass
        if self._closes_after:
            raise ExchangeFailedError(
                "another request's response closed the connection"
            )
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        # The new parser can only read a response after it has encoded its request. The
        # encoded bytes are discarded, since the request was already sent.
        self._http.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=list(request.headers),
            )
        )
        if request.body:
            self._http.send(h11.Data(data=request.body))
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    @property
    def is_first_response(self) -> bool:
        """Return whether the current response is the first one of the connection.

        It can only be that to the first request. A later one may be an extra response
        to an earlier request, which faulty upstreams send.
        """
        return self.idle_s is None and not self.skipped

    def has_sent(self, request_id: str) -> bool:
        """Return whether a request with this ID was sent on this connection.

        A late response to it could not be told from that to another one with the ID.
        """
        return bool(request_id) and _digest(request_id) in self._sent_ids

    def prepare_reuse(self, now: float) -> bool:
        """Return whether another request may be sent on this connection."""
        rest, closed = self._http.trailing_data
        clean = not rest and not closed and not self._reader.at_eof()
        if not clean or self._closes_after or self._writer.is_closing():
            return False
        if len(self._sent_ids) >= MAX_NAMED_REQUESTS * DIGEST_BYTES:
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.usable_until = now + self._keep_alive_s
        self.idle_since = now
        return self._keep_alive_s > 0

    def is_likely_open(self, now: float) -> bool:
        """Return whether the upstream probably still keeps the connection open."""
        buffered: Any = getattr(self._reader, "_buffer", b"")
        silent = not buffered and not self._reader.at_eof()
        return silent and not self._writer.is_closing() and now < self.usable_until

    @property
    def local_port(self) -> int:
        """Return the port of this end; 0 if it is unknown."""
        address = self._writer.get_extra_info("sockname")
        return int(address[1]) if address else 0

    def measure_since_packet_s(self) -> float | None:
        """Return the seconds since the last packet of the upstream; None if unknown.

        Once the connection has ended, that is the packet with its end: the kernel notes
        the time also of one that this process reads late.
        """
        sock = self._writer.get_extra_info("socket")
        try:
            info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
            since_ms: int = struct.unpack_from("=I", info, LAST_ACK_RECEIVED_OFFSET)[0]
        except (AttributeError, OSError, struct.error):
            # The system offers no such figures.
            return None
        return since_ms / 1000 + PACKET_TIME_ERROR_S

    def count_unread(self) -> int:
        """Return the bytes that were received and not read yet."""
        buffered: Any = getattr(self._reader, "_buffer", b"")
        return len(buffered) + len(self._unread)

    async def async_is_kept_open(self, timeout_s: float) -> bool:
        """Return whether the upstream leaves a new connection open for some time."""
        read = asyncio.ensure_future(self._reader.read(READ_BYTES))
        try:
            await asyncio.wait({read}, timeout=timeout_s)
            # A busy loop may end the wait before it reads an end that came in time.
            for _ in range(READ_TURNS):
                await asyncio.sleep(0)
            return not read.done() or bool(await read)
        except OSError:
            return False
        finally:
            read.cancel()

    def close(self) -> None:
        """Close the connection at once, which also ends the request at the upstream."""
        transport = self._writer.transport
        transport.abort()

    async def _async_next(self) -> Any:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                kind = ConnectionLostError if self._ended else ExchangeFailedError
                raise kind(f"malformed response: {error}") from error
            if event is not h11.NEED_DATA:
                self._incomplete_since = None
                await self._async_take_turns()
                return event
            self._check_incomplete()
            if not self.count_unread():
                self._parsed = 0
            began_at = self._clock()
            try:
                data = await self._async_read()
            except OSError as error:
                self._report_result(has_data=False)
                raise ConnectionLostError(f"connection reset: {error}") from error
            self.waited_s += min(self._clock() - began_at, MAX_COUNTED_WAIT_S)
            self._report_result(has_data=bool(data))
            self._ended = not data
            self._http.receive_data(data)

    async def _async_take_turns(self) -> None:
        """Let other tasks run, since unread bytes don't suspend this one."""
        self._parsed += 1
        if self._parsed >= PARTS_PER_TURN:
            self._parsed = 0
            await asyncio.sleep(0)

    def _check_incomplete(self) -> None:
        """Check the time of an incomplete part; its size is limited by the parser.

        Raises:
            ExchangeFailedError: If it is not complete in time.
        """
        if not self._http.trailing_data[0]:
            self._incomplete_since = None
            return
        if self._incomplete_since is None:
            self._incomplete_since = self.waited_s
        elif self.waited_s - self._incomplete_since > MAX_INCOMPLETE_S:
            raise ExchangeFailedError(
                f"a part of the response takes over {MAX_INCOMPLETE_S:g} s"
            )

    def _report_result(self, *, has_data: bool) -> None:
        on_result, self.on_result = self.on_result, None
        if on_result is not None:
            on_result(has_data)

    async def _async_read(self) -> bytes:
        if self._unread:
            data, self._unread = self._unread, b""
            return data
        if self.silence_s is None or self.on_silence is None:
            return await self._reader.read(READ_BYTES)
        try:
            async with asyncio.timeout(self.silence_s):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            return await self._async_read_after_silence(self.silence_s, self.on_silence)

    async def _async_read_after_silence(
        self, silence_s: float, on_silence: SilenceHandler
    ) -> bytes:
        """Wait for data, and call the handler after each further silence."""
        read = asyncio.ensure_future(self._reader.read(READ_BYTES))
        silences = 1
        try:
            while not read.done():
                if await _async_call_until(read, on_silence):
                    await self._async_stop_reading(read)
                    raise UpstreamSilentError(
                        f"no data from the upstream for {silences * silence_s:g} s"
                    )
                await asyncio.wait({read}, timeout=silence_s)
                silences += 1
            return await read
        finally:
            read.cancel()

    async def _async_stop_reading(self, read: "asyncio.Future[bytes]") -> None:
        """End a read so that another one can follow, without losing data."""
        read.cancel()
        await asyncio.wait({read})
        if not read.cancelled() and read.exception() is None:
            self._unread = read.result()

    def _update_keep_alive(self, head: ResponseHead) -> None:
        connection = (head.find(b"connection") or "").lower()
        self._closes_after = "close" in connection
        match = KEEP_ALIVE_TIMEOUT.search(head.find(b"keep-alive") or "")
        announced = float(match.group(1)) if match else DEFAULT_KEEP_ALIVE_S
        self._keep_alive_s = announced - KEEP_ALIVE_MARGIN_S

    _closes_after = True
    """Whether the response ends the connection; assumed until its head is read."""

    _keep_alive_s = DEFAULT_KEEP_ALIVE_S
    """Idle time for which the connection can be reused after the response."""


async def _async_call_until(
    read: "asyncio.Future[bytes]", on_silence: SilenceHandler
) -> bool:
    """Call a silence handler, and cancel the call if data arrives first."""
    call = asyncio.ensure_future(on_silence())
    pending: set[asyncio.Future[Any]] = {read, call}
    try:
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        return call.done() and call.result()
    finally:
        call.cancel()


async def async_connect(
    address: str, now: float, timeout_s: float | None = CONNECT_TIMEOUT_S
) -> Connection:
    """Open a connection.

    Args:
        address: Address of the upstream.
        now: Time in seconds.
        timeout_s: Timeout in seconds; None if the caller has one.

    Raises:
        ConnectFailedError: If the connection fails or times out.
    """
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, port, limit=MAX_READ_AHEAD_BYTES
            )
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, NAGLE_OFF)
    except CONNECT_ERRORS as error:
        raise ConnectFailedError(
            f"cannot connect to {address}: {error!r}",
            refused=isinstance(error, ConnectionRefusedError),
            timed_out=isinstance(error, TimeoutError)
            or getattr(error, "errno", None) in UNREACHABLE_ERRORS,
        ) from error
    return Connection(reader, writer, now)


def _check_status_line(response: h11.Response) -> None:
    """Check what the parser accepts beyond HTTP/1.

    Raises:
        ExchangeFailedError: If the version or the status is invalid.
    """
    version, status = response.http_version, response.status_code
    if not version.startswith(HTTP_1) or not is_final(status):
        line = f"HTTP/{version.decode('latin-1')} {status}"
        raise ExchangeFailedError(f"malformed response: {line}")


def _digest(request_id: str) -> bytes:
    """Return a digest of a request's ID, which differs between processes."""
    return hash(request_id).to_bytes(DIGEST_BYTES, "little", signed=True)
