"""Gives waiting requests to runners that have room for them.

Answers the load of clumped arrivals: a runner reads prompts one after the other beside
its streams, and each prompt that waits in it delays all of them. So a runner gets the
next prompt when the one before has shown its first event, and what waits does so here,
where a runner that is free first can take it.
"""

from .const import (
    OTHER_ZONE_S,
    PRESSED_UNREAD_LIMIT_S,
    PRESSED_WAITING,
    RUNNING_S,
    STALL_COST_S,
    STALL_LIMIT_S,
    STALL_RISK_S,
    UNREAD_LIMIT_S,
)
from .events import Action, Grant
from .queue import allows, sort_waiting
from .requests import Running, Waiting
from .runners import RunnerState
from .state import SchedulingState


def dispatch(state: SchedulingState, service: str, now: float) -> list[Action]:
    """Return grants for the requests of a service that can go out now."""
    if not state.waiting.get(service):
        return []
    usable = state.list_usable(service, now)
    scale = state.limit_scale
    pressure = measure_pressure(len(state.waiting[service]), len(usable))
    limit_s = limit_unread(pressure)
    roomy = [each for each in usable if each.has_room(scale, limit_s, now)]
    actions: list[Action] = []
    if not roomy:
        return actions
    holders = _index_by_model(roomy)
    for waiting in sort_waiting(state, service, now):
        runner = _choose(state, waiting, holders.get(waiting.asked.model, []), now)
        if runner is None:
            continue
        actions.append(grant(state, waiting, runner, now))
        if not runner.has_room(scale, limit_s, now):
            roomy.remove(runner)
            if not roomy:
                break
            holders = _index_by_model(roomy)
    return actions


def _index_by_model(runners: list[RunnerState]) -> dict[str, list[RunnerState]]:
    """Return the runners that hold each model: most requests have few candidates."""
    holders: dict[str, list[RunnerState]] = {}
    for runner in runners:
        for model in runner.held:
            holders.setdefault(model, []).append(runner)
    return holders


def measure_pressure(waiting: int, runners: int) -> float:
    """Return 0 where nothing waits, and 1 where much waits for all runners."""
    return min(1.0, waiting / (PRESSED_WAITING * max(1, runners)))


def limit_unread(pressure: float) -> float:
    """Return the reading time of unread prompts that a runner may have."""
    return UNREAD_LIMIT_S + pressure * (PRESSED_UNREAD_LIMIT_S - UNREAD_LIMIT_S)


def _choose(
    state: SchedulingState, waiting: Waiting, roomy: list[RunnerState], now: float
) -> RunnerState | None:
    best: RunnerState | None = None
    best_cost = 0.0
    for runner in roomy:
        if not _can_take(waiting, runner, now):
            continue
        cost = _rate(state, waiting, runner, now)
        if best is None or cost < best_cost:
            best, best_cost = runner, cost
    return best


def _can_take(waiting: Waiting, runner: RunnerState, now: float) -> bool:
    asked = waiting.asked
    return (
        runner.is_ready(asked.model, asked.adapter, now)
        and allows(asked, runner.runner_id)
        and runner.has_memory(count_kv_tokens(waiting))
    )


def _rate(
    state: SchedulingState, waiting: Waiting, runner: RunnerState, now: float
) -> float:
    """Return the reading time here, and what the choice costs others, in seconds.

    A long prompt is read in pieces between the steps of the streams beside it, and
    stalls all of them; a stream that was stalled for too long before has no more to
    lose. So long prompts go where few streams run, and streams where few long prompts
    were sent lately.
    """
    asked = waiting.asked
    pace = state.pace.get(asked.service)
    reading_s = pace.estimate(asked.model, count_unread(waiting, runner))
    cost = runner.reading.measure(now) + reading_s + RUNNING_S * len(runner.running)
    place = state.edge_places.get(asked.edge)
    if place is not None and place != runner.entry.data_centre:
        cost += OTHER_ZONE_S
    if runner.measure_stall(reading_s, now) > STALL_LIMIT_S:
        cost += STALL_COST_S * runner.count_smooth()
    return cost + STALL_RISK_S * runner.stalls.decay(now)


def count_unread(waiting: Waiting, runner: RunnerState) -> int:
    """Return the prompt tokens that a runner would have to read."""
    asked = waiting.asked
    kept = runner.prefixes.count_kept(asked.model, asked.adapter, asked.prompt)
    return max(1, asked.prompt.tokens - kept)


def count_kv_tokens(waiting: Waiting) -> int:
    """Return the KV memory that a request is expected to take, in tokens."""
    prompt = waiting.asked.prompt
    output = prompt.expected_output_tokens or prompt.max_output_tokens // 2
    return prompt.tokens + min(output, prompt.max_output_tokens or output)


def grant(
    state: SchedulingState, waiting: Waiting, runner: RunnerState, now: float
) -> Grant:
    """Move a waiting request to a runner."""
    asked = waiting.asked
    place(state, waiting, runner, now)
    del state.waiting[asked.service][waiting.key]
    state.health.note_sent(runner.runner_id, now)
    return Grant(
        edge=asked.edge, request_id=asked.request_id, runner_id=runner.runner_id
    )


def place(
    state: SchedulingState, waiting: Waiting, runner: RunnerState, now: float
) -> Running:
    """Count a request as running at a runner."""
    asked = waiting.asked
    unread = count_unread(waiting, runner)
    pace = state.pace.get(asked.service)
    running = Running(
        asked=asked,
        runner_id=runner.runner_id,
        granted_at=now,
        unread_s=pace.estimate(asked.model, unread),
        unread_tokens=unread,
        first_event_s=pace.first_event_s,
        kv_tokens=count_kv_tokens(waiting),
    )
    runner.add(waiting.key, running, now)
    runner.prefixes.note_read(asked.model, asked.adapter, asked.prompt)
    held = runner.held.get(asked.model)
    if held is not None and asked.adapter:
        held.used_at[asked.adapter] = now
    state.granted[waiting.key] = runner.runner_id
    return running
