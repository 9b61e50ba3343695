"""Actions that the membership core returns."""

from attrs import frozen

from ...models.member import Member


@frozen(kw_only=True)
class SendHeartbeat:
    """Send entries to a peer; its reply comes back as `HeartbeatReceived`."""

    peer_address: str
    members: tuple[Member, ...]


@frozen(kw_only=True)
class ReplyHeartbeat:
    """Answer the heartbeat that was just received with these entries."""

    members: tuple[Member, ...]


@frozen(kw_only=True)
class MembersChanged:
    """The set of members, or a member's state, readiness or version changed."""

    members: tuple[Member, ...]


@frozen(kw_only=True)
class WakeAt:
    """Send `Ticked` at this time (replaces any earlier one)."""

    time: float


MembershipAction = SendHeartbeat | ReplyHeartbeat | MembersChanged | WakeAt
