"""Gain of a copy: waiting time saved, in request-seconds over the horizon."""

from collections.abc import Iterable
from math import sqrt

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .const import (
    DEFAULT_MAX_RUNNING,
    DEFAULT_TOKENS_PER_SECOND,
    GAIN_HORIZON_S,
    KNEE_UTILISATION,
    MIN_DEMAND_RPS,
    MIN_RUNNER_SHARE,
)
from .demand import NO_DEMAND, Demand
from .runners import Runner
from .state import PlacementState


def find_wait_s(utilisation: float, service_s: float, slots: int) -> float:
    """Return the mean waiting time of a request.

    Up to the knee utilisation this is Sakasegawa's approximation for `slots` servers.
    Above it, the wait for the backlog that grows over the horizon is added.
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
    """Return the number of requests that a runner batches at once."""
    description = runner.description
    if description is None or description.max_running <= 1:
        return DEFAULT_MAX_RUNNING
    return description.max_running


@frozen
class _Share:
    """Contribution of one artifact to the demand for bases and the runners' loads."""

    base: Artifact | None
    """Model version that further copies of the artifact need; None if none."""

    demand: Demand
    ready: list[UpstreamId]
    runner_tokens_per_second: float
    """Tokens per second on each runner with a ready copy."""


@define
class GainModel:
    """Model of the load of runners and the gain of copies."""

    _state: PlacementState
    _base_demands: dict[Artifact, Demand] = field(factory=dict)
    """Demand for each model version, including adapters that need further bases."""

    runner_loads: dict[UpstreamId, float] = field(factory=dict)
    """Tokens per second that the demand requires of each runner."""

    _shares: dict[Artifact, _Share] = field(factory=dict)
    """Contribution of each artifact that base demands and loads include."""

    def refresh_all(self) -> None:
        """Recalculate how all demand is distributed over the ready copies."""
        self._base_demands = {}
        self.runner_loads = {}
        self._shares = {}
        for artifact, demand in self._state.demand.list_all().items():
            self._add(artifact, demand)

    def refresh(self, artifacts: Iterable[Artifact]) -> None:
        """Recalculate the demand for some artifacts; remove artifacts without any."""
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
        self._apply_share(share, 1.0)

    def _remove(self, artifact: Artifact) -> None:
        share = self._shares.pop(artifact, None)
        if share is not None:
            self._apply_share(share, -1.0)

    def _apply_share(self, share: _Share, sign: float) -> None:
        for upstream_id in share.ready:
            load = (
                self.runner_loads.get(upstream_id, 0.0)
                + sign * share.runner_tokens_per_second
            )
            self.runner_loads[upstream_id] = max(load, 0.0)
        if share.base is None:
            return
        old = self._base_demands.get(share.base, NO_DEMAND)
        demand = share.demand
        requests = old.requests_per_second + sign * demand.requests_per_second
        if requests < MIN_DEMAND_RPS and sign < 0.0:
            self._base_demands.pop(share.base, None)
            return
        tokens = old.tokens_per_second + sign * demand.tokens_per_second
        self._base_demands[share.base] = Demand(
            requests_per_second=requests, tokens_per_second=max(tokens, 0.0)
        )

    def _needs_base(self, artifact: Artifact, base: Artifact) -> bool:
        """Return whether an adapter needs a further base to get more copies.

        As long as an adapter can be loaded beside an existing base, further bases do
        not serve its demand.
        """
        if base is artifact:
            return True
        copies = self._state.copies
        return len(copies.list_ready_or_loading(artifact)) >= len(
            copies.list_ready_or_loading(base)
        )

    def list_with_demand(self) -> list[Artifact]:
        """Return all artifacts with demand of their own or of their adapters."""
        own = self._state.demand.list_all()
        return [*own, *(base for base in self._base_demands if base not in own)]

    def find_demand(self, artifact: Artifact) -> Demand:
        """Return the demand that copies of an artifact serve."""
        if artifact.adapter is None:
            return self._base_demands.get(artifact, NO_DEMAND)
        return self._state.demand.find(artifact)

    def find_utilisation(self, runner: Runner) -> float:
        """Return the share of a runner's throughput that the demand requires."""
        return self.runner_loads.get(runner.id, 0.0) / find_throughput(runner)

    def find_gain(self, artifact: Artifact, runner: Runner) -> float:
        """Return the request-seconds of waiting that a further copy saves."""
        holders = self._list_holders(artifact)
        before = self._find_wait_cost(artifact, holders)
        after = self._find_wait_cost(artifact, [*holders, runner.id])
        return before - after

    def find_max_gain(self, artifact: Artifact) -> float:
        """Return an upper bound of the request-seconds that more copies could save."""
        return self._find_wait_cost(artifact, self._list_holders(artifact))

    def find_loss(self, artifact: Artifact, runner: Runner) -> float:
        """Return the request-seconds of waiting that unloading a runner's copy adds."""
        holders = self._list_holders(artifact)
        others = [upstream_id for upstream_id in holders if upstream_id != runner.id]
        return self._find_wait_cost(artifact, others) - self._find_wait_cost(
            artifact, holders
        )

    def _list_ready(self, artifact: Artifact) -> list[UpstreamId]:
        return self._state.copies.list_ready(artifact)

    def _list_holders(self, artifact: Artifact) -> list[UpstreamId]:
        return self._state.copies.list_ready_or_loading(artifact)

    def _find_wait_cost(self, artifact: Artifact, holders: list[UpstreamId]) -> float:
        """Return the request-seconds of waiting over the horizon with some holders."""
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
            others = self.runner_loads.get(runner.id, 0.0)
            if runner.id in ready:
                others -= own
            capacity += max(
                throughput - max(others, 0.0), MIN_RUNNER_SHARE * throughput
            )
        slots = find_slots(runners[0]) * len(runners)
        tokens_per_request = demand.tokens_per_second / demand.requests_per_second
        service_s = (
            tokens_per_request * find_slots(runners[0]) / find_throughput(runners[0])
        )
        utilisation = demand.tokens_per_second / capacity
        wait_s = find_wait_s(utilisation, service_s, slots)
        return demand.requests_per_second * GAIN_HORIZON_S * wait_s
