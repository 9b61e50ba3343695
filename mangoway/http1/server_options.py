"""Options of a listener for callers, and what its connections share."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11
from attrs import define, field

from ..models.routing import CallerLimits
from ..policy.connections import MAX_CALLERS, ConnectionTable
from .const import READ_BYTES
from .messages import Headers, Request
from .response_memory import ResponseMemory

if TYPE_CHECKING:
    from .exchange import Exchange
    from .server import CallerConnection


@define(eq=False)
class ServerOptions:
    """Options and state shared by all connections of a listener."""

    handle: "Callable[[Request, Exchange], Awaitable[None]]"
    """Handles a request; it is cancelled when the caller disconnects."""

    limits: Callable[[], CallerLimits]
    """Returns the current limits."""

    reject: Callable[[int, str], tuple[Headers, bytes]]
    """Returns the fields and body of a response from the status and reason with which a
    request is rejected."""

    on_error: Callable[[BaseException], None]
    """Called with the error of a handler that failed unexpectedly."""

    memory: ResponseMemory = field(factory=ResponseMemory)
    """Bounds the bytes that are held for all connections, also of other listeners."""

    responds_when_short: bool = False
    """Whether requests are handled while memory is short, as their responses are
    small."""

    on_rejected: "Callable[[int, str, h11.Request | None], None] | None" = None
    """Called with the status, reason and head (if it was read) of a request that is
    rejected before it was read completely."""

    on_read_ahead: Callable[[int, str], None] = lambda size, peer: None
    """Called when reading from a caller is paused for the first time, with the bytes
    that it has sent ahead and its address."""

    on_unread: Callable[[float, str], None] = lambda seconds, peer: None
    """Called when a connection is reset since its caller did not read a complete
    response, with the time for which it has read nothing and its address."""

    closing: bool = False
    """Whether responses close the connection, so that callers open a new one."""

    on_full: Callable[[str, str], None] = lambda state, peer: None
    """Called when a connection is closed to make room for a new one, with its state and
    the address of its caller."""

    table: "ConnectionTable[CallerConnection]" = field(
        factory=lambda: ConnectionTable(MAX_CALLERS)
    )
    """Bounds the number of connections."""

    connections: "set[CallerConnection]" = field(factory=set, init=False)
    receive_buffer: memoryview = field(
        factory=lambda: memoryview(bytearray(READ_BYTES)), init=False
    )
    """Buffer for the bytes of one read, which are copied before the next one."""

    def __attrs_post_init__(self) -> None:
        self.table.may_cut = lambda connection: connection.is_stalled

    @property
    def busy(self) -> int:
        """Return the number of requests in progress."""
        return sum(each.busy for each in self.connections)

    @property
    def undelivered(self) -> int:
        """Return the number of connections with bytes that callers have yet to read."""
        return sum(each.has_undelivered for each in self.connections)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for each in tuple(self.connections):
            each.close_if_idle()

    def abort(self) -> None:
        """Close all connections at once."""
        for each in tuple(self.connections):
            each.abort()
