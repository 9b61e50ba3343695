"""Events that the membership core takes."""

from attrs import frozen

from ...models.identifiers import ConfigVersion, HostId, IncarnationId
from ...models.member import Member


@frozen(kw_only=True)
class HeartbeatReceived:
    """A peer sent its own entry and news of others, or replied with them."""

    sender: HostId
    members: tuple[Member, ...]
    wants_reply: bool = False
    """Whether `ReplyHeartbeat` must follow."""


@frozen(kw_only=True)
class SendFailed:
    """A heartbeat could not be delivered in its time."""

    peer: HostId


@frozen(kw_only=True)
class ListedHost:
    """One process that the host list or the settings name as a seed."""

    peer_address: str
    leaving: bool = False


@frozen(kw_only=True)
class HostListUpdated:
    """The host list as it was read; it may lag."""

    hosts: tuple[ListedHost, ...]


@frozen(kw_only=True)
class OwnMemberChanged:
    """This process's own version or readiness changed."""

    config_version: ConfigVersion
    ready: bool


@frozen(kw_only=True)
class LeaveRequested:
    """This process leaves in a planned way."""

    successor: IncarnationId | None


@frozen(kw_only=True)
class Ticked:
    """Time passed; sent at the time of the last `WakeAt`, or later."""


MembershipEvent = (
    HeartbeatReceived
    | SendFailed
    | HostListUpdated
    | OwnMemberChanged
    | LeaveRequested
    | Ticked
)
