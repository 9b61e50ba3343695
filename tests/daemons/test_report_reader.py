"""Tests of how often, and in which order, reports of runners are read."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from mangoway.coordination.view import FleetView
from mangoway.daemons.report_reader import (
    QUIET_REPORT_S,
    REPORT_S,
    REPORTS_A_LOOK,
    URGENT_REPORT_S,
    ReportReader,
    choose_report_period,
)
from mangoway.models.runner import RunnerReport
from mangoway.platform.runners import RunnerControl, RunnerUnreachableError
from mangoway.policy.scheduling.prefixes import PrefixCache
from mangoway.policy.scheduling.runners import RunnerState
from mangoway.util.tasks import Tasks

from ..fakes.fleet import make_report, make_runner, make_table
from ..scheduling.test_client import Scheduler


def make_state(**fields: object) -> RunnerState:
    state = RunnerState(make_runner("r1"), None, PrefixCache(0))
    for name, value in fields.items():
        setattr(state, name, value)
    return state


class TestPeriod:
    """How often a runner's report is read."""

    def test_unknown_state_is_urgent(self) -> None:
        assert choose_report_period(make_state(), 1, 10.0) == URGENT_REPORT_S

    def test_long_load_is_not_urgent_before_its_end(self) -> None:
        state = make_state(ordered_at=10.0, changing_until=16.0)
        assert choose_report_period(state, 1, 12.0) == REPORT_S
        assert choose_report_period(state, 1, 15.5) == URGENT_REPORT_S

    def test_runner_without_orders_is_quiet(self) -> None:
        state = make_state(is_state_known=True, ordered_at=10.0)
        assert choose_report_period(state, 1, 10.5) == REPORT_S
        assert choose_report_period(state, 1, 12.0) == QUIET_REPORT_S
        assert choose_report_period(state, 100, 12.0) == QUIET_REPORT_S

    @pytest.mark.parametrize("runners", [300, 3000, 12_000])
    def test_reports_of_quiet_runners_do_not_grow_with_them(self, runners: int) -> None:
        state = make_state(is_state_known=True, ordered_at=10.0)
        assert runners / choose_report_period(state, runners, 99.0) <= 100.0


class FakeControl(RunnerControl):
    """Answers reports a moment later, and counts how many are read at once."""

    def __init__(self) -> None:
        super().__init__()
        self.asked: list[str] = []
        self.at_once = 0
        self.most_at_once = 0
        self.unreachable: set[str] = set()

    async def async_read_report(self, address: str, runner_id: str) -> RunnerReport:
        self.asked.append(runner_id)
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        await asyncio.sleep(0.005)
        self.at_once -= 1
        if runner_id in self.unreachable:
            raise RunnerUnreachableError
        return make_report((), 0)


@asynccontextmanager
async def start(runners: int) -> AsyncIterator[tuple[ReportReader, FakeControl]]:
    """Let a scheduler lead that knows the state of none of its runners."""
    view, control = FleetView(), FakeControl()
    view.apply_table(make_table())
    for number in range(runners):
        view.update_runner(make_runner(f"r{number:04}"))
    errors: list[BaseException] = []
    tasks = Tasks(errors.append)
    reader = ReportReader(
        view=view,
        server=Scheduler().server,
        control=control,
        tasks=tasks,
        clock=asyncio.get_running_loop().time,
        may_read=lambda: True,
    )
    try:
        yield reader, control
    finally:
        await tasks.async_cancel()
        assert errors == []


class TestLooks:
    """Which reports are read."""

    async def test_few_are_read_at_once(self) -> None:
        """3,000 runners whose state is unknown were asked ten times a second each."""
        async with start(3000) as (reader, control):
            for _ in range(5):
                reader.look()
                reader.look()
                await asyncio.sleep(0.02)
        assert control.most_at_once <= REPORTS_A_LOOK
        assert len(control.asked) == 5 * REPORTS_A_LOOK

    async def test_all_come_in_turn(self) -> None:
        async with start(100) as (reader, control):
            for _ in range(4):
                reader.look()
                await asyncio.sleep(0.02)
        assert len(set(control.asked)) == 100

    async def test_runner_that_does_not_answer_keeps_no_turn(self) -> None:
        async with start(1) as (reader, control):
            control.unreachable.add("r0000")
            for _ in range(3):
                reader.look()
                await asyncio.sleep(REPORT_S + 0.02)
        assert len(control.asked) == 3

    async def test_runner_that_is_gone_is_forgotten(self) -> None:
        async with start(3) as (reader, control):
            reader.look()
            await asyncio.sleep(0.02)
            reader.view.withdraw_runner("r0001")
            reader.look()
            assert set(reader._read_at) == {"r0000", "r0002"}
        assert len(control.asked) == 3
