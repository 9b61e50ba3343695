"""Crowds of clients, and what they make a process hold."""

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from attrs import define, field

from ..stand_ins.launcher import Process

READ_BYTES = 65_536
SAMPLE_PERIOD_S = 0.02
"""Interval between two counts of descriptors."""


@define(eq=False)
class Watch:
    """The most that a process held."""

    process: Process
    descriptors: int = field(default=0, init=False)

    @property
    def peak_mb(self) -> float:
        """Return the largest resident memory so far, in MB."""
        status = Path(f"/proc/{self.process.child.pid}/status").read_text()
        [line] = [each for each in status.splitlines() if each.startswith("VmHWM")]
        return int(line.split()[1]) / 1024

    async def async_run(self) -> None:
        """Count descriptors until cancelled."""
        while True:
            with suppress(OSError):
                held = len(os.listdir(f"/proc/{self.process.child.pid}/fd"))
                self.descriptors = max(self.descriptors, held)
            await asyncio.sleep(SAMPLE_PERIOD_S)


@asynccontextmanager
async def watch(process: Process) -> AsyncIterator[Watch]:
    """Watch a process for as long as the context lasts."""
    watched = Watch(process)
    task = asyncio.create_task(watched.async_run())
    try:
        yield watched
    finally:
        task.cancel()


@define(eq=False)
class Crowd:
    """Connections that send the same bytes."""

    address: str
    connections: int
    sockets: list[socket.socket] = field(factory=list, init=False)
    sent_bytes: int = field(default=0, init=False)

    async def async_open(self) -> None:
        """Open the connections; those that are not accepted in time are left out."""
        await asyncio.gather(*(self._async_open() for _ in range(self.connections)))

    async def async_send(self, data: bytes) -> None:
        """Send the same bytes once on each connection."""
        await asyncio.gather(
            *(self._async_send_once(each, data) for each in self.sockets)
        )

    async def async_send_ahead(
        self, data: bytes, max_bytes: int, seconds: float, reads: bool
    ) -> None:
        """Send the same bytes again and again on each connection.

        Args:
            data: One request or more.
            max_bytes: Bytes after which a connection stops sending.
            seconds: Time after which it stops sending.
            reads: Whether responses are read.
        """
        block = data * max(1, READ_BYTES // len(data))
        rounds = max_bytes // len(block)
        tasks = [
            asyncio.create_task(self._async_send_blocks(each, block, rounds))
            for each in self.sockets
        ]
        readers = [
            asyncio.create_task(_async_read(each)) for each in self.sockets if reads
        ]
        await asyncio.wait(tasks, timeout=seconds)
        for each in (*tasks, *readers):
            each.cancel()
        await asyncio.gather(*tasks, *readers, return_exceptions=True)

    def close(self) -> None:
        """Close all connections."""
        for each in self.sockets:
            each.close()
        self.sockets.clear()

    async def _async_open(self) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        except (OSError, TimeoutError):
            sock.close()
            return
        self.sockets.append(sock)

    async def _async_send_once(self, sock: socket.socket, data: bytes) -> None:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                await asyncio.get_running_loop().sock_sendall(sock, data)
                self.sent_bytes += len(data)

    async def _async_send_blocks(
        self, sock: socket.socket, block: bytes, rounds: int
    ) -> None:
        with suppress(OSError):
            for _ in range(rounds):
                await asyncio.get_running_loop().sock_sendall(sock, block)
                self.sent_bytes += len(block)
                await asyncio.sleep(0)


@asynccontextmanager
async def gather_crowd(address: str, connections: int) -> AsyncIterator[Crowd]:
    """Open the connections of a crowd, and close them at the end."""
    crowd = Crowd(address, connections)
    try:
        await crowd.async_open()
        yield crowd
    finally:
        crowd.close()


async def _async_read(sock: socket.socket) -> None:
    with suppress(OSError):
        while await asyncio.get_running_loop().sock_recv(sock, READ_BYTES):
            pass


async def async_ask(address: str, data: bytes, timeout_s: float = 30.0) -> bytes:
    """Send one request on a new connection, and return the head of its response.

    A connection that is closed without a response is opened again, as clients do.
    """
    end = time.monotonic() + timeout_s
    host, _, port = address.rpartition(":")
    while True:
        head = b""
        with suppress(OSError):
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + 10.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(data)
                    head = await reader.readline()
                finally:
                    writer.close()
        if head or time.monotonic() > end:
            return head
        await asyncio.sleep(0.1)
