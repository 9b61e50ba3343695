"""Takes note of what runners say of themselves in their answers."""

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
from ..policy.limits.cooldowns import CooldownReport, CooldownTracker
from ..policy.limits.tracker import LimitReport, LimitTracker

LIMIT: Final = "limit"
LEAVING: Final = "leaving"
REST: Final = "rest"
DROPPED: Final = "dropped"
"""Signals by which answers are counted."""


@define(eq=False)
class RecentSends:
    """The requests that this edge sent to each runner in the last moments."""

    _times: dict[str, deque[float]] = field(factory=dict, init=False)

    def add(self, runner_id: str, now: float) -> None:
        """Count a request that is sent."""
        times = self._times.setdefault(runner_id, deque())
        times.append(now)
        _forget(times, now)

    def count(self, runner_id: str, now: float) -> int:
        """Return the requests of the last moments."""
        times = self._times.get(runner_id)
        if times is None:
            return 0
        _forget(times, now)
        return len(times)

    def keep_only(self, runner_ids: set[str]) -> None:
        """Forget runners that are gone."""
        for runner_id in set(self._times) - runner_ids:
            del self._times[runner_id]


def _forget(times: deque[float], now: float) -> None:
    while times and times[0] < now - RECENT_REQUESTS_S:
        times.popleft()


@define(eq=False)
class SignalTracker:
    """Keeps what runners said of themselves, and tells the scheduler what is new."""

    metrics: Metrics
    limits: LimitTracker
    """Those that the core of this process keeps to."""

    clock: Callable[[], float]
    view: FleetView
    edge: str
    """Incarnation of this edge."""

    cooldowns: CooldownTracker
    """The rests that the core of this process keeps to."""

    report_signal: Callable[[LimitReport | LeavingReport | CooldownReport], None] = (
        lambda report: None
    )
    """Tells the scheduler."""

    sends: RecentSends = field(factory=RecentSends, init=False)

    def note_sent(self, runner: RunnerEntry) -> None:
        """Count a request that goes to a runner."""
        self.sends.add(runner.runner_id, self.clock())

    def note(
        self, runner: RunnerEntry, signals: RunnerSignals, asked_at: float
    ) -> None:
        """Take the statements of an answer that was just read.

        Args:
            runner: The runner, as it was when the request was sent.
            signals: What its answer says.
            asked_at: When the request was sent, by the clock of this watch.
        """
        for each in signals.dropped:
            self.metrics.edge_signals.add(runner.service, DROPPED)
            log_event(
                log.SignalDropped(
                    runner_id=runner.runner_id, field=each.name, value=each.value
                )
            )
        if signals.leaving:
            self.metrics.edge_signals.add(runner.service, LEAVING)
            self._note_leaving(runner)
        if signals.rest_s > 0:
            self.metrics.edge_signals.add(runner.service, REST)
            self._note_rest(runner, signals.rest_s)
        if signals.limit is not None:
            self.metrics.edge_signals.add(runner.service, LIMIT)
        if signals.limit_known:
            self._note_limit(runner, signals.limit, asked_at)

    def handle_relayed_limit(self, said: LimitReport) -> None:
        """Take a limit that another edge has read."""
        if not self._believe_limit(said, "the scheduler"):
            end = self.limits.find_removal(said, self.clock())
            if end is not None:
                # It ended while the scheduler was out of reach.
                self.report_signal(end)
            return
        recent_requests = self.sends.count(said.runner_id, self.clock())
        if said.limit is not None and recent_requests:
            self.report_signal(evolve(said, recent_requests=recent_requests))

    def measure_rest(self, runner: RunnerEntry) -> float:
        """Return the seconds for which a runner wants nothing of this edge."""
        life = (runner.runner_id, runner.started_ms)
        return self.cooldowns.measure_wait(self.edge, *life, self.clock())

    def handle_relayed_leaving(self, said: LeavingReport) -> None:
        """Take that a runner leaves which another process has heard."""
        self._believe_leaving(said, "the scheduler")

    def list_limits(self) -> list[LimitReport]:
        """Return the limits that are known, for a scheduler that begins to grant."""
        now = self.clock()
        return [
            evolve(said, recent_requests=self.sends.count(said.runner_id, now))
            for said in self.limits.list_reports(now)
        ]

    def keep_only(self, runner_ids: set[str]) -> None:
        """Forget runners that are gone."""
        self.limits.keep_only(runner_ids, self.clock())
        self.cooldowns.keep_only(runner_ids)
        self.sends.keep_only(runner_ids)

    def _note_rest(self, runner: RunnerEntry, rest_s: float) -> None:
        said = CooldownReport(
            edge=self.edge,
            runner_id=runner.runner_id,
            started_ms=runner.started_ms,
            rest_s=rest_s,
        )
        if self.cooldowns.update(said, self.clock()):
            log_event(
                log.RunnerRestSeen(runner_id=said.runner_id, rest_s=round(rest_s, 3))
            )
            self.report_signal(said)

    def _note_leaving(self, runner: RunnerEntry) -> None:
        said = LeavingReport(runner_id=runner.runner_id, started_ms=runner.started_ms)
        if self._believe_leaving(said, None):
            self.report_signal(said)

    def _believe_leaving(self, said: LeavingReport, told_by: str | None) -> bool:
        """Take that a runner leaves; returns whether that was not known."""
        if not self.view.note_leaving(said):
            return False
        log_event(log.RunnerLeavingSeen(runner_id=said.runner_id, told_by=told_by))
        return True

    def _note_limit(
        self, runner: RunnerEntry, limit: float | None, asked_at: float
    ) -> None:
        known = self.limits.get_limit(runner.runner_id, runner.started_ms)
        if limit is None and known is None:
            return
        now = self.clock()
        said = LimitReport(
            runner_id=runner.runner_id,
            started_ms=runner.started_ms,
            limit=limit,
            request_age_s=now - asked_at,
            response_age_s=0.0,
        )
        if known is None:
            recent_requests = self.sends.count(runner.runner_id, now)
            said = evolve(said, recent_requests=recent_requests)
        if self._believe_limit(said, None):
            self.report_signal(said)

    def _believe_limit(self, said: LimitReport, told_by: str | None) -> bool:
        """Take a statement; returns whether another limit is believed now."""
        if not self.limits.update(said, self.clock()):
            return False
        log_event(
            log.RunnerLimitSeen(
                runner_id=said.runner_id, limit=said.limit, told_by=told_by
            )
        )
        return True
