"""Routes and services of one version of the routing configuration."""

from enum import Enum
from typing import Final

from attrs import field, frozen

from .customer import CustomerRegistry

DEFAULT_MAX_HEADER_BYTES: Final = 16_384
DEFAULT_MAX_BODY_BYTES: Final = 1 << 22
DEFAULT_HEADER_TIMEOUT_S: Final = 3.0
DEFAULT_IDLE_TIMEOUT_S: Final = 15.0

MIN_PATIENCE_S: Final = 2.0
PATIENCE_PER_OBJECTIVE: Final = 4.0
PATIENCE_PER_GAP_OBJECTIVE: Final = 8.0
"""Callers abandon a stream after a pause of two seconds, four times the latency
objective or eight times the gap objective, whichever is longest; the platform's
protocol specifies this."""


class RouteKind(Enum):
    """Kind of a route, which determines whether its requests may be retried."""

    SAFE = "safe"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen(kw_only=True)
class TrafficShare:
    """A service that receives a share of a route's requests."""

    service: str
    weight: float


@frozen(kw_only=True)
class Route:
    """Services and objectives for requests with a host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    """Latency objective: time to the complete response, or to the first event of a
    stream."""

    priority: int
    """Priority among the routes; 0 is the most urgent."""

    shares: tuple[TrafficShare, ...]
    max_attempts: int
    """Maximum number of runners that a request is sent to. It does not apply after an
    attempt that certainly has not run."""

    resumable: bool = False
    """Whether a stream may be resumed at another runner after its last event."""

    gap_objective_s: float = 0.0
    """Longest pause between two events of a stream that meets the objective."""

    public: bool = False
    """Whether requests need no API key."""

    @property
    def patience_s(self) -> float:
        """Return how long a caller waits for the first event of a stream."""
        return max(
            MIN_PATIENCE_S,
            PATIENCE_PER_OBJECTIVE * self.objective_s,
            PATIENCE_PER_GAP_OBJECTIVE * self.gap_objective_s,
        )

    def limit_time(self, time_left_s: float | None) -> float:
        """Return the seconds that a request may take.

        Args:
            time_left_s: Seconds for which its caller waits; None if it doesn't say.
        """
        if time_left_s is None:
            return self.timeout_s
        return min(self.timeout_s, time_left_s)

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


@frozen(kw_only=True)
class ModelProfile:
    """Size and load times of a model that an engine can load."""

    name: str
    weights_mb: float
    load_s: float
    """Duration of a load from the weight store."""

    memory_load_s: float
    """Duration of a load from the runner's host memory."""

    disk_load_s: float
    """Duration of a load from the runner's disk."""

    adapters: int
    """Number of adapters of the model."""

    adapter_mb: float


@frozen(kw_only=True)
class EngineProfile:
    """Capacity of the runners of a service with a model engine."""

    slots: int
    kv_capacity_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    """Loads from the weight store that all runners together may start per second."""

    models: dict[str, ModelProfile]
    disk_mb: float = 0.0
    """Disk space of a runner for copies of the most recently used weights."""

    moves: bool = False
    """Whether runners copy the KV memory of a running request to another runner."""

    backups: bool = False
    """Whether runners copy a request's KV memory to a second runner as it grows."""

    handle_s: float = 0.0
    """Seconds for which a copy of a request's KV memory is kept if it isn't used."""

    kv_token_bytes: int = 0
    """KV memory of one token in bytes."""

    tokens_per_event: int = 0
    """Output tokens in one event of a stream; 0 if unknown."""

    @property
    def mean_load_s(self) -> float:
        """Return the mean duration of a load from the weight store over all models."""
        loads = [each.load_s for each in self.models.values()]
        return sum(loads) / max(1, len(loads))


@frozen(kw_only=True)
class ServiceProfile:
    """A service: a group of runners that serve the same requests."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them."""

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
    """Customers for routes that are not public; None if no API keys are required."""

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

    _interruptible: frozenset[str] = field(init=False, repr=False, eq=False)
    """Services whose most urgent streams can't be resumed. They are found once, since
    each request of an edge asks for it."""

    @_interruptible.default
    def _list_interruptible(self) -> frozenset[str]:
        most_urgent: dict[str, Route] = {}
        for route in self.routes:
            if route.kind is not RouteKind.STREAMING:
                continue
            for share in route.shares:
                known = most_urgent.get(share.service)
                if known is None or route.priority < known.priority:
                    most_urgent[share.service] = route
        return frozenset(
            name for name, route in most_urgent.items() if not route.resumable
        )

    def protects_streams(self, service: str) -> bool:
        """Return whether streams of a service are transferred and backed up.

        This holds if its most urgent streams can't be resumed from their last event, so
        that a lost runner would end them, and its engine offers to move or back them
        up.
        """
        if service not in self._interruptible:
            return False
        profile = self.services.get(service)
        engine = None if profile is None else profile.engine
        return engine is not None and (engine.moves or engine.backups)

    def get_pause_objective_s(self, service: str) -> float:
        """Return the shortest pause objective of a service's streams; 0 if none has."""
        objectives = [
            route.gap_objective_s
            for route in self.routes
            if route.kind is RouteKind.STREAMING
            and route.gap_objective_s > 0
            and any(share.service == service for share in route.shares)
        ]
        return min(objectives, default=0.0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
