"""Fixtures: a peer server on loopback behind a relay that can become silent."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from attrs import define, field

from mangoway.peers.server import PeerReceivers, PeerServer

LOOPBACK = "127.0.0.1"


@define(eq=False)
class Relay:
    """Relays bytes to a port; open connections can be made silent permanently."""

    target_port: int
    connections: int = 0
    _silent: asyncio.Event = field(factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = field(factory=list)
    _tasks: list[asyncio.Task[None]] = field(factory=list)

    @property
    def address(self) -> str:
        assert self._server is not None
        return f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"

    async def async_start(self) -> None:
        self._server = await asyncio.start_server(self._async_accept, LOOPBACK, 0)

    async def async_stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> None:
        """Stop relaying on the connections that are open now."""
        self._silent.set()
        self._silent = asyncio.Event()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        silent = self._silent
        target = await asyncio.open_connection(LOOPBACK, self.target_port)
        self._writers += [writer, target[1]]
        loop = asyncio.get_running_loop()
        for source, sink in ((reader, target[1]), (target[0], writer)):
            self._tasks.append(loop.create_task(_async_copy(source, sink, silent)))


async def _async_copy(
    source: asyncio.StreamReader, sink: asyncio.StreamWriter, silent: asyncio.Event
) -> None:
    while data := await source.read(65536):
        if not silent.is_set():
            sink.write(data)
    if not silent.is_set():
        sink.close()


@pytest.fixture
def receivers() -> PeerReceivers:
    """Return the server's receivers; a test sets those that it needs."""
    return PeerReceivers()


@pytest.fixture
async def relay(receivers: PeerReceivers) -> AsyncIterator[Relay]:
    """Start a peer server and a relay in front of it."""
    server = PeerServer(receivers)
    await server.async_start(LOOPBACK, 0)
    relay = Relay(server.port)
    await relay.async_start()
    yield relay
    await relay.async_stop()
    await server.async_stop()
