"""State of one upstream."""

import math

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import AttemptId, IncarnationId, ServiceName, UpstreamId
from ...models.request import Target
from ...models.upstream import EngineDescription, UpstreamAddress
from .breakers import Breaker, BreakerState
from .const import (
    PATIENT_LOAD_MAX,
    RECENT_WORK_HALF_LIFE_S,
    RECENT_WORK_TARGETS_MAX,
    REPORT_STALE_S,
    SERVICE_MAX_RUNNING,
)
from .entries import Attempt
from .windows import Window

Resource = Artifact | ServiceName
"""Lookup key of upstreams: an artifact or a plain service."""


def find_resource(target: Target) -> Resource:
    """Return the resource that an upstream must have to serve a target."""
    if isinstance(target, Artifact):
        return target
    return target.service


@define(eq=False)
class RecentWork:
    """Work of one target in generated tokens, with exponential decay."""

    value: float
    updated_at: float

    def get(self, now: float) -> float:
        """Return the decayed work."""
        age = max(0.0, now - self.updated_at)
        return self.value * math.exp2(-age / RECENT_WORK_HALF_LIFE_S)


@define(eq=False)
class Upstream:
    """State of an engine or of one host of a plain service in this gateway."""

    id: UpstreamId
    address: UpstreamAddress | None = None
    """None while the upstream is not listed; it gets no work then."""

    incarnation: IncarnationId | None = None
    description: EngineDescription | None = None
    earlier_incarnations: list[IncarnationId] = field(factory=list)
    """Earlier incarnations, whose late messages are ignored."""

    leaving: bool = False
    ready: dict[Resource, None] = field(factory=dict)
    loading: dict[Artifact, None] = field(factory=dict)
    missing: dict[Resource, float] = field(factory=dict)
    """Artifacts that it rejected as missing since its last report, with the time."""

    reported_at: float | None = None
    others_load: int = 0
    """Requests of other gateways at the last report."""

    attempts: dict[AttemptId, Attempt] = field(factory=dict)
    window: Window = field(factory=lambda: Window(size=SERVICE_MAX_RUNNING))
    breaker: Breaker = field(factory=Breaker)
    indexed_ready: bool = False
    indexed_available: bool = False
    """Whether the indexes of the fleet list it as ready, and as having room."""

    reserved_starts: float = 0.0
    """Accumulated starts reserved for critical patient requests."""

    recent_work: dict[Target, "RecentWork"] = field(factory=dict)
    """Recent work of each target while other targets waited for the upstream."""

    @property
    def service(self) -> ServiceName | None:
        """Return the plain service of the upstream; None for an engine."""
        return None if self.address is None else self.address.service

    @property
    def accepts_work(self) -> bool:
        """Return whether the upstream is listed and not leaving."""
        return not (self.address is None or self.leaving or self.address.leaving)

    @property
    def in_flight(self) -> int:
        """Return the number of this gateway's attempts that have not ended."""
        return len(self.attempts)

    def estimate_load(self, now: float) -> float:
        """Return the estimated load as a share of the upstream's running slots."""
        others = float(self.others_load)
        if self.reported_at is not None:
            age = now - self.reported_at
            others *= max(0.0, 1.0 - age / REPORT_STALE_S)
        return (self.in_flight + others) / self.window.size

    def has_patient_headroom(self, now: float) -> bool:
        """Return whether a patient request with slack may be started."""
        return self.estimate_load(now) < PATIENT_LOAD_MAX

    def has_room(self, gateway_count: int, windows: bool) -> bool:
        """Return whether one more attempt may be started."""
        if not self.accepts_work:
            return False
        if self.breaker.state is BreakerState.OPEN:
            return False
        if self.breaker.state is BreakerState.HALF_OPEN:
            return not self.breaker.probing
        return not windows or self.in_flight < self.window.compute(gateway_count)

    def get_recent_work(self, target: Target, now: float) -> float:
        """Return the recent work of a target on this upstream."""
        work = self.recent_work.get(target)
        return 0.0 if work is None else work.get(now)

    def charge(self, target: Target, cost: float, now: float) -> None:
        """Count work of a target while other targets wait for this upstream."""
        self.recent_work[target] = RecentWork(
            self.get_recent_work(target, now) + cost, now
        )
        if len(self.recent_work) > RECENT_WORK_TARGETS_MAX:
            oldest = min(
                self.recent_work, key=lambda item: self.recent_work[item].updated_at
            )
            del self.recent_work[oldest]
