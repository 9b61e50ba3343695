"""Connections to upstreams: one request at a time, answers read as they come."""

import asyncio
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

import h11
from attrs import define, field

from ..util.address import split_address
from .const import (
    CONNECT_TIMEOUT_S,
    DEFAULT_KEEP_ALIVE_S,
    DISTRUST_IDLE_S,
    MAX_RESPONSE_HEADER_BYTES,
    MAX_REUSE_IDLE_S,
    READ_BYTES,
    TRUST_AFTER_BREAK,
    TRUST_HEALS,
)
from .messages import Request, ResponseHead

KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout\s*=\s*(\d+)")
NAGLE_OFF: Final = 1


SilenceHandler = Callable[[], Awaitable[bool]]


class ConnectFailedError(Exception):
    """No connection was made, so nothing was sent."""

    def __init__(self, detail: str, *, refused: bool = False) -> None:
        super().__init__(detail)
        self.refused = refused
        """Whether the host answered that nobody listens there."""


class ExchangeFailedError(Exception):
    """The connection failed after bytes were sent; the request may have run."""


class ConnectionLostError(ExchangeFailedError):
    """The other end closed or reset the connection before its answer was complete."""


class Connection:
    """One connection to an upstream."""

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
        """Time that it stood idle before its present request; None if it is new."""

        self.silence_s: float | None = None
        """Silence after which `on_silence` is asked, once; None: never."""

        self.on_silence: SilenceHandler | None = None
        """Says whether the exchange is given up because of a silence."""

        self._ended = False
        """Whether the other end sends nothing any more."""

    async def async_send(self, request: Request) -> None:
        """Send a whole request.

        Raises:
            ExchangeFailedError: If the connection fails.
        """
        self._closes_after = True
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        parts = [self._http.send(head) or b""]
        if request.body:
            parts.append(self._http.send(h11.Data(data=request.body)) or b"")
        parts.append(self._http.send(h11.EndOfMessage()) or b"")
        try:
            self._writer.write(b"".join(parts))
        except (OSError, RuntimeError) as error:
            raise ConnectionLostError(f"could not send: {error}") from error

    async def async_read_head(self) -> ResponseHead:
        """Read the head of the next response; interim ones are passed over.

        Raises:
            ExchangeFailedError: If the connection fails or what comes is no response.
        """
        while True:
            event = await self._async_next()
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                head = ResponseHead(
                    status=event.status_code,
                    reason=bytes(event.reason),
                    headers=tuple(event.headers.raw_items()),
                )
                self._note_keep_alive(head)
                return head
            raise ConnectionLostError("connection ended before the response")

    async def async_iterate_body(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they come, until it is complete.

        Raises:
            ExchangeFailedError: If the body ends early.
        """
        while True:
            event = await self._async_next()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ConnectionLostError("connection ended within the body")

    async def async_skip_response(self, request: Request) -> None:
        """Read a response that belongs to another request to its end.

        What follows is read as the response to `request`, which was sent before.

        Raises:
            ExchangeFailedError: If nothing can follow on this connection.
        """
        async for _ in self.async_iterate_body():
            pass
        if self._closes_after:
            raise ExchangeFailedError("another request's response closed the channel")
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        # Brings the parser into the state after the request; its bytes were sent.
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

    def prepare_reuse(self, now: float) -> bool:
        """Return whether another request may go out on this connection."""
        rest, closed = self._http.trailing_data
        clean = not rest and not closed and not self._reader.at_eof()
        if not clean or self._closes_after or self._writer.is_closing():
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self.usable_until = now + self._idle_s
        self.idle_since = now
        return self._idle_s > 0

    def is_fresh_enough(self, now: float) -> bool:
        """Return whether the upstream should still have the connection open."""
        buffered: Any = getattr(self._reader, "_buffer", b"")
        silent = not buffered and not self._reader.at_eof()
        return silent and not self._writer.is_closing() and now < self.usable_until

    def close(self) -> None:
        """Close the connection at once, which also ends what runs upstream."""
        transport = self._writer.transport
        transport.abort()

    async def _async_next(self) -> Any:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                kind = ConnectionLostError if self._ended else ExchangeFailedError
                raise kind(f"not a response: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._async_read()
            except OSError as error:
                raise ConnectionLostError(f"connection reset: {error}") from error
            self._ended = not data
            self._http.receive_data(data)

    async def _async_read(self) -> bytes:
        if self.silence_s is None or self.on_silence is None:
            return await self._reader.read(READ_BYTES)
        try:
            async with asyncio.timeout(self.silence_s):
                return await self._reader.read(READ_BYTES)
        except TimeoutError:
            silent_s, self.silence_s = self.silence_s, None
            if await self.on_silence():
                raise ExchangeFailedError(f"silent for {silent_s} s") from None
            return await self._reader.read(READ_BYTES)

    def _note_keep_alive(self, head: ResponseHead) -> None:
        connection = (head.find(b"connection") or "").lower()
        self._closes_after = "close" in connection
        match = KEEP_ALIVE_TIMEOUT.search(head.find(b"keep-alive") or "")
        announced = float(match.group(1)) if match else DEFAULT_KEEP_ALIVE_S
        self._idle_s = announced - DISTRUST_IDLE_S

    _closes_after = True
    _idle_s = DEFAULT_KEEP_ALIVE_S


async def async_connect(
    address: str, now: float, timeout_s: float = CONNECT_TIMEOUT_S
) -> Connection:
    """Open a connection.

    Raises:
        ConnectFailedError: If none is made in time.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(
            f"no connection to {address}: {error!r}",
            refused=isinstance(error, ConnectionRefusedError),
        ) from error
    raw = writer.get_extra_info("socket")
    if raw is not None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, NAGLE_OFF)
    return Connection(reader, writer, now)


@define(eq=False)
class IdleReuseLimit:
    """How long a connection may stand idle and still be trusted to work.

    A request that may not be repeated is lost to its caller if a kept connection turns
    out to be broken: nothing proves that it did not run. So such a request uses one
    only just after an answer came on it, and less long after any was seen to break.
    """

    _limit_s: float = MAX_REUSE_IDLE_S
    _broken_at: float = -1e9

    def compute_s(self, now: float) -> float:
        """Return the longest idle time in seconds."""
        healed_s = TRUST_HEALS * max(0.0, now - self._broken_at)
        return min(MAX_REUSE_IDLE_S, self._limit_s + healed_s)

    def record_break(self, idle_s: float, now: float) -> None:
        """Note that a connection that stood idle for so long broke unanswered."""
        self._limit_s = min(self.compute_s(now), TRUST_AFTER_BREAK * idle_s)
        self._broken_at = now


@define(eq=False)
class ConnectionPool:
    """Idle connections by address, the last used first."""

    max_idle: int
    """Idle connections that are kept for one address."""

    idle_limit: IdleReuseLimit = field(factory=IdleReuseLimit)

    _idle: dict[str, list[Connection]] = field(factory=dict, init=False)

    def acquire(
        self, address: str, now: float, *, retryable: bool = True
    ) -> Connection | None:
        """Return an idle connection that should still be open; None without one.

        Args:
            address: Where the connection goes to.
            now: Time in seconds.
            repeatable: Whether the request may go out again if the connection breaks
                without an answer; if not, it has to have been used just before.
        """
        kept = self._idle.get(address)
        while kept:
            if not retryable and now - kept[-1].idle_since > self.idle_limit.compute_s(
                now
            ):
                return None
            connection = kept.pop()
            if connection.is_fresh_enough(now):
                connection.idle_s = now - connection.idle_since
                return connection
            connection.close()
        return None

    def release(self, address: str, connection: Connection, now: float) -> None:
        """Keep a connection whose exchange is complete, if it can be used again."""
        kept = self._idle.setdefault(address, [])
        if len(kept) >= self.max_idle or not connection.prepare_reuse(now):
            connection.close()
            return
        kept.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections of an address that is no longer used."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def sweep(self, now: float) -> None:
        """Close the idle connections that the upstream is about to close."""
        for address, kept in list(self._idle.items()):
            fresh = [each for each in kept if each.is_fresh_enough(now)]
            for each in kept:
                if each not in fresh:
                    each.close()
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
