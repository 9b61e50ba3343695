"""Events that the membership core handles."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId, IncarnationId
from ...models.member import Member


@frozen(kw_only=True)
class HeartbeatReceived:
    """A heartbeat or a reply with the entry of a peer and changed entries of others."""

    sender: HostId
    members: tuple[Member, ...]
    wants_reply: bool = False
    """Whether the core must return `ReplyHeartbeat`."""


@frozen(kw_only=True)
class SendFailed:
    """A heartbeat could not be delivered before its timeout."""

    peer: HostId


@frozen(kw_only=True)
class PeerAnswered:
    """A peer responded to a probe."""

    address: str


@frozen(kw_only=True)
class ConnectionRefused:
    """A peer's host responded, and no process accepts connections at the address."""

    address: str


@frozen(kw_only=True)
class ListedHost:
    """One process in the host list, or a seed from the settings."""

    peer_address: str
    leaving: bool = False


@frozen(kw_only=True)
class HostListUpdated:
    """The host list was read; it may be outdated."""

    hosts: tuple[ListedHost, ...]


@frozen(kw_only=True)
class OwnMemberChanged:
    """The configuration version or the readiness of this process changed."""

    config_version: ConfigVersion
    ready: bool


@frozen(kw_only=True)
class LeaveRequested:
    """A planned departure of this process was requested."""

    successor: IncarnationId | None


@frozen(kw_only=True)
class Ticked:
    """The time of the last `WakeAt` has passed."""


MembershipEvent = (
    HeartbeatReceived
    | SendFailed
    | PeerAnswered
    | ConnectionRefused
    | HostListUpdated
    | OwnMemberChanged
    | LeaveRequested
    | Ticked
)
