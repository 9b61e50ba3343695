"""Estimates for loads: free memory, time until an order, and load time."""

from attrs import define, field

from ...models.routing import EngineProfile, ModelProfile
from .const import ADAPTER_RESERVE_SHARE, UNLOAD_S
from .runners import MAX_REPORT_LAG_S, RunnerState
from .state import SchedulingState


def get_adapter_reserve_mb(engine: EngineProfile) -> float:
    """Return the memory per runner that is reserved for adapters, in MB."""
    sizes = (each.adapter_mb for each in engine.models.values())
    return ADAPTER_RESERVE_SHARE * engine.adapter_slots * max(sizes, default=0.0)


def measure_free_mb(
    runner: RunnerState, engine: EngineProfile, reserved_mb: float
) -> float:
    """Return the memory of a runner that is free for models, in MB.

    Args:
        runner: The runner.
        engine: Profile of its engine.
        reserved_mb: Memory that is reserved for adapters; a planner computes it once.
    """
    free_mb = engine.weights_mb - reserved_mb
    for name in runner.models:
        model = engine.models.get(name)
        # The size of a model that the configuration no longer offers is unknown.
        free_mb -= engine.weights_mb if model is None else model.weights_mb
    return free_mb


def estimate_load_s(runner: RunnerState, profile: ModelProfile) -> float:
    """Return the time of a load from the fastest source that a runner has."""
    if profile.name in runner.in_host_memory:
        return profile.memory_load_s
    if profile.name in runner.on_disk:
        return profile.disk_load_s
    return profile.load_s


def estimate_order_wait_s(
    runner: RunnerState, engine: EngineProfile, now: float
) -> float | None:
    """Return the seconds until an order can be sent to a runner; None if unknown."""
    if runner.order_count is None:
        return None
    # The state becomes known from a later report: during a load, reports don't list the
    # model being loaded.
    known_s = 0.0 if runner.is_state_known else MAX_REPORT_LAG_S
    target_model = engine.models.get(runner.target_model)
    if target_model is not None:
        # The runner frees memory first, and then loads the model.
        wait_s = max(UNLOAD_S, known_s, runner.changing_until - now)
        return wait_s + estimate_load_s(runner, target_model)
    if runner.open_order is not None:
        return None
    return max(known_s, runner.changing_until - now)


@define(eq=False)
class ReadyTimes:
    """Times at which models that no runner holds could be ready."""

    state: SchedulingState
    service: str
    now: float
    _waits: dict[str, float] | None = field(default=None, init=False)
    """Seconds until an order can be sent to each runner; computed when first needed."""

    _times: dict[str, float] = field(factory=dict, init=False)

    def get(self, model: str) -> float:
        """Return the time at which a model could be ready."""
        cached = self._times.get(model)
        if cached is None:
            cached = self._times[model] = self.now + self._estimate(model)
        return cached

    def _estimate(self, model: str) -> float:
        engine = self.state.get_engine(self.service)
        profile = None if engine is None else engine.models.get(model)
        if engine is None or profile is None:
            return 0.0
        waits = self._get_waits(engine)
        copies = self.state.get_copies(self.service)
        times = [profile.load_s + min(waits.values(), default=0.0)]
        for locations, load_s in (
            (copies.on_disk, profile.disk_load_s),
            (copies.in_host_memory, profile.memory_load_s),
        ):
            local_waits = [
                waits[each] for each in locations.get(model) if each in waits
            ]
            times += [load_s + wait_s for wait_s in local_waits]
        return min(times)

    def _get_waits(self, engine: EngineProfile) -> dict[str, float]:
        if self._waits is None:
            self._waits = {
                each.runner_id: estimate_order_wait_s(each, engine, self.now) or 0.0
                for each in self.state.list_usable(self.service, self.now)
            }
        return self._waits
