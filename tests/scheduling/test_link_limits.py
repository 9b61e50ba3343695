"""Tests of what ends of links can make a scheduler hold, over loopback."""

import asyncio
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from mangoway.coordination.store import NO_REVISION
from mangoway.scheduling import follower_link, link_limits
from mangoway.scheduling.codec import LENGTH, encode_frame
from mangoway.scheduling.link_limits import LinkLimits
from mangoway.scheduling.messages import ClockRequest, Hello, Message
from mangoway.util.listener import open_listener

from ..fakes.polling import async_wait_until
from .test_client import Scheduler

CLOCK = ClockRequest(requested_at=1.0)


def make_hello(edge: str) -> Message:
    return Hello(
        edge=edge,
        host=edge,
        data_centre="dc1",
        requests_grants=True,
        revision=NO_REVISION,
    )


class Listener:
    """A scheduler that listens, and connections to it."""

    def __init__(self, scheduler: Scheduler, port: int) -> None:
        self.server = scheduler.server
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []

    async def async_open(
        self, *messages: Message
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, and send messages in one frame if there are any."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        if messages:
            writer.write(encode_frame(list(messages)))
        await asyncio.sleep(0.05)
        return reader, writer


@asynccontextmanager
async def listen(limits: LinkLimits | None = None) -> AsyncIterator[Listener]:
    scheduler = Scheduler()
    if limits is not None:
        scheduler.server.link_limits = limits
    socket = open_listener("127.0.0.1", 0)
    await scheduler.server.async_start(socket)
    listener = Listener(scheduler, socket.getsockname()[1])
    try:
        yield listener
    finally:
        for each in listener.writers:
            each.close()
        scheduler.server.stop()


async def async_is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the other end has closed the connection."""
    try:
        async with asyncio.timeout(1.0):
            while await reader.read(65_536):
                pass
    except ConnectionResetError:
        return True
    except TimeoutError:
        return False
    return True


class TestUnnamedLinks:
    """Links whose other ends don't say who they are."""

    async def test_silent_link_is_closed(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Silent connections kept a descriptor each for good."""
        monkeypatch.setattr(follower_link, "HELLO_TIMEOUT_S", 0.2)
        rejected: list[str] = []
        limits = LinkLimits(on_rejected=lambda reason, peer: rejected.append(reason))
        async with listen(limits) as listener:
            silent, _ = await listener.async_open()
            named, _ = await listener.async_open(make_hello("e1"), CLOCK)
            assert await async_is_closed(silent)
            assert not await async_is_closed(named)
            assert listener.server.edge_count == 1
        assert rejected == ["the other end did not say who it is"]

    async def test_oldest_makes_room(self) -> None:
        displaced: list[tuple[int, str]] = []
        limits = LinkLimits(
            max_unnamed=2,
            on_displaced=lambda limit, state, peer: displaced.append((limit, state)),
        )
        async with listen(limits) as listener:
            named, _ = await listener.async_open(make_hello("e1"))
            first, _ = await listener.async_open()
            second, _ = await listener.async_open()
            third, _ = await listener.async_open()
            assert await async_is_closed(first)
            assert not await async_is_closed(second)
            assert not await async_is_closed(third)
            assert not await async_is_closed(named)
        assert displaced == [(2, "new")]

    @pytest.mark.parametrize(
        "messages", [(CLOCK,), (CLOCK, make_hello("e1")), (make_hello("e1"),) * 2]
    )
    async def test_message_out_of_turn_closes_the_link(
        self, messages: tuple[Message, ...]
    ) -> None:
        async with listen() as listener:
            reader, _ = await listener.async_open(*messages)
            assert await async_is_closed(reader)
            assert listener.server.edge_count == 0

    async def test_large_frame_closes_the_link(self) -> None:
        """A frame of 16 MiB was read before its sender was known."""
        async with listen() as listener:
            reader, writer = await listener.async_open()
            writer.write(LENGTH.pack(follower_link.MAX_HELLO_BYTES + 1))
            assert await async_is_closed(reader)

    async def test_follower_may_send_larger_frames(self) -> None:
        async with listen() as listener:
            reader, writer = await listener.async_open(make_hello("e1"))
            writer.write(encode_frame([CLOCK] * 20_000))
            writer.write(LENGTH.pack(follower_link.MAX_FOLLOWER_FRAME_BYTES))
            assert not await async_is_closed(reader)
            writer.write(bytes(follower_link.MAX_FOLLOWER_FRAME_BYTES))
            assert await async_is_closed(reader)


class TestSums:
    """What all links hold together."""

    async def test_followers_beyond_the_limit_are_rejected(self) -> None:
        async with listen(LinkLimits(max_followers=1)) as listener:
            first, _ = await listener.async_open(make_hello("e1"))
            second, _ = await listener.async_open(make_hello("e2"))
            assert await async_is_closed(second)
            assert not await async_is_closed(first)
            assert listener.server.edge_count == 1

    async def test_unsent_bytes_are_counted_every_few_hellos(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Counting them for each would grow with the square of the followers."""
        monkeypatch.setattr(link_limits, "HELLOS_PER_CHECK", 3)
        async with listen() as listener:
            checks: list[int] = []
            limits = listener.server.link_limits
            monkeypatch.setattr(
                type(limits), "check_unsent", lambda _, links: checks.append(1)
            )
            for number in range(7):
                await listener.async_open(make_hello(f"e{number}"))
            assert len(checks) == 2

    async def test_expanding_hello_closes_the_link(self) -> None:
        """A frame of 200 KB took 200 MB before its sender had said who it is."""
        async with listen() as listener:
            reader, writer = await listener.async_open()
            body = b"[" + b" " * follower_link.MAX_HELLO_PAYLOAD_BYTES + b"]"
            packed = zlib.compress(body)
            assert len(packed) < follower_link.MAX_HELLO_BYTES
            writer.write(LENGTH.pack(len(packed) + 1) + b"\x01" + packed)
            assert await async_is_closed(reader)

    async def test_largest_unfinished_frame_is_closed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each link could hold a frame, without a bound for all."""
        monkeypatch.setattr(link_limits, "MAX_BUFFERED_BYTES", 100_000)
        rejected: list[str] = []
        limits = LinkLimits(on_rejected=lambda reason, peer: rejected.append(reason))
        async with listen(limits) as listener:
            small, large = [
                await listener.async_open(make_hello(f"e{number}"))
                for number in range(2)
            ]
            small[1].write(LENGTH.pack(500_000) + bytes(30_000))
            large[1].write(LENGTH.pack(500_000) + bytes(80_000))
            assert await async_is_closed(large[0])
            assert not await async_is_closed(small[0])
            limits = listener.server.link_limits
            assert limits._buffered_total == 30_004
            assert rejected == ["the frames of all links have too many bytes"]

    async def test_link_with_most_unsent_bytes_is_closed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(link_limits, "MAX_UNSENT_TOTAL_BYTES", 300_000)
        async with listen() as listener:
            for number in range(3):
                await listener.async_open(make_hello(f"e{number}"))
            links = listener.server._links
            sizes = {"e0": 100_000, "e1": 250_000, "e2": 150_000}
            for edge, size in sizes.items():
                transport = links[edge]._transport
                assert transport is not None
                monkeypatch.setattr(
                    transport, "get_write_buffer_size", lambda size=size: size
                )
            listener.server._check_unsent()
            await async_wait_until(lambda: set(links) == {"e0", "e2"})
