"""Orders the loads of adapters that requests wait for.

An adapter loads in 5 to 10 ms, but a runner has few adapter slots; the least recently
used adapter is evicted.
"""

from .events import SendOrder
from .orders import can_order, create_order
from .requests import Rank, WaitingRequest
from .runners import RunnerState
from .state import SchedulingState


def plan_adapters(state: SchedulingState, service: str, now: float) -> list[SendOrder]:
    """Return orders for all adapters that requests wait for, at most one per runner."""
    orders: list[SendOrder] = []
    queue = state.get_queue(service)
    for model in queue.list_models():
        for adapter in list(queue.get_artifacts(model)):
            orders += plan_adapter(state, service, model, adapter, now)
    return orders


def plan_runner(
    state: SchedulingState, runner: RunnerState, now: float
) -> list[SendOrder]:
    """Return an order for an adapter that requests wait for, of a model on a runner."""
    if not can_order(runner, now):
        return []
    service = runner.entry.service
    queue = state.get_queue(service)
    for model in list(runner.models):
        for adapter in list(queue.get_artifacts(model)):
            orders = plan_adapter(state, service, model, adapter, now)
            if orders:
                return orders
    return []


def plan_adapter(
    state: SchedulingState, service: str, model: str, adapter: str, now: float
) -> list[SendOrder]:
    """Return the order for one adapter, if requests wait that no holder can serve."""
    artifact = state.get_queue(service).get_artifacts(model).get(adapter)
    if not adapter or artifact is None:
        return []
    avoided = state.find_avoided(service, now)
    runners = state.list_holders(service, model, avoided)
    constrained = state.find_constrained(now)
    runners = [each for each in runners if each.runner_id not in constrained] or runners
    having = [each for each in runners if adapter in each.models[model].adapters]
    lacking = [
        each
        for each in artifact
        if not any(state.allows(each.grant_request, runner, now) for runner in having)
    ]
    if not lacking:
        return []
    runners = [
        runner
        for runner in runners
        if any(state.allows(each.grant_request, runner, now) for each in lacking)
    ]
    order = _plan_order(state, runners, model, adapter, lacking, now)
    return [] if order is None else [order]


def _plan_order(
    state: SchedulingState,
    runners: list[RunnerState],
    model: str,
    adapter: str,
    waiting: list[WaitingRequest],
    now: float,
) -> SendOrder | None:
    holders = [
        each
        for each in runners
        if each.is_ready(model, "", now)
        and can_order(each, now)
        and adapter not in each.models[model].unloading
    ]
    holders.sort(key=lambda each: _get_holder_rank(each, model, now))
    first = min(each.rank for each in waiting)
    for runner in holders:
        if runner.engine is None:
            continue
        if runner.count_adapters() < runner.engine.adapter_slots:
            return create_order(
                runner,
                load=True,
                model=model,
                adapter=adapter,
                reason="a request waits for it",
                waiting=len(waiting),
                now=now,
            )
        victim = _find_victim(state, runner, first, now)
        if victim is not None:
            return create_order(
                runner,
                load=False,
                model=victim[0],
                adapter=victim[1],
                reason="evicted for another adapter",
                waiting=len(waiting),
                now=now,
            )
    return None


def _get_holder_rank(runner: RunnerState, model: str, now: float) -> tuple[int, float]:
    """Rank holders to spread a model's adapters, then to prefer idle runners."""
    return (
        len(runner.models[model].adapters),
        runner.prefill_backlog.estimate_remaining_s(now) + len(runner.running),
    )


def _find_victim(
    state: SchedulingState, runner: RunnerState, rank: Rank, now: float
) -> tuple[str, str] | None:
    """Return the least recently used adapter that isn't in use.

    The unload of one that an unfinished run may use would wait for that run. One that
    requests may use at this runner is evicted only for a request that ranks before
    them: otherwise adapters would evict each other before a request has used them.

    Args:
        state: State of the fleet.
        runner: The runner.
        rank: Rank of the first request that waits for the adapter to load.
        now: Time in seconds.
    """
    queue = state.get_queue(runner.entry.service)
    oldest: tuple[bool, float, str, str] | None = None
    for model, loaded in runner.models.items():
        for adapter in loaded.adapters:
            if runner.is_in_use(model, adapter):
                continue
            wanting = queue.get_artifacts(model).get(adapter, ())
            if any(
                each.rank <= rank and state.allows(each.grant_request, runner, now)
                for each in wanting
            ):
                continue
            may_wait = runner.unfinished.may_use(model, adapter)
            used_at = loaded.used_at.get(adapter, 0.0)
            if oldest is None or (may_wait, used_at) < oldest[:2]:
                oldest = (may_wait, used_at, model, adapter)
    return None if oldest is None else oldest[2:]
