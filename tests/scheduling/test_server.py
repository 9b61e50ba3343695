"""Tests of messages to all edges, at different numbers of edges."""

import pytest

from mangoway.coordination.store import Change, Changes
from mangoway.scheduling import server as server_module
from mangoway.scheduling import store_feed as feed_module
from mangoway.scheduling.messages import Message
from mangoway.scheduling.server import HEARTBEATS_PER_S

from ..fakes.revisions import at
from .test_client import Scheduler

HOSTS = [30, 100, 300]


class CountingLink:
    """An edge's connection that counts what is sent on it."""

    def __init__(self) -> None:
        self.frames = 0
        self.bytes = 0

    def send_frame(self, frame: bytes) -> None:
        self.frames += 1
        self.bytes += len(frame)


def connect_many(scheduler: Scheduler, hosts: int) -> list[CountingLink]:
    links = [CountingLink() for _ in range(hosts)]
    scheduler.server._links = {f"e{n}": each for n, each in enumerate(links)}  # type: ignore[misc]
    scheduler.server.feed._links = dict.fromkeys(links)  # type: ignore[arg-type]
    return links


class TestFanOut:
    """Messages to 30, 100 and 300 hosts, each with one edge."""

    @pytest.mark.parametrize("hosts", HOSTS)
    async def test_heartbeats_of_all_are_bounded(self, hosts: int) -> None:
        scheduler = Scheduler()
        connect_many(scheduler, hosts)
        heartbeats_per_s = hosts / scheduler.server._choose_period()
        assert heartbeats_per_s <= HEARTBEATS_PER_S + 1e-6

    @pytest.mark.parametrize("hosts", HOSTS)
    async def test_message_is_encoded_once_for_all(
        self, hosts: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Encoding and compressing it for each edge would take too much time."""
        scheduler = Scheduler()
        links = connect_many(scheduler, hosts)
        encoded = []
        encode = server_module.encode_frame

        def count(messages: list[Message]) -> bytes:
            encoded.append(len(messages))
            return encode(messages)

        monkeypatch.setattr(server_module, "encode_frame", count)
        monkeypatch.setattr(feed_module, "encode_frame", count)
        change = Change(key="k", revision=at(7), item=None)
        scheduler.server.feed.relay_changes(Changes(changes=(change,), revision=at(7)))
        scheduler.server.feed._relay_changes()
        scheduler.server.send_heartbeats()
        assert encoded == [1, 1]
        assert all(each.frames == 2 and each.bytes < 200 for each in links)
