"""Tests of the mirror of the store, in virtual time."""

import asyncio

import pytest

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.store import Change, Changes, Item, Snapshot

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from ..fakes.receiver import InertReceiver
from ..fakes.revisions import at

pytestmark = pytest.mark.looptime


class Recorder(InertReceiver):
    """A receiver that records the state."""

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


class FailingReceiver(Recorder):
    """A receiver that fails whenever it is to apply something."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        raise KeyError("a")

    def apply_changes(self, changes: Changes) -> None:
        raise KeyError("a")


class StubFeed:
    """A feed whose freshness the test sets."""

    def __init__(self, fresh: bool) -> None:
        self.fresh = fresh

    def is_fresh(self) -> bool:
        return self.fresh

    def measure_age(self) -> float:
        return 0.0


class MirrorRelay:
    """Relays the state of one mirror to another, as a link does."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.relayed = 0

    def relay_snapshot(self, snapshot: Snapshot) -> None:
        self.relayed += 1
        # Without this limit, endless relaying would overflow the stack.
        if self.relayed < 100:
            self.mirror.apply_snapshot(snapshot)

    def relay_changes(self, changes: Changes) -> None:
        self.mirror.apply_changes(changes)

    def relay_retained(self, items: tuple[Item, ...]) -> None:
        self.mirror.apply_retained(items)


def start(mirror: Mirror) -> "asyncio.Task[None]":
    return asyncio.get_running_loop().create_task(mirror.async_run())


class TestMirror:
    """Following the store with one snapshot and one watch."""

    async def test_changes_are_applied(self) -> None:
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

    async def test_snapshot_is_read_again_if_history_is_lost(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        store.down = True
        store.put("a", b"1")
        await asyncio.sleep(3)
        store.put("b", b"2")
        store.discard_history()
        store.down = False
        await asyncio.sleep(3)
        task.cancel()
        assert recorder.values == {"a": b"1", "b": b"2"}
        assert recorder.outages == 1

    async def test_reset_connection_is_no_outage(self) -> None:
        """Removed keys are kept for a while after an outage, but not after a reset."""
        store, recorder = FakeCoordinationStore(), Recorder()
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        store.down = True
        await asyncio.sleep(0.5)
        store.down = False
        await asyncio.sleep(2)
        task.cancel()
        assert recorder.outages == 0

    async def test_silent_watch_is_replaced(self) -> None:
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
    """Following the leader instead of the store."""

    async def test_fresh_feed_makes_store_calls_unnecessary(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        mirror = Mirror(store, recorder, loop_clock(), feed=StubFeed(True))
        task = start(mirror)
        await asyncio.sleep(10)
        task.cancel()
        assert store.calls == []

    async def test_store_is_watched_from_the_known_revision_if_the_feed_is_stale(
        self,
    ) -> None:
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

    def test_older_snapshot_is_ignored(self) -> None:
        recorder = Recorder()
        mirror = Mirror(FakeCoordinationStore(), recorder, lambda: 0.0)
        newer = Item(key="a", value=b"new", revision=at(9))
        older = Item(key="a", value=b"old", revision=at(4))
        mirror.apply_snapshot(Snapshot(items=(newer,), revision=at(9)))
        mirror.apply_snapshot(Snapshot(items=(older,), revision=at(5)))
        assert recorder.values == {"a": b"new"}

    def test_two_mirrors_that_follow_each_other_stop_relaying(self) -> None:
        """A snapshot sent back and forth causes 0.05 GB a day between data centres."""
        one = Mirror(FakeCoordinationStore(), Recorder(), lambda: 0.0)
        other = Mirror(FakeCoordinationStore(), Recorder(), lambda: 0.0)
        one.follower, other.follower = MirrorRelay(other), MirrorRelay(one)
        item = Item(key="a", value=b"1", revision=at(4))
        one.apply_snapshot(Snapshot(items=(item,), revision=at(4)))
        assert other.revision == at(4)
        assert one.follower.relayed + other.follower.relayed <= 2

    def test_partial_snapshot_is_completed_with_known_items(self) -> None:
        recorder = Recorder()
        mirror = Mirror(FakeCoordinationStore(), recorder, lambda: 0.0)
        kept = Item(key="a", value=b"1", revision=at(2))
        gone = Item(key="b", value=b"2", revision=at(3))
        mirror.apply_snapshot(Snapshot(items=(kept, gone), revision=at(3)))
        added = Item(key="c", value=b"3", revision=at(5))
        mirror.apply_partial_snapshot(("a", "c"), (added,), at(6))
        assert recorder.values == {"a": b"1", "c": b"3"}


class TestRelayedOutages:
    """Outages that the followed process reports, which may only have been its own."""

    async def test_late_response_does_not_refute_the_outage(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        feed = StubFeed(True)
        mirror = Mirror(store, recorder, loop_clock(), feed=feed)
        mirror.apply_snapshot(await store.async_list(""))
        task = start(mirror)
        await asyncio.sleep(5.0)
        feed.fresh, store.watch_delay_s = False, 2.5
        await asyncio.sleep(2.7)
        mirror.record_relayed_outage(2.0)
        task.cancel()
        assert recorder.outages == 1

    async def test_response_in_the_meantime_refutes_the_outage(self) -> None:
        store, recorder = FakeCoordinationStore(), Recorder()
        feed = StubFeed(True)
        mirror = Mirror(store, recorder, loop_clock(), feed=feed)
        mirror.apply_snapshot(await store.async_list(""))
        task = start(mirror)
        await asyncio.sleep(5.0)
        feed.fresh = False
        await asyncio.sleep(2.7)
        feed.fresh = True
        for retention_s in (2.2, 1.2, 0.2):
            mirror.record_relayed_outage(retention_s)
            await asyncio.sleep(1.0)
        task.cancel()
        assert recorder.outages == 0


class TestRelay:
    """Relayed changes, and the rate of watches without a leader."""

    async def test_unchanged_write_is_not_relayed(self) -> None:
        store, relayed = FakeCoordinationStore(), list[Changes]()

        class Follower:
            def relay_snapshot(self, snapshot: Snapshot) -> None:
                pass

            def relay_changes(self, changes: Changes) -> None:
                relayed.append(changes)

        store.put("a", b"1")
        mirror = Mirror(store, Recorder(), loop_clock(), follower=Follower())
        task = start(mirror)
        await asyncio.sleep(0.1)
        store.put("a", b"1")
        await asyncio.sleep(0.5)
        store.put("a", b"2")
        await asyncio.sleep(0.5)
        task.cancel()
        assert [len(each.changes) for each in relayed] == [0, 1]
        assert relayed[-1].revision == at(store.revision)

    async def test_key_removed_and_written_again_alike_stays_at_followers(self) -> None:
        """The removal alone was relayed, and followers lost the runner for good."""
        second = Recorder()
        leader = Mirror(FakeCoordinationStore(), Recorder(), loop_clock())
        follower = Mirror(FakeCoordinationStore(), second, loop_clock())
        leader.follower = MirrorRelay(follower)
        item = Item(key="a", value=b"1", revision=at(4))
        for each in (leader, follower):
            each.apply_snapshot(Snapshot(items=(item,), revision=at(4)))
        again = Item(key="a", value=b"1", revision=at(6))
        changes = (
            Change(key="a", revision=at(5), item=None),
            Change(key="a", revision=at(6), item=again),
        )
        leader.apply_changes(Changes(changes=changes, revision=at(6)))
        assert second.values == {"a": b"1"}

    @pytest.mark.parametrize("processes", [8, 30, 100, 200])
    async def test_rate_of_watches_of_all_processes_is_bounded(
        self, processes: int
    ) -> None:
        """A watch every 0.4 s by each of 200 processes would be 500 per second."""
        store, recorder = FakeCoordinationStore(), Recorder()
        recorder.processes = processes
        task = start(Mirror(store, recorder, loop_clock()))
        for number in range(100):
            await asyncio.sleep(0.1)
            store.put("a", str(number).encode())
        task.cancel()
        watches_per_s = processes * store.calls.count("watch") / 10
        assert watches_per_s <= 140

    async def test_first_snapshot_may_be_old(self) -> None:
        """It costs a tenth of an exact one; the watch returns the changes since."""
        store, recorder = FakeCoordinationStore(), Recorder()
        store.put("a", b"1")
        store.stale_list = True
        store.put("a", b"2")
        task = start(Mirror(store, recorder, loop_clock()))
        await asyncio.sleep(0.1)
        task.cancel()
        assert recorder.values == {"a": b"2"}


class TestFailingReceivers:
    """A process whose receiver fails relays the state of the store all the same.

    Its followers depend on it alone: they never saw a configuration whose batch of
    changes it had failed to apply.
    """

    async def test_snapshot_is_relayed(self) -> None:
        recorder = Recorder()
        leader = Mirror(FakeCoordinationStore(), FailingReceiver(), loop_clock())
        follower = Mirror(FakeCoordinationStore(), recorder, loop_clock())
        leader.follower = MirrorRelay(follower)
        item = Item(key="a", value=b"1", revision=at(1))
        with pytest.raises(KeyError):
            leader.apply_snapshot(Snapshot(items=(item,), revision=at(1)))
        assert recorder.values == {"a": b"1"}

    async def test_changes_are_relayed(self) -> None:
        recorder = Recorder()
        leader = Mirror(FakeCoordinationStore(), Recorder(), loop_clock())
        follower = Mirror(FakeCoordinationStore(), recorder, loop_clock())
        leader.follower = MirrorRelay(follower)
        leader.apply_snapshot(Snapshot(items=(), revision=at(1)))
        leader.receiver = FailingReceiver()
        item = Item(key="a", value=b"1", revision=at(2))
        change = Change(key="a", revision=at(2), item=item)
        with pytest.raises(KeyError):
            leader.apply_changes(Changes(changes=(change,), revision=at(2)))
        assert recorder.values == {"a": b"1"}
