"""Messages between edges and schedulers."""

from attrs import frozen

from ..coordination.store import Changes, Item, StoreRevision
from ..models.signals import LeavingReport
from ..policy.limits.cooldowns import CooldownReport
from ..policy.limits.tracker import LimitReport
from ..policy.plain.events import (
    PlainGrantEnded,
    PlainGrantQueued,
    PlainGrantRequest,
    PlainShortage,
    ShortageReported,
)
from ..policy.scheduling.events import (
    FirstEventSeen,
    Grant,
    GrantRequest,
    PermitRequest,
    QuotaSpent,
    Reject,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
    StreamMoved,
    TransferFailed,
    TransferStream,
)


@frozen(kw_only=True)
class Hello:
    """First message of a follower, which identifies its process and host."""

    edge: str
    """Incarnation of the process, which is an edge or a standby scheduler."""

    host: str
    data_centre: str
    requests_grants: bool
    """Whether it requests grants; standby schedulers only follow the store."""

    revision: StoreRevision
    """Store revision up to which it has the keys.

    A message that states no era counts as one of era 0.
    """

    states_era: bool = True
    """Whether it states its era, and so reads retained items."""

    transfers_streams: bool = False
    """Whether it understands `TransferStream`."""

    grants_plain: bool = False
    """Whether it understands the messages about plain services that are short of
    room."""


@frozen(kw_only=True)
class Heartbeat:
    """Periodic message of a scheduler with its role and the age of its state."""

    leading: bool
    store_age_s: float
    """Time since the store's last response to the scheduler."""

    period_s: float
    """Time until the next heartbeat."""

    known_at: float = -1e9
    """Time on the scheduler's boot clock up to which all acknowledged writes to the
    store have been relayed."""

    era: int = 0
    """Era of the state that the scheduler relays."""

    exhausted: tuple[tuple[str, float], ...] = ()
    """Customers with an exhausted quota, and the seconds until it is available."""

    grants_plain: bool = False
    """Whether the scheduler grants requests for plain services that are short of room,
    so that edges may report a shortage."""

    takes_transfers: bool = False
    """Whether the scheduler has services with protected streams, and so understands
    `StreamMoved` and `TransferFailed`. One of the previous release closes a link on
    which they arrive."""

    absent: tuple[str, ...] = ()
    """Incarnations of announced edges that have been disconnected for a while."""


@frozen(kw_only=True)
class ClockRequest:
    """A request for the scheduler's boot clock."""

    requested_at: float
    """Time of the request on the sender's boot clock."""


@frozen(kw_only=True)
class ClockResponse:
    """The response to a clock request, with the scheduler's boot clock."""

    requested_at: float
    clock_s: float


@frozen(kw_only=True)
class StoreSnapshot:
    """All keys of the store, and the items that the receiver lacks."""

    keys: tuple[str, ...]
    items: tuple[Item, ...]
    revision: StoreRevision
    retention_s: float
    """Seconds for which vanished keys are still kept after an outage; 0 without one."""


@frozen(kw_only=True)
class StoreChanges:
    """Changes of the store's keys, in their order."""

    changes: Changes
    retention_s: float


@frozen(kw_only=True)
class RetainedItems:
    """Items that are newer than those with which the store came back from a copy.

    Only sent to processes that state their era.
    """

    items: tuple[Item, ...]


@frozen(kw_only=True)
class RelayedStatement:
    """A crash statement, relayed while its author can't write it to the store."""

    key: str
    value: bytes


Message = (
    Hello
    | Heartbeat
    | ClockRequest
    | ClockResponse
    | RelayedStatement
    | StoreSnapshot
    | StoreChanges
    | RetainedItems
    | GrantRequest
    | RequestAdopted
    | FirstEventSeen
    | RequestEnded
    | StreamMoved
    | TransferFailed
    | QuotaSpent
    | SpendingReported
    | LimitReport
    | CooldownReport
    | PermitRequest
    | LeavingReport
    | PlainGrantRequest
    | PlainGrantEnded
    | PlainGrantQueued
    | ShortageReported
    | PlainShortage
    | Grant
    | TransferStream
    | Reject
)
