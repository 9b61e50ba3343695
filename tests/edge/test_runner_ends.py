"""Tests of the proof that a runner has ended, and of streams that depend on it."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from attrs import evolve

from mangoway.edge.runner_ends import EndEvidence

from ..upstreams.raw_server import RawServer
from .continuation_world import WHOLE, start_world
from .copying_runner import CopyingRunner
from .unreachable import stop_accepting
from .world import EdgeWorld, make_event, make_stream, start_edge

SEVERAL_SILENCES_S = 2.3
"""Longer than two silences of a route with an objective of 0.4 s."""


def remove_entry(edge: EdgeWorld) -> None:
    edge.view.remove_runner("r1", 0.0)


@asynccontextmanager
async def lose(runner: CopyingRunner, *, refuses: bool) -> AsyncIterator[None]:
    """Let new connections to a runner be refused, or neither accepted nor refused."""
    if refuses:
        runner.server._server.close()
        yield
        return
    async with stop_accepting(runner.server):
        yield


class TestUnlistedRunner:
    """Streams of a runner that serves on although its entry is missing."""

    async def test_paused_stream_is_not_sent_to_its_backup(self) -> None:
        """Both runners worked on a stream that one of them had only paused."""
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            remove_entry(world.edge)
            await asyncio.sleep(SEVERAL_SILENCES_S)
            world.source.go_on.set()
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.target.streams == []

    async def test_reset_stream_is_not_sent_to_its_backup(self) -> None:
        """A runner may go on with a run whose connection was reset."""
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            remove_entry(world.edge)
            world.source.break_off()
            assert not (await call).complete
            assert world.target.streams == []

    async def test_stream_without_a_backup_is_not_broken_off(self) -> None:
        """Its edge closed the connection of a stream that had only paused."""
        first, second = make_stream(make_event(1), make_event(2))[:2], make_event(2)

        async def pause(_: bytes, writer: asyncio.StreamWriter) -> None:
            writer.writelines(first)
            await asyncio.sleep(SEVERAL_SILENCES_S)
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(second), second))

        async with RawServer(pause) as runner, start_edge() as edge:
            edge.add("r1", runner, "llm")
            asyncio.get_running_loop().call_later(0.3, remove_entry, edge)
            reply = await edge.async_call("/fixed/x")
        assert (reply.body, reply.complete) == (make_event(1) + second, True)


class TestLostRunner:
    """Streams of a runner that has ended without closing its connections."""

    @pytest.mark.parametrize("refuses", [True, False])
    async def test_stream_goes_on_at_its_backup(self, *, refuses: bool) -> None:
        async with start_world(backup=True) as world, CopyingRunner() as other:
            world.edge.add("r3", other.server, "llm")
            call = await world.async_begin()
            async with lose(world.source, refuses=refuses):
                remove_entry(world.edge)
                reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.edge.grant_provider.moves == ["r2"]

    async def test_resumable_stream_uses_its_copy(self) -> None:
        """Its prompt would be read again at any other runner."""
        async with start_world(backup=True) as world:
            call = await world.async_begin("/stream/x")
            async with lose(world.source, refuses=False):
                remove_entry(world.edge)
                reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert world.get_copy(world.target) == f"{world.target.address}/q1"


class TestEvidence:
    """What shows that a runner has ended."""

    @pytest.mark.parametrize(
        ("draining", "refuses", "expected"),
        [
            (True, True, EndEvidence.REFUSED),
            (True, False, None),
            (False, True, EndEvidence.REFUSED),
            (False, False, EndEvidence.UNREACHABLE),
        ],
    )
    async def test_connections_fail(
        self, *, draining: bool, refuses: bool, expected: EndEvidence | None
    ) -> None:
        """A lost host writes no status reports, so its entry is removed."""
        async with start_world() as world, lose(world.source, refuses=refuses):
            runner = world.edge.view.runners["r1"]
            if draining:
                world.edge.view.update_runner(evolve(runner, draining=True))
            else:
                remove_entry(world.edge)
            assert await world.edge.forwarder.runner_ends.async_find(runner) is expected

    async def test_host_that_reaches_no_runner_learns_nothing(self) -> None:
        """A host that is cut off would take all runners for lost."""
        async with (
            start_world() as world,
            lose(world.source, refuses=False),
            lose(world.target, refuses=False),
        ):
            runner = world.edge.view.runners["r1"]
            remove_entry(world.edge)
            assert await world.edge.forwarder.runner_ends.async_find(runner) is None

    async def test_runner_that_is_listed_again_has_not_ended(self) -> None:
        """Its host was unreachable for a moment while its entry had expired."""
        async with start_world() as world:
            ends = world.edge.forwarder.runner_ends
            runner = world.edge.view.runners["r1"]
            remove_entry(world.edge)
            async with lose(world.source, refuses=False):
                await ends.async_find(runner)
            assert ends.find_known(runner) is EndEvidence.UNREACHABLE
            world.edge.view.update_runner(runner)
            assert ends.find_known(runner) is None
            remove_entry(world.edge)
            assert ends.find_known(runner) is None

    async def test_later_incarnation_proves_the_end(self) -> None:
        async with start_world() as world:
            ends = world.edge.forwarder.runner_ends
            runner = evolve(world.edge.view.runners["r1"], started_ms=1)
            world.edge.view.update_runner(evolve(runner, started_ms=2))
            assert ends.find_known(runner) is EndEvidence.RESTARTED

    async def test_streams_of_one_runner_share_a_check(self) -> None:
        """Runners accept a limited number of connections."""
        async with start_world() as world:
            ends = world.edge.forwarder.runner_ends
            runner = world.edge.view.runners["r1"]
            remove_entry(world.edge)
            await asyncio.gather(*(ends.async_find(runner) for _ in range(20)))
            assert world.source.server.connections <= 1

    async def test_wait_ends_once_a_lost_runner_is_unlisted(self) -> None:
        """Nothing else wakes the request of a runner that is lost with its host."""
        async with start_world() as world, lose(world.source, refuses=False):
            ends = world.edge.forwarder.runner_ends
            waiting = asyncio.create_task(
                ends.async_wait(world.edge.view.runners["r1"])
            )
            await asyncio.sleep(0.3)
            assert not waiting.done()
            remove_entry(world.edge)
            async with asyncio.timeout(5):
                assert await waiting is EndEvidence.UNREACHABLE
