"""Actions that the membership core returns."""

from attrs import frozen

from ...models.member import Member


@frozen(kw_only=True)
class SendHeartbeat:
    """Send entries to a peer; its reply becomes a `HeartbeatReceived` event."""

    peer_address: str
    members: tuple[Member, ...]


@frozen(kw_only=True)
class ReplyHeartbeat:
    """Reply to the heartbeat that was just received with these entries."""

    members: tuple[Member, ...]


@frozen(kw_only=True)
class SendProbe:
    """Check whether a process responds; the result is a `PeerAnswered` event.

    A refused connection is a `ConnectionRefused` event instead. No event is needed for
    a probe without a response.
    """

    target_address: str
    relay_address: str | None = None
    """Peer that is requested to probe the target; None to probe it directly."""


@frozen(kw_only=True)
class MembersChanged:
    """The set of members, or a member's state, readiness or version changed."""

    members: tuple[Member, ...]


@frozen(kw_only=True)
class WakeAt:
    """Send the event `Ticked` at this time; replaces any earlier `WakeAt`."""

    time: float


MembershipAction = SendHeartbeat | ReplyHeartbeat | SendProbe | MembersChanged | WakeAt
