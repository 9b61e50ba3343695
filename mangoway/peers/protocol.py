"""Server connections of other processes, with limits on what they hold."""

import asyncio
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING, Any, Final

from attrs import define, field
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from ..policy.connections import MAX_PEERS, ConnectionState, ConnectionTable
from ..util.address import get_peer_address

if TYPE_CHECKING:
    from grpclib._typing import IServable

MAX_BUFFERED_BYTES: Final = 32 << 20
"""Sum of the bytes of incomplete messages, above which the connection with most is
closed. The longest are documents of the configuration and parts of handed over keys."""


@define(eq=False)
class PeerLimits:
    """What all connections of other processes keep to together."""

    table: "ConnectionTable[PeerProtocol]" = field(
        factory=lambda: ConnectionTable(MAX_PEERS)
    )
    on_displaced: Callable[[int, str, str], None] = lambda limit, state, peer: None
    """Called with the limit, the state and the address of a connection that was closed
    to make room for a new one."""

    on_rejected: Callable[[str, str], None] = lambda reason, peer: None
    """Called with the reason and the address of a connection that was closed for what
    its other end sent."""

    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    _buffered: "dict[PeerProtocol, int]" = field(factory=dict, init=False)
    _total: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.table.may_cut = lambda connection: not connection.processor.streams

    def record_buffered(self, connection: "PeerProtocol", size: int) -> None:
        """Record what a connection holds, and keep to the sum."""
        self._total += size - self._buffered.pop(connection, 0)
        if size:
            self._buffered[connection] = size
        while self._total > self.max_buffered_bytes:
            largest = max(self._buffered, key=self._buffered.__getitem__)
            self._total -= self._buffered.pop(largest)
            largest.abort("too many bytes of incomplete messages")

    def remove(self, connection: "PeerProtocol") -> None:
        """Forget a connection that is lost."""
        self.table.remove(connection)
        self._total -= self._buffered.pop(connection, 0)


class PeerProtocol(H2Protocol):
    """A connection that is not read while its own bytes are not read.

    grpclib writes responses to pings and settings without waiting, and keeps a message
    until it is complete, whatever length it states.
    """

    limits: PeerLimits
    _transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        """Count the connection; another one may make room for it."""
        super().connection_made(transport)
        self._transport = transport
        closed = self.limits.table.add(self)
        if closed is not None:
            closed[0].make_room(closed[1])

    def data_received(self, data: bytes) -> None:
        """Process bytes, and count those of incomplete messages."""
        super().data_received(data)
        if self._transport.is_closing():
            return
        streams = self.processor.streams.values()
        if streams:
            self.limits.table.update_state(self, ConnectionState.UNREAD)
        size = sum(_measure_buffer(each.buffer) for each in streams)
        self.limits.record_buffered(self, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.limits.remove(self)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Read nothing that would be answered."""
        super().pause_writing()
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on."""
        super().resume_writing()
        self._transport.resume_reading()

    def abort(self, reason: str) -> None:
        """Close the connection and cancel its calls."""
        self.limits.on_rejected(reason, get_peer_address(self._transport))
        self.processor.close(reason)
        self._transport.abort()

    def make_room(self, state: ConnectionState) -> None:
        """Close the connection, since another one needs its place."""
        peer = get_peer_address(self._transport)
        self.limits.on_displaced(self.limits.table.limit, state.value, peer)
        self._transport.abort()


class LimitedServer(Server):
    """A gRPC server whose connections keep to limits."""

    def __init__(self, handlers: "Collection[IServable]", limits: PeerLimits) -> None:
        super().__init__(handlers)
        self._limits = limits

    def _protocol_factory(self) -> PeerProtocol:
        made = super()._protocol_factory()
        protocol = PeerProtocol(made.handler, made.config, made.h2_config)
        protocol.limits = self._limits
        return protocol


def _measure_buffer(buffer: Any) -> int:
    """Return the bytes of a stream that its handler has not got as messages."""
    waiting: int = sum(each.data_size for each in buffer._unacked._queue)
    acked: int = buffer._acked_size
    return acked + waiting
