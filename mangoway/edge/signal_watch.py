"""Takes note of what runners say of themselves in their answers."""

from typing import Final

from attrs import define, field

from ..models.runner import RunnerEntry
from ..models.signals import RunnerSignals
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics

LIMIT: Final = "limit"
DROPPED: Final = "dropped"
"""Signals by which answers are counted."""


@define(eq=False)
class SignalWatch:
    """Logs and counts the statements of runners."""

    metrics: Metrics
    _limits: dict[str, float] = field(factory=dict, init=False)
    """The limits that runners named last."""

    def note(self, runner: RunnerEntry, signals: RunnerSignals) -> None:
        """Take the statements of an answer."""
        for each in signals.dropped:
            self._count(runner, DROPPED)
            log_event(
                log.SignalDropped(
                    runner_id=runner.runner_id, field=each.name, value=each.value
                )
            )
        if signals.limit is not None:
            self._count(runner, LIMIT)
        if signals.limit_known:
            self._note_limit(runner, signals.limit)

    def _note_limit(self, runner: RunnerEntry, limit: float | None) -> None:
        if limit == self._limits.get(runner.runner_id):
            return
        if limit is None:
            del self._limits[runner.runner_id]
        else:
            self._limits[runner.runner_id] = limit
        log_event(
            log.RunnerLimitSeen(
                runner_id=runner.runner_id, service=runner.service, limit=limit
            )
        )

    def _count(self, runner: RunnerEntry, signal: str) -> None:
        self.metrics.edge_signals.add(runner.service, signal)
