"""Tests of a scheduler to which hundreds of edges connect at once."""

import asyncio
import socket
from collections.abc import Callable
from itertools import pairwise

import pytest

from mangoway.coordination.store import Change, Changes, Item, Snapshot
from mangoway.models.fleet import Member, Role
from mangoway.scheduling import store_feed as feed_module
from mangoway.scheduling.codec import decode_payload, encode_frame
from mangoway.scheduling.leader_link import SEED_WAIT_S
from mangoway.scheduling.link import Link
from mangoway.scheduling.messages import (
    Heartbeat,
    Hello,
    Message,
    StoreChanges,
    StoreSnapshot,
)
from mangoway.util.address import split_address

from ..fakes.fleet import make_table
from ..fakes.polling import async_wait_until
from ..fakes.revisions import at
from .test_client import Edge, Scheduler
from .test_standby import make_member

EDGE_COUNT = 300


class FakeLink(Link):
    """A link that records the frames that are sent."""

    def __init__(self) -> None:
        super().__init__("", lambda link, message: None, lambda link, reason: None)
        self.frames: list[bytes] = []

    @property
    def is_open(self) -> bool:
        return True

    def send(self, message: Message) -> None:
        self.frames.append(encode_frame([message]))

    def send_frame(self, frame: bytes) -> None:
        self.frames.append(frame)

    def read(self) -> list[Message]:
        """Return the messages that were sent."""
        return [
            message
            for frame in self.frames
            for message in decode_payload(frame[4:], "")
        ]


def make_hello(number: int, revision: int = 0) -> Hello:
    return Hello(
        edge=f"e{number}",
        host="h",
        data_centre="dc1",
        requests_grants=True,
        revision=at(revision),
    )


def fill_store(scheduler: Scheduler) -> None:
    """Fill the scheduler's mirror with an entry for each process."""
    items = tuple(
        Item(key=f"m/{number}", value=b"v" * 200, revision=at(5))
        for number in range(EDGE_COUNT)
    )
    scheduler.mirror.apply_snapshot(Snapshot(items=items, revision=at(6)))


def add_presence(scheduler: Scheduler, revision: int) -> Item:
    """Add the presence of one more process to the scheduler's mirror."""
    item = Item(key=f"n/{revision}", value=b"new", revision=at(revision))
    change = Change(key=item.key, revision=at(revision), item=item)
    scheduler.mirror.apply_changes(Changes(changes=(change,), revision=at(revision)))
    return item


class TestHandshake:
    """Heartbeats and snapshots that a scheduler sends to new followers."""

    async def test_all_heartbeats_are_sent_before_a_snapshot(self) -> None:
        scheduler = Scheduler()
        fill_store(scheduler)
        links = [FakeLink() for _ in range(EDGE_COUNT)]
        for number, link in enumerate(links):
            scheduler.server._handle_message(link, make_hello(number))
        assert {len(each.frames) for each in links} == {1}
        assert all(isinstance(each.read()[0], Heartbeat) for each in links)
        await asyncio.sleep(0.5)
        assert all(isinstance(each.read()[1], StoreSnapshot) for each in links)

    async def test_one_snapshot_is_sent_per_loop_turn(self) -> None:
        scheduler = Scheduler()
        fill_store(scheduler)
        links = [FakeLink() for _ in range(20)]
        for number, link in enumerate(links):
            scheduler.server._handle_message(link, make_hello(number))
        sent_snapshots: list[int] = []
        for _ in range(25):
            await asyncio.sleep(0)
            sent_snapshots.append(sum(1 for each in links if len(each.frames) > 1))
        assert all(after - before <= 1 for before, after in pairwise(sent_snapshots))
        assert sent_snapshots[-1] == 20

    async def test_snapshot_is_encoded_once_for_all(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It is also reused while the presences of other processes change the state."""
        encoded: list[int] = []
        encode: Callable[[list[Message]], bytes] = feed_module.encode_frame

        def count(messages: list[Message]) -> bytes:
            frame = encode(messages)
            if isinstance(messages[0], StoreSnapshot):
                encoded.append(len(frame))
            return frame

        monkeypatch.setattr(feed_module, "encode_frame", count)
        scheduler = Scheduler()
        fill_store(scheduler)
        links = [FakeLink() for _ in range(EDGE_COUNT)]
        for number, link in enumerate(links):
            scheduler.server._handle_message(link, make_hello(number))
            add_presence(scheduler, 10 + number)
            if number % 10 == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(0.5)
        assert len(encoded) == 1

    async def test_changes_follow_a_reused_snapshot(self) -> None:
        scheduler = Scheduler()
        fill_store(scheduler)
        first, second = FakeLink(), FakeLink()
        scheduler.server._handle_message(first, make_hello(1))
        await asyncio.sleep(0.01)
        item = add_presence(scheduler, 9)
        scheduler.server._handle_message(second, make_hello(2))
        await asyncio.sleep(0.01)
        [_, snapshot, changes] = second.read()[:3]
        assert isinstance(snapshot, StoreSnapshot)
        assert isinstance(changes, StoreChanges)
        assert [each.item for each in changes.changes.changes] == [item]
        assert changes.changes.revision == at(9)

    async def test_no_change_is_sent_before_missed_changes(self) -> None:
        """Its revision would make the edge count the missed changes as known."""
        scheduler = Scheduler()
        fill_store(scheduler)
        missed = add_presence(scheduler, 8)
        await asyncio.sleep(0.2)
        links = [FakeLink() for _ in range(40)]
        for number, link in enumerate(links):
            scheduler.server._handle_message(link, make_hello(number, revision=6))
        last = add_presence(scheduler, 9)
        scheduler.server.feed._relay_changes()
        await asyncio.sleep(0.3)
        for link in links:
            first = link.read()[1]
            assert isinstance(first, StoreChanges)
            assert [each.item for each in first.changes.changes] == [missed, last]

    async def test_binary_values_are_encoded(self) -> None:
        item = Item(key="k", value=b"\xff\x00", revision=at(3), lease_id=4)
        text = Item(key="t", value="é1".encode(), revision=at(3))
        message = StoreSnapshot(
            keys=("k", "t"), items=(item, text), revision=at(3), retention_s=0.0
        )
        assert decode_payload(encode_frame([message])[4:], "") == [message]


class SlowScheduler:
    """Accepts connections and sends the first heartbeat after a delay."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.connections = 0

    async def async_start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        await asyncio.sleep(self.delay_s)
        heartbeat = Heartbeat(leading=True, store_age_s=0.1, period_s=0.5)
        try:
            for _ in range(10):
                writer.write(encode_frame([heartbeat]))
                await asyncio.sleep(0.2)
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()


class TestBackoff:
    """Connections of an edge to a scheduler that is busy or does not lead."""

    async def test_connection_is_kept_until_the_handshake(self) -> None:
        """With a fixed timeout of 0.5 s, the edge would reconnect without end."""
        scheduler, edge = SlowScheduler(delay_s=1.0), Edge()
        try:
            for number in range(EDGE_COUNT):
                member = Member(
                    host=f"h{number}",
                    role=Role.EDGE,
                    data_centre="dc1",
                    incarnation=f"i{number}",
                    peer_address="",
                    caller_address="",
                )
                edge.view.update_member(f"m/{number}", member)
            edge.follow(await scheduler.async_start())
            await async_wait_until(lambda: edge.link.leading)
            assert scheduler.connections == 1
        finally:
            edge.task.cancel()
            edge.link.close()
            scheduler.stop()

    async def test_handshake_timeout_grows(self) -> None:
        """The edge eventually waits long enough, however many processes there are."""
        scheduler, edge = SlowScheduler(delay_s=1.5), Edge()
        try:
            edge.follow(await scheduler.async_start())
            await async_wait_until(lambda: edge.link.leading, timeout_s=12.0)
            assert scheduler.connections <= 3
        finally:
            edge.task.cancel()
            edge.link.close()
            scheduler.stop()

    async def test_standby_is_kept_while_no_scheduler_leads(self) -> None:
        """There is no leader to retry, so the edge must not reconnect every second."""
        standby, edge = Scheduler(), Edge()
        standby.leading = False
        try:
            edge.view.apply_table(make_table())
            member = make_member("a", await standby.async_start())
            edge.view.update_member(member.key, member)
            await async_wait_until(lambda: edge.link.link is not None)
            link = edge.link.link
            await asyncio.sleep(2.5)
            assert edge.link.link is link
        finally:
            edge.task.cancel()
            edge.link.close()
            standby.stop()


class TestBacklog:
    """Connections that arrive while the event loop is busy."""

    async def test_kernel_accepts_many_connections(self) -> None:
        """Beyond asyncio's default backlog of 100, connections take a second longer."""
        scheduler = Scheduler()
        address = split_address(await scheduler.async_start())
        sockets = []
        try:
            for _ in range(EDGE_COUNT):
                sockets.append(socket.create_connection(address, timeout=0.3))
        finally:
            for each in sockets:
                each.close()
            scheduler.stop()
        assert len(sockets) == EDGE_COUNT


class TestSeeds:
    """Seeds, to which a process connects while it has no configuration."""

    async def test_seed_is_used_if_the_store_does_not_respond(self) -> None:
        seed, edge = Scheduler(), Edge()
        try:
            edge.link.seeds = (await seed.async_start(),)
            await asyncio.sleep(SEED_WAIT_S - 0.2)
            assert edge.link.link is None
            await async_wait_until(lambda: seed.server.edge_count == 1)
        finally:
            edge.task.cancel()
            edge.link.close()
            seed.stop()

    async def test_seed_is_not_used_after_reading_the_store(self) -> None:
        """All keys would be sent a second time, mostly from another data centre."""
        seed, edge = Scheduler(), Edge()
        try:
            edge.link.seeds = (await seed.async_start(),)
            edge.view.apply_table(make_table())
            await asyncio.sleep(SEED_WAIT_S + 0.3)
            assert seed.server.edge_count == 0
        finally:
            edge.task.cancel()
            edge.link.close()
            seed.stop()
