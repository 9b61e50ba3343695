"""Runners on which a model could be loaded, with the models to evict for it."""

from attrs import define, field, frozen

from ...models.routing import EngineProfile, ModelProfile
from .const import (
    BUSY_RUNNER_COST_S,
    MIN_RESIDENCE_S,
    PLANNING_HORIZON_S,
    UNLOAD_S,
)
from .copy_valuation import CopyValuation
from .loads import (
    estimate_load_s,
    estimate_order_wait_s,
    get_adapter_reserve_mb,
    measure_free_mb,
)
from .runners import RunnerState


@frozen
class LoadCandidate:
    """A runner that could load a model, with the cost of that."""

    runner: RunnerState
    loss: float
    """Requests per second that are late or lost without the evicted models."""

    wait_s: float
    """Time until an order can be sent to it."""

    cost_s: float
    """Time until the model is ready, for each waiting request, plus the loss of the
    victims and the cost of the runner's other demand in the same unit."""


@frozen
class Victim:
    """A model that may be evicted from a runner."""

    loss: float
    """Requests per second that are late or lost without this copy."""

    model: str
    weights_mb: float
    drain_s: float = 0.0
    """Time until the requests that run with it have ended."""


@frozen
class RunnerCapacity:
    """What a runner can provide for a load, valid until its next order."""

    wait_s: float | None
    """Time until an order can be sent to it; None if unknown."""

    free_mb: float
    victims: tuple[Victim, ...]
    """Models that may be evicted, smallest loss first."""

    used_victims: tuple[Victim, ...]
    """The same with models in use, which the runner unloads when their requests have
    ended; empty where patient requests aren't deferred."""

    busy_cost_s: float
    """Cost in seconds of the demand for the models that it holds already."""


@define(eq=False)
class LoadCandidates:
    """Capacities of a service's runners at one moment, computed when first needed."""

    engine: EngineProfile
    valuation: CopyValuation
    now: float
    _adapter_mb: float = field(init=False)
    """Memory per runner that is reserved for adapters."""

    _capacities: dict[str, RunnerCapacity] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._adapter_mb = get_adapter_reserve_mb(self.engine)

    def invalidate(self, runner: RunnerState) -> None:
        """Discard the capacity of a runner that receives an order or a new target."""
        self._capacities.pop(runner.runner_id, None)

    def invalidate_all(self) -> None:
        """Discard all capacities after an unload, as the other copies gain value."""
        self._capacities.clear()

    def find_best(
        self, profile: ModelProfile, waiting: int, *, drains: bool = False
    ) -> LoadCandidate | None:
        """Return the runner where a load costs least; None if there is none.

        Args:
            profile: The model to load.
            waiting: Requests that wait for it.
            drains: Whether models in use may be evicted. Only runners that accept an
                order now are examined then.
        """
        best: LoadCandidate | None = None
        for runner in self.valuation.runners:
            capacity = self._get_capacity(runner)
            if capacity.wait_s is None or profile.name in runner.models:
                continue
            if drains and capacity.wait_s > 0:
                continue
            victims = _choose_victims(capacity, profile, drains=drains)
            if victims is None:
                continue
            loss = sum(each.loss for each in victims)
            ready_s = capacity.wait_s + estimate_load_s(runner, profile)
            ready_s += max((each.drain_s for each in victims), default=0.0)
            cost_s = (
                ready_s * max(1, waiting)
                + loss * PLANNING_HORIZON_S
                + capacity.busy_cost_s
            )
            if best is None or cost_s < best.cost_s:
                best = LoadCandidate(runner, loss, capacity.wait_s, cost_s)
        return best

    def fits(self, runner: RunnerState, profile: ModelProfile) -> bool:
        """Return whether a model fits the free memory of a runner."""
        return self.measure_free_mb(runner) >= profile.weights_mb

    def list_victims(
        self, runner: RunnerState, profile: ModelProfile, *, drains: bool = False
    ) -> tuple[Victim, ...] | None:
        """Return the models to evict for another; None if they free too little."""
        return _choose_victims(self._get_capacity(runner), profile, drains=drains)

    def measure_free_mb(self, runner: RunnerState) -> float:
        """Return the memory of a runner that is free for models, in MB."""
        return measure_free_mb(runner, self.engine, self._adapter_mb)

    def _get_capacity(self, runner: RunnerState) -> RunnerCapacity:
        capacity = self._capacities.get(runner.runner_id)
        if capacity is None:
            capacity = self._capacities[runner.runner_id] = self._build_capacity(runner)
        return capacity

    def _build_capacity(self, runner: RunnerState) -> RunnerCapacity:
        wait_s = estimate_order_wait_s(runner, self.engine, self.now)
        if wait_s is None:
            return RunnerCapacity(None, 0.0, (), (), 0.0)
        victims = [
            self._make_victim(runner, name)
            for name in runner.models
            if self._can_unload(runner, name)
        ]
        victims.sort(key=lambda each: (each.loss, each.model in self.engine.models))
        idle = tuple(each for each in victims if not each.drain_s)
        return RunnerCapacity(
            wait_s=wait_s,
            free_mb=self.measure_free_mb(runner),
            victims=idle,
            used_victims=tuple(victims) if self.valuation.defers else (),
            busy_cost_s=BUSY_RUNNER_COST_S * self._estimate_prefill_share(runner),
        )

    def _get_weights(self, name: str) -> float:
        """Return what the unload of a model adds to the free memory."""
        model = self.engine.models.get(name)
        # `measure_free_mb` subtracts as much for a model of unknown size.
        return self.engine.weights_mb if model is None else model.weights_mb

    def _make_victim(self, runner: RunnerState, name: str) -> Victim:
        drain_s = (
            max(UNLOAD_S, self.valuation.estimate_slot_s(name))
            if runner.is_in_use(name)
            else 0.0
        )
        return Victim(
            self.valuation.estimate_loss(name), name, self._get_weights(name), drain_s
        )

    def _can_unload(self, runner: RunnerState, name: str) -> bool:
        loaded = runner.models[name]
        if loaded.loaded_at + MIN_RESIDENCE_S > self.now and loaded.loaded_at > 0:
            return False
        if runner.is_in_use(name) and not self.valuation.defers:
            return False
        if self.valuation.count_copies(name) > 1:
            return True
        return self.valuation.count_urgent(name) == 0

    def _estimate_prefill_share(self, runner: RunnerState) -> float:
        """Return the share of a runner's time that prefill takes."""
        return sum(
            self.valuation.get_prefill_load(name)
            / max(1, self.valuation.count_copies(name))
            for name in runner.models
        )


def _choose_victims(
    capacity: RunnerCapacity, profile: ModelProfile, *, drains: bool
) -> tuple[Victim, ...] | None:
    """Return the models to evict for another; None if they free too little."""
    victims = capacity.used_victims if drains else capacity.victims
    needed_mb = profile.weights_mb - capacity.free_mb
    count = 0
    while needed_mb > 0:
        if count == len(victims):
            return None
        needed_mb -= victims[count].weights_mb
        count += 1
    return victims[:count]
