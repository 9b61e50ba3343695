"""Tests of up to when a process knows all that the store acknowledged."""

import asyncio

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.store import Change, Changes, Snapshot

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.polling import async_wait_until


class Sink:
    """Takes what a mirror reads."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Nothing depends on it here."""

    def apply_changes(self, changes: Changes) -> None:
        """Nothing depends on it here."""

    def has_effect(self, change: Change) -> bool:
        return True

    def count_processes(self) -> int:
        return 1

    def record_outage_end(self, retention_s: float | None = None) -> None:
        """Nothing depends on it here."""


class ShiftedClock:
    """A boot clock that a test moves on, as a suspension of the host does."""

    def __init__(self) -> None:
        self.passed_s = 0.0

    def __call__(self) -> float:
        return asyncio.get_running_loop().time() + self.passed_s


def make_mirror(store: FakeCoordinationStore, clock: ShiftedClock) -> Mirror:
    return Mirror(store, Sink(), loop_clock(), boot_clock=clock)


class TestOwnReading:
    """A process that reads the store itself."""

    async def test_first_reading_alone_proves_nothing(self) -> None:
        """It may be some seconds old; the watch after it shows what it lacks."""
        store, clock = FakeCoordinationStore(), ShiftedClock()
        store.silent_watches = True
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.1)
        assert mirror.revision is not None
        assert mirror.measure_age() > 1000
        store.silent_watches = False
        task.cancel()

    async def test_it_is_known_soon_after_the_start(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        began = clock()
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.1)
        assert mirror.known_at >= began
        task.cancel()

    async def test_age_counts_from_the_question(self) -> None:
        """A watch that waited half a second shows what was so when it began."""
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.2)
        await async_wait_until(lambda: len(store.calls) >= 4)
        assert mirror.measure_age() > 0.35
        task.cancel()

    async def test_time_suspended_counts(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.2)
        clock.passed_s += 5.0
        assert mirror.measure_age() > 5.0
        await asyncio.sleep(1.5)
        assert mirror.measure_age() < 1.5
        task.cancel()

    async def test_outage_lets_the_knowledge_age(self) -> None:
        store, clock = FakeCoordinationStore(), ShiftedClock()
        mirror = make_mirror(store, clock)
        task = asyncio.create_task(mirror.async_run())
        await asyncio.sleep(0.2)
        store.down = True
        await asyncio.sleep(2.0)
        assert mirror.measure_age() > 1.4
        task.cancel()
