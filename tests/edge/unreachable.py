"""Edges that know each other, and runners that one of them can't connect to."""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from mangoway.models.fleet import Member, Role

from ..fakes.fleet import make_runner
from ..upstreams.raw_server import RawServer
from .world import EdgeWorld

RUNNERS = 4
"""Runners of each service."""

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


@asynccontextmanager
async def open_resetting_address(delay_s: float) -> AsyncIterator[str]:
    """Yield an address at which connections are accepted, and reset after a delay."""

    def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asyncio.get_running_loop().call_later(delay_s, writer.transport.abort)

    async with await asyncio.start_server(reset, "127.0.0.1", 0) as server:
        host, port = server.sockets[0].getsockname()
        yield f"{host}:{port}"


@asynccontextmanager
async def stop_accepting(server: RawServer) -> AsyncIterator[None]:
    """Let a server neither accept nor refuse new connections, and keep its open ones.

    To a caller, its host is lost: such a host closes no connections.
    """
    listener = server._server.sockets[0]
    asyncio.get_running_loop().remove_reader(listener.fileno())
    duplicate = socket.socket(fileno=os.dup(listener.fileno()))
    duplicate.listen(0)
    fillers = [socket.socket() for _ in range(BACKLOG_CONNECTIONS)]
    for each in fillers:
        each.setblocking(False)
        each.connect_ex(duplicate.getsockname())
    await asyncio.sleep(0.05)
    try:
        yield
    finally:
        for each in (*fillers, duplicate):
            each.close()


@contextmanager
def reserve_refusing_address() -> Iterator[str]:
    """Yield an address at which no process listens."""
    with socket.socket() as reserved:
        reserved.bind(("127.0.0.1", 0))
        host, port = reserved.getsockname()
        yield f"{host}:{port}"


def make_member(name: str, edge: EdgeWorld, data_centre: str = "dc1") -> Member:
    """Return the announcement of an edge."""
    return make_peer(name, f"127.0.0.1:{edge.port}", data_centre)


def make_peer(name: str, caller_address: str, data_centre: str = "dc1") -> Member:
    """Return the announcement of an edge at an address for callers."""
    return Member(
        host=name,
        role=Role.EDGE,
        data_centre=data_centre,
        incarnation=name,
        peer_address="",
        caller_address=caller_address,
    )


def introduce(*edges: EdgeWorld) -> None:
    """Let edges know each other; the first is called e1."""
    for number, edge in enumerate(edges, 1):
        member = make_member(f"e{number}", edge)
        for other in edges:
            other.view.update_member(f"members/edge/e{number}", member)


def add_runners(edge: EdgeWorld, address: str) -> None:
    """Add the runners of both services, all at one address."""
    for service in ("plain", "llm"):
        for number in range(RUNNERS):
            runner_id = f"{service}-{number}"
            entry = make_runner(runner_id, service=service, address=address)
            edge.view.update_runner(entry)
            if service == "llm":
                edge.grant_provider.runner_ids.append(runner_id)
