"""Prefetches weights to the disks of the runners while a service is idle.

Demand may move to models that few runners have held. A load from the weight store takes
up to 6 s, longer than callers wait; a load from the runner's own disk takes about one
second. A runner keeps the weights of models that it has held on its disk, so that a
model that was loaded once can be loaded from there, even after another model has
replaced it in memory.
"""

from collections.abc import Iterable

from attrs import define, field

from ...models.routing import EngineProfile, ModelProfile
from .const import IDLE_REQUESTS_PER_S, MAX_PREFETCH_SHARE, PREFETCH_IDLE_S
from .events import SendOrder
from .loads import get_adapter_reserve_mb, measure_free_mb
from .orders import can_order, create_order
from .runners import RunnerState
from .state import SchedulingState


@define(eq=False)
class PrefetchPlanner:
    """Plans the prefetches of one service at one moment."""

    state: SchedulingState
    service: str
    engine: EngineProfile
    now: float
    _runners: list[RunnerState] = field(init=False)
    _local_copies: dict[str, int] = field(factory=dict, init=False)
    """Number of runners that hold or load each model, or have it on disk."""

    _loaded_copies: dict[str, int] = field(factory=dict, init=False)
    """Number of runners that hold each model in memory."""

    _adapter_mb: float = field(init=False)
    """Memory per runner that is reserved for adapters."""

    def __attrs_post_init__(self) -> None:
        self._runners = self.state.list_usable(self.service, self.now)
        self._adapter_mb = get_adapter_reserve_mb(self.engine)

    def _count_copies(self) -> None:
        for runner in self._runners:
            for name in runner.list_local_models():
                self._local_copies[name] = self._local_copies.get(name, 0) + 1
            for name in runner.models:
                self._loaded_copies[name] = self._loaded_copies.get(name, 0) + 1

    def plan(self) -> list[SendOrder]:
        """Return the unloads that free memory for prefetches; the loads follow them."""
        if not self._is_idle():
            return []
        orders: list[SendOrder] = []
        free = self._count_free()
        loads = self.state.get_store_loads(self.service)
        if not free or not loads.can_start(self.engine, self.now):
            return orders
        self._count_copies()
        for profile in self._list_by_need()[:free]:
            order = self._start_fetch(profile)
            if order is not None:
                orders.append(order)
        return orders

    def _is_idle(self) -> bool:
        """Return whether nothing runs or waits, and no request arrived recently."""
        if len(self.state.get_queue(self.service)):
            return False
        if any(runner.running for runner in self._runners):
            return False
        last_request_at = self.state.demand.get_last_request_at(self.service)
        return last_request_at is None or self.now - last_request_at > PREFETCH_IDLE_S

    def _count_free(self) -> int:
        """Return how many more runners may prefetch; the others keep their models.

        Requests may arrive at any time, and an unloaded model can't serve them until
        its next load.
        """
        limit = max(1, int(MAX_PREFETCH_SHARE * len(self._runners)))
        return max(0, limit - sum(self._is_changing(each) for each in self._runners))

    def _is_changing(self, runner: RunnerState) -> bool:
        return bool(runner.target_model) or not can_order(runner, self.now)

    def _list_by_need(self) -> list[ModelProfile]:
        """Return all models, those with the fewest local copies for their value first.

        Second copies are useful: when demand shifts, the runner with the first copy may
        be the wrong one to load the model on.
        """
        return sorted(
            self.engine.models.values(),
            key=lambda each: (
                self._local_copies.get(each.name, 0) / self._estimate_value(each)
            ),
        )

    def _estimate_value(self, profile: ModelProfile) -> float:
        """Return the expected demand for a model.

        Adapters are offered for models with many users, and the initial copies were
        placed with knowledge of the earlier demand.
        """
        expected = IDLE_REQUESTS_PER_S * (1 + profile.adapters)
        return expected * max(1, self._loaded_copies.get(profile.name, 0))

    def _start_fetch(self, profile: ModelProfile) -> SendOrder | None:
        """Return the unload with the smallest loss that frees memory for a model."""
        loads = self.state.get_store_loads(self.service)
        if not loads.can_start(self.engine, self.now):
            return None
        best: tuple[float, RunnerState, str] | None = None
        for runner in self._runners:
            victim = self._choose_victim(runner, profile)
            if victim is not None and (best is None or victim[0] < best[0]):
                best = (victim[0], runner, victim[1])
        if best is None:
            return None
        _, runner, name = best
        runner.target_model = profile.name
        self._local_copies[profile.name] = self._local_copies.get(profile.name, 0) + 1
        return create_order(
            runner,
            load=False,
            model=name,
            reason=f"evicted to prefetch {profile.name}",
            waiting=0,
            now=self.now,
        )

    def _choose_victim(
        self, runner: RunnerState, wanted: ModelProfile
    ) -> tuple[float, str] | None:
        """Return the value and name of the model to evict; None if there is none."""
        if self._is_changing(runner):
            return None
        if wanted.name in runner.list_local_models() or not self._has_disk_room(
            runner, wanted
        ):
            return None
        free_mb = measure_free_mb(runner, self.engine, self._adapter_mb)
        best: tuple[float, str] | None = None
        for name in runner.models:
            model = self.engine.models.get(name)
            # A model with several copies keeps all of them: it was placed as a popular
            # one.
            if model is not None and self._loaded_copies[name] > 1:
                continue
            value = 0.0 if model is None else self._estimate_value(model)
            # `measure_free_mb` subtracts as much for a model of unknown size.
            freed_mb = self.engine.weights_mb if model is None else model.weights_mb
            fits = free_mb + freed_mb >= wanted.weights_mb
            if fits and (best is None or value < best[0]):
                best = (value, name)
        return best

    def _has_disk_room(self, runner: RunnerState, wanted: ModelProfile) -> bool:
        """Return whether a copy is worth its space on a runner's disk.

        A full disk drops the least recently used copy, which may be the only one of
        another model. This is worthwhile only for a model that has no copy at all.
        """
        if not self._local_copies.get(wanted.name, 0):
            return self.engine.disk_mb > 0
        used_mb = self._sum_weights(runner.list_local_models())
        return used_mb + wanted.weights_mb <= self.engine.disk_mb

    def _sum_weights(self, names: Iterable[str]) -> float:
        models = self.engine.models
        return sum(models[name].weights_mb for name in names if name in models)
