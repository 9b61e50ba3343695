"""Events about the memory that a host holds for its callers."""

from .event_log import LogLevel, numbered


@numbered(480, LogLevel.WARNING)
class ResponseBrokenOff:
    """A response was broken off, since its caller did not read it."""

    cause: str
    """`unread` for a caller that did not read for some seconds, `memory` if the host
    held too many bytes and this response was unread longest."""

    held_bytes: int
    """Bytes that the host held for this caller."""

    unread_s: float
    total_bytes: int
    """Bytes that the host held for all callers."""


@numbered(481, LogLevel.WARNING)
class CallerMemoryShort:
    """A host holds so many bytes for its callers that it rejects new requests."""

    total_bytes: int


@numbered(482, LogLevel.WARNING)
class CallerSentAhead:
    """Reading from a client was paused, since it sent many requests ahead."""

    listener: str
    """`callers`, `directory` or `ready`."""

    peer: str
    """Address of the client."""

    unparsed_bytes: int


@numbered(483, LogLevel.WARNING)
class UnfinishedRequestsDropped:
    """A host held too many bytes, and dropped the unfinished requests of a client."""

    dropped_bytes: int
    total_bytes: int
    """Bytes that the host held for all clients."""


@numbered(484, LogLevel.WARNING)
class UnreadConnectionReset:
    """A connection was reset, since its client did not read a complete response."""

    listener: str
    """`callers`, `directory` or `ready`."""

    peer: str
    unread_s: float


@numbered(485, LogLevel.WARNING, limited_by="listener")
class ConnectionDisplaced:
    """A listener had its most connections, and closed one for a new one."""

    listener: str
    """`callers`, `directory`, `ready`, `metrics` or `peers`."""

    limit: int
    state: str
    """What the closed connection waited for: `new` (its first byte; also a new one that
    found no room), `idle` (another request), `receiving` (the rest of a request) or
    `unread` (that its client reads)."""

    peer: str
    """Address of the client whose connection was closed."""


@numbered(486, LogLevel.WARNING, limited_by="listener")
class ConnectionRejected:
    """A connection was closed for what its other end sent or did not read."""

    listener: str
    """`callers` (of a gateway) or `peers`."""

    reason: str
    peer: str
    """Address of the other end."""
