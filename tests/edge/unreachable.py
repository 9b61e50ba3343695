"""Addresses of runners that an edge can't connect to."""

import asyncio
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

BACKLOG_CONNECTIONS = 2
"""Connections that fill the queue of a listener with a backlog of zero."""


@asynccontextmanager
async def open_hanging_address() -> AsyncIterator[str]:
    """Yield an address at which new connections are neither accepted nor refused."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    name = listener.getsockname()
    fillers = [socket.socket() for _ in range(BACKLOG_CONNECTIONS)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(name)
    await asyncio.sleep(0.05)
    try:
        yield f"{name[0]}:{name[1]}"
    finally:
        for each in (*fillers, listener):
            each.close()


@contextmanager
def reserve_refusing_address() -> Iterator[str]:
    """Yield an address at which no process listens."""
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        host, port = reserved.getsockname()
        yield f"{host}:{port}"
