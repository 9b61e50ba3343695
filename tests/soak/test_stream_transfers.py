"""Streams that continue at other runners, at an edge with random orders and crashes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import aiohttp
import pytest
from attrs import define, evolve, field

from mangoway.models.routing import RouteKind
from mangoway.policy.scheduling.events import TransferReason, TransferStream

from ..edge.world import EdgeWorld, start_edge
from ..fakes.fleet import make_route, make_runner, make_table
from .callers import HOST, PATHS, Caller
from .copies import HANDLE_S
from .customers import Customers
from .records import Kind, Records
from .runners import RunnerStandIn
from .store import StoreStandIn
from .streams import LEAVING_S, Segment, StreamRecords

SEEDS = (1, 2, 3)
CALLS = 120
CALLERS = 6
RUNNERS = 4
MODEL = "a"
ORDER_PERIOD_S = 0.02
CRASH_PERIOD_S = 0.5
KINDS = (Kind.FIXED_STREAM, Kind.FIXED_STREAM, Kind.STREAM)
EXTRA_SHARE = 0.3
"""Share of the responses on kept connections that an extra one precedes."""

CHECKED = ("mixed", "order", "twice", "rejected", "overlap", "joined", "drain")
"""Guarantees that this test checks; its callers have no valid keys."""


@define(eq=False)
class TransferSoak:
    """An edge whose streams are moved, backed up and interrupted at random."""

    edge: EdgeWorld
    random: Random
    extra_share: float = 0.0
    records: Records = field(factory=Records)
    runners: list[RunnerStandIn] = field(factory=list)
    _tasks: list["asyncio.Task[None]"] = field(factory=list)

    async def async_add_runner(self) -> None:
        """Start a runner."""
        store = StoreStandIn(self.random)
        runner = RunnerStandIn(
            "llm", "dc1", store, self.records, self.random, {MODEL: set()}
        )
        await runner.async_start()
        runner.extras.share = self.extra_share
        self.runners.append(runner)
        address = runner.copier.address
        self.edge.view.update_runner(
            make_runner(runner.runner_id, (MODEL,), address=address)
        )
        self.edge.grant_provider.runner_ids.append(runner.runner_id)

    async def async_call_all(self) -> None:
        """Make all calls, with orders and crashes beside them."""
        faults = [
            asyncio.create_task(each)
            for each in (self._async_order(), self._async_crash())
        ]
        counts = [CALLS // CALLERS] * CALLERS
        await asyncio.gather(
            *(self._async_call(seed, count) for seed, count in enumerate(counts))
        )
        for each in faults:
            each.cancel()
        await asyncio.gather(*faults, return_exceptions=True)

    async def _async_call(self, number: int, count: int) -> None:
        caller = Caller(Random(number), self.records, [], [MODEL], [MODEL])
        address = f"127.0.0.1:{self.edge.port}"
        async with aiohttp.ClientSession() as session:
            for _ in range(count):
                kind = caller.random.choice(KINDS)
                await caller.async_call(session, address, kind)

    async def _async_order(self) -> None:
        """Order transfers of random streams, some of them at wrong runners."""
        provider = self.edge.grant_provider
        while True:
            await asyncio.sleep(ORDER_PERIOD_S)
            ids = [each.runner_id for each in self.runners]
            self.random.shuffle(provider.runner_ids)
            provider.backup_runner_id = self.random.choice(ids)
            grant_ids = list(provider.transfer_handlers)[-CALLERS:]
            if not grant_ids:
                continue
            grant_id = self.random.choice(grant_ids)
            provider.transfer_handlers[grant_id](
                TransferStream(
                    edge="e1",
                    request_id=grant_id,
                    source_runner_id=self.random.choice(ids),
                    target_runner_id=self.random.choice(ids),
                    reason=TransferReason.YIELDING,
                )
            )

    async def _async_crash(self) -> None:
        """Crash one runner after the other, and start others in their places."""
        while True:
            await asyncio.sleep(CRASH_PERIOD_S)
            runner = self.runners.pop(self.random.randrange(len(self.runners)))
            await runner.async_crash()
            self.edge.grant_provider.runner_ids.remove(runner.runner_id)
            self.edge.view.remove_runner(runner.runner_id, 0.0)
            await self.async_add_runner()


@asynccontextmanager
async def start_soak(seed: int, extra_share: float) -> AsyncIterator[TransferSoak]:
    """Start an edge and its runners."""
    routes = tuple(
        evolve(
            make_route(
                RouteKind.STREAMING,
                prefix=PATHS[kind].rstrip("x"),
                resumable=kind is Kind.STREAM,
                max_attempts=1 if kind.runs_once else 2,
            ),
            host=HOST,
            priority=0 if kind.runs_once else 1,
        )
        for kind in (Kind.FIXED_STREAM, Kind.STREAM)
    )
    table = make_table(2, routes)
    profile = table.services["llm"]
    assert profile.engine is not None
    engine = evolve(profile.engine, moves=True, backups=True, handle_s=HANDLE_S)
    services = {"llm": evolve(profile, engine=engine)}
    async with start_edge(routes) as edge:
        edge.view.apply_table(evolve(table, services=services))
        soak = TransferSoak(edge, Random(seed), extra_share)
        soak.records.customers = Customers(Random(seed))
        for _ in range(RUNNERS):
            await soak.async_add_runner()
        try:
            yield soak
        finally:
            for runner in soak.runners:
                await runner.async_crash()


class TestContinuations:
    """Runs that continue at other runners."""

    @pytest.mark.parametrize("extra_share", [0.0, EXTRA_SHARE])
    @pytest.mark.parametrize("seed", SEEDS)
    async def test_each_run_is_at_one_runner_and_no_stream_joins_two(
        self, seed: int, extra_share: float
    ) -> None:
        async with start_soak(seed, extra_share) as soak:
            await soak.async_call_all()
            violations = [
                each for each in soak.records.check() if each.startswith(CHECKED)
            ]
            assert violations == []
            assert soak.records.streams.count_continued() > 0
            assert any(each.whole for each in soak.records.calls.values())


class TestChecks:
    """Violations that the checks report."""

    def check(self, *segments: Segment, leaving_s: float = 0.0) -> list[str]:
        records = StreamRecords()
        for each in segments:
            records.begin("q", each)
        return records.check({"i-2": 10.0 - leaving_s})

    def test_run_that_continues_after_its_stop_is_no_violation(self) -> None:
        first = Segment("i-1", "s", False, began=9.0, ended=10.1)
        assert self.check(first, Segment("i-2", "s", True, began=10.0)) == []

    def test_run_that_is_still_in_progress_elsewhere(self) -> None:
        first = Segment("i-1", "s", False, began=9.0, ended=11.0)
        violations = self.check(first, Segment("i-2", "s", True, began=10.0))
        assert violations == ["overlap: q ran at i-1 and i-2"]

    def test_stream_that_joins_two_runs(self) -> None:
        first = Segment("i-1", "s", False, began=8.0, ended=9.0)
        second = Segment("i-1", "t", False, began=9.0, ended=10.0)
        third = Segment("i-2", "s", True, began=10.0)
        violations = self.check(first, second, third)
        assert violations == ["joined: q continued another run at i-2"]

    def test_run_that_continues_at_a_runner_that_is_gone(self) -> None:
        first = Segment("i-1", "s", False, began=9.0, ended=10.0)
        later = Segment("i-2", "s", True, began=10.0)
        [violation] = self.check(first, later, leaving_s=LEAVING_S + 1)
        assert violation.startswith("drain: q continued at i-2")
