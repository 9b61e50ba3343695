"""What edges and schedulers tell each other."""

from attrs import frozen

from ..coordination.store import Changes, Item
from ..models.signals import LeavingReport
from ..policy.limits.cooldowns import CooldownReport
from ..policy.limits.tracker import LimitReport
from ..policy.scheduling.events import (
    FirstEventSeen,
    Grant,
    GrantRequest,
    PermitRequest,
    QuotaSpent,
    Refuse,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
)


@frozen(kw_only=True)
class Hello:
    """The first message of a process that follows: which life of which host it is."""

    edge: str
    """Its incarnation."""

    host: str
    data_centre: str
    requests_grants: bool
    """Whether it will ask for places; standby schedulers only follow the store."""

    revision: int
    """Revision of the store up to which it knows the keys; 0 if it knows none."""


@frozen(kw_only=True)
class Heartbeat:
    """Says that the scheduler lives, whether it leads, and what its state is worth."""

    leading: bool
    store_age_s: float
    """Time since the store last answered the scheduler."""

    period_s: float
    """Time until the next heartbeat."""

    known_at: float = -1e9
    """Time on the scheduler's boot clock up to which all that the store acknowledged
    has been passed on."""

    exhausted: tuple[tuple[str, float], ...] = ()
    """Customers who have nothing left of their quotas, and in how many seconds they
    do."""


@frozen(kw_only=True)
class ClockAsked:
    """Asks for the scheduler's boot clock."""

    asked_at: float
    """Time on the asking process's boot clock."""


@frozen(kw_only=True)
class ClockTold:
    """The scheduler's boot clock, after it was asked for."""

    asked_at: float
    clock_s: float


@frozen(kw_only=True)
class StateRead:
    """All keys of the store, and the items that the other end doesn't know yet."""

    keys: tuple[str, ...]
    items: tuple[Item, ...]
    revision: int
    retention_s: float
    """Seconds for which keys that vanish are still kept, after an outage; 0 without."""


@frozen(kw_only=True)
class StateChanged:
    """Changes of the store's keys, each after those before."""

    changes: Changes
    retention_s: float


@frozen(kw_only=True)
class RelayedStatement:
    """A statement on a crash, while the store doesn't answer who makes it."""

    key: str
    value: bytes


Message = (
    Hello
    | Heartbeat
    | ClockAsked
    | ClockTold
    | RelayedStatement
    | StateRead
    | StateChanged
    | GrantRequest
    | RequestAdopted
    | FirstEventSeen
    | RequestEnded
    | QuotaSpent
    | SpendingReported
    | LimitReport
    | CooldownReport
    | PermitRequest
    | LeavingReport
    | Grant
    | Refuse
)
