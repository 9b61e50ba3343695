"""Tests of the age of an edge's state, as computed from a scheduler's messages."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from mangoway.coordination.store import Change, Changes, Item
from mangoway.scheduling.messages import ClockResponse, Heartbeat

from ..fakes.polling import async_wait_until
from ..fakes.revisions import at
from .test_client import Edge, Scheduler

CLOCK_OFFSET_S = 5000.0
"""Boot clock of the scheduler minus the edge's; hosts start at different times."""


def loop_time() -> float:
    return asyncio.get_running_loop().time()


@asynccontextmanager
async def connect(
    edge_clock: Callable[[], float] = loop_time,
) -> AsyncIterator[tuple[Scheduler, Edge]]:
    """Connect an edge to a scheduler whose boot clock differs."""
    scheduler, edge = Scheduler(), Edge()
    scheduler.mirror.boot_clock = lambda: loop_time() + CLOCK_OFFSET_S
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


def set_state_age(scheduler: Scheduler, age_s: float) -> None:
    """Set the age of the scheduler's state."""
    scheduler.mirror.known_at = scheduler.mirror.boot_clock() - age_s


def get_age(edge: Edge) -> float:
    assert edge.link.mirror is not None
    return edge.link.mirror.measure_age()


class TestAge:
    """Age of the state that an edge receives from a scheduler."""

    async def test_ages_add_up(self) -> None:
        async with connect() as (scheduler, edge):
            set_state_age(scheduler, 1.0)
            await async_wait_until(lambda: get_age(edge) < 1e6)
            assert 1.0 <= get_age(edge) < 1.6

    async def test_age_grows_without_updates(self) -> None:
        async with connect() as (scheduler, edge):
            set_state_age(scheduler, 1.0)
            await async_wait_until(lambda: get_age(edge) < 1e6)
            before = get_age(edge)
            await asyncio.sleep(0.6)
            assert get_age(edge) >= before + 0.55

    async def test_late_heartbeat_does_not_reduce_the_age(self) -> None:
        """While a host is suspended, heartbeats wait unread in its socket."""
        suspended_s = [0.0]
        async with connect(lambda: loop_time() + suspended_s[0]) as (scheduler, edge):
            set_state_age(scheduler, 0.2)
            await async_wait_until(lambda: get_age(edge) < 1e6)
            known_at = scheduler.mirror.known_at
            suspended_s[0] += 6.0
            assert edge.link.link is not None
            late = Heartbeat(
                leading=True, store_age_s=0.2, period_s=0.15, known_at=known_at
            )
            edge.link._handle_message(edge.link.link, late)
            assert get_age(edge) > 6.0

    async def test_pending_change_is_not_known(self) -> None:
        """A heartbeat may arrive before changes that the scheduler has yet to relay."""
        async with connect() as (scheduler, edge):
            set_state_age(scheduler, 2.0)
            await async_wait_until(lambda: get_age(edge) < 1e6)
            item = Item(key="op/config", value=b"2", revision=at(9))
            change = Change(key=item.key, revision=at(9), item=item)
            scheduler.mirror.apply_changes(Changes(changes=(change,), revision=at(9)))
            set_state_age(scheduler, 0.0)
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.05)
            assert "op/config" not in edge.recorder.values
            assert get_age(edge) >= 2.0
            await async_wait_until(lambda: get_age(edge) < 1.0)
            assert "op/config" in edge.recorder.values

    async def test_connection_without_a_snapshot_does_not_reduce_the_age(self) -> None:
        async with connect() as (scheduler, edge):
            set_state_age(scheduler, 0.0)
            edge.link._has_state = False
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.05)
            assert get_age(edge) > 1e6

    async def test_late_clock_response_does_not_reduce_the_age(self) -> None:
        async with connect() as (scheduler, edge):
            clock = edge.link._remote_clock
            assert clock is not None
            await async_wait_until(lambda: clock.convert(0.0) is not None)
            clock._error_s = 1e9
            response = ClockResponse(
                requested_at=loop_time() - 2.0, clock_s=loop_time() + CLOCK_OFFSET_S
            )
            clock.handle_response(response)
            set_state_age(scheduler, 0.0)
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.05)
            assert get_age(edge) >= 2.0
            # The edge requests the clock again, and the next response is not late.
            await async_wait_until(lambda: clock._error_s < 1.0)
