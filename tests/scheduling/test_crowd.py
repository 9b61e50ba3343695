"""Tests of a scheduler to which hundreds of edges come at once."""

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
    StateChanged,
    StateRead,
)
from mangoway.util.address import split_address

from ..fakes.fleet import make_table
from ..fakes.polling import async_wait_until
from .test_client import Edge, Scheduler
from .test_standby import make_member

CROWD = 300


class FakeLink(Link):
    """An end that keeps the frames that are sent."""

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
        revision=revision,
    )


def fill(scheduler: Scheduler) -> None:
    """Let the store have an entry for each process."""
    items = tuple(
        Item(key=f"m/{number}", value=b"v" * 200, revision=5) for number in range(CROWD)
    )
    scheduler.mirror.take_snapshot(Snapshot(items=items, revision=6))


def announce(scheduler: Scheduler, revision: int) -> Item:
    """Let one more process be announced."""
    item = Item(key=f"n/{revision}", value=b"new", revision=revision)
    change = Change(key=item.key, revision=revision, item=item)
    scheduler.mirror.take_changes(Changes(changes=(change,), revision=revision))
    return item


class TestGreeting:
    """What a scheduler does for each of them."""

    async def test_all_are_greeted_before_one_reading_is_sent(self) -> None:
        scheduler = Scheduler()
        fill(scheduler)
        links = [FakeLink() for _ in range(CROWD)]
        for number, link in enumerate(links):
            scheduler.server._take(link, make_hello(number))
        assert {len(each.frames) for each in links} == {1}
        assert all(isinstance(each.read()[0], Heartbeat) for each in links)
        await asyncio.sleep(0.5)
        assert all(isinstance(each.read()[1], StateRead) for each in links)

    async def test_readings_leave_turns_to_others(self) -> None:
        scheduler = Scheduler()
        fill(scheduler)
        links = [FakeLink() for _ in range(20)]
        for number, link in enumerate(links):
            scheduler.server._take(link, make_hello(number))
        served: list[int] = []
        for _ in range(25):
            await asyncio.sleep(0)
            served.append(sum(1 for each in links if len(each.frames) > 1))
        assert all(after - before <= 1 for before, after in pairwise(served))
        assert served[-1] == 20

    async def test_reading_is_encoded_once_for_all(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Also while each announcement changes it, as at a start of hundreds."""
        encoded: list[int] = []
        encode: Callable[[list[Message]], bytes] = feed_module.encode_frame

        def count(messages: list[Message]) -> bytes:
            frame = encode(messages)
            if isinstance(messages[0], StateRead):
                encoded.append(len(frame))
            return frame

        monkeypatch.setattr(feed_module, "encode_frame", count)
        scheduler = Scheduler()
        fill(scheduler)
        links = [FakeLink() for _ in range(CROWD)]
        for number, link in enumerate(links):
            scheduler.server._take(link, make_hello(number))
            announce(scheduler, 10 + number)
            if number % 10 == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(0.5)
        assert len(encoded) == 1

    async def test_those_who_get_an_earlier_reading_lack_nothing(self) -> None:
        scheduler = Scheduler()
        fill(scheduler)
        first, second = FakeLink(), FakeLink()
        scheduler.server._take(first, make_hello(1))
        await asyncio.sleep(0.01)
        item = announce(scheduler, 9)
        scheduler.server._take(second, make_hello(2))
        await asyncio.sleep(0.01)
        [_, reading, changes] = second.read()[:3]
        assert isinstance(reading, StateRead)
        assert isinstance(changes, StateChanged)
        assert [each.item for each in changes.changes.changes] == [item]
        assert changes.changes.revision == 9

    async def test_change_before_its_reading_hides_nothing(self) -> None:
        """It would say that all up to its revision is known."""
        scheduler = Scheduler()
        fill(scheduler)
        missed = announce(scheduler, 8)
        await asyncio.sleep(0.2)
        links = [FakeLink() for _ in range(40)]
        for number, link in enumerate(links):
            scheduler.server._take(link, make_hello(number, revision=6))
        last = announce(scheduler, 9)
        scheduler.server.feed._pass_on()
        await asyncio.sleep(0.3)
        for link in links:
            first = link.read()[1]
            assert isinstance(first, StateChanged)
            assert [each.item for each in first.changes.changes] == [missed, last]

    async def test_values_that_are_no_text_pass_as_well(self) -> None:
        item = Item(key="k", value=b"\xff\x00", revision=3, lease_id=4)
        text = Item(key="t", value="é1".encode(), revision=3)
        message = StateRead(
            keys=("k", "t"), items=(item, text), revision=3, retention_s=0.0
        )
        assert decode_payload(encode_frame([message])[4:], "") == [message]


class SlowScheduler:
    """Accepts connections and greets them late."""

    def __init__(self, after_s: float) -> None:
        self.after_s = after_s
        self.connections = 0

    async def async_start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        await asyncio.sleep(self.after_s)
        greeting = Heartbeat(leading=True, store_age_s=0.1, period_s=0.5)
        try:
            for _ in range(10):
                writer.write(encode_frame([greeting]))
                await asyncio.sleep(0.2)
        finally:
            writer.close()

    def stop(self) -> None:
        self._server.close()


class TestPatience:
    """An edge before a scheduler that has much to do."""

    async def test_connection_is_kept_in_a_crowd_until_it_is_greeted(self) -> None:
        """It was given up after half a second, and made anew without end."""
        scheduler, edge = SlowScheduler(after_s=1.0), Edge()
        try:
            for number in range(CROWD):
                member = Member(
                    host=f"h{number}",
                    role=Role.EDGE,
                    data_centre="dc1",
                    incarnation=f"i{number}",
                    peer_address="",
                    caller_address="",
                )
                edge.view.take_member(f"m/{number}", member)
            edge.follow(await scheduler.async_start())
            await async_wait_until(lambda: edge.link.leading)
            assert scheduler.connections == 1
        finally:
            edge.task.cancel()
            edge.link.close()
            scheduler.stop()

    async def test_patience_grows(self) -> None:
        """Whatever the crowd, an edge comes to wait long enough."""
        scheduler, edge = SlowScheduler(after_s=1.5), Edge()
        try:
            edge.follow(await scheduler.async_start())
            await async_wait_until(lambda: edge.link.leading, most_s=12.0)
            assert scheduler.connections <= 3
        finally:
            edge.task.cancel()
            edge.link.close()
            scheduler.stop()

    async def test_standby_is_kept_while_nobody_leads(self) -> None:
        """There is no leader to try again; each second it was left and made anew."""
        standby, edge = Scheduler(), Edge()
        standby.leading = False
        try:
            edge.view.take_table(make_table())
            member = make_member("a", await standby.async_start())
            edge.view.take_member(member.key, member)
            await async_wait_until(lambda: edge.link.link is not None)
            link = edge.link.link
            await asyncio.sleep(2.5)
            assert edge.link.link is link
        finally:
            edge.task.cancel()
            edge.link.close()
            standby.stop()


class TestBacklog:
    """Connections that come while the loop is busy."""

    async def test_kernel_takes_a_crowd(self) -> None:
        """The loop's own bound is 100; those beyond it came a second late."""
        scheduler = Scheduler()
        address = split_address(await scheduler.async_start())
        sockets = []
        try:
            for _ in range(CROWD):
                sockets.append(socket.create_connection(address, timeout=0.3))
        finally:
            for each in sockets:
                each.close()
            scheduler.stop()
        assert len(sockets) == CROWD


class TestSeeds:
    """Whom a process asks that knows nothing yet."""

    async def test_seed_is_asked_if_the_store_does_not_answer(self) -> None:
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

    async def test_who_has_read_the_store_asks_no_seed(self) -> None:
        """All keys would come a second time, mostly from another data centre."""
        seed, edge = Scheduler(), Edge()
        try:
            edge.link.seeds = (await seed.async_start(),)
            edge.view.take_table(make_table())
            await asyncio.sleep(SEED_WAIT_S + 0.3)
            assert seed.server.edge_count == 0
        finally:
            edge.task.cancel()
            edge.link.close()
            seed.stop()
