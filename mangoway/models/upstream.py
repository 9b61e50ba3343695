"""Descriptions and reports of upstreams."""

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
    """One artifact in a runner's memory, as reported by the engine."""

    artifact: Artifact
    memory_mb: int
    state: Residency


@frozen(kw_only=True)
class UpstreamAddress:
    """Address of an upstream, from the host list."""

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
    """Description of an engine, requested from it when it is first reached."""

    upstream: UpstreamId
    incarnation: IncarnationId
    memory_mb: int
    accelerators: int = 1
    checks_fences: bool = False
    """Whether the engine rejects orders with an old fence; False if unknown."""

    max_running: int = 1
    """Maximum number of requests in a batch."""

    tokens_per_second: float = 0.0
    """Decode throughput of the whole runner at full batch; 0 if unknown."""


@frozen(kw_only=True)
class CacheChange:
    """Prefix blocks that were added to or removed from an engine's cache."""

    sequence: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@frozen(kw_only=True)
class EngineReport:
    """Load, memory and cache of an engine at one point in time; may arrive late."""

    upstream: UpstreamId
    incarnation: IncarnationId
    reported_at: float
    """Time of the report on the receiver's clock: time of receipt minus its age."""

    running: int
    waiting: int
    kv_cache_used_mb: int = 0
    fence: FenceNumber = FenceNumber(0)
    """Highest fence that the engine has received; 0 if it does not check fences."""

    residents: tuple[ResidentArtifact, ...] = ()
    cache_changes: tuple[CacheChange, ...] = field(default=(), repr=False)
    leaving: bool = False
