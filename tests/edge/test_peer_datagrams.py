"""Tests of datagrams between edges on loopback."""

import asyncio
import socket

import pytest

from mangoway.edge.peer_datagrams import PeerDatagrams

from ..fakes.addresses import UNUSABLE_ADDRESSES
from ..fakes.polling import async_wait_until


def find_free_port() -> int:
    """Return a UDP port that nobody listens on."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class TestPeerDatagrams:
    """Two sockets, and failures to reach one."""

    async def test_receiver_learns_the_address_of_the_sender(self) -> None:
        received: list[tuple[bytes, str]] = []
        sender = PeerDatagrams(lambda data, address: None)
        receiver = PeerDatagrams(lambda data, address: received.append((data, address)))
        addresses = [f"127.0.0.1:{find_free_port()}" for _ in range(2)]
        await sender.async_listen(addresses[0])
        await receiver.async_listen(addresses[1])
        sender.send(b"one", addresses[1])
        await async_wait_until(lambda: bool(received))
        assert received == [(b"one", addresses[0])]
        sender.close()
        receiver.close()

    async def test_peer_that_does_not_listen_is_ignored(self) -> None:
        received: list[bytes] = []
        own = PeerDatagrams(lambda data, address: received.append(data))
        address = f"127.0.0.1:{find_free_port()}"
        await own.async_listen(address)
        own.send(b"lost", f"127.0.0.1:{find_free_port()}")
        await asyncio.sleep(0.05)
        own.send(b"found", address)
        await async_wait_until(lambda: received == [b"found"])
        own.close()

    async def test_datagrams_are_dropped_while_the_socket_is_full(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Answers to questions without end were kept while the link was slow."""
        received: list[bytes] = []
        own = PeerDatagrams(lambda data, address: received.append(data))
        address = f"127.0.0.1:{find_free_port()}"
        await own.async_listen(address)
        transport = own._transport
        assert transport is not None
        monkeypatch.setattr(transport, "get_write_buffer_size", lambda: 1 << 20)
        own.send(b"dropped", address)
        monkeypatch.undo()
        own.send(b"sent", address)
        await async_wait_until(lambda: bool(received))
        assert received == [b"sent"]
        own.close()

    async def test_nothing_is_sent_when_closed(self) -> None:
        closed = PeerDatagrams(lambda data, address: None)
        closed.send(b"early", "127.0.0.1:9")
        await closed.async_listen(f"127.0.0.1:{find_free_port()}")
        closed.close()
        closed.send(b"late", "127.0.0.1:9")

    async def test_used_address_raises_error(self) -> None:
        first = PeerDatagrams(lambda data, address: None)
        second = PeerDatagrams(lambda data, address: None)
        address = f"127.0.0.1:{find_free_port()}"
        await first.async_listen(address)
        with pytest.raises(OSError, match="in use"):
            await second.async_listen(address)
        first.close()

    async def test_unusable_address_of_a_peer_is_ignored(self) -> None:
        """Such an address closed the socket, so that no peer was heard any more."""
        received: list[bytes] = []
        own = PeerDatagrams(lambda data, address: received.append(data))
        own_address = f"127.0.0.1:{find_free_port()}"
        await own.async_listen(own_address)
        for address in UNUSABLE_ADDRESSES:
            own.send(b"lost", address)
        await asyncio.sleep(0.05)
        own.send(b"found", own_address)
        await async_wait_until(lambda: received == [b"found"])
        own.close()
