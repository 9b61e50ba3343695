"""What a copy is worth: waiting time saved, in request-seconds over the horizon."""

from collections.abc import Iterable
from math import sqrt

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .const import (
    DEFAULT_MAX_RUNNING,
    DEFAULT_TOKENS_PER_SECOND,
    DEMAND_FORGET_RPS,
    GAIN_HORIZON_S,
    KNEE_UTILISATION,
    MIN_SHARE,
)
from .demand import NO_DEMAND, Demand
from .runners import Runner
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


@frozen
class _Share:
    """What one artifact adds to families and loads."""

    base: Artifact | None
    """Model version that more copies of the artifact would need; None if none."""

    demand: Demand
    ready: list[UpstreamId]
    tokens_each: float
    """Tokens per second on each runner with a ready copy."""


@define
class GainModel:
    """Load of runners and worth of copies at one moment."""

    _state: PlacementState
    _families: dict[Artifact, Demand] = field(factory=dict)
    """Demand for each model version with the adapters that lack bases."""

    loads: dict[UpstreamId, float] = field(factory=dict)
    """Tokens per second that the demand puts on each runner."""

    _shares: dict[Artifact, _Share] = field(factory=dict)
    """What each artifact added to the families and loads."""

    def refresh_all(self) -> None:
        """Spread the demand over the ready copies anew."""
        self._families = {}
        self.loads = {}
        self._shares = {}
        for artifact, demand in self._state.demand.list_all().items():
            self._add(artifact, demand)

    def refresh(self, artifacts: Iterable[Artifact]) -> None:
        """Spread the demand for some artifacts anew, and drop what has none."""
        demands = self._state.demand.list_all()
        for artifact in self._shares.keys() - demands.keys():
            self._remove(artifact)
        for artifact in artifacts:
            self._remove(artifact)
            demand = demands.get(artifact)
            if demand is not None:
                self._add(artifact, demand)

    def _add(self, artifact: Artifact, demand: Demand) -> None:
        base: Artifact | None = artifact.base
        if base is not None and not self._needs_base(artifact, base):
            base = None
        ready = self._state.copies.list_ready(artifact)
        share = _Share(
            base, demand, ready, demand.tokens_per_second / (len(ready) or 1)
        )
        self._shares[artifact] = share
        self._count(share, 1.0)

    def _remove(self, artifact: Artifact) -> None:
        share = self._shares.pop(artifact, None)
        if share is not None:
            self._count(share, -1.0)

    def _count(self, share: _Share, sign: float) -> None:
        for upstream_id in share.ready:
            load = self.loads.get(upstream_id, 0.0) + sign * share.tokens_each
            self.loads[upstream_id] = max(load, 0.0)
        if share.base is None:
            return
        old = self._families.get(share.base, NO_DEMAND)
        demand = share.demand
        requests = old.requests_per_second + sign * demand.requests_per_second
        if requests < DEMAND_FORGET_RPS and sign < 0.0:
            self._families.pop(share.base, None)
            return
        tokens = old.tokens_per_second + sign * demand.tokens_per_second
        self._families[share.base] = Demand(
            requests_per_second=requests, tokens_per_second=max(tokens, 0.0)
        )

    def _needs_base(self, artifact: Artifact, base: Artifact) -> bool:
        """Return whether only a further base lets an adapter have more copies.

        As long as an adapter can go beside a base that is there, further bases do
        nothing for its demand.
        """
        if base is artifact:
            return True
        copies = self._state.copies
        return len(copies.list_held(artifact)) >= len(copies.list_held(base))

    def list_demanded(self) -> list[Artifact]:
        """Return all artifacts with demand, their own or their adapters'."""
        own = self._state.demand.list_all()
        return [*own, *(base for base in self._families if base not in own)]

    def find_demand(self, artifact: Artifact) -> Demand:
        """Return the demand that copies of an artifact serve."""
        if artifact.adapter is None:
            return self._families.get(artifact, NO_DEMAND)
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
        """Return what any number of further copies could save at most."""
        return self._find_cost(artifact, self._list_held(artifact))

    def find_loss(self, artifact: Artifact, runner: Runner) -> float:
        """Return what unloading the copy on a runner costs."""
        holders = self._list_held(artifact)
        others = [upstream_id for upstream_id in holders if upstream_id != runner.id]
        return self._find_cost(artifact, others) - self._find_cost(artifact, holders)

    def _list_ready(self, artifact: Artifact) -> list[UpstreamId]:
        return self._state.copies.list_ready(artifact)

    def _list_held(self, artifact: Artifact) -> list[UpstreamId]:
        return self._state.copies.list_held(artifact)

    def _find_cost(self, artifact: Artifact, holders: list[UpstreamId]) -> float:
        """Return the request-seconds waited over the horizon with some holders."""
        demand = self.find_demand(artifact)
        if demand.requests_per_second <= 0.0:
            return 0.0
        if not holders:
            return demand.requests_per_second * GAIN_HORIZON_S * GAIN_HORIZON_S / 2.0
        runners = [self._state.runners[upstream_id] for upstream_id in holders]
        ready = self._list_ready(artifact)
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
