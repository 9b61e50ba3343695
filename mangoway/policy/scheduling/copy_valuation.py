"""Estimates the value of model copies, and how many copies each model should have.

Each figure is computed once per moment, when it is first needed: a plan needs the same
figures of a model for each runner that might hold it.
"""

import math

from attrs import define, field

from ...models.routing import EngineProfile
from .const import (
    COPY_SLOT_SHARE,
    IDLE_REQUESTS_PER_S,
    MAX_TREND_HORIZON_S,
    MIN_COPY_REQUESTS_PER_S,
    MIN_PRELOAD_REQUESTS,
    MIN_REQUESTS_PER_S,
    POPULAR_REQUESTS_PER_S,
    SECOND_COPY_LOSS_SHARE,
)
from .copies import CopyIndex
from .deferral import DEFERRABLE_WEIGHT
from .queue import ServiceQueue
from .runners import RunnerState, measure_mean_pace
from .slot_times import SlotTimeEstimator
from .state import SchedulingState


@define(eq=False)
class CopyValuation:
    """Copy valuation of the models of one service at one moment."""

    state: SchedulingState
    service: str
    engine: EngineProfile
    runners: list[RunnerState]
    """The usable runners; copies on other runners aren't counted."""

    now: float
    _runner_ids: frozenset[str] = field(init=False)
    _queue: ServiceQueue = field(init=False)
    _index: CopyIndex = field(init=False)
    _slot_times: SlotTimeEstimator = field(init=False)
    defers: bool = field(init=False)
    """Whether patient requests are deferred in the placement."""

    _copy_prefill_share: float = field(init=False)
    """Prefill seconds per second that one copy of a model is planned for."""

    _request_rates: dict[str, float] = field(factory=dict, init=False)
    _prefill_loads: dict[str, float] = field(factory=dict, init=False)
    _copies: dict[str, int] = field(factory=dict, init=False)
    _holder_paces: dict[str, float] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        state, service = self.state, self.service
        self._runner_ids = frozenset(each.runner_id for each in self.runners)
        self._queue = state.get_queue(service)
        self.defers = state.defers_placement(service)
        self._index = state.get_copies(service)
        self._slot_times = state.get_slot_times(service)
        self._copy_prefill_share = state.get_stream_pauses(
            service
        ).choose_copy_prefill_share(self.now)

    def invalidate_copies(self, model: str) -> None:
        """Discard the cached number of copies of a model that is to be unloaded."""
        self._copies.pop(model, None)
        self._holder_paces.pop(model, None)

    def list_candidates(self) -> list[str]:
        """Return the models that may need a copy: with demand or waiting requests."""
        names = dict.fromkeys(self._queue.list_models())
        in_demand = self.state.demand.list_models(
            self.service, MIN_COPY_REQUESTS_PER_S, self.now
        )
        names.update(dict.fromkeys(in_demand))
        return [name for name in names if name in self.engine.models]

    def estimate_served(self, model: str, copies: int) -> float:
        """Return the requests per second that a number of copies serves in time."""
        requests = self.get_weighted_rate(model)
        if copies == 0:
            return 0.0
        return requests * min(
            1.0, copies / max(1.0, self.estimate_needed_copies(model))
        )

    def estimate_gain(self, model: str, copies: int) -> float:
        """Return the further requests per second that one more copy serves in time."""
        return self.estimate_served(model, copies + 1) - self.estimate_served(
            model, copies
        )

    def estimate_needed_copies(self, model: str) -> float:
        """Return how many copies a model's prompts and streams require."""
        for_prefill = self.get_prefill_load(model) / self._copy_prefill_share
        slots_s = self.get_request_rate(model) * self._slot_times.estimate(model)
        needed = max(for_prefill, slots_s / (COPY_SLOT_SHARE * self.engine.slots))
        if self.service not in self.state.paces:
            return needed
        return needed * self._get_holder_pace(model)

    def _get_holder_pace(self, model: str) -> float:
        """Return the pace of a model's copies: 2 if they serve half as much."""
        known = self._holder_paces.get(model)
        if known is None:
            holders = self._index.loaded.get(model)
            runners = self.state.runners
            used = [runners[each] for each in holders if each in self._runner_ids]
            known = self._holder_paces[model] = measure_mean_pace(used)
        return known

    def count_desired_copies(self, model: str) -> int:
        """Return how many copies a model should have for its demand."""
        requests = self.get_request_rate(model)
        if requests < MIN_REQUESTS_PER_S:
            return 0
        desired = math.ceil(self.estimate_needed_copies(model))
        if requests > POPULAR_REQUESTS_PER_S:
            desired = max(2, desired)
        if requests * self.get_load_s(model) > MIN_PRELOAD_REQUESTS:
            desired = max(1, desired)
        elif requests <= POPULAR_REQUESTS_PER_S:
            # The model is loaded when a request waits for it.
            desired = 0
        return min(desired, len(self.runners))

    def get_load_s(self, model: str) -> float:
        """Return the time of a load of an offered model from its fastest source."""
        profile = self.engine.models[model]
        if self._index.in_host_memory.get(model):
            return profile.memory_load_s
        if self._index.on_disk.get(model):
            return profile.disk_load_s
        return profile.load_s

    def get_request_rate(self, model: str) -> float:
        """Return the requests per second that are expected at the end of a load.

        None are expected for a model that the configuration no longer offers, whatever
        demand is remembered.
        """
        if model not in self.engine.models:
            return 0.0
        cached = self._request_rates.get(model)
        if cached is None:
            demand, horizon_s = self.state.demand, self._get_horizon_s(model)
            cached = demand.get_request_rate(self.service, model, self.now, horizon_s)
            self._request_rates[model] = cached
        return cached

    def get_prefill_load(self, model: str) -> float:
        """Return the prefill seconds per second expected at the end of a load."""
        if model not in self.engine.models:
            return 0.0
        cached = self._prefill_loads.get(model)
        if cached is None:
            demand, horizon_s = self.state.demand, self._get_horizon_s(model)
            cached = demand.get_prefill_load(self.service, model, self.now, horizon_s)
            self._prefill_loads[model] = cached
        return cached

    def estimate_loss(self, name: str) -> float:
        """Return the requests per second that are late or lost with one copy less."""
        copies = self.count_copies(name)
        if copies > 1:
            lost = self.estimate_served(name, copies) - self.estimate_served(
                name, copies - 1
            )
            spare = copies > self.count_desired_copies(name)
            return (
                lost
                if spare
                else lost + self.get_weighted_rate(name) * SECOND_COPY_LOSS_SHARE
            )
        profile = self.engine.models.get(name)
        if profile is None:
            return 0.0
        return max(
            self.get_weighted_rate(name), IDLE_REQUESTS_PER_S * (1 + profile.adapters)
        )

    def count_copies(self, model: str) -> int:
        """Return the number of usable runners that hold a model or are loading it."""
        cached = self._copies.get(model)
        if cached is None:
            holders = self._index.loaded.get(model)
            cached = sum(1 for each in holders if each in self._runner_ids)
            self._copies[model] = cached
        return cached

    def count_waiting(self, model: str) -> int:
        """Return the number of requests that wait for a model."""
        return self._queue.count_model(model)

    def estimate_slot_s(self, model: str) -> float:
        """Return the seconds for which a request with a model occupies a slot."""
        return self._slot_times.estimate(model)

    def count_urgent(self, model: str) -> int:
        """Return the number of waiting requests whose placement can't be deferred."""
        waiting = self._queue.count_model(model)
        return waiting - self._queue.count_deferrable(model) if self.defers else waiting

    def weigh_waiting(self, model: str) -> float:
        """Return the waiting requests for a model; deferrable ones weigh less."""
        waiting = self._queue.count_model(model)
        if not self.defers:
            return waiting
        return waiting - (1 - DEFERRABLE_WEIGHT) * self._queue.count_deferrable(model)

    def get_weighted_rate(self, model: str) -> float:
        """Return the requests per second for a model; deferrable ones weigh less."""
        rate = self.get_request_rate(model)
        if not self.defers:
            return rate
        deferrable = self.state.deferrable_demand.get_rate(
            self.service, model, self.now
        )
        return max(0.0, rate - (1 - DEFERRABLE_WEIGHT) * min(rate, deferrable))

    def _get_horizon_s(self, model: str) -> float:
        """Return how far demand is extrapolated; 0 for rare models."""
        current_rate = self.state.demand.get_request_rate(self.service, model, self.now)
        profile = self.engine.models.get(model)
        if profile is None or current_rate < POPULAR_REQUESTS_PER_S:
            return 0.0
        return min(MAX_TREND_HORIZON_S, profile.load_s)
