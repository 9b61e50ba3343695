"""Tests of how the age of what is known passes over links."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from mangoway.coordination.store import Change, Changes, Item
from mangoway.scheduling.messages import ClockTold, Heartbeat

from ..fakes.polling import async_wait_until
from .test_client import Edge, Scheduler

AHEAD_S = 5000.0
"""By how much the scheduler's boot clock is ahead: hosts start at different times."""


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def connect(
    edge_clock: Callable[[], float] = loop_time,
) -> AsyncIterator[tuple[Scheduler, Edge]]:
    """Connect an edge with a scheduler whose boot clock is another."""
    scheduler, edge = Scheduler(), Edge()
    scheduler.mirror.boot_clock = lambda: loop_time() + AHEAD_S
    assert edge.link.mirror is not None
    edge.link.mirror.boot_clock = edge_clock
    try:
        edge.follow(await scheduler.async_start())
        await edge.async_wait_leading()
        yield scheduler, edge
    finally:
        edge.task.cancel()
        edge.link.close()
        scheduler.stop()


def know(scheduler: Scheduler, age_s: float) -> None:
    """Let the scheduler know all up to so many seconds ago."""
    scheduler.mirror.known_at = scheduler.mirror.boot_clock() - age_s


def measure(edge: Edge) -> float:
    assert edge.link.mirror is not None
    return edge.link.mirror.measure_age()


class TestAge:
    """What an edge knows through a scheduler."""

    async def test_ages_add_up(self) -> None:
        async with connect() as (scheduler, edge):
            know(scheduler, 1.0)
            await async_wait_until(lambda: measure(edge) < 1e6)
            assert 1.0 <= measure(edge) < 1.6

    async def test_scheduler_that_knows_nothing_new_proves_nothing(self) -> None:
        async with connect() as (scheduler, edge):
            know(scheduler, 1.0)
            await async_wait_until(lambda: measure(edge) < 1e6)
            before = measure(edge)
            await asyncio.sleep(0.6)
            assert measure(edge) >= before + 0.55

    async def test_old_heartbeats_that_are_read_late_prove_nothing(self) -> None:
        """They lie in the socket of a host that is suspended."""
        passed = [0.0]
        async with connect(lambda: loop_time() + passed[0]) as (scheduler, edge):
            know(scheduler, 0.2)
            await async_wait_until(lambda: measure(edge) < 1e6)
            known_at = scheduler.mirror.known_at
            passed[0] += 6.0
            assert edge.link.link is not None
            late = Heartbeat(
                leading=True, store_age_s=0.2, period_s=0.15, known_at=known_at
            )
            edge.link._take(edge.link.link, late)
            assert measure(edge) > 6.0

    async def test_change_that_is_not_passed_on_yet_is_not_known(self) -> None:
        async with connect() as (scheduler, edge):
            know(scheduler, 2.0)
            await async_wait_until(lambda: measure(edge) < 1e6)
            item = Item(key="op/config", value=b"2", revision=9)
            change = Change(key=item.key, revision=9, item=item)
            scheduler.mirror.take_changes(Changes(changes=(change,), revision=9))
            know(scheduler, 0.0)
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.05)
            assert "op/config" not in edge.recorder.values
            assert measure(edge) >= 2.0
            await async_wait_until(lambda: measure(edge) < 1.0)
            assert "op/config" in edge.recorder.values

    async def test_connection_without_a_reading_proves_nothing(self) -> None:
        async with connect() as (scheduler, edge):
            know(scheduler, 0.0)
            edge.link._has_state = False
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.05)
            assert measure(edge) > 1e6

    async def test_clock_that_was_told_late_is_taken_as_early(self) -> None:
        async with connect() as (scheduler, edge):
            clock = edge.link._remote_clock
            assert clock is not None
            await async_wait_until(lambda: clock.convert(0.0) is not None)
            clock._error_s = 1e9
            told = ClockTold(asked_at=loop_time() - 2.0, clock_s=loop_time() + AHEAD_S)
            clock.take(told)
            know(scheduler, 0.0)
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.05)
            assert measure(edge) >= 2.0
            # It is asked for once more, and told soon.
            await async_wait_until(lambda: clock._error_s < 1.0)
