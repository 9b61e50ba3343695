"""Tests of what connections to the peer server can make a process hold."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterable, AsyncIterator

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection

from mangoway.peers import peers_pb2 as pb
from mangoway.peers.protocol import PeerLimits, PeerProtocol
from mangoway.peers.server import PeerReceivers, PeerServer

from ..fakes.polling import async_wait_until

WAIT_S = 10.0
ASYNCIO_READ_BYTES = 262_144
HIGH_WATER_BYTES = 65_536
"""Unsent bytes above which asyncio pauses a writer."""

PING = b"\x00\x00\x08\x06\x00" + bytes(12)
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/mangoway.peers.Peers/HandOverKeys"),
    (":authority", "h"),
    ("te", "trailers"),
    ("content-type", "application/grpc+proto"),
]


class Client:
    """A connection to the server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer
        self.http = H2Connection(H2Configuration(client_side=True))
        self.http.initiate_connection()
        self.flush()

    def flush(self) -> None:
        """Send what h2 has prepared."""
        self.writer.write(self.http.data_to_send())

    def begin_message(self, sent: int) -> None:
        """Begin a call with a message of 4 GiB, and send some bytes of it."""
        self.http.send_headers(1, HEADERS)
        self.http.send_data(1, struct.pack(">BI", 0, (1 << 32) - 1))
        while sent > 0:
            size = min(sent, self.http.max_outbound_frame_size)
            self.http.send_data(1, bytes(size))
            sent -= size
        self.flush()

    async def async_is_closed(self) -> bool:
        """Return whether the server closes the connection."""
        try:
            async with asyncio.timeout(1.0):
                while await self.reader.read(65_536):
                    pass
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False
        return True


class Keys:
    """Reads all messages of a call."""

    async def async_receive_keys(
        self, chunks: AsyncIterable[pb.KeyChunk]
    ) -> pb.HandOverReply:
        """Return a reply at the end of the call."""
        async for _ in chunks:
            pass
        return pb.HandOverReply()


@pytest.fixture
async def server() -> AsyncIterator[PeerServer]:
    server = PeerServer(PeerReceivers(keys=Keys()), PeerLimits())
    await server.async_start("127.0.0.1", 0)
    yield server
    await server.async_stop()


async def async_connect(server: PeerServer) -> Client:
    made = Client(*await asyncio.open_connection("127.0.0.1", server.port))
    await asyncio.sleep(0.05)
    return made


def list_connections(server: PeerServer) -> list[PeerProtocol]:
    return list(server.limits.table._states)


class TestBytes:
    """Bytes that a connection sends or doesn't read."""

    async def test_pings_are_not_read_while_their_responses_are_not(
        self, server: PeerServer
    ) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        address = ("127.0.0.1", server.port)
        await asyncio.get_running_loop().sock_connect(sock, address)
        client = Client(*await asyncio.open_connection(sock=sock))
        await async_wait_until(lambda: len(list_connections(server)) == 1)
        [connection] = list_connections(server)
        client.writer.write(PING * 600_000)
        await async_wait_until(lambda: not connection._transport.is_reading())
        most = HIGH_WATER_BYTES + ASYNCIO_READ_BYTES + len(PING)
        assert connection._transport.get_write_buffer_size() <= most
        received = 0
        async with asyncio.timeout(WAIT_S):
            while received < 5_000_000:
                received += len(await client.reader.read(1 << 20))
        client.writer.close()

    async def test_connection_with_the_longest_message_is_closed(
        self, server: PeerServer
    ) -> None:
        """A message was kept until it was complete, whatever its length."""
        server.limits.max_buffered_bytes = 50_000
        rejected: list[str] = []
        server.limits.on_rejected = lambda reason, peer: rejected.append(reason)
        small, large = await async_connect(server), await async_connect(server)
        small.begin_message(20_000)
        large.begin_message(40_000)
        assert await large.async_is_closed()
        assert not await small.async_is_closed()
        assert rejected == ["too many bytes of incomplete messages"]
        small.writer.close()
        await async_wait_until(lambda: server.limits._total == 0)


class TestConnections:
    """Connections beyond the limit."""

    async def test_silent_connection_makes_room(self, server: PeerServer) -> None:
        """Silent connections took all descriptors of a process."""
        displaced: list[tuple[int, str]] = []
        server.limits.on_displaced = lambda limit, state, peer: displaced.append(
            (limit, state)
        )
        busy, silent = await async_connect(server), await async_connect(server)
        busy.begin_message(1)
        await asyncio.sleep(0.05)
        server.limits.table.limit = 2
        third = await async_connect(server)
        assert await silent.async_is_closed()
        assert not await busy.async_is_closed()
        assert displaced == [(2, "new")]
        for each in (busy, silent, third):
            each.writer.close()

    async def test_connection_without_calls_makes_room(
        self, server: PeerServer
    ) -> None:
        server.limits.table.limit = 1
        idle = await async_connect(server)
        idle.begin_message(1)
        await asyncio.sleep(0.05)
        rejected = await async_connect(server)
        assert await rejected.async_is_closed()
        idle.http.reset_stream(1)
        idle.flush()
        await asyncio.sleep(0.05)
        third = await async_connect(server)
        assert await idle.async_is_closed()
        assert not await third.async_is_closed()
        for each in (idle, rejected, third):
            each.writer.close()
