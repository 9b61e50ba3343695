"""Tests of the check whether an upstream leaves a new connection open."""

import asyncio
import socket
import struct
import time
from collections.abc import Iterator

import pytest

from mangoway.http1.client import Connection, async_connect

CHECK_S = 0.05
STALL_S = 0.1
"""Time for which the event loop runs nothing else: longer than the check."""

RESETS = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a closed socket sends a reset."""


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


async def open_connection(
    listener: socket.socket,
) -> tuple[Connection, socket.socket]:
    """Return a connection and its other end."""
    host, port = listener.getsockname()
    now = asyncio.get_running_loop().time()
    connection = await async_connect(f"{host}:{port}", now)
    return connection, listener.accept()[0]


def close(end: socket.socket, *, reset: bool) -> None:
    if reset:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETS)
    end.close()


class TestKeptOpen:
    """Connections that are closed, or not, before the check ends."""

    async def test_open_connection_is_kept_open(self, listener: socket.socket) -> None:
        connection, end = await open_connection(listener)
        assert await connection.async_is_kept_open(CHECK_S)
        end.close()
        connection.close()

    @pytest.mark.parametrize("reset", [False, True])
    async def test_end_is_noticed(
        self, listener: socket.socket, *, reset: bool
    ) -> None:
        connection, end = await open_connection(listener)
        close(end, reset=reset)
        assert not await connection.async_is_kept_open(CHECK_S)
        connection.close()

    @pytest.mark.parametrize("reset", [False, True])
    async def test_end_that_arrives_while_the_loop_is_busy_is_noticed(
        self, listener: socket.socket, *, reset: bool
    ) -> None:
        """The time was up in the turn that read the end: it counted as kept open."""
        connection, end = await open_connection(listener)
        check = asyncio.create_task(connection.async_is_kept_open(CHECK_S))
        await asyncio.sleep(0)

        def stall() -> None:
            close(end, reset=reset)
            time.sleep(STALL_S)

        asyncio.get_running_loop().call_soon(stall)
        assert not await check
        connection.close()
