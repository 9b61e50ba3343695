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
from .world import ROUTE_TIMEOUT_S, Node, World

SEED = 71
SETTLE_S = 2.0
STREAMS = 4
RECEIVE_BYTES = 2048
"""Receive buffer of a slow caller."""

LATE_S = 3.05
"""Time after the signal from which streams have no excuse for being cut off."""


LONG_S = 9.0
"""Time limit of routes whose calls may outlast the grace period."""

SHORT_S = 1.5
"""Time limit of routes whose calls always end within it."""

CALLS = 6


@asynccontextmanager
async def start_world(
    tmp_path: Path, route_timeout_s: float = ROUTE_TIMEOUT_S
) -> AsyncIterator[tuple[World, Node]]:
    """Start a world without callers, and yield it with the edge that is stopped."""
    async with Launcher(tmp_path) as launcher:
        world = World(
            SEED, launcher, edges=1, callers=0, route_timeout_s=route_timeout_s
        )
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
    world: World,
    node: Node,
    number: int,
    pause_s: float = 0,
    kind: Kind = Kind.FIXED_STREAM,
) -> bytes:
    """Send a request, a stream's by default, and return all bytes of the response.

    Args:
        world: The world.
        node: The edge.
        number: Number of the request.
        pause_s: Pause after each read of a slow caller; 0 for a fast one.
        kind: Kind of the request.
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
        f"POST {PATHS[kind]} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: s{number}\r\nAuthorization: Bearer {key}\r\nX-Model: m0\r\n"
        "X-Token-Usage: 100,50\r\nConnection: close\r\n"
        "Content-Length: 0\r\n\r\n".encode()
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


@pytest.mark.process
class TestLongCalls:
    """Calls whose work may outlast the grace period of the edge that took them.

    They were passed on to a runner, and cut off without an answer at its end.
    """

    @pytest.mark.parametrize("kind", [Kind.ONCE, Kind.SAFE])
    async def test_late_ones_are_rejected_at_once_as_not_run(
        self, tmp_path: Path, kind: Kind
    ) -> None:
        async with start_world(tmp_path, LONG_S) as (world, node):
            for each in world.runners:
                each.work_s = 4.5
            stop(node)
            stopped_at = time.monotonic()
            await asyncio.sleep(LATE_S)
            responses = await asyncio.gather(
                *(async_call(world, node, n, kind=kind) for n in range(CALLS))
            )
            assert time.monotonic() - stopped_at < LATE_S + 1.0
            for each in responses:
                assert each.startswith(b"HTTP/1.1 503")
                assert b"retry-after" in each.lower()
        assert world.records.runs == {}

    async def test_late_ones_that_end_in_time_are_served(self, tmp_path: Path) -> None:
        async with start_world(tmp_path, SHORT_S) as (world, node):
            stop(node)
            await asyncio.sleep(LATE_S)
            responses = await asyncio.gather(
                *(async_call(world, node, n, kind=Kind.ONCE) for n in range(CALLS))
            )
        assert [each[:12] for each in responses] == [b"HTTP/1.1 200"] * CALLS

    @pytest.mark.parametrize("kind", [Kind.ONCE, Kind.SAFE])
    async def test_early_ones_get_an_answer_at_the_end(
        self, tmp_path: Path, kind: Kind
    ) -> None:
        async with start_world(tmp_path, LONG_S) as (world, node):
            for each in world.runners:
                each.work_s = 2 * LONG_S
            stop(node)
            await asyncio.sleep(1.0)
            responses = await asyncio.gather(
                *(async_call(world, node, n, kind=kind) for n in range(CALLS))
            )
            assert node.process is not None
            assert await node.process.child.wait() == 0
        # It may have run, so that the answer must not state the opposite.
        assert [each[:12] for each in responses] == [b"HTTP/1.1 504"] * CALLS
