"""What a load takes: the memory that a runner has free, the wait for it, the time."""

from ...models.routing import EngineProfile, ModelProfile
from .const import ADAPTER_RESERVE, UNLOAD_S
from .runners import REPORT_LAG_S, RunnerState
from .state import SchedulingState


def reserve_for_adapters(engine: EngineProfile) -> float:
    """Return the memory that is kept free for adapters on each runner, in MB."""
    sizes = (each.adapter_mb for each in engine.models.values())
    return ADAPTER_RESERVE * engine.adapter_slots * max(sizes, default=0.0)


def measure_free(
    runner: RunnerState, engine: EngineProfile, reserved_mb: float
) -> float:
    """Return the memory of a runner that is free for models, in MB.

    Args:
        runner: The runner.
        engine: What it can do.
        reserved_mb: Memory that is kept for adapters; a planner works it out once.
    """
    free_mb = engine.weights_mb - reserved_mb
    for name in runner.held:
        model = engine.models.get(name)
        # A model that the configuration no longer offers has an unknown size.
        free_mb -= engine.weights_mb if model is None else model.weights_mb
    return free_mb


def estimate_load(runner: RunnerState, profile: ModelProfile) -> float:
    """Return the time of a load from the nearest copy that a runner has."""
    if profile.name in runner.in_host_memory:
        return profile.memory_load_s
    if profile.name in runner.on_disk:
        return profile.disk_load_s
    return profile.load_s


def measure_wait(
    runner: RunnerState, engine: EngineProfile, now: float
) -> float | None:
    """Return the seconds until a runner can be ordered; None if that is not known."""
    if runner.order_count is None:
        return None
    goal = engine.models.get(runner.goal)
    if goal is not None:
        # It makes room first, and then loads the model.
        wait_s = max(UNLOAD_S, runner.changing_until - now)
        return wait_s + estimate_load(runner, goal)
    if runner.open_order is not None:
        return None
    # While a load is under way, reports don't show what will be held.
    known_s = 0.0 if runner.state_known else REPORT_LAG_S
    return max(known_s, runner.changing_until - now)


def expect_ready(state: SchedulingState, service: str, now: float) -> dict[str, float]:
    """Return when each model that nobody holds could be ready, for who waits."""
    engine = state.get_engine(service)
    if engine is None:
        return {}
    runners = state.list_usable(service, now)
    held = {name for each in runners for name in each.held}
    times = {}
    for name, profile in engine.models.items():
        if name not in held:
            load_s = min(
                (
                    (measure_wait(each, engine, now) or 0.0)
                    + estimate_load(each, profile)
                    for each in runners
                ),
                default=profile.load_s,
            )
            times[name] = now + load_s
    return times
