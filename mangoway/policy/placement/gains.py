"""What a copy is worth: waiting time saved, in request-seconds over the horizon."""

from math import sqrt

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .const import (
    DEFAULT_MAX_RUNNING,
    DEFAULT_TOKENS_PER_SECOND,
    GAIN_HORIZON_S,
    KNEE_UTILISATION,
    MIN_SHARE,
)
from .demand import Demand
from .runners import CopyState, Runner
from .state import PlacementState


def find_wait_s(utilisation: float, service_s: float, slots: int) -> float:
    """Return the mean waiting time of a request.

    Below the knee this is Sakasegawa's approximation for `slots` servers; above it
    the backlog that grows over the horizon is what callers wait for.
    """
    stable = min(utilisation, KNEE_UTILISATION)
    exponent = sqrt(2.0 * (slots + 1)) - 1.0
    queued: float = stable**exponent / (slots * (1.0 - stable))
    wait_s = service_s * queued
    if utilisation > KNEE_UTILISATION:
        wait_s += (utilisation - KNEE_UTILISATION) * GAIN_HORIZON_S / 2.0
    return wait_s


def find_throughput(runner: Runner) -> float:
    """Return the tokens per second of a runner."""
    description = runner.description
    if description is None or description.tokens_per_second <= 0.0:
        return DEFAULT_TOKENS_PER_SECOND
    return description.tokens_per_second


def find_slots(runner: Runner) -> int:
    """Return the requests that a runner batches at once."""
    description = runner.description
    if description is None or description.max_running <= 1:
        return DEFAULT_MAX_RUNNING
    return description.max_running


@define
class GainModel:
    """Load of runners and worth of copies at one moment."""

    _state: PlacementState
    _families: dict[Artifact, Demand] = field(factory=dict)
    """Demand for each model version with the adapters that lack bases."""

    _ready: dict[Artifact, list[UpstreamId]] = field(factory=dict)
    """Runners with a ready copy as the last refresh found them."""

    loads: dict[UpstreamId, float] = field(factory=dict)
    """Tokens per second that the demand puts on each runner."""

    def refresh(self) -> None:
        """Spread the demand over the ready copies."""
        self._families = {}
        self.loads = {}
        self._ready = {}
        for artifact, demand in self._state.demand.list_all().items():
            if self._needs_base(artifact):
                self._add_to_family(artifact.base, demand)
            ready = self._ready[artifact] = self._list_ready(artifact)
            for upstream_id in ready:
                share = demand.tokens_per_second / len(ready)
                self.loads[upstream_id] = self.loads.get(upstream_id, 0.0) + share

    def _needs_base(self, artifact: Artifact) -> bool:
        """Return whether only a further base lets an artifact have more copies.

        As long as an adapter can go beside a base that is there, further bases do
        nothing for its demand.
        """
        if artifact.adapter is None:
            return True
        return len(self._list_held(artifact)) >= len(self._list_held(artifact.base))

    def _add_to_family(self, base: Artifact, demand: Demand) -> None:
        old = self._families.get(base, Demand())
        self._families[base] = Demand(
            requests_per_second=old.requests_per_second + demand.requests_per_second,
            tokens_per_second=old.tokens_per_second + demand.tokens_per_second,
        )

    def list_demanded(self) -> list[Artifact]:
        """Return all artifacts with demand, their own or their adapters'."""
        own = self._state.demand.list_all()
        return [*own, *(base for base in self._families if base not in own)]

    def find_demand(self, artifact: Artifact) -> Demand:
        """Return the demand that copies of an artifact serve."""
        if artifact.adapter is None:
            return self._families.get(artifact, Demand())
        return self._state.demand.find(artifact)

    def find_utilisation(self, runner: Runner) -> float:
        """Return the part of a runner's throughput that the demand takes."""
        return self.loads.get(runner.id, 0.0) / find_throughput(runner)

    def find_gain(self, artifact: Artifact, runner: Runner) -> float:
        """Return what a further copy on a runner saves."""
        holders = self._list_held(artifact)
        before = self._find_cost(artifact, holders)
        after = self._find_cost(artifact, [*holders, runner.id])
        return before - after

    def find_most(self, artifact: Artifact) -> float:
        """Return what any number of further copies could save at most.

        Only right between a refresh and the next change of a copy: it is asked of
        every artifact, so the copies that the refresh listed are not listed again.
        """
        ready = self._ready.get(artifact)
        if ready is None or self._state.copies.loading:
            return self._find_cost(artifact, self._list_held(artifact))
        return self._find_cost(artifact, ready, ready)

    def find_loss(self, artifact: Artifact, runner: Runner) -> float:
        """Return what unloading the copy on a runner costs."""
        holders = self._list_held(artifact)
        others = [upstream_id for upstream_id in holders if upstream_id != runner.id]
        return self._find_cost(artifact, others) - self._find_cost(artifact, holders)

    def _list_ready(self, artifact: Artifact) -> list[UpstreamId]:
        return self._state.list_lasting(artifact, CopyState.READY)

    def _list_held(self, artifact: Artifact) -> list[UpstreamId]:
        return self._state.list_lasting(artifact, CopyState.READY, CopyState.LOADING)

    def _find_cost(
        self,
        artifact: Artifact,
        holders: list[UpstreamId],
        listed: list[UpstreamId] | None = None,
    ) -> float:
        """Return the request-seconds waited over the horizon with some holders."""
        demand = self.find_demand(artifact)
        if demand.requests_per_second <= 0.0:
            return 0.0
        if not holders:
            return demand.requests_per_second * GAIN_HORIZON_S * GAIN_HORIZON_S / 2.0
        runners = [self._state.runners[upstream_id] for upstream_id in holders]
        ready = self._list_ready(artifact) if listed is None else listed
        own = demand.tokens_per_second / max(len(ready), 1)
        capacity = 0.0
        for runner in runners:
            throughput = find_throughput(runner)
            others = self.loads.get(runner.id, 0.0)
            if runner.id in ready:
                others -= own
            capacity += max(throughput - max(others, 0.0), MIN_SHARE * throughput)
        slots = find_slots(runners[0]) * len(runners)
        tokens_each = demand.tokens_per_second / demand.requests_per_second
        service_s = tokens_each * find_slots(runners[0]) / find_throughput(runners[0])
        utilisation = demand.tokens_per_second / capacity
        wait_s = find_wait_s(utilisation, service_s, slots)
        return demand.requests_per_second * GAIN_HORIZON_S * wait_s
