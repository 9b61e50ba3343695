"""Records what first events and ended streams show about the pace of runners."""

from .events import RequestEnded
from .pace import ServicePaces
from .requests import RunningRequest
from .runners import RunnerState
from .state import SchedulingState


def record_first_event(
    state: SchedulingState,
    paces: ServicePaces,
    runner: RunnerState,
    running: RunningRequest,
    begun_at: float | None,
    now: float,
) -> bool:
    """Record the first event of a request; return whether a slow moment begins.

    Args:
        state: State of the scheduling core.
        paces: Paces of the service.
        runner: The runner.
        running: The request.
        begun_at: Start of its prefill; None if it is unknown.
        now: Time of the event.
    """
    running.first_event_at = now
    if begun_at is None or runner.pace is None:
        return False
    grant_request = running.grant_request
    estimator = state.prefill_estimators.get(grant_request.service)
    expected_s = estimator.estimate(grant_request.model, running.prefill_tokens)
    overhead_s = running.first_event_overhead_s
    if running.span is not None:
        running.span.begins_at = begun_at
        running.span.ends_at = max(begun_at, now - overhead_s)
    seconds = now - begun_at
    begins = runner.pace.add_first_event(expected_s, overhead_s, seconds, now)
    paces.slow_moments += begins
    return begins


def record_ended(paces: ServicePaces, runner: RunnerState, event: RequestEnded) -> None:
    """Record the times between the events of a stream that has ended."""
    if runner.pace is not None and event.kind.was_served:
        paces.add_event_time(runner.pace, event.events, event.event_s)
