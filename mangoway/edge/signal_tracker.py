"""Tracking of the signals that runners send in their responses."""

from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, evolve, field

from ..coordination.view import FleetView
from ..models.runner import RunnerEntry
from ..models.signals import LeavingReport, RunnerSignals
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.limits.const import RECENT_REQUESTS_S
from ..policy.limits.cooldowns import (
    CooldownReport,
    CooldownTracker,
    compute_brittle_rest_s,
)
from ..policy.limits.tracker import LimitReport, LimitTracker

LIMIT: Final = "limit"
LEAVING: Final = "leaving"
REST: Final = "rest"
BRITTLE: Final = "brittle"
DROPPED: Final = "dropped"
"""Values of the metric label for the kind of signal."""


@define(eq=False)
class RecentSends:
    """Counts the recent requests of this edge to each runner."""

    _times: dict[str, deque[float]] = field(factory=dict, init=False)

    def add(self, runner_id: str, now: float) -> None:
        """Count a request that is sent now."""
        times = self._times.setdefault(runner_id, deque())
        times.append(now)
        _drop_old(times, now)

    def count(self, runner_id: str, now: float) -> int:
        """Return the number of recent requests."""
        times = self._times.get(runner_id)
        if times is None:
            return 0
        _drop_old(times, now)
        return len(times)

    def keep_only(self, runner_ids: set[str]) -> None:
        """Remove all other runners."""
        for runner_id in set(self._times) - runner_ids:
            del self._times[runner_id]


def _drop_old(times: deque[float], now: float) -> None:
    while times and times[0] < now - RECENT_REQUESTS_S:
        times.popleft()


@define(eq=False)
class SignalTracker:
    """Tracks the signals of runners, and reports new ones to the scheduler."""

    metrics: Metrics
    limits: LimitTracker
    """The limits that the core of this process applies."""

    clock: Callable[[], float]
    view: FleetView
    edge: str
    """Incarnation of this edge."""

    cooldowns: CooldownTracker
    """The cooldowns that the core of this process applies."""

    report_signal: Callable[[LimitReport | LeavingReport | CooldownReport], None] = (
        lambda report: None
    )
    """Reports a signal to the scheduler."""

    sends: RecentSends = field(factory=RecentSends, init=False)

    def record_sent(self, runner: RunnerEntry) -> None:
        """Count a request that is sent to a runner."""
        self.sends.add(runner.runner_id, self.clock())

    def handle_signals(
        self,
        runner: RunnerEntry,
        signals: RunnerSignals,
        sent_at: float,
        *,
        is_full: bool = False,
    ) -> None:
        """Process the signals of a response that was just read.

        Args:
            runner: The runner, as it was when the request was sent.
            signals: The signals in its response.
            sent_at: When the request was sent, in this tracker's time.
            is_full: Whether the runner rejected the request for lack of room.
        """
        rest_s = signals.rest_s
        if signals.brittle is not None:
            self.metrics.edge_signals.add(runner.service, BRITTLE)
            if is_full:
                edges = len(self.view.list_reachable_edges())
                rest_s = max(rest_s, compute_brittle_rest_s(signals.brittle, edges))
        for each in signals.dropped:
            self.metrics.edge_signals.add(runner.service, DROPPED)
            log_event(
                log.SignalDropped(
                    runner_id=runner.runner_id, field=each.name, value=each.value
                )
            )
        if signals.leaving:
            self.metrics.edge_signals.add(runner.service, LEAVING)
            self._handle_leaving(runner)
        if rest_s > 0:
            self.metrics.edge_signals.add(runner.service, REST)
            self._handle_cooldown(runner, rest_s)
        if signals.limit is not None:
            self.metrics.edge_signals.add(runner.service, LIMIT)
        if signals.is_limit_known:
            self._handle_limit(runner, signals.limit, sent_at)

    def handle_relayed_limit(self, report: LimitReport) -> None:
        """Apply a limit that another edge has read."""
        if not self._apply_limit(report, "the scheduler"):
            removal = self.limits.find_removal(report, self.clock())
            if removal is not None:
                # The limit ended while the scheduler was unreachable.
                self.report_signal(removal)
            return
        recent_requests = self.sends.count(report.runner_id, self.clock())
        if report.limit is not None and recent_requests:
            self.report_signal(evolve(report, recent_requests=recent_requests))

    def measure_cooldown(self, runner: RunnerEntry) -> float:
        """Return the remaining seconds of a runner's cooldown for this edge."""
        incarnation = (runner.runner_id, runner.started_ms)
        return self.cooldowns.measure_wait(self.edge, *incarnation, self.clock())

    def handle_relayed_leaving(self, report: LeavingReport) -> None:
        """Record a leaving runner that another process has reported."""
        self._apply_leaving(report, "the scheduler")

    def list_limits(self) -> list[LimitReport]:
        """Return the known limits, for a scheduler that starts to grant."""
        now = self.clock()
        return [
            evolve(report, recent_requests=self.sends.count(report.runner_id, now))
            for report in self.limits.list_reports(now)
        ]

    def keep_only(self, runner_ids: set[str]) -> None:
        """Remove all other runners."""
        self.limits.keep_only(runner_ids, self.clock())
        self.cooldowns.keep_only(runner_ids)
        self.sends.keep_only(runner_ids)

    def _handle_cooldown(self, runner: RunnerEntry, rest_s: float) -> None:
        report = CooldownReport(
            edge=self.edge,
            runner_id=runner.runner_id,
            started_ms=runner.started_ms,
            rest_s=rest_s,
        )
        if self.cooldowns.update(report, self.clock()):
            log_event(
                log.RunnerRestSeen(runner_id=report.runner_id, rest_s=round(rest_s, 3))
            )
            self.report_signal(report)

    def _handle_leaving(self, runner: RunnerEntry) -> None:
        report = LeavingReport(runner_id=runner.runner_id, started_ms=runner.started_ms)
        if self._apply_leaving(report, None):
            self.report_signal(report)

    def _apply_leaving(self, report: LeavingReport, told_by: str | None) -> bool:
        """Record that a runner leaves; return whether that is new."""
        if not self.view.record_leaving(report):
            return False
        log_event(log.RunnerLeavingSeen(runner_id=report.runner_id, told_by=told_by))
        return True

    def _handle_limit(
        self, runner: RunnerEntry, limit: float | None, sent_at: float
    ) -> None:
        known = self.limits.get_limit(runner.runner_id, runner.started_ms)
        if limit is None and known is None:
            return
        now = self.clock()
        report = LimitReport(
            runner_id=runner.runner_id,
            started_ms=runner.started_ms,
            limit=limit,
            request_age_s=now - sent_at,
            response_age_s=0.0,
        )
        if known is None:
            recent_requests = self.sends.count(runner.runner_id, now)
            report = evolve(report, recent_requests=recent_requests)
        if self._apply_limit(report, None):
            self.report_signal(report)

    def _apply_limit(self, report: LimitReport, told_by: str | None) -> bool:
        """Apply a reported limit; return whether it changes the limit in use."""
        if not self.limits.update(report, self.clock()):
            return False
        log_event(
            log.RunnerLimitSeen(
                runner_id=report.runner_id, limit=report.limit, told_by=told_by
            )
        )
        return True
