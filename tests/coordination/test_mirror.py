"""Tests of the copy of the store's keys, in virtual time."""

import asyncio

import pytest

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.store import Change, Changes, Item, Snapshot

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock

pytestmark = pytest.mark.looptime


class Recorder:
    """Takes what a mirror reads."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.snapshots = 0
        self.outages = 0
        self.processes = 1

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshots += 1
        self.values = {item.key: item.value for item in snapshot.items}

    def apply_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.item is None:
                self.values.pop(change.key, None)
            else:
                self.values[change.key] = change.item.value

    def has_effect(self, change: Change) -> bool:
        item = change.item
        return item is None or self.values.get(change.key) != item.value

    def count_processes(self) -> int:
        return self.processes

    def record_outage_end(self, retention_s: float | None = None) -> None:
        self.outages += 1


class StubFeed:
    """A leader that is fresh or not."""

    def __init__(self, fresh: bool) -> None:
        self.fresh = fresh

    def is_fresh(self) -> bool:
        return self.fresh


class PassOn:
    """Hands what one mirror reads to another, as a link does."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.passed = 0

    def relay_snapshot(self, snapshot: Snapshot) -> None:
        self.passed += 1
        if self.passed < 100:
            self.mirror.apply_snapshot(snapshot)

    def relay_changes(self, changes: Changes) -> None:
        self.mirror.apply_changes(changes)


def start(mirror: Mirror) -> "asyncio.Task[None]":
    return asyncio.get_running_loop().create_task(mirror.async_run())


class TestMirror:
    """One reading and one watch."""

    async def test_changes_arrive(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        store.put("a", b"1")
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        store.put("b", b"2")
        store.remove("a")
        await asyncio.sleep(0.1)
        task.cancel()
        assert recorder.values == {"b": b"2"}
        assert recorder.snapshots == 1

    async def test_forgotten_history_is_read_anew(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        store.down = True
        store.put("a", b"1")
        await asyncio.sleep(3)
        store.put("b", b"2")
        store.forget_history()
        store.down = False
        await asyncio.sleep(3)
        task.cancel()
        assert recorder.values == {"a": b"1", "b": b"2"}
        assert recorder.outages == 1

    async def test_reset_connection_is_no_outage(self) -> None:
        """A removal just after it must count at once, not be kept as a lapse."""
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        store.down = True
        await asyncio.sleep(0.5)
        store.down = False
        await asyncio.sleep(2)
        task.cancel()
        assert recorder.outages == 0

    async def test_silent_watch_is_noticed(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        store.silent_watches = True
        store.put("a", b"1")
        await asyncio.sleep(0.1)
        store.silent_watches = False
        await asyncio.sleep(2.0 - 0.1)
        task.cancel()
        assert recorder.values == {"a": b"1"}

    async def test_calls_in_an_outage_are_bounded(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        store.down = True
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(20)
        task.cancel()
        assert len(store.calls) <= 45


class TestFeed:
    """Following the leader in place of the store."""

    async def test_fresh_feed_spares_the_store(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        mirror = Mirror(store, recorder, loop_clock(), feed=StubFeed(True))
        task = start(mirror)
        await asyncio.sleep(10)
        task.cancel()
        assert store.calls == []

    async def test_stale_feed_is_replaced_from_the_same_revision(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        store.put("a", b"1")
        feed = StubFeed(True)
        mirror = Mirror(store, recorder, loop_clock(), feed=feed)
        task = start(mirror)
        mirror.apply_snapshot(await store.async_list(""))
        store.calls.clear()
        store.put("b", b"2")
        feed.fresh = False
        await asyncio.sleep(0.5)
        task.cancel()
        assert recorder.values == {"a": b"1", "b": b"2"}
        assert "list" not in store.calls

    def test_older_reading_is_ignored(self) -> None:
        recorder = Recorder()
        mirror = Mirror(FakeCoordinationStore(), recorder, lambda: 0.0)
        new = Item(key="a", value=b"new", revision=9)
        old = Item(key="a", value=b"old", revision=4)
        mirror.apply_snapshot(Snapshot(items=(new,), revision=9))
        mirror.apply_snapshot(Snapshot(items=(old,), revision=5))
        assert recorder.values == {"a": b"new"}

    def test_two_that_follow_each_other_come_to_rest(self) -> None:
        """They sent a reading back and forth: 0.05 GB between data centres a day."""
        one = Mirror(FakeCoordinationStore(), Recorder(), lambda: 0.0)
        other = Mirror(FakeCoordinationStore(), Recorder(), lambda: 0.0)
        one.follower, other.follower = PassOn(other), PassOn(one)
        item = Item(key="a", value=b"1", revision=4)
        one.apply_snapshot(Snapshot(items=(item,), revision=4))
        assert other.revision == 4
        assert one.follower.passed + other.follower.passed <= 2

    def test_reading_without_known_items_is_completed(self) -> None:
        recorder = Recorder()
        mirror = Mirror(FakeCoordinationStore(), recorder, lambda: 0.0)
        kept = Item(key="a", value=b"1", revision=2)
        gone = Item(key="b", value=b"2", revision=3)
        mirror.apply_snapshot(Snapshot(items=(kept, gone), revision=3))
        added = Item(key="c", value=b"3", revision=5)
        mirror.apply_partial_snapshot(("a", "c"), (added,), 6)
        assert recorder.values == {"a": b"1", "c": b"3"}


class TestNews:
    """What is passed on, and how often a process reads without a leader."""

    async def test_key_that_is_written_as_it_was_is_not_passed_on(self) -> None:
        store, passed = FakeCoordinationStore(), list[Changes]()

        class Follower:
            def relay_snapshot(self, snapshot: Snapshot) -> None:
                pass

            def relay_changes(self, changes: Changes) -> None:
                passed.append(changes)

        store.put("a", b"1")
        mirror = Mirror(store, Recorder(), loop_clock(), follower=Follower())
        task = start(mirror)
        await asyncio.sleep(0.1)
        store.put("a", b"1")
        await asyncio.sleep(0.5)
        store.put("a", b"2")
        await asyncio.sleep(0.5)
        task.cancel()
        assert [len(each.changes) for each in passed] == [0, 1]
        assert passed[-1].revision == store.revision

    @pytest.mark.parametrize("processes", [8, 30, 100, 200])
    async def test_reads_of_all_processes_are_bounded(self, processes: int) -> None:
        """Each 0.4 s it was, whatever their number: 500 a second of 200."""
        store, recorder = FakeCoordinationStore(), Recorder()
        recorder.processes = processes
        task = start(Mirror(store, recorder, loop_clock()))
        for number in range(100):
            await asyncio.sleep(0.1)
            store.put("a", str(number).encode())
        task.cancel()
        a_second = processes * store.calls.count("watch") / 10
        assert a_second <= 140

    async def test_first_reading_may_be_old(self) -> None:
        """It costs a tenth; the watch shows what has changed since."""
        store, recorder = FakeCoordinationStore(), Recorder()
        store.put("a", b"1")
        store.stale_list = True
        store.put("a", b"2")
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        task.cancel()
        assert recorder.values == {"a": b"2"}
