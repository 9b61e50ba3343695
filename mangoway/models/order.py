"""Orders to engines and the ledger that accounts for them."""

from enum import Enum

from attrs import field, frozen

from .artifact import Artifact
from .identifiers import FenceNumber, IncarnationId, OrderId, UpstreamId


class OrderKind(Enum):
    """What an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"
    CHANGE_ROLE = "change_role"


class OrderOutcome(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    """It took effect: memory is taken, or the unload has begun."""

    REFUSED_STALE_FENCE = "refused_stale_fence"
    REFUSED_NO_MEMORY = "refused_no_memory"
    REFUSED_UNKNOWN = "refused_unknown"
    """The engine does not have, or cannot find, the artifact."""

    REFUSED_INCARNATION = "refused_incarnation"


@frozen(kw_only=True)
class Order:
    """An order to one engine."""

    id: OrderId
    upstream: UpstreamId
    incarnation: IncarnationId
    """Engine incarnation that the order is meant for."""

    fence: FenceNumber
    kind: OrderKind
    artifact: Artifact
    memory_mb: int
    role: str | None = None


@frozen(kw_only=True)
class LedgerEntry:
    """Memory that an artifact takes, or may take, on a runner."""

    artifact: Artifact
    memory_mb: int
    order: OrderId | None = None
    """Order that may still take effect; None once its effect is settled."""

    reserved_fence: FenceNumber = FenceNumber(0)
    """Fence of that order."""


@frozen(kw_only=True)
class Ledger:
    """The memory account of one runner, kept under one key.

    Invariant: the sum of `entries` and `kv_cache_floor_mb` never exceeds `size_mb`.
    """

    upstream: UpstreamId
    incarnation: IncarnationId
    """Engine incarnation that the entries speak of."""

    size_mb: int
    kv_cache_floor_mb: int
    fence: FenceNumber
    """Highest fence number given to an order."""

    resident: tuple[LedgerEntry, ...] = ()
    reserved: tuple[LedgerEntry, ...] = ()
    """Loads that may still take effect."""

    writer: str = field(default="", eq=False)
    """Controller incarnation that wrote it, for operators."""

    @property
    def committed_mb(self) -> int:
        """Return all memory that is taken or may be taken, KV cache floor included."""
        entries = (*self.resident, *self.reserved)
        return self.kv_cache_floor_mb + sum(entry.memory_mb for entry in entries)

    @property
    def free_mb(self) -> int:
        """Return memory that a new reservation may take."""
        return self.size_mb - self.committed_mb
