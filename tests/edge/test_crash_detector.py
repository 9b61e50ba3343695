"""Tests of how an edge notices that a runner crashed."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from mangoway.coordination.view import FleetView
from mangoway.edge.crash_detector import CrashDetector, InterruptedRequest, RunnerCrash
from mangoway.models.crash import RequestIdentity
from mangoway.observability.metrics import Metrics
from mangoway.util.tasks import Tasks

from ..fakes.fleet import make_runner
from ..fakes.polling import async_wait_until
from ..upstreams.raw_server import RawServer, cut

IDENTITY = RequestIdentity("c", "v")
OTHER = RequestIdentity("d", "v")


class Watching:
    """A watch with what it reported."""

    def __init__(self) -> None:
        self.clock = asyncio.get_running_loop().time
        self.view = FleetView()
        self.errors: list[BaseException] = []
        self.tasks = Tasks(self.errors.append)
        self.crashes: list[RunnerCrash] = []
        self.watch = CrashDetector(
            view=self.view,
            metrics=Metrics(),
            clock=self.clock,
            start_task=self.tasks.async_start,
            on_crash=self.crashes.append,
        )

    def lose(
        self, address: str, identity: RequestIdentity = IDENTITY, ago_s: float = 0.1
    ) -> None:
        runner = make_runner("r1", address=address)
        sent_at = self.clock() - ago_s
        lost = InterruptedRequest(identity=identity, sent_at=sent_at, ran_s=0.0)
        self.watch.note_lost(runner, lost)

    async def async_rest(self) -> None:
        await async_wait_until(lambda: len(self.tasks) == 0)
        assert self.errors == []

    def list_requests(self) -> list[RequestIdentity]:
        return [each.identity for crash in self.crashes for each in crash.requests]


@asynccontextmanager
async def start_watching(*, crashed: bool) -> AsyncIterator[tuple[Watching, str]]:
    watching = Watching()
    async with RawServer(cut(b"")) as runner:
        address = runner.address
        watching.view.update_runner(make_runner("r1", address=address))
        if not crashed:
            yield watching, address
    if crashed:
        yield watching, address


class TestCrash:
    """Runners that take no connections any more."""

    async def test_all_that_it_had_is_reported(self) -> None:
        async with start_watching(crashed=True) as (watching, address):
            watching.lose(address)
            watching.lose(address, OTHER)
            await watching.async_rest()
        [crash] = watching.crashes
        assert crash.life.text == "r1@0"
        assert watching.list_requests() == [IDENTITY, OTHER]

    async def test_connection_that_breaks_later_is_added(self) -> None:
        async with start_watching(crashed=True) as (watching, address):
            watching.lose(address)
            await watching.async_rest()
            watching.lose(address, OTHER)
        assert watching.list_requests() == [IDENTITY, OTHER]

    async def test_request_that_was_sent_after_it_has_no_part(self) -> None:
        async with start_watching(crashed=True) as (watching, address):
            watching.lose(address)
            await watching.async_rest()
            watching.lose(address, OTHER, ago_s=0.0)
            await watching.async_rest()
        assert watching.list_requests() == [IDENTITY]


class TestNoCrash:
    """Connections that break though the runner lives, or ends as planned."""

    async def test_runner_that_takes_connections_has_not_crashed(self) -> None:
        async with start_watching(crashed=False) as (watching, address):
            watching.lose(address)
            await watching.async_rest()
        assert watching.crashes == []

    async def test_runner_that_drains_ends_as_planned(self) -> None:
        async with start_watching(crashed=True) as (watching, address):
            watching.view.update_runner(
                make_runner("r1", address=address, draining=True)
            )
            watching.lose(address)
            await watching.async_rest()
        assert watching.crashes == []

    async def test_runner_that_left_the_list_ends_as_planned(self) -> None:
        async with start_watching(crashed=True) as (watching, address):
            watching.view.remove_runner("r1", 0.0)
            watching.lose(address)
            await watching.async_rest()
        assert watching.crashes == []
