"""Tests of the interval and the order in which reports of runners are read."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import orjson
import pytest

from mangoway.coordination.view import FleetView
from mangoway.daemons.report_reader import (
    MAX_CONCURRENT_READS,
    QUIET_REPORT_PERIOD_S,
    REPORT_PERIOD_S,
    URGENT_REPORT_PERIOD_S,
    ReportReader,
    choose_report_period,
)
from mangoway.models.runner import RunnerEntry, RunnerReport
from mangoway.platform.runners import RunnerControl, RunnerUnreachableError
from mangoway.policy.scheduling.prefixes import PrefixCache
from mangoway.policy.scheduling.runners import RunnerState
from mangoway.util.tasks import Tasks

from ..fakes.fleet import make_report, make_runner, make_table
from ..fakes.polling import async_wait_until
from ..scheduling.test_client import Scheduler
from ..upstreams.raw_server import RawServer, answer, make_response, repeat_before


def make_state(**fields: object) -> RunnerState:
    state = RunnerState(make_runner("r1"), None, PrefixCache(0))
    for name, value in fields.items():
        setattr(state, name, value)
    return state


class TestPeriod:
    """Interval between the reports of a runner."""

    def test_unknown_state_is_urgent(self) -> None:
        assert choose_report_period(make_state(), 1, 10.0) == URGENT_REPORT_PERIOD_S

    def test_long_load_is_not_urgent_before_its_end(self) -> None:
        state = make_state(ordered_at=10.0, changing_until=16.0)
        assert choose_report_period(state, 1, 12.0) == REPORT_PERIOD_S
        assert choose_report_period(state, 1, 15.5) == URGENT_REPORT_PERIOD_S

    def test_runner_without_recent_orders_is_quiet(self) -> None:
        state = make_state(is_state_known=True, ordered_at=10.0)
        assert choose_report_period(state, 1, 10.5) == REPORT_PERIOD_S
        assert choose_report_period(state, 1, 12.0) == QUIET_REPORT_PERIOD_S
        assert choose_report_period(state, 100, 12.0) == QUIET_REPORT_PERIOD_S

    @pytest.mark.parametrize("runners", [300, 3000, 12_000])
    def test_report_rate_of_quiet_runners_is_bounded(self, runners: int) -> None:
        state = make_state(is_state_known=True, ordered_at=10.0)
        assert runners / choose_report_period(state, runners, 99.0) <= 100.0


class FakeControl(RunnerControl):
    """Answers report requests after a delay, and counts the concurrent ones."""

    def __init__(self) -> None:
        super().__init__()
        self.requested: list[str] = []
        self.concurrent = 0
        self.max_concurrent = 0
        self.unreachable: set[str] = set()

    async def async_read_report(
        self, address: str, runner_id: str, *, fresh: bool = False
    ) -> RunnerReport:
        self.requested.append(runner_id)
        self.concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self.concurrent)
        await asyncio.sleep(0.005)
        self.concurrent -= 1
        if runner_id in self.unreachable:
            raise RunnerUnreachableError
        return make_report((), 0)


@asynccontextmanager
async def open_reader(runners: int) -> AsyncIterator[tuple[ReportReader, FakeControl]]:
    """Provide a reader that may read, for runners whose state is unknown."""
    control = FakeControl()
    entries = [make_runner(f"r{number:04}") for number in range(runners)]
    async with open_reader_of(control, *entries) as reader:
        yield reader, control


@asynccontextmanager
async def open_reader_of(
    control: RunnerControl, *entries: RunnerEntry
) -> AsyncIterator[ReportReader]:
    """Provide a reader that may read the reports of some runners."""
    view = FleetView()
    view.apply_table(make_table())
    for each in entries:
        view.update_runner(each)
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
        yield reader
    finally:
        await tasks.async_cancel()
        assert errors == []


class TestDueReads:
    """Reads of reports that are due."""

    async def test_concurrent_reads_are_bounded(self) -> None:
        """Guard against polling 3,000 runners of unknown state ten times a second each.

        Their reports are all due at once when a scheduler starts to lead.
        """
        async with open_reader(3000) as (reader, control):
            for _ in range(5):
                reader.start_due_reads()
                reader.start_due_reads()
                await asyncio.sleep(0.02)
        assert control.max_concurrent <= MAX_CONCURRENT_READS
        assert len(control.requested) == 5 * MAX_CONCURRENT_READS

    async def test_all_runners_are_read_in_turn(self) -> None:
        async with open_reader(100) as (reader, control):
            for _ in range(4):
                reader.start_due_reads()
                await asyncio.sleep(0.02)
        assert len(set(control.requested)) == 100

    async def test_failed_read_of_an_unreachable_runner_is_retried(self) -> None:
        async with open_reader(1) as (reader, control):
            control.unreachable.add("r0000")
            for _ in range(3):
                reader.start_due_reads()
                await asyncio.sleep(REPORT_PERIOD_S + 0.02)
        assert len(control.requested) == 3

    async def test_state_of_a_removed_runner_is_removed(self) -> None:
        async with open_reader(3) as (reader, control):
            reader.start_due_reads()
            await asyncio.sleep(0.02)
            reader.view.withdraw_runner("r0001")
            reader.start_due_reads()
            assert set(reader._read_at) == {"r0000", "r0002"}
        assert len(control.requested) == 3


def encode_report(*adapters: str) -> bytes:
    """Return a response with the report of a runner that holds a model's adapters."""
    model = {"name": "a", "version": 1, "adapters": adapters}
    return make_response(
        200,
        orjson.dumps(
            {
                "phase": "colocated",
                "models": [model],
                "busy": False,
                "seq": 2,
                "queued": 0,
                "active": 1,
                "kv_used": 0,
                "kv_total": 100,
                "runs": [["q1", 10, 1, 5]] if adapters else [],
            }
        ),
    )


class TestExtraReports:
    """Runners that send a report again before the next one."""

    @pytest.mark.parametrize("waits_for", ["unload", "run"])
    async def test_older_report_ends_nothing(self, waits_for: str) -> None:
        """A report of before a load was taken for the end of an unload or a run."""
        before, now = encode_report(), encode_report("a1")
        loop = asyncio.get_running_loop()
        async with RawServer(repeat_before(before, now)) as server:
            entry = make_runner("r1", address=server.address)
            async with open_reader_of(RunnerControl(), entry) as reader:
                state = make_state(first_report_at=0.0)
                reader.server.core.state.runners["r1"] = state
                reader.start_due_reads()
                await async_wait_until(lambda: state.is_state_known)
                accepted_at = loop.time() - 1.0
                if waits_for == "unload":
                    state.models["a"].unloading["a1"] = accepted_at
                else:
                    state.unfinished.add("q1", "a", "a1", accepted_at)
                reader._read_at.clear()
                reader.start_due_reads()
                await async_wait_until(lambda: len(server.requests) == 2)
                await async_wait_until(lambda: not reader._in_progress)
                assert state.awaits_ends

    async def test_reports_that_end_nothing_share_a_connection(self) -> None:
        async with RawServer(answer(encode_report())) as server:
            entry = make_runner("r1", address=server.address)
            async with open_reader_of(RunnerControl(), entry) as reader:
                state = make_state(is_state_known=True)
                reader.server.core.state.runners["r1"] = state
                for number in (1, 2):
                    reader._read_at.clear()
                    reader.start_due_reads()
                    await async_wait_until(lambda: not reader._in_progress)
                    assert len(server.requests) == number
        assert server.connections == 1
