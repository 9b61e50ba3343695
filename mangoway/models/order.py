"""Orders to engines, and the ledger of the memory that they use."""

from enum import Enum

from attrs import field, frozen

from .artifact import Artifact
from .identifiers import FenceNumber, IncarnationId, OrderId, UpstreamId


class OrderKind(Enum):
    """Operation that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


class OrderOutcome(Enum):
    """Result of an order, as reported by the engine."""

    ACCEPTED = "accepted"
    """The memory is allocated, or the unload has started."""

    REJECTED_STALE_FENCE = "refused_stale_fence"
    REJECTED_NO_MEMORY = "refused_no_memory"
    REJECTED_UNKNOWN = "refused_unknown"
    """The engine does not have or cannot find the artifact."""

    REJECTED_INCARNATION = "refused_incarnation"


@frozen(kw_only=True)
class Order:
    """An order to one engine."""

    id: OrderId
    upstream: UpstreamId
    incarnation: IncarnationId
    """Engine incarnation to which the order applies."""

    fence: FenceNumber
    kind: OrderKind
    artifact: Artifact
    memory_mb: int
    role: str | None = None


@frozen(kw_only=True)
class LedgerEntry:
    """Memory that an artifact uses, or may use, on a runner."""

    artifact: Artifact
    memory_mb: int
    order: OrderId | None = None
    """Order that may still take effect; None once its outcome is known."""

    reserved_fence: FenceNumber = FenceNumber(0)
    """Fence of `order`."""


@frozen(kw_only=True)
class Ledger:
    """Memory accounting of one runner, stored under one key.

    Invariant: the sum of `kv_cache_floor_mb` and the memory of all `resident` and
    `reserved` entries never exceeds `size_mb`.
    """

    upstream: UpstreamId
    incarnation: IncarnationId
    """Engine incarnation to which the entries apply."""

    size_mb: int
    kv_cache_floor_mb: int
    fence: FenceNumber
    """Highest fence assigned to an order."""

    resident: tuple[LedgerEntry, ...] = ()
    reserved: tuple[LedgerEntry, ...] = ()
    """Loads that may still take effect."""

    writer: str = field(default="", eq=False)
    """Controller incarnation that wrote the ledger, as information for operators."""

    @property
    def committed_mb(self) -> int:
        """Return the memory that is or may be used, including the KV cache floor."""
        entries = (*self.resident, *self.reserved)
        return self.kv_cache_floor_mb + sum(entry.memory_mb for entry in entries)

    @property
    def free_mb(self) -> int:
        """Return the memory available for new reservations."""
        return self.size_mb - self.committed_mb
