"""Predicts the pauses that the prefill of a prompt causes in running streams.

An event holds several tokens, and each step makes one token of every stream and may
prefill a part of a prompt. The pause between two events is therefore the time of the
steps of one event, plus all prefill within them.
"""

from typing import Final

from attrs import frozen

from .pace import ServicePaces
from .prefill_backlog import GRANT_DELAY_S
from .requests import RunningRequest, WaitingRequest
from .runners import RunnerState

PAUSE_MARGIN_SHARE: Final = 0.1
"""Share of the pause objective that is kept free for the error of the prediction."""

MIN_SPARE_S: Final = 0.08
"""Time that must be left until a request has to start, for it to wait: the period of
the ticks that serve waiting requests, and the error of the estimate."""

MAX_HOLD_S: Final = 0.4
"""Longest wait of a prompt for the sake of running streams. The next steps of an event
without prefill come within it, unless the runner is overloaded."""


OWN_PAUSE_COST_S: Final = 0.05
"""Cost of a pause of the new stream itself, as prefill time. A late answer loses half
of its value or more, as much as a prompt that waits for two others."""

PRONE_PAUSE_SHARE: Final = 0.2
"""Share of a runner's streams that pause too long, from which a request rather waits
for a better runner that is prefilling another prompt."""

MIN_BETTER_S: Final = 0.01
"""Cost that waiting for another runner must save: about the error of the estimate."""


@frozen
class PromptCost:
    """Estimated times of a prompt at a runner of pace 1."""

    prefill_s: float
    overhead_s: float
    """Time from the end of its prefill to its first event."""


def predict_begin(runner: RunnerState, now: float) -> float:
    """Return when a runner would begin the prefill of a prompt that is sent now."""
    return max(runner.prefill_backlog.ends_at, now + GRANT_DELAY_S)


def get_pace(runner: RunnerState, now: float) -> float:
    """Return the pace of a runner; 1 where paces aren't used."""
    return 1.0 if runner.pace is None else runner.pace.measure(now)


def get_pause_limit_s(paces: ServicePaces) -> float:
    """Return the predicted pause up to which a stream is expected to be in time."""
    return (1 - PAUSE_MARGIN_SHARE) * paces.pause_objective_s


def find_stalled(
    paces: ServicePaces, runner: RunnerState, prefill_s: float, now: float
) -> list[RunningRequest]:
    """Return the streams of a runner that a prompt would make late.

    Streams that an earlier prompt has made late aren't among them.

    Args:
        paces: Paces of the service.
        runner: The runner.
        prefill_s: Prefill time of the prompt at this runner.
        now: Time in seconds.
    """
    if runner.prefills is None or not runner.count_unstalled():
        return []
    limit_s = get_pause_limit_s(paces)
    begins_at = predict_begin(runner, now)
    event_s = paces.event_s * get_pace(runner, now)
    measure = runner.prefills.measure_pause
    if measure(prefill_s, begins_at, event_s, 0.0) <= limit_s:
        return []
    return [
        each
        for each in runner.running.values()
        if not each.stalled
        and each.grant_request.streaming
        and each.first_event_at is not None
        and measure(prefill_s, begins_at, event_s, each.first_event_at) > limit_s
    ]


def fits_alone(
    paces: ServicePaces, runner: RunnerState, prefill_s: float, now: float
) -> bool:
    """Return whether a prompt delays no stream if no other falls into its pause.

    Args:
        paces: Paces of the service.
        runner: The runner.
        prefill_s: Prefill time of the prompt at a runner of pace 1.
        now: Time in seconds.
    """
    pause_s = (paces.event_s + prefill_s) * get_pace(runner, now)
    return pause_s <= get_pause_limit_s(paces)


def must_wait(
    paces: ServicePaces,
    runner: RunnerState,
    waiting: WaitingRequest,
    prompt: PromptCost,
    now: float,
) -> bool:
    """Return whether a prompt would make streams late, and may wait a moment.

    It may while its own objective allows; a slow moment of the runner will be over.
    """
    if runner.pace is None or now - waiting.arrived_at >= MAX_HOLD_S:
        return False
    usual_s = prompt.prefill_s * runner.pace.factor + prompt.overhead_s
    if waiting.objective_at - now - usual_s <= MIN_SPARE_S:
        return False
    prefill_s = prompt.prefill_s * runner.pace.measure(now)
    return bool(find_stalled(paces, runner, prefill_s, now))


def estimate_own_pause_cost_s(
    runner: RunnerState, waiting: WaitingRequest, now: float
) -> float:
    """Return the cost of the pauses that a new stream is likely to have at a runner."""
    if runner.pauses is None or not waiting.grant_request.streaming:
        return 0.0
    return OWN_PAUSE_COST_S * runner.pauses.get_paused_share(now)


def may_prefer_another(
    runner: RunnerState, waiting: WaitingRequest, overhead_s: float, now: float
) -> bool:
    """Return whether a stream may wait for a runner with fewer pauses than this one."""
    if runner.pauses is None or not waiting.grant_request.streaming:
        return False
    if now - waiting.arrived_at >= MAX_HOLD_S:
        return False
    if waiting.objective_at - now - overhead_s <= 2 * MIN_SPARE_S:
        return False
    return runner.pauses.get_paused_share(now) >= PRONE_PAUSE_SHARE


def find_clear_time(paces: ServicePaces, runner: RunnerState, now: float) -> float:
    """Return when a prompt no longer shares a pause with the earlier ones."""
    event_s = paces.event_s * get_pace(runner, now)
    return runner.prefill_backlog.ends_at + event_s
