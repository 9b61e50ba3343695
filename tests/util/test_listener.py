"""Tests of listening sockets."""

import asyncio
import socket

from mangoway.util.listener import open_listener


class TestOpenListener:
    """Socket options that accepted connections inherit."""

    async def test_accepted_connections_have_nagle_disabled(self) -> None:
        options: asyncio.Queue[int] = asyncio.Queue()

        async def accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted = writer.get_extra_info("socket")
            options.put_nowait(
                accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            writer.close()

        listener = open_listener("127.0.0.1", 0)
        async with await asyncio.start_server(accept, sock=listener):
            _, writer = await asyncio.open_connection(*listener.getsockname())
            assert await options.get() != 0
            writer.close()
