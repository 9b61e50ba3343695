"""Reports the learned paces of runners in the log and as metrics."""

from typing import Final

from ..observability import pace_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.scheduling.runners import RunnerState
from ..policy.scheduling.state import SchedulingState

MAX_DESCRIBED_RUNNERS: Final = 12
"""Runners in one line; bounds its length."""


def report_paces(state: SchedulingState, metrics: Metrics) -> None:
    """Log the paces of all services that use them, and set their metrics."""
    for gauge in (metrics.runner_pace, metrics.runner_pace_error):
        # Runners that have left disappear.
        gauge.drop_all()
    for service, paces in state.paces.items():
        runners = state.list_runners(service)
        _set_metrics(metrics, service, runners)
        metrics.slow_moments.set(service, level=paces.slow_moments)
        metrics.held_prompts.set(service, level=paces.held_prompts)
        log_event(
            log.RunnerPacesSummed(
                service=service,
                event_ms=round(1000 * paces.event_s, 1),
                slow_moments=paces.slow_moments,
                held_prompts=paces.held_prompts,
                runners=tuple(_describe_slowest(runners)),
            )
        )


def _set_metrics(metrics: Metrics, service: str, runners: list[RunnerState]) -> None:
    for runner in runners:
        pace = runner.pace
        if pace is not None:
            labels = (service, runner.runner_id)
            metrics.runner_pace.set(*labels, level=round(pace.factor, 3))
            metrics.runner_pace_error.set(*labels, level=round(pace.error, 3))


def _describe_slowest(runners: list[RunnerState]) -> list[str]:
    paced = [(each.pace, each.runner_id) for each in runners if each.pace is not None]
    paced.sort(key=lambda each: -each[0].factor)
    return [
        f"{runner_id} {pace.factor:.2f} ±{pace.error:.2f}"
        for pace, runner_id in paced[:MAX_DESCRIBED_RUNNERS]
    ]
