"""Reads reports of runners while a scheduler leads, those that matter most first."""

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

REPORT_S: Final = 0.4
"""Time between two reports of a runner. Reports are some 0.2 s old, and each costs as
much as a sixth of a store call."""

QUIET_REPORT_S: Final = 1.0
"""The same for a runner that has got no order for so long: nothing changes there."""

URGENT_REPORT_S: Final = 0.1
"""The same for a runner that gets no orders until its state is known."""

QUIET_REPORTS_PER_S: Final = 100.0
"""Reports of quiet runners that are read a second, where there are more than a hundred:
the entries of runners show what changes by itself. Each second one of each of 3,000
took more than a core, and a connection to each more files than a host has."""

REPORTS_A_LOOK: Final = 32
"""Reports that one look begins, and that are read at once: a scheduler that begins to
lead knows the state of no runner, and a report takes half a millisecond of its core."""

CHANGE_BEFORE_END: Final = 0.85
"""Part of the expected time of a load after which its end is looked for: the estimate
has a margin of a tenth."""


@define(eq=False, kw_only=True)
class ReportReader:
    """Reads reports and hands them to the core."""

    view: FleetView
    server: SchedulerServer
    control: RunnerControl
    tasks: Tasks
    clock: Callable[[], float]
    may_read: Callable[[], bool]
    """Whether this process leads."""

    _read_at: dict[str, float] = field(factory=dict, init=False)
    """When each runner's report was last asked for."""

    _open: set[str] = field(factory=set, init=False)
    """Runners whose reports are being read."""

    async def async_run(self) -> None:
        """Read reports until cancelled."""
        while True:
            if self.may_read():
                self.look()
            self.control.client.pool.sweep(self.clock())
            await async_sleep_to_tick(URGENT_REPORT_S)

    def look(self) -> None:
        """Begin to read the reports that are due, the most overdue first."""
        now = self.clock()
        entries = self._list_engines()
        self._forget_gone(entries)
        due = []
        for entry in entries:
            overdue = self._measure_overdue(entry.runner_id, len(entries), now)
            if overdue >= 1.0 and entry.runner_id not in self._open:
                due.append((-overdue, entry.runner_id, entry))
        due.sort(key=lambda each: each[:2])
        for _, runner_id, entry in due[: REPORTS_A_LOOK - len(self._open)]:
            self._read_at[runner_id] = now
            self._open.add(runner_id)
            self.tasks.async_start(self._async_read(entry))

    def _measure_overdue(self, runner_id: str, runners: int, now: float) -> float:
        """Return the time since the last report, in those after which one is due."""
        read_at = self._read_at.get(runner_id)
        if read_at is None:
            return float("inf")
        state = self.server.core.state.runners.get(runner_id)
        period_s = REPORT_S
        if state is not None:
            period_s = choose_report_period(state, runners, now)
        return (now - read_at) / period_s

    def _forget_gone(self, entries: list[RunnerEntry]) -> None:
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
        try:
            report = await self.control.async_read_report(
                entry.address, entry.runner_id
            )
        except RunnerUnreachableError:
            # Requests show better than reports whether a runner serves.
            return
        finally:
            self._open.discard(entry.runner_id)
        self.server.handle(
            ReportReceived(
                runner_id=entry.runner_id, report=report, requested_at=requested_at
            )
        )


def choose_report_period(state: RunnerState, runners: int, now: float) -> float:
    """Return the time between two reports of a runner.

    Args:
        state: What is known of it.
        runners: Number of runners whose reports are read.
        now: Time in seconds.
    """
    if not state.is_state_known:
        change_s = state.changing_until - state.ordered_at
        ends_soon = now >= state.ordered_at + CHANGE_BEFORE_END * change_s
        return URGENT_REPORT_S if ends_soon else REPORT_S
    if now - state.ordered_at <= QUIET_REPORT_S:
        return REPORT_S
    return max(QUIET_REPORT_S, runners / QUIET_REPORTS_PER_S)
