"""Tests of the detection of runner crashes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from mangoway.coordination.view import FleetView
from mangoway.edge.crash_detector import (
    CrashDetector,
    InterruptedRequest,
    RunnerCrash,
    count_shared_parts,
)
from mangoway.edge.runner_connector import RunnerConnector
from mangoway.edge.runner_ends import RunnerEnds
from mangoway.http1.connection_pool import ConnectionPool
from mangoway.models.crash import RequestIdentity
from mangoway.observability.metrics import Metrics
from mangoway.util.tasks import Tasks

from ..fakes.fleet import make_runner
from ..fakes.polling import async_wait_until
from ..upstreams.raw_server import RawServer, cut

IDENTITY = RequestIdentity("c", "v")
OTHER = RequestIdentity("d", "v")


class CrashDetectorHarness:
    """A crash detector with the crashes that it reported."""

    def __init__(self) -> None:
        self.clock = asyncio.get_running_loop().time
        self.view = FleetView()
        self.errors: list[BaseException] = []
        self.tasks = Tasks(self.errors.append)
        self.crashes: list[RunnerCrash] = []
        self.connector = RunnerConnector(
            view=self.view,
            metrics=Metrics(),
            pool=ConnectionPool(4),
            clock=self.clock,
            random=Random(1),
            start_task=self.tasks.async_start,
        )
        self.detector = CrashDetector(
            view=self.view,
            metrics=Metrics(),
            clock=self.clock,
            start_task=self.tasks.async_start,
            async_has_reach=self.connector.async_has_reach,
            on_crash=self.crashes.append,
        )
        self.ends = RunnerEnds(
            self.view, self.detector, self.connector, self.tasks.async_start
        )

    def interrupt(
        self,
        address: str,
        identity: RequestIdentity = IDENTITY,
        ago_s: float = 0.1,
        started_ms: int = 0,
    ) -> None:
        """Report that a request sent `ago_s` seconds ago lost its connection."""
        runner = make_runner("r1", address=address, started_ms=started_ms)
        sent_at = self.clock() - ago_s
        request = InterruptedRequest(identity=identity, sent_at=sent_at, ran_s=0.0)
        self.detector.record_interrupted(runner, request)

    async def async_wait_idle(self) -> None:
        await async_wait_until(lambda: len(self.tasks) == 0)
        assert self.errors == []

    def list_requests(self) -> list[RequestIdentity]:
        return [each.identity for crash in self.crashes for each in crash.requests]


@asynccontextmanager
async def start_harness(
    *, crashed: bool
) -> AsyncIterator[tuple[CrashDetectorHarness, str]]:
    """Start a harness and a runner, which has stopped listening if it crashed."""
    harness = CrashDetectorHarness()
    async with RawServer(cut(b"")) as runner:
        address = runner.address
        harness.view.update_runner(make_runner("r1", address=address))
        if not crashed:
            yield harness, address
    if crashed:
        yield harness, address


class TestCrash:
    """Runners that refuse connections."""

    async def test_all_interrupted_requests_are_reported(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            harness.interrupt(address)
            harness.interrupt(address, OTHER)
            await harness.async_wait_idle()
        [crash] = harness.crashes
        assert crash.life.text == "r1@0"
        assert harness.list_requests() == [IDENTITY, OTHER]

    async def test_request_interrupted_later_is_reported(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            harness.interrupt(address)
            await harness.async_wait_idle()
            harness.interrupt(address, OTHER)
        assert harness.list_requests() == [IDENTITY, OTHER]

    async def test_request_sent_after_the_crash_is_not_reported(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            harness.interrupt(address)
            await harness.async_wait_idle()
            harness.interrupt(address, OTHER, ago_s=0.0)
            await harness.async_wait_idle()
        assert harness.list_requests() == [IDENTITY]


class TestNoCrash:
    """Connections that break although the runner still runs or stops as planned."""

    async def test_runner_that_accepts_connections_has_not_crashed(self) -> None:
        async with start_harness(crashed=False) as (harness, address):
            harness.interrupt(address)
            await harness.async_wait_idle()
        assert harness.crashes == []

    async def test_draining_runner_has_not_crashed(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            harness.view.update_runner(
                make_runner("r1", address=address, draining=True)
            )
            harness.interrupt(address)
            await harness.async_wait_idle()
        assert harness.crashes == []

    async def test_removed_runner_has_not_crashed(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            harness.view.remove_runner("r1", 0.0)
            harness.interrupt(address)
            await harness.async_wait_idle()
        assert harness.crashes == []


class TestReach:
    """Runners that refuse connections, of a host that may itself be cut off."""

    async def test_refusal_by_all_runners_is_no_crash(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            for runner_id in ("r2", "r3", "r4"):
                harness.view.update_runner(make_runner(runner_id, address=address))
            harness.interrupt(address)
            entry = harness.view.runners["r1"]
            await harness.detector.async_settle(entry)
            harness.view.update_runner(
                make_runner("r1", address=address, draining=True)
            )
            assert await harness.ends.async_find(entry) is None
            await harness.tasks.async_cancel()
        assert harness.crashes == []

    async def test_crash_of_all_runners_is_known_once_one_is_back(self) -> None:
        async with (
            RawServer(cut(b"")) as restarted,
            start_harness(crashed=True) as (harness, address),
        ):
            harness.view.update_runner(make_runner("r2", address=address))
            harness.interrupt(address)
            await asyncio.sleep(0.4)
            assert harness.crashes == []
            harness.view.update_runner(make_runner("r3", address=restarted.address))
            await harness.async_wait_idle()
        assert harness.list_requests() == [IDENTITY]

    async def test_later_incarnation_shows_the_crash_without_reach(self) -> None:
        """No other runner accepts connections, but the entry is that of a restart."""
        async with start_harness(crashed=True) as (harness, address):
            for runner_id in ("r2", "r3", "r4"):
                harness.view.update_runner(make_runner(runner_id, address=address))
            harness.view.update_runner(make_runner("r1", address=address, started_ms=1))
            harness.interrupt(address, started_ms=1)
            await asyncio.sleep(0.4)
            assert harness.crashes == []
            harness.view.update_runner(make_runner("r1", address=address, started_ms=2))
            await async_wait_until(lambda: bool(harness.crashes))
            await harness.tasks.async_cancel()
        assert harness.list_requests() == [IDENTITY]

    async def test_last_runner_crashes_after_the_others(self) -> None:
        async with start_harness(crashed=True) as (harness, address):
            for runner_id in ("r2", "r3", "r4"):
                harness.view.update_runner(make_runner(runner_id, address=address))
                harness.connector.reach.record_down(runner_id, harness.clock())
            harness.interrupt(address)
            await harness.async_wait_idle()
        assert harness.list_requests() == [IDENTITY]

    async def test_refusal_by_one_runner_is_a_crash(self) -> None:
        async with RawServer(cut(b"")) as other:
            async with start_harness(crashed=True) as (harness, address):
                for runner_id in ("r2", "r3"):
                    entry = make_runner(runner_id, address=other.address)
                    harness.view.update_runner(entry)
                harness.interrupt(address)
                await harness.async_wait_idle()
        assert harness.list_requests() == [IDENTITY]


class TestLog:
    """What the log says of a crash."""

    async def test_shared_parts_are_counted(self) -> None:
        requests = [
            InterruptedRequest(
                identity=IDENTITY, sent_at=0.0, ran_s=0.0, shared_parts=parts
            )
            for parts in (("a1", "b2"), ("a1",), ())
        ]
        assert count_shared_parts(requests) == ("a1 2", "b2 1")
