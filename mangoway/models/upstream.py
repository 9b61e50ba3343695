"""What upstreams say about themselves."""

from enum import Enum

from attrs import field, frozen

from .artifact import Artifact
from .identifiers import (
    DataCentreId,
    FenceNumber,
    IncarnationId,
    ServiceName,
    UpstreamId,
)


class UpstreamKind(Enum):
    """Kind of an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


class Residency(Enum):
    """State of an artifact in a runner's memory."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@frozen(kw_only=True)
class ResidentArtifact:
    """One artifact in a runner's memory, as the engine reports it."""

    artifact: Artifact
    memory_mb: int
    state: Residency


@frozen(kw_only=True)
class UpstreamAddress:
    """Where an upstream is, from the host list."""

    id: UpstreamId
    kind: UpstreamKind
    address: str
    """IP address and port, `a.b.c.d:port`."""

    data_centre: DataCentreId
    service: ServiceName | None = None
    """Name of the plain service; None for an engine."""

    leaving: bool = False


@frozen(kw_only=True)
class EngineDescription:
    """What an engine says of itself when it is met."""

    upstream: UpstreamId
    incarnation: IncarnationId
    memory_mb: int
    accelerators: int = 1
    checks_fences: bool = False
    """Whether it refuses orders with an old fence; unknown counts as False."""

    max_running: int = 1
    """Requests that it batches at once."""

    tokens_per_second: float = 0.0
    """Decode throughput of the whole runner at full batch; 0 if unknown."""


@frozen(kw_only=True)
class CacheChange:
    """Prefix blocks that entered or left an engine's cache."""

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@frozen(kw_only=True)
class EngineReport:
    """Load, memory and cache of an engine at one moment; it may arrive late."""

    upstream: UpstreamId
    incarnation: IncarnationId
    reported_at: float
    """Time of the report on the receiver's clock (received, less stated age)."""

    running: int
    waiting: int
    kv_cache_used_mb: int = 0
    fence: FenceNumber = FenceNumber(0)
    """Highest fence number the engine has seen; 0 if it does not check."""

    residents: tuple[ResidentArtifact, ...] = ()
    cache_changes: tuple[CacheChange, ...] = field(default=(), repr=False)
    leaving: bool = False
