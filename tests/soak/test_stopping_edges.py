"""Edges that are told to stop while they serve, with the real programs."""

import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .callers import HOST, PATHS
from .records import Kind
from .world import Node, World

SEED = 71
SETTLE_S = 2.0
STREAMS = 4
RECEIVE_BYTES = 2048
"""Receive buffer of a slow caller."""

LATE_S = 3.05
"""Time after the signal from which streams have no excuse for being cut off."""


@asynccontextmanager
async def start_world(tmp_path: Path) -> AsyncIterator[tuple[World, Node]]:
    """Start a world without callers, and yield it with the edge that is stopped."""
    async with Launcher(tmp_path) as launcher:
        world = World(SEED, launcher, edges=1, callers=0)
        await world.async_start()
        [node] = world.list_nodes("edge")
        node.restarts = False
        node.stopping = True
        try:
            await asyncio.sleep(SETTLE_S)
            yield world, node
        finally:
            await world.async_stop()


def stop(node: Node) -> None:
    """Send the signal to stop."""
    assert node.process is not None
    node.process.child.send_signal(signal.SIGTERM)


async def async_call(
    world: World, node: Node, number: int, pause_s: float = 0
) -> bytes:
    """Send a stream's request, and return all bytes of the response.

    Args:
        world: The world.
        node: The edge.
        number: Number of the request.
        pause_s: Pause after each read of a slow caller; 0 for a fast one.
    """
    sock = socket.socket()
    if pause_s:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    host, _, port = node.caller_address.partition(":")
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BYTES)
    key = world.records.customers.get_first_key()
    writer.write(
        f"POST {PATHS[Kind.FIXED_STREAM]} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: s{number}\r\nAuthorization: Bearer {key}\r\nX-Model: m0\r\n"
        "X-Token-Usage: 100,50\r\nContent-Length: 0\r\n\r\n".encode()
    )
    data = b""
    try:
        while part := await reader.read(512 if pause_s else 65_536):
            data += part
            if data.endswith(b"\r\n0\r\n\r\n"):
                break
            await asyncio.sleep(pause_s)
    except ConnectionResetError:
        pass
    writer.close()
    return data


def is_whole(response: bytes) -> bool:
    return response.startswith(b"HTTP/1.1 200") and response.endswith(b"\r\n0\r\n\r\n")


@pytest.mark.process
class TestStoppingEdges:
    """Streams of an edge that stops."""

    async def test_second_signal_cuts_off_no_stream(self, tmp_path: Path) -> None:
        """It ended the grace period at once."""
        async with start_world(tmp_path) as (world, node):
            for each in world.runners:
                each.pauses = True
            calls = [
                asyncio.create_task(async_call(world, node, number))
                for number in range(STREAMS)
            ]
            await asyncio.sleep(0.4)
            stop(node)
            await asyncio.sleep(0.3)
            stop(node)
            assert [is_whole(each) for each in await asyncio.gather(*calls)] == [
                True
            ] * STREAMS

    async def test_late_streams_are_rejected_as_not_run(self, tmp_path: Path) -> None:
        """They were taken, and cut off at the end of the grace period."""
        async with start_world(tmp_path) as (world, node):
            stop(node)
            stopped_at = time.monotonic()
            await asyncio.sleep(LATE_S)
            responses = await asyncio.gather(
                *(async_call(world, node, number) for number in range(STREAMS))
            )
            assert time.monotonic() - stopped_at < LATE_S + 1.0
            for each in responses:
                assert each.startswith(b"HTTP/1.1 503")
                assert b"retry-after" in each.lower()
        assert world.records.runs == {}
