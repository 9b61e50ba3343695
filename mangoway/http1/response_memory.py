"""Bytes that a host holds for its callers' connections, and their bound."""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable
from typing import Any, Final

from attrs import define, field, frozen

from ..policy.edge.response_memory import (
    BreakCause,
    Holding,
    MemoryLedger,
    MemoryLimits,
)
from .const import MAX_PIPELINED_BYTES

POLL_PERIOD_S: Final = 0.1
"""Interval between two measurements while bytes are held. A transport reports neither
how far its caller has read nor that its buffer is empty."""

MIN_REFRESH_S: Final = 0.01
"""Minimum time between two measurements of all connections while memory is short."""

COUNT: Final = struct.Struct("i")
"""Result of an ioctl call that returns a number of bytes."""


@frozen(kw_only=True)
class BrokenResponse:
    """A response that was broken off."""

    cause: BreakCause
    held_bytes: int
    unread_s: float
    """Time for which its caller had read nothing."""

    total_bytes: int
    """Bytes that the host held for all callers."""


class MemoryShortError(Exception):
    """A response can't be buffered as a whole, since the host holds too many bytes."""


@define(eq=False)
class CallerHolding:
    """The bytes that are held for one connection of a caller."""

    memory: "ResponseMemory"
    transport: asyncio.Transport
    abort: Callable[[], None]
    """Resets the connection."""

    drop_input: Callable[[], None] = lambda: None
    """Drops the requests that no handler has yet."""

    request_bytes: int = 0
    """The request that is handled."""

    input_bytes: int = 0
    """Requests that no handler has yet."""

    body_bytes: int = 0
    """Part of a response that is buffered as a whole."""

    count_unread: Callable[[], int] | None = None
    """Returns the bytes that were read ahead from the runner; None if there is none."""

    holding: Holding = field(factory=Holding, init=False)
    _written: int = field(default=0, init=False)
    _wake: asyncio.Event = field(factory=asyncio.Event, init=False)
    is_closed: bool = field(default=False, init=False)

    def record_written(self, size: int) -> None:
        """Record bytes that were given to the transport."""
        self._written += size
        if self.holding.held_bytes or self.transport.get_write_buffer_size():
            self.memory.update(self)

    def set_request_bytes(self, handled: int, received: int) -> None:
        """Set the size of the request that is handled, and of those to come."""
        if handled != self.request_bytes or received != self.input_bytes:
            self.request_bytes, self.input_bytes = handled, received
            self.memory.update(self)

    def set_body_bytes(self, size: int) -> None:
        """Set the size of the response that is being buffered; 0 if there is none."""
        if size != self.body_bytes:
            self.body_bytes = size
            self.holding.collecting = size > 0
            self.memory.update(self)

    async def async_wait(self, is_writable: Callable[[], bool]) -> None:
        """Wait until the response may be read on, or the connection is closed.

        Args:
            is_writable: Returns whether the transport accepts more bytes.
        """
        try:
            while not self.is_closed:
                self.measure()
                if is_writable() and self.memory.may_read(self):
                    return
                if self.holding.blocked_at is None:
                    self.holding.blocked_at = self.memory.now()
                self.memory.update(self)
                self._wake.clear()
                await self._wake.wait()
        finally:
            self.holding.blocked_at = None

    async def async_collect(self, size: int) -> None:
        """Record a part of a response that is buffered as a whole; wait for room.

        Args:
            size: Bytes of the response that have been buffered.

        Raises:
            MemoryShortError: If there is no room within the time for which a runner
                may wait.
        """
        self.set_body_bytes(size)
        if self.memory.may_read(self):
            return
        try:
            async with asyncio.timeout(self.memory.limits.unread_s):
                await self.async_wait(lambda: True)
        except TimeoutError:
            raise MemoryShortError("this host holds too many bytes") from None

    def measure_unread_s(self) -> float:
        """Return the seconds for which the caller has read nothing of a response."""
        self.measure()
        return self.holding.measure_unread_s(self.memory.now())

    def wake(self) -> None:
        """Let the writer of the response check again whether it may go on."""
        self._wake.set()

    def end_exchange(self) -> None:
        """Release what was held for a request and its runner."""
        self.count_unread = None
        self.set_body_bytes(0)
        self.set_request_bytes(0, self.input_bytes)

    def close(self) -> None:
        """Release all bytes of a closed connection."""
        self.is_closed = True
        self.count_unread = None
        self.memory.remove(self)
        self._wake.set()

    def measure(self) -> None:
        """Record the current number of bytes.

        The kernel holds many bytes of a connection only while it is not read.
        """
        if self.is_closed:
            return
        received = self.input_bytes
        if received > MAX_PIPELINED_BYTES:
            received += count_received(self.transport)
        unsent = self.transport.get_write_buffer_size()
        unread = 0 if self.count_unread is None else self.count_unread()
        in_kernel = count_in_kernel(self.transport) if unsent else 0
        self.memory.ledger.update(
            self.holding,
            held=unsent + unread + self.request_bytes + received + self.body_bytes,
            received=received,
            unsent=unsent,
            taken=self._written - unsent - in_kernel,
            now=self.memory.now(),
        )


@define(eq=False)
class ResponseMemory:
    """Bounds the bytes that a host holds for all its callers.

    The connections are measured at intervals, while any bytes are held.
    """

    limits: MemoryLimits = field(factory=MemoryLimits)
    on_break: Callable[[BrokenResponse], None] = lambda broken: None
    on_drop: Callable[[int, int], None] = lambda size, total: None
    """Called with the size of the requests that a connection drops, and the sum."""

    on_change: Callable[[int], None] = lambda total: None
    """Called with the sum of held bytes when it was measured."""

    on_short: Callable[[int], None] = lambda total: None
    """Called with the sum when new requests begin to be rejected."""

    ledger: MemoryLedger = field(init=False)
    _callers: dict[Holding, CallerHolding] = field(factory=dict, init=False)
    _timer: asyncio.TimerHandle | None = field(default=None, init=False)
    _refreshed_at: float = field(default=-1e9, init=False)
    _was_short: bool = field(default=False, init=False)
    _is_breaking: bool = field(default=False, init=False)
    """Whether connections are being broken off, which updates others in turn."""

    def __attrs_post_init__(self) -> None:
        self.ledger = MemoryLedger(self.limits)

    def now(self) -> float:
        """Return the time of the running loop in seconds."""
        return asyncio.get_running_loop().time()

    def update(self, caller: CallerHolding) -> None:
        """Measure a connection, and keep to the limits."""
        caller.measure()
        if not caller.holding.held_bytes:
            self._callers.pop(caller.holding, None)
            return
        self._callers[caller.holding] = caller
        if self.ledger.is_exceeded():
            self._refresh()
            self._break_excess()
        self._start_timer()

    def remove(self, caller: CallerHolding) -> None:
        """Forget a connection that is closed."""
        self.ledger.remove(caller.holding)
        self._callers.pop(caller.holding, None)

    def may_read(self, caller: CallerHolding) -> bool:
        """Return whether a response may be read on from its runner."""
        return not self.is_short() or self.ledger.may_read(caller.holding)

    def is_short(self) -> bool:
        """Return whether new requests are rejected for lack of memory."""
        if self.ledger.is_short() and self.now() - self._refreshed_at >= MIN_REFRESH_S:
            self._refresh()
        return self.ledger.is_short()

    def _refresh(self) -> None:
        self._refreshed_at = self.now()
        for caller in tuple(self._callers.values()):
            caller.measure()
            if not caller.holding.held_bytes:
                self._callers.pop(caller.holding, None)
        is_short = self.ledger.is_short()
        if is_short and not self._was_short:
            self.on_short(self.ledger.total)
        self._was_short = is_short

    def _break_excess(self) -> None:
        if self._is_breaking:
            return
        self._is_breaking = True
        try:
            self._break_off_largest()
        finally:
            self._is_breaking = False

    def _break_off_largest(self) -> None:
        for holding in self.ledger.list_excess(self.now()):
            self._break_off(holding, BreakCause.MEMORY)
        for holding in self.ledger.list_large_inputs():
            caller = self._callers.get(holding)
            if caller is not None:
                self.on_drop(holding.input_bytes, self.ledger.total)
                caller.drop_input()

    def _break_off(self, holding: Holding, cause: BreakCause) -> None:
        caller = self._callers.get(holding)
        if caller is None:
            return
        broken = BrokenResponse(
            cause=cause,
            held_bytes=holding.held_bytes,
            unread_s=round(holding.measure_unread_s(self.now()), 3),
            total_bytes=self.ledger.total,
        )
        caller.abort()
        caller.close()
        self.on_break(broken)

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(POLL_PERIOD_S, self._poll)

    def _poll(self) -> None:
        self._timer = None
        self._refresh()
        for holding in self.ledger.list_unread(self.now()):
            self._break_off(holding, BreakCause.UNREAD)
        self._break_excess()
        for caller in self._callers.values():
            if caller.holding.blocked_at is not None:
                caller.wake()
        self.on_change(self.ledger.total)
        if self._callers:
            self._start_timer()


def count_in_kernel(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel holds since the caller has not received them."""
    return _count(transport, termios.TIOCOUTQ)


def count_received(transport: asyncio.Transport) -> int:
    """Return the bytes that the kernel holds since this process has not read them."""
    return _count(transport, termios.FIONREAD)


def _count(transport: asyncio.Transport, request: int) -> int:
    sock: Any = transport.get_extra_info("socket")
    try:
        result = fcntl.ioctl(sock.fileno(), request, bytes(COUNT.size))
    except (AttributeError, OSError, ValueError):
        # The socket is closed.
        return 0
    count: int = COUNT.unpack(result)[0]
    return count
