"""Routes and services as one version of the routing configuration declares them."""

from enum import Enum
from typing import Final

from attrs import field, frozen

from .customer import CustomerRegistry

DEFAULT_MAX_HEADER_BYTES: Final = 16_384
DEFAULT_MAX_BODY_BYTES: Final = 1 << 22
DEFAULT_HEADER_TIMEOUT_S: Final = 3.0
DEFAULT_IDLE_TIMEOUT_S: Final = 15.0

LEAST_PATIENCE_S: Final = 2.0
OBJECTIVES_OF_PATIENCE: Final = 4.0
GAPS_OF_PATIENCE: Final = 8.0
"""Callers leave a stream after a gap of two seconds, four times the objective or eight
times the longest pause, whichever is longest; so the platform's protocol says."""


class RouteKind(Enum):
    """What may be repeated on a route."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen(kw_only=True)
class TrafficShare:
    """A service that gets part of a route's requests."""

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Where requests with one host and path prefix go, and how they are treated."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    """Latency objective: to the whole answer, of streams to the first event."""

    priority: int
    """Rank among the routes; 0 is the most urgent."""

    shares: tuple[TrafficShare, ...]
    max_attempts: int
    resumable: bool = False
    """Whether a stream may go on at another runner from its last event."""

    gap_objective_s: float = 0.0
    """Longest pause between two events of a stream that is still on time."""

    public: bool = False
    """Whether anybody may ask, without a key."""

    @property
    def patience_s(self) -> float:
        """Return how long a caller waits for the first event of a stream."""
        return max(
            LEAST_PATIENCE_S,
            OBJECTIVES_OF_PATIENCE * self.objective_s,
            GAPS_OF_PATIENCE * self.gap_objective_s,
        )

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


@frozen(kw_only=True)
class ModelProfile:
    """Size and load times of a model that an engine may hold."""

    name: str
    weights_mb: float
    load_s: float
    """Time of a load from the weight store."""

    memory_load_s: float
    """Time of a load from the runner's host memory."""

    disk_load_s: float
    """Time of a load from the runner's disk."""

    adapters: int
    """Number of adapters that are offered with it."""

    adapter_mb: float


@frozen(kw_only=True)
class EngineProfile:
    """What the runners of a service with a model engine can do."""

    slots: int
    kv_capacity_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    """Loads from the weight store that all runners together may begin a second."""

    models: dict[str, ModelProfile]
    disk_mb: float = 0.0
    """Disk of a runner on which it keeps copies of weights, the latest used ones."""

    @property
    def mean_load_s(self) -> float:
        """Return the mean time of a load from the weight store over all models."""
        loads = [each.load_s for each in self.models.values()]
        return sum(loads) / max(1, len(loads))


@frozen(kw_only=True)
class ServiceProfile:
    """A service: a group of runners that answer the same requests."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


@frozen(kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@frozen(kw_only=True)
class RoutingTable:
    """One version of the routing configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceProfile]
    limits: CallerLimits = CallerLimits()
    customers: CustomerRegistry | None = None
    """Who may ask on routes that are not public; None where no keys are in use."""

    _by_host: dict[str, tuple[Route, ...]] = field(init=False, repr=False, eq=False)

    @_by_host.default
    def _index(self) -> dict[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        return {
            host: tuple(sorted(routes, key=lambda each: -len(each.prefix)))
            for host, routes in by_host.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
