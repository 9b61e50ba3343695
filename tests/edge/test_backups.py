"""Tests of streams that continue at a backup after a crash of their runner."""

from collections.abc import Callable

import pytest
from attrs import evolve

from mangoway.policy.scheduling.events import EndKind

from .continuation_world import PART, WHOLE, ContinuationWorld, start_world
from .copying_runner import CopyingRunner
from .test_leaving import report_leaving
from .test_limits import limit_runner
from .unreachable import stop_accepting
from .world import FIXED, STREAM


def crash(world: ContinuationWorld) -> None:
    """Let the runner refuse connections."""
    world.source.break_off(listens=False)


def vanish(world: ContinuationWorld) -> None:
    """End a runner whose entry was removed before."""
    world.edge.view.remove_runner("r1", 0.0)
    world.source.break_off(listens=False)


def end_leaving(world: ContinuationWorld) -> None:
    """End a runner that leaves, before its streams have ended."""
    report_leaving(world.edge, "r1")
    world.source.break_off(listens=False)


def prefer_resumable(world: ContinuationWorld) -> None:
    """Configure that the most urgent streams can be resumed."""
    table = world.edge.view.table
    assert table is not None
    routes = (STREAM, evolve(FIXED, priority=1))
    world.edge.view.apply_table(evolve(table, version=3, routes=routes))


class TestContinuation:
    """Streams that continue at their backup."""

    @pytest.mark.parametrize("end", [crash, vanish, end_leaving])
    async def test_stream_goes_on_at_the_backup(
        self, end: Callable[[ContinuationWorld], None]
    ) -> None:
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            end(world)
            reply = await call
            assert (reply.status, reply.body, reply.complete) == (200, WHOLE, True)
            backup = f"X-Kv-Backup: {world.target.address}\r\n"
            assert backup in world.source.streams[0]
            assert world.get_copy(world.target) == f"{world.target.address}/q1"
            assert "Last-Event-Id: 3\r\n" in world.target.streams[0]
            assert "X-Kv-Backup" not in world.target.streams[0]
            assert world.edge.grant_provider.moves == ["r2"]
            assert world.edge.grant_provider.end_kinds == [EndKind.SERVED]
            assert world.count_credits() == 1

    async def test_stream_of_a_silent_runner_goes_on_once_its_entry_is_gone(
        self,
    ) -> None:
        """A host that is gone closes no connections."""
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            async with stop_accepting(world.source.server):
                world.edge.view.remove_runner("r1", 0.0)
                reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert "Last-Event-Id: 2\r\n" in world.target.streams[0]
            assert world.edge.grant_provider.moves == ["r2"]

    async def test_transferred_stream_keeps_its_backup(self) -> None:
        async with start_world(backup=True) as world, CopyingRunner() as third:
            world.edge.add("r3", third.server, "llm")
            call = await world.async_begin()
            world.order("r3")
            assert (await call).body == WHOLE
            backup = f"X-Kv-Backup: {world.target.address}\r\n"
            assert backup in third.streams[0]


class TestNoContinuation:
    """Broken streams that do not continue at their backup."""

    async def test_crash_that_is_not_proved(self) -> None:
        """The first runner may still be at work."""
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            world.source.break_off()
            reply = await call
            assert (reply.body, reply.complete) == (PART, False)
            assert world.target.streams == []
            assert world.edge.grant_provider.moves == []

    async def test_backup_without_a_copy(self) -> None:
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target, backup=True) as world:
            call = await world.async_begin()
            crash(world)
            reply = await call
            assert (reply.body, reply.complete) == (PART, False)
            assert len(world.target.streams) == 1
            assert world.edge.grant_provider.end_kinds == [EndKind.FAILED]

    async def test_resumable_stream_without_a_copy_is_resumed(self) -> None:
        target = CopyingRunner(accepts_copies=False)
        async with start_world(target=target, backup=True) as world:
            call = await world.async_begin("/stream/x")
            crash(world)
            reply = await call
            assert (reply.body, reply.complete) == (WHOLE, True)
            assert "Kv-From" not in world.target.streams[-1]
            assert world.edge.grant_provider.end_kinds == [
                EndKind.FAILED,
                EndKind.SERVED,
            ]

    async def test_backup_that_leaves_meanwhile(self) -> None:
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            report_leaving(world.edge, "r2")
            crash(world)
            assert not (await call).complete
            assert world.target.streams == []

    async def test_no_credit(self) -> None:
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            while world.edge.forwarder.retry_budgets.try_acquire("llm") is not None:
                pass
            crash(world)
            assert not (await call).complete
            assert world.target.streams == []

    @pytest.mark.parametrize(("wait_s", "is_sent"), [(0.0, True), (0.4, False)])
    async def test_limited_backup_receives_nothing_without_a_permit(
        self, wait_s: float, is_sent: bool
    ) -> None:
        """No scheduler has counted the run there against the limit."""
        async with start_world(backup=True) as world:
            call = await world.async_begin()
            limit_runner(world.edge, "r2", wait_s)
            crash(world)
            assert (await call).complete == is_sent
            assert len(world.target.streams) == is_sent
            assert world.edge.grant_provider.permits == ["r2"]


class TestHeader:
    """When a request names its backup to the runner."""

    @pytest.mark.parametrize(
        "prepare",
        [
            lambda world: report_leaving(world.edge, "r2"),
            lambda world: world.edge.view.remove_runner("r2", 0.0),
            lambda world: setattr(world.edge.forwarder, "uses_backups", False),
            lambda world: setattr(world.edge.grant_provider, "backup_runner_id", "r1"),
            prefer_resumable,
            lambda world: world.offer(backups=False),
        ],
        ids=[
            "leaving",
            "unknown",
            "switched_off",
            "same_runner",
            "not_configured",
            "not_offered",
        ],
    )
    async def test_header_is_omitted(
        self, prepare: Callable[[ContinuationWorld], object]
    ) -> None:
        async with start_world(backup=True) as world:
            prepare(world)
            call = await world.async_begin()
            world.source.go_on.set()
            assert (await call).complete
            assert "X-Kv-Backup" not in world.source.streams[0]

    async def test_second_run_does_not_name_the_backup_of_the_first(self) -> None:
        """Copies are found by the request's ID, and events of two runs never join."""
        async with start_world(backup=True) as world, CopyingRunner() as third:
            world.edge.grant_provider.backup_runner_id = "r3"
            world.edge.add("r3", third.server, "llm")
            call = await world.async_begin("/stream/x")
            world.source.break_off()
            assert (await call).complete
            assert "X-Kv-Backup" in world.source.streams[0]
            assert "Last-Event-Id: 3\r\n" in world.target.streams[0]
            assert "X-Kv-Backup" not in world.target.streams[0]


class TestSoftwareVersions:
    """Backups whose software differs from that of the stream's runner."""

    async def test_backup_of_another_version_is_not_named(self) -> None:
        """It would receive memory that its software can't continue."""
        async with start_world(backup=True) as world:
            world.set_versions("v1", "v2")
            call = await world.async_begin()
            crash(world)
            assert not (await call).complete
            assert "X-Kv-Backup" not in world.source.streams[0]
            assert world.target.streams == []

    async def test_backup_that_restarted_with_another_version_is_not_used(self) -> None:
        async with start_world(backup=True) as world:
            world.set_versions("v1", "v1")
            call = await world.async_begin()
            world.set_versions("v1", "v2")
            crash(world)
            assert not (await call).complete
            assert world.target.streams == []
