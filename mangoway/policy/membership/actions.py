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
class MembersChanged:
    """The set of members, or a member's state, readiness or version changed."""

    members: tuple[Member, ...]


@frozen(kw_only=True)
class WakeAt:
    """Send the event `Ticked` at this time; replaces any earlier `WakeAt`."""

    time: float


MembershipAction = SendHeartbeat | ReplyHeartbeat | MembersChanged | WakeAt
