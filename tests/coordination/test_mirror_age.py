"""Tests of the age of the mirrored state."""

import asyncio

import pytest

from mangoway.coordination.mirror import LOST_WRITES_S, Mirror
from mangoway.coordination.restore_tracker import REWRITE_S

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.polling import async_wait_until
from ..fakes.receiver import InertReceiver


class ShiftedClock:
    """A boot clock that a test advances, as a suspension of the host does."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended_s


def make_mirror(store: FakeCoordinationStore, clock: ShiftedClock) -> Mirror:
    return Mirror(store, InertReceiver(), loop_clock(), boot_clock=clock)


class TestAge:
    """Mirror of a process that reads the store itself."""

    async def test_first_snapshot_alone_leaves_the_age_unknown(self) -> None:
        """It may be some seconds old; the next watch returns what it lacks."""
        store, clock = FakeCoordinationStore(), ShiftedClock()
        store.silent_watches = True
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.1)
        assert mirror.revision is not None
        assert mirror.measure_age() > 1000
        store.silent_watches = False
        task.cancel()

    async def test_age_is_known_soon_after_the_start(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        started_at = clock()
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.1)
        assert mirror.known_at >= started_at
        task.cancel()

    async def test_age_counts_from_the_request(self) -> None:
        """A watch that waited for half a second shows the state at its start."""
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.2)
        await async_wait_until(lambda: len(store.calls) >= 4)
        assert mirror.measure_age() > 0.35
        task.cancel()

    async def test_age_includes_time_of_suspension(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.2)
        clock.suspended_s += 5.0
        assert mirror.measure_age() > 5.0
        await asyncio.sleep(1.5)
        assert mirror.measure_age() < 1.5
        task.cancel()

    async def test_age_increases_during_an_outage(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.2)
        store.down = True
        await asyncio.sleep(2.0)
        assert mirror.measure_age() > 1.4
        task.cancel()


@pytest.mark.looptime
class TestRestoredStore:
    """A store that came back from a copy, without writes that no host has read.

    A key that was revoked in them would be valid for longer than it may be.
    """

    async def test_age_counts_from_before_the_restore_until_writes_are_repeated(
        self,
    ) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        store.put("k", b"1")
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.5)
        copy = store.copy()
        store.down = True
        await asyncio.sleep(2.0)
        store.restore(copy)
        store.down = False
        await async_wait_until(lambda: mirror.era == 1)
        assert 2.0 < mirror.measure_certain_age() < 4.0
        assert mirror.measure_age() < 1.0
        await asyncio.sleep(LOST_WRITES_S)
        assert mirror.measure_certain_age() < 1.0
        task.cancel()

    async def test_operator_may_repeat_writes_later_than_runners(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        store.put("k", b"1")
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.5)
        copy, began_at = store.copy(), clock()
        await asyncio.sleep(0.5)
        store.restore(copy)
        await async_wait_until(lambda: mirror.era == 1)
        await asyncio.sleep(REWRITE_S - 0.5)
        assert mirror.measure_certain_age() < 1.0
        assert mirror.measure_operator_age() > clock() - began_at - 0.5
        await asyncio.sleep(1.0)
        assert mirror.measure_operator_age() < 1.0
        task.cancel()

    async def test_second_restore_extends_the_first(self) -> None:
        """The writes may be lost again before any host has read them."""
        store, clock = FakeCoordinationStore(), ShiftedClock()
        store.put("k", b"1")
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.5)
        copy, began_at = store.copy(), clock()
        for era in (1, 2):
            store.restore(copy)
            await async_wait_until(lambda era=era: mirror.era == era)
            await asyncio.sleep(LOST_WRITES_S - 0.5)
        assert mirror.measure_certain_age() > clock() - began_at
        task.cancel()
