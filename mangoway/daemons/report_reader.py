"""Reads reports of runners while a scheduler grants, the most overdue first."""

from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..coordination.view import FleetView
from ..models.runner import RunnerEntry
from ..platform.runners import RunnerControl, RunnerUnreachableError
from ..policy.scheduling.events import ReportReceived
from ..policy.scheduling.runners import RunnerState
from ..scheduling.server import SchedulerServer
from ..util.tasks import Tasks
from ..util.ticks import async_sleep_to_tick

REPORT_PERIOD_S: Final = 0.4
"""Interval between two reports of a runner. Reports are about 0.2 s old, and each costs
about a sixth of a store call."""

QUIET_REPORT_PERIOD_S: Final = 1.0
"""Interval between two reports of a quiet runner: one that has received no order for
this time, so that nothing changes there."""

URGENT_REPORT_PERIOD_S: Final = 0.1
"""Interval between two reports of a runner whose state is unknown, and which gets no
orders until it is known."""

MAX_QUIET_REPORTS_PER_S: Final = 100.0
"""Maximum reports of quiet runners that are read per second. With more than a hundred
runners, it lengthens their interval, which is acceptable because the entries of runners
show changes that happen without an order. Reading a report of each of 3,000 runners
every second took more than a core, and the connections to them needed more open files
than a host allows."""

MAX_CONCURRENT_READS: Final = 32
"""Maximum reports that are read concurrently: when a scheduler starts to lead, the
reports of all runners are due, and each takes half a millisecond of processor time."""

URGENT_FROM_LOAD_SHARE: Final = 0.85
"""Share of the expected duration of a load after which its end is checked for: the
estimate has a margin of a tenth."""


@define(eq=False, kw_only=True)
class ReportReader:
    """Reads reports and passes them to the scheduling core."""

    view: FleetView
    server: SchedulerServer
    control: RunnerControl
    tasks: Tasks
    clock: Callable[[], float]
    may_read: Callable[[], bool]
    """Returns whether this process grants requests, and so needs the reports."""

    _read_at: dict[str, float] = field(factory=dict, init=False)
    """Time of the last request for each runner's report."""

    _in_progress: set[str] = field(factory=set, init=False)
    """Runners whose reports are being read."""

    async def async_run(self) -> None:
        """Read reports until cancelled."""
        while True:
            if self.may_read():
                self.start_due_reads()
            self.control.client.pool.sweep(self.clock())
            await async_sleep_to_tick(URGENT_REPORT_PERIOD_S)

    def start_due_reads(self) -> None:
        """Start reading the reports that are due, the most overdue first."""
        now = self.clock()
        entries = self._list_engines()
        self._remove_absent_runners(entries)
        due = []
        for entry in entries:
            overdue_periods = self._compute_overdue_periods(
                entry.runner_id, len(entries), now
            )
            if overdue_periods >= 1.0 and entry.runner_id not in self._in_progress:
                due.append((-overdue_periods, entry.runner_id, entry))
        due.sort(key=lambda each: each[:2])
        for _, runner_id, entry in due[: MAX_CONCURRENT_READS - len(self._in_progress)]:
            self._read_at[runner_id] = now
            self._in_progress.add(runner_id)
            self.tasks.async_start(self._async_read(entry))

    def _compute_overdue_periods(
        self, runner_id: str, runners: int, now: float
    ) -> float:
        """Return the age of the last report as a multiple of the runner's interval."""
        read_at = self._read_at.get(runner_id)
        if read_at is None:
            return float("inf")
        state = self.server.core.state.runners.get(runner_id)
        period_s = REPORT_PERIOD_S
        if state is not None:
            period_s = choose_report_period(state, runners, now)
        return (now - read_at) / period_s

    def _remove_absent_runners(self, entries: list[RunnerEntry]) -> None:
        if len(self._read_at) > len(entries):
            present = {each.runner_id for each in entries}
            self._read_at = {
                key: at for key, at in self._read_at.items() if key in present
            }

    def _list_engines(self) -> list[RunnerEntry]:
        view = self.view
        services = view.table.services if view.table else {}
        return [
            each
            for each in view.runners.values()
            if each.service in services
            and services[each.service].engine is not None
            and view.is_open(each)
        ]

    async def _async_read(self, entry: RunnerEntry) -> None:
        requested_at = self.clock()
        state = self.server.core.state.runners.get(entry.runner_id)
        try:
            report = await self.control.async_read_report(
                entry.address,
                entry.runner_id,
                fresh=state is not None and state.awaits_ends,
            )
        except RunnerUnreachableError:
            # Requests show more reliably than reports whether a runner is available.
            return
        finally:
            self._in_progress.discard(entry.runner_id)
        self.server.handle(
            ReportReceived(
                runner_id=entry.runner_id, report=report, requested_at=requested_at
            )
        )


def choose_report_period(state: RunnerState, runners: int, now: float) -> float:
    """Return the interval between two reports of a runner.

    Args:
        state: State of the runner.
        runners: Number of runners whose reports are read.
        now: Time in seconds.
    """
    if not state.is_state_known:
        change_s = state.changing_until - state.ordered_at
        ends_soon = now >= state.ordered_at + URGENT_FROM_LOAD_SHARE * change_s
        return URGENT_REPORT_PERIOD_S if ends_soon else REPORT_PERIOD_S
    if now - state.ordered_at <= QUIET_REPORT_PERIOD_S:
        return REPORT_PERIOD_S
    return max(QUIET_REPORT_PERIOD_S, runners / MAX_QUIET_REPORTS_PER_S)
