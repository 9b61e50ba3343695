"""Tests of the mirrored state after the store came back from a copy."""

import asyncio

import pytest

from mangoway.coordination.mirror import NEW_ERA_WAIT_S, Mirror
from mangoway.coordination.restore_tracker import REWRITE_S
from mangoway.coordination.store import Change, Changes, Item, Snapshot

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.revisions import at
from .test_mirror import Recorder, StubFeed, start

pytestmark = pytest.mark.looptime

LOST_WRITES = 10
"""Writes between the copy and the return of the store."""

AWAY_S = 0.3
DETECTION_S = 2.0
"""Time within which a change in the store must be known to a process."""


async def async_restore(store: FakeCoordinationStore, *, writes: int) -> None:
    """Let the store lose some writes, and write an operator's key and others since."""
    for number in range(10):
        store.put(f"key-{number}", b"1")
    await asyncio.sleep(1.0)
    copy = store.copy()
    for number in range(LOST_WRITES):
        store.put(f"key-{number}", b"lost")
    await asyncio.sleep(1.0)
    store.down = True
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    store.put("operator", b"new")
    for number in range(writes - 1):
        store.put(f"later-{number}", b"1")
    store.down = False


class TestRestoredState:
    """What a mirror contains after the store came back from a copy."""

    async def test_writes_below_a_known_revision_are_not_missed(self) -> None:
        for writes in (1, 4, 10, 31):
            store, recorder = FakeCoordinationStore(), Recorder()
            task = start(Mirror(store, recorder, loop_clock()))
            await async_restore(store, writes=writes)
            await asyncio.sleep(DETECTION_S)
            task.cancel()
            assert recorder.values.get("operator") == b"new", writes

    async def test_lost_writes_are_not_kept(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await async_restore(store, writes=4)
        await asyncio.sleep(DETECTION_S)
        task.cancel()
        assert recorder.values["key-0"] == b"1"

    async def test_state_of_a_lost_era_is_not_counted_as_recent(self) -> None:
        """Its age would otherwise allow requests with a key that was taken away."""
        store = FakeCoordinationStore()
        mirror = Mirror(store, Recorder(), loop_clock(), boot_clock=loop_clock())
        task = start(mirror)
        await async_restore(store, writes=1)
        known_at = mirror.known_at
        mirror.learn_era(1)
        mirror.apply_changes(Changes(changes=(), revision=at(20)))
        assert mirror.known_at == known_at
        await asyncio.sleep(DETECTION_S)
        task.cancel()
        assert mirror.era == 1
        assert mirror.measure_age() < 1.0

    async def test_second_restore_is_followed(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.5)
        copy = store.copy()
        for value in (b"1", b"2"):
            store.put("a", b"lost")
            store.restore(copy)
            store.put("a", value)
        await asyncio.sleep(DETECTION_S)
        task.cancel()
        assert recorder.values == {"a": b"2"}

    async def test_one_full_reading_is_made(self) -> None:
        store = FakeCoordinationStore()
        task = start(Mirror(store, Recorder(), loop_clock()))
        await async_restore(store, writes=4)
        await asyncio.sleep(DETECTION_S)
        task.cancel()
        assert store.calls.count("list") == 2


class TestOrder:
    """Order of states from several sources."""

    def make_mirror(self) -> Mirror:
        return Mirror(FakeCoordinationStore(), Recorder(), lambda: 0.0)

    def test_snapshot_of_an_earlier_era_is_ignored(self) -> None:
        mirror = self.make_mirror()
        new = Item(key="a", value=b"new", revision=at(3, era=2))
        old = Item(key="a", value=b"old", revision=at(90, era=1))
        mirror.apply_snapshot(Snapshot(items=(new,), revision=at(3, era=2)))
        mirror.apply_snapshot(Snapshot(items=(old,), revision=at(90, era=1)))
        assert mirror.items == {"a": new}

    @pytest.mark.parametrize("era", [1, 3])
    def test_changes_of_another_era_are_not_applied(self, era: int) -> None:
        """They do not follow the mirrored state."""
        mirror = self.make_mirror()
        mirror.apply_snapshot(Snapshot(items=(), revision=at(3, era=2)))
        item = Item(key="a", value=b"x", revision=at(9, era=era))
        change = Change(key="a", revision=at(9, era=era), item=item)
        mirror.apply_changes(Changes(changes=(change,), revision=at(9, era=era)))
        assert mirror.items == {}
        assert mirror.revision == at(3, era=2)
        assert mirror.store.era == max(2, era)

    def test_partial_snapshot_is_not_completed_with_items_of_an_earlier_era(
        self,
    ) -> None:
        mirror = self.make_mirror()
        lost = Item(key="a", value=b"lost", revision=at(2, era=1))
        mirror.apply_snapshot(Snapshot(items=(lost,), revision=at(5, era=1)))
        mirror.apply_partial_snapshot(("a",), (), at(6, era=2))
        assert mirror.items == {}

    async def test_watch_that_a_restored_store_answers_is_not_applied(self) -> None:
        """It continues from a revision number that has been given out again."""
        store, recorder = FakeCoordinationStore(), Recorder()
        mirror = Mirror(store, recorder, loop_clock())
        task = start(mirror)
        await asyncio.sleep(0.5)
        copy = store.copy()
        store.put("a", b"lost")
        await asyncio.sleep(0.5)
        store.restore(copy)
        store.put("b", b"1")
        store.put("c", b"2")
        await asyncio.sleep(DETECTION_S)
        task.cancel()
        assert recorder.values == {"b": b"1", "c": b"2"}

    @pytest.mark.parametrize("at_s", [0.5, 0.6, 0.7, 0.8])
    async def test_watch_from_a_lost_revision_is_not_applied_to_a_relayed_state(
        self, at_s: float
    ) -> None:
        """Another process may relay the new era while the watch waits."""
        store, recorder = FakeCoordinationStore(), Recorder()
        mirror = Mirror(store, recorder, loop_clock())
        copy = store.copy()
        for _ in range(LOST_WRITES):
            store.put("a", b"lost")
        task = start(mirror)
        await asyncio.sleep(at_s)
        store.restore(copy)
        mirror.apply_snapshot(Snapshot(items=(), revision=at(0, era=1)))
        for number in range(2 * LOST_WRITES):
            store.put(f"key-{number}", b"1")
        await asyncio.sleep(DETECTION_S)
        task.cancel()
        assert len(recorder.values) == 2 * LOST_WRITES

    async def test_process_reads_the_store_if_its_leader_does_not_relay_the_new_era(
        self,
    ) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        mirror = Mirror(store, recorder, loop_clock(), feed=StubFeed(fresh=True))
        mirror.apply_snapshot(Snapshot(items=(), revision=at(9)))
        task = start(mirror)
        store.restore(store.copy())
        store.put("a", b"1")
        mirror.learn_era(1)
        await asyncio.sleep(NEW_ERA_WAIT_S - 0.2)
        assert store.calls == []
        await asyncio.sleep(0.5)
        task.cancel()
        assert recorder.values == {"a": b"1"}


class TestLostWrites:
    """Time in which the store may lack writes that it has acknowledged."""

    async def test_it_begins_with_a_restore_and_ends(self) -> None:
        store = FakeCoordinationStore()
        mirror = Mirror(store, Recorder(), loop_clock())
        task = start(mirror)
        await asyncio.sleep(0.5)
        assert not mirror.restores.may_lack_writes()
        store.restore(store.copy())
        await asyncio.sleep(1.0)
        assert mirror.restores.may_lack_writes()
        await asyncio.sleep(REWRITE_S)
        task.cancel()
        assert not mirror.restores.may_lack_writes()

    async def test_it_begins_with_a_process_that_starts_after_a_restore(self) -> None:
        store = FakeCoordinationStore()
        store.restore(store.copy())
        mirror = Mirror(store, Recorder(), loop_clock())
        task = start(mirror)
        await asyncio.sleep(0.5)
        task.cancel()
        assert mirror.restores.may_lack_writes()
