"""A small fleet, one of whose processes meets a crowd."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from attrs import define

from ..soak.callers import HOST, PATHS
from ..soak.records import Kind
from ..soak.world import Node, World
from ..stand_ins.launcher import Launcher, Process
from .crowd import Watch, async_ask

SEED = 75
MAX_MEMORY_MB = 160.0
"""Memory of the smallest machine."""

MAX_DESCRIPTORS = 256
"""Descriptors that a process may open in these tests."""

FREE_DESCRIPTORS = 64
"""Descriptors that a crowd must leave for runners, the store and other processes."""

COUNTED_FIELD_BYTES = 6
"""Bytes that count for a field with a name of two letters and no value."""


@define(eq=False)
class Host:
    """The edge of a small fleet."""

    world: World
    node: Node

    @property
    def process(self) -> Process:
        """Return the process of the edge."""
        assert self.node.process is not None
        return self.node.process

    @property
    def scheduler(self) -> Node:
        """Return the node of the only scheduler."""
        [node] = self.world.list_nodes("scheduler")
        return node

    def make_head(self, path: str, fields: bytes = b"") -> bytes:
        """Return the begin of an ordinary request, without the end of its head."""
        key = self.world.records.customers.get_first_key()
        return (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n"
            "X-Request-Id: crowd\r\nX-Deadline-Ms: 3000\r\nX-Model: m0\r\n"
            "X-Token-Usage: 100,40\r\n"
        ).encode() + fields

    def make_call(self, path: str, fields: bytes = b"", body: bytes = b"") -> bytes:
        """Return an ordinary request."""
        head = self.make_head(path, fields)
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def find_address(self, listener: str) -> str:
        """Return the address of a listener."""
        return str(getattr(self.node, f"{listener}_address"))

    async def async_check(self, watched: Watch) -> None:
        """Check that the edge lives within its memory, and serves ordinary clients."""
        assert self.process.is_running
        ready = make_get(b"/v1/ready")
        assert b" 200 " in await async_ask(self.node.ready_address, ready)
        question = make_get(b"/v1/resolve?name=soak.example&region=r&zone=dc-1")
        assert b" 200 " in await async_ask(self.node.directory_address, question)
        call = self.make_call(PATHS[Kind.SAFE])
        assert b" 200 " in await async_ask(self.node.caller_address, call)
        await self.async_check_process(watched)

    async def async_check_process(self, watched: Watch) -> None:
        """Check that a process lives within its memory, and that streams are served.

        A stream needs a grant of the scheduler.
        """
        stream = self.make_call(PATHS[Kind.FIXED_STREAM])
        assert b" 200 " in await async_ask(self.node.caller_address, stream)
        assert watched.process.is_running
        assert watched.peak_mb < MAX_MEMORY_MB


def make_get(target: bytes, fields: bytes = b"") -> bytes:
    return b"GET %b HTTP/1.1\r\nHost: h\r\n%b\r\n" % (target, fields)


def make_fields(size: int) -> bytes:
    """Return short header fields of a total size."""
    return b"ab:\r\n" * (size // COUNTED_FIELD_BYTES)


@asynccontextmanager
async def start_host(
    folder: Path, max_descriptors: int | None = None
) -> AsyncIterator[Host]:
    """Start a small fleet, and yield its only edge."""
    async with Launcher(folder, max_descriptors=max_descriptors) as launcher:
        world = World(
            SEED,
            launcher,
            edges=1,
            schedulers=1,
            engines=1,
            plain_runners=1,
            callers=0,
            engine_models=("m0",),
            serves_metrics=True,
        )
        await world.async_start()
        try:
            yield Host(world, world.list_nodes("edge")[0])
        finally:
            await world.async_stop()
