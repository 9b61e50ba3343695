"""Messages between processes, independent of their encoding."""

from attrs import frozen

from ..models.errors import Failure
from ..models.identifiers import HostId, IncarnationId, RequestId
from ..models.member import Member
from ..models.upstream import EngineReport


@frozen
class ForwardedHeader:
    """One header of a forwarded request or response."""

    name: str
    value: str


@frozen(kw_only=True)
class ForwardedRequest:
    """A caller's request that is forwarded to another gateway."""

    request_id: RequestId
    """Id at the forwarding gateway."""

    home: IncarnationId | None
    """Incarnation that must handle the request; None if any gateway may."""

    method: str
    path: str
    """Path and query."""

    headers: tuple[ForwardedHeader, ...]
    body: bytes
    timeout_s: float
    """Seconds left until the deadline; 0 if the request has none."""

    hops: int = 0
    """Number of times that the request was forwarded, including this time."""


@frozen(kw_only=True)
class ForwardedHead:
    """Status and headers of a forwarded response; body parts follow."""

    status: int
    headers: tuple[ForwardedHeader, ...] = ()


@frozen
class ForwardedFailure:
    """A failure that ends a forwarded response."""

    failure: Failure


ForwardedFrame = ForwardedHead | bytes | ForwardedFailure
"""Part of a forwarded response: the head, then body parts, or a failure."""


@frozen(kw_only=True)
class ReceivedHeartbeat:
    """A received heartbeat with its slots resolved."""

    sender: HostId | None
    """None if the slot of the sender's own entry is unknown."""

    sender_address: str | None
    """Peer address of the sender; None if `sender` is None."""

    members: tuple[Member, ...]
    reports: tuple[EngineReport, ...]
    """Reports that are newer than those that were tracked before."""
