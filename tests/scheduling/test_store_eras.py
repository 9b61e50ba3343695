"""Tests of links between processes after the store came back from a copy."""

import asyncio

import orjson
import pytest
from attrs import evolve

from mangoway.coordination.store import Change, Changes, Item, Snapshot
from mangoway.scheduling.codec import LENGTH, UNCOMPRESSED, decode_payload, encode_frame
from mangoway.scheduling.messages import (
    Heartbeat,
    Hello,
    Message,
    RetainedItems,
    StoreChanges,
    StoreSnapshot,
)

from ..fakes.polling import async_wait_until
from ..fakes.revisions import at
from .test_client import Scheduler, connect
from .test_many_edges import FakeLink

RESTORED = Snapshot(
    items=(Item(key="k", value=b"restored", revision=at(2, era=1)),),
    revision=at(3, era=1),
)
"""State of a restored store, with lower revisions than those known before."""


def make_hello(number: int, era: int) -> Hello:
    return Hello(
        edge="e9",
        host="h",
        data_centre="dc1",
        requests_grants=True,
        revision=at(number, era),
    )


def make_change(number: int, era: int) -> Changes:
    item = Item(key="n", value=b"1", revision=at(number, era))
    change = Change(key="n", revision=at(number, era), item=item)
    return Changes(changes=(change,), revision=at(number, era))


def read_payload(message: Message) -> list[object]:
    """Return the fields of a message, as they are sent."""
    frame = encode_frame([message])
    assert frame[LENGTH.size : LENGTH.size + 1] == UNCOMPRESSED
    [fields] = orjson.loads(frame[LENGTH.size + 1 :])
    assert isinstance(fields, list)
    return fields


class TestFollower:
    """An edge that follows a scheduler."""

    async def test_restored_state_reaches_the_edge(self) -> None:
        async with connect() as (scheduler, edge):
            scheduler.mirror.apply_snapshot(RESTORED)
            await async_wait_until(lambda: edge.recorder.values == {"k": b"restored"})
            scheduler.mirror.apply_changes(make_change(4, era=1))
            await async_wait_until(lambda: edge.recorder.values.get("n") == b"1")

    async def test_scheduler_of_an_earlier_era_is_not_fresh(self) -> None:
        """The edge then reads the store itself."""
        async with connect() as (scheduler, edge):
            await async_wait_until(edge.link.is_fresh)
            assert edge.link.mirror is not None
            edge.link.mirror.apply_snapshot(RESTORED)
            assert not edge.link.is_fresh()
            scheduler.mirror.apply_snapshot(RESTORED)
            await async_wait_until(edge.link.is_fresh)

    async def test_state_of_an_earlier_era_does_not_reduce_the_age(self) -> None:
        async with connect() as (scheduler, edge):
            mirror = edge.link.mirror
            assert mirror is not None
            mirror.apply_snapshot(RESTORED)
            before = mirror.known_at
            scheduler.mirror.known_at = scheduler.mirror.boot_clock() + 5.0
            scheduler.server.send_heartbeats()
            await asyncio.sleep(0.3)
            assert mirror.known_at == before

    async def test_heartbeat_teaches_the_era(self) -> None:
        async with connect() as (scheduler, edge):
            scheduler.mirror.apply_snapshot(RESTORED)
            scheduler.server.send_heartbeats()
            assert edge.link.mirror is not None
            store = edge.link.mirror.store
            await async_wait_until(lambda: store.era == 1)


class TestScheduler:
    """A scheduler that relays the state of the store."""

    async def test_hello_teaches_the_era(self) -> None:
        scheduler = Scheduler()
        scheduler.server._handle_message(FakeLink(), make_hello(3, era=2))
        assert scheduler.mirror.store.era == 2

    async def test_follower_of_an_earlier_era_receives_all_items(self) -> None:
        """An item with a known key and revision number may have another value."""
        scheduler = Scheduler()
        scheduler.mirror.apply_snapshot(RESTORED)
        link = FakeLink()
        scheduler.server._handle_message(link, make_hello(9, era=0))
        await asyncio.sleep(0.05)
        [_, state] = link.read()[:2]
        assert isinstance(state, StoreSnapshot)
        assert state.items == RESTORED.items

    async def test_pending_change_of_a_lost_era_is_not_relayed(self) -> None:
        scheduler = Scheduler()
        link = FakeLink()
        scheduler.server._handle_message(link, make_hello(5, era=0))
        await asyncio.sleep(0.05)
        scheduler.mirror.apply_changes(make_change(9, era=0))
        scheduler.mirror.apply_snapshot(RESTORED)
        await asyncio.sleep(0.3)
        changes = [
            change
            for message in link.read()
            if isinstance(message, StoreChanges)
            for change in message.changes.changes
        ]
        assert changes == []

    async def test_encoded_snapshot_of_an_earlier_era_is_not_reused(self) -> None:
        scheduler = Scheduler()
        first, second = FakeLink(), FakeLink()
        scheduler.server._handle_message(first, make_hello(0, era=0))
        await asyncio.sleep(0.05)
        scheduler.mirror.apply_snapshot(RESTORED)
        hello = Hello(
            edge="e8",
            host="h",
            data_centre="dc1",
            requests_grants=True,
            revision=at(0),
        )
        scheduler.server._handle_message(second, hello)
        await asyncio.sleep(0.05)
        states = [each for each in second.read() if isinstance(each, StoreSnapshot)]
        assert [each.revision for each in states] == [RESTORED.revision]


class TestRetainedItems:
    """Items that are newer than those of the restored store."""

    @pytest.mark.parametrize("states_era", [True, False])
    async def test_new_follower_receives_them_if_it_states_its_era(
        self, states_era: bool
    ) -> None:
        """The previous release closes the link at a message of an unknown kind."""
        scheduler = Scheduler()
        item = Item(key="c", value=b"newer", revision=at(9))
        scheduler.mirror.restores.retained = {"c": item}
        link = FakeLink()
        hello = evolve(make_hello(3, era=1), states_era=states_era)
        scheduler.server._handle_message(link, hello)
        await asyncio.sleep(0.05)
        received = [each for each in link.read() if isinstance(each, RetainedItems)]
        assert received == ([RetainedItems(items=(item,))] if states_era else [])

    async def test_they_are_sent_before_the_state(self) -> None:
        """A process that starts uses the state as soon as it has it."""
        scheduler = Scheduler()
        scheduler.mirror.restores.retained = {
            "c": Item(key="c", value=b"1", revision=at(9))
        }
        link = FakeLink()
        scheduler.server._handle_message(link, make_hello(0, era=0))
        await asyncio.sleep(0.05)
        kinds = [type(each) for each in link.read()]
        assert kinds.index(RetainedItems) < kinds.index(StoreSnapshot)

    async def test_they_are_encoded_with_their_eras(self) -> None:
        items = (
            Item(key="c", value=b"1", revision=at(9, era=1)),
            Item(key="d", value=b"\xff", revision=at(3, era=2), lease_id=4),
        )
        frame = encode_frame([RetainedItems(items=items)])
        assert decode_payload(frame[LENGTH.size :], "") == [RetainedItems(items=items)]


class TestPreviousRelease:
    """Messages of a process that states no era, and those that it receives."""

    @pytest.mark.parametrize(
        ("fields", "message"),
        [
            (
                ["hello", "e1", "h", "dc1", True, 7],
                Hello(
                    edge="e1",
                    host="h",
                    data_centre="dc1",
                    requests_grants=True,
                    revision=at(7),
                    states_era=False,
                ),
            ),
            (
                ["state", 7, ["k"], [["k", 5, 0, "v"]], 0.0],
                StoreSnapshot(
                    keys=("k",),
                    items=(Item(key="k", value=b"v", revision=at(5)),),
                    revision=at(7),
                    retention_s=0.0,
                ),
            ),
            (
                ["changes", 7, [["k", 7, None]], 0.0],
                StoreChanges(
                    changes=Changes(
                        changes=(Change(key="k", revision=at(7), item=None),),
                        revision=at(7),
                    ),
                    retention_s=0.0,
                ),
            ),
            (
                ["beat", True, 0.1, 0.2, 5.0],
                Heartbeat(leading=True, store_age_s=0.1, period_s=0.2, known_at=5.0),
            ),
        ],
    )
    def test_missing_era_is_zero(self, fields: list[object], message: Message) -> None:
        assert decode_payload(UNCOMPRESSED + orjson.dumps([fields]), "e1") == [message]

    def test_era_follows_the_fields_that_it_reads(self) -> None:
        hello = read_payload(make_hello(7, era=2))
        assert hello == ["hello", "e9", "h", "dc1", True, 7, 2]
        heartbeat = Heartbeat(
            leading=True, store_age_s=0.1, period_s=0.2, known_at=5.0, era=2
        )
        assert read_payload(heartbeat) == ["beat", True, 0.1, 0.2, 5.0, [], 2]
        changes = StoreChanges(changes=make_change(4, era=2), retention_s=0.0)
        assert read_payload(changes)[:4] == [
            "changes",
            4,
            [["n", 4, ["n", 4, 0, "1"]]],
            0.0,
        ]
