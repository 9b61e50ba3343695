"""Tests of servers that accept a few connections in each turn of the event loop."""

import asyncio
import socket

from mangoway.util import listener as module
from mangoway.util.descriptors import read_max_descriptors
from mangoway.util.listener import ACCEPTED_PER_TURN, async_serve, open_listener

CONNECTIONS = 100


class TestServing:
    """A listener to which many clients connect at once."""

    async def test_connections_are_accepted_over_several_turns(self) -> None:
        """All that waited were accepted at once, before any could make room."""
        listener = open_listener("127.0.0.1", 0)
        clients = [socket.socket() for _ in range(CONNECTIONS)]
        made: list[asyncio.BaseProtocol] = []

        class Protocol(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                made.append(self)

        server = await async_serve(listener, Protocol)
        address = listener.getsockname()
        for each in clients:
            each.connect(address)
        counts = []
        async with asyncio.timeout(5):
            while len(made) < CONNECTIONS:
                await asyncio.sleep(0)
                counts.append(len(made))
        steps = [b - a for a, b in zip([0, *counts], counts, strict=False)]
        assert max(steps) <= ACCEPTED_PER_TURN
        for each in clients:
            each.close()
        server.close()

    async def test_as_many_wait_as_before(self) -> None:
        """A server lowers the number of connections that wait to be accepted."""
        listener = open_listener("127.0.0.1", 0)
        server = await async_serve(listener, asyncio.Protocol)
        server.get_loop().remove_reader(listener)
        clients = [socket.socket() for _ in range(CONNECTIONS)]
        for each in clients:
            each.settimeout(2.0)
            each.connect(listener.getsockname())
            each.close()
        server.close()
        assert module.BACKLOG > CONNECTIONS > ACCEPTED_PER_TURN


def test_descriptors_of_this_process() -> None:
    assert read_max_descriptors() > 0
