"""What is known of one upstream."""

import math

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import AttemptId, IncarnationId, ServiceName, UpstreamId
from ...models.request import Target
from ...models.upstream import EngineDescription, UpstreamAddress
from .breakers import Breaker, BreakerState
from .const import (
    PATIENT_MAX_LOAD,
    REPORT_STALE_S,
    SERVICE_MAX_RUNNING,
    USE_HALF_TIME_S,
    USES_MAX,
)
from .entries import Attempt
from .windows import Window

Resource = Artifact | ServiceName
"""What upstreams are looked up by: an artifact, or a plain service."""


def find_resource(target: Target) -> Resource:
    """Return what an upstream must have to serve a target."""
    if isinstance(target, Artifact):
        return target
    return target.service


@define(eq=False)
class Use:
    """Work done, older work counting less."""

    value: float
    updated_at: float

    def get(self, now: float) -> float:
        """Return the work as it counts now."""
        age = max(0.0, now - self.updated_at)
        return self.value * math.exp2(-age / USE_HALF_TIME_S)


@define(eq=False)
class Upstream:
    """An engine or one host of a plain service, as this gateway sees it."""

    id: UpstreamId
    address: UpstreamAddress | None = None
    """None while no list has named it; it gets no work then."""

    incarnation: IncarnationId | None = None
    description: EngineDescription | None = None
    retired: list[IncarnationId] = field(factory=list)
    """Earlier incarnations; what still arrives of them is dropped."""

    leaving: bool = False
    ready: dict[Resource, None] = field(factory=dict)
    loading: dict[Artifact, None] = field(factory=dict)
    denied: dict[Resource, float] = field(factory=dict)
    """Artifacts that it said not to have, against its last report, and when."""

    reported_at: float | None = None
    others_load: int = 0
    """Requests of other gateways at the last report."""

    attempts: dict[AttemptId, Attempt] = field(factory=dict)
    window: Window = field(factory=lambda: Window(size=SERVICE_MAX_RUNNING))
    breaker: Breaker = field(factory=Breaker)
    indexed_ready: bool = False
    indexed_open: bool = False
    """Whether the fleet's indexes show it as ready, and as having room."""

    reserve_credit: float = 0.0
    """Starts that critical patient work has earned here."""

    uses: dict[Target, "Use"] = field(factory=dict)
    """Recent work of targets that had to share the upstream."""

    @property
    def kind(self) -> ServiceName | None:
        """Return the plain service that it serves; None for an engine."""
        return None if self.address is None else self.address.service

    @property
    def takes_work(self) -> bool:
        """Return whether it is listed and doesn't leave."""
        return not (self.address is None or self.leaving or self.address.leaving)

    @property
    def in_flight(self) -> int:
        """Return the own attempts that have not ended."""
        return len(self.attempts)

    def find_load(self, now: float) -> float:
        """Return the estimated share of its running slots that are taken."""
        others = float(self.others_load)
        if self.reported_at is not None:
            age = now - self.reported_at
            others *= max(0.0, 1.0 - age / REPORT_STALE_S)
        return (self.in_flight + others) / self.window.size

    def takes_patient(self, now: float) -> bool:
        """Return whether patient work that has slack may be started."""
        return self.find_load(now) < PATIENT_MAX_LOAD

    def has_room(self, gateways: int, windows: bool) -> bool:
        """Return whether one more attempt may be started."""
        if not self.takes_work:
            return False
        if self.breaker.state is BreakerState.OPEN:
            return False
        if self.breaker.state is BreakerState.HALF_OPEN:
            return not self.breaker.probing
        return not windows or self.in_flight < self.window.compute(gateways)

    def find_use(self, target: Target, now: float) -> float:
        """Return the recent work of a target while others waited here."""
        use = self.uses.get(target)
        return 0.0 if use is None else use.get(now)

    def charge(self, target: Target, cost: float, now: float) -> None:
        """Count work of a target while others wait here."""
        self.uses[target] = Use(self.find_use(target, now) + cost, now)
        if len(self.uses) > USES_MAX:
            oldest = min(self.uses, key=lambda item: self.uses[item].updated_at)
            del self.uses[oldest]
