"""Crowds at the listeners of an edge."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from attrs import define

from ..soak.callers import HOST, PATHS
from ..soak.records import Kind
from ..soak.world import Node, World
from ..stand_ins.launcher import Launcher, Process
from .crowd import Watch, async_ask, gather_crowd, watch

SEED = 75
MAX_MEMORY_MB = 160.0
"""Memory of the smallest machine."""

MAX_DESCRIPTORS = 256
"""Descriptors that a process may open in these tests."""

FREE_DESCRIPTORS = 64
"""Descriptors that a crowd must leave for runners, the store and other processes."""

SENDERS = 16
SENT_BYTES = 24 << 20
"""Bytes that each connection of a crowd sends ahead at most."""

SENDING_S = 4.0
OPENERS = 400
BODY_OPENERS = 60
BODY_BYTES = 4 << 20
"""Largest body within the default limits."""

HEAD_BYTES = 16_000
"""Bytes of the fields of a head, just within the default limits."""

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
        assert self.process.is_running
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
        )
        await world.async_start()
        try:
            yield Host(world, world.list_nodes("edge")[0])
        finally:
            await world.async_stop()


class TestRequestsSentAhead:
    """Clients that send requests without waiting for the responses."""

    async def async_play(
        self, folder: Path, listener: str, path: str, reads: bool, form: str = ""
    ) -> None:
        """Let a crowd send requests ahead, and check the edge afterwards."""
        async with start_host(folder) as host, watch(host.process) as watched:
            fields = make_fields(8_000) if form == "fields" else b""
            body = bytes(700) if form == "bodies" else b""
            if listener == "caller" or body:
                data = host.make_call(path, fields, body)
            else:
                data = make_get(path.encode(), fields)
            async with gather_crowd(host.find_address(listener), SENDERS) as crowd:
                assert len(crowd.sockets) == SENDERS
                await crowd.async_send_ahead(data, SENT_BYTES, SENDING_S, reads)
            await host.async_check(watched)

    @pytest.mark.parametrize("reads", [False, True], ids=["unread", "read"])
    async def test_readiness_checks(self, tmp_path: Path, reads: bool) -> None:
        """Their edge kept all bytes that were sent, until its memory was used up."""
        await self.async_play(tmp_path, "ready", "/v1/ready", reads)

    @pytest.mark.parametrize("reads", [False, True], ids=["unread", "read"])
    async def test_requests_without_a_route(self, tmp_path: Path, reads: bool) -> None:
        """Their edge kept all bytes that were sent, until its memory was used up."""
        await self.async_play(tmp_path, "caller", "/none/x", reads)

    @pytest.mark.parametrize("reads", [False, True], ids=["unread", "read"])
    @pytest.mark.parametrize(
        ("listener", "path", "form"),
        [
            ("ready", "/none", ""),
            ("directory", "/v1/resolve?name=a&zone=dc-1", ""),
            ("directory", "/none", "bodies"),
            ("caller", "/none/x", "fields"),
            ("caller", PATHS[Kind.SAFE], ""),
            ("caller", PATHS[Kind.ONCE], "bodies"),
            ("caller", PATHS[Kind.FIXED_STREAM], ""),
        ],
    )
    async def test_other_requests(
        self, tmp_path: Path, listener: str, path: str, form: str, reads: bool
    ) -> None:
        await self.async_play(tmp_path, listener, path, reads, form)

    async def test_all_listeners_at_once(self, tmp_path: Path) -> None:
        """Each listener had the memory of the whole process to itself."""
        async with start_host(tmp_path) as host, watch(host.process) as watched:
            ready, directory, caller = (
                host.find_address(each) for each in ("ready", "directory", "caller")
            )
            async with (
                gather_crowd(ready, SENDERS) as first,
                gather_crowd(directory, SENDERS) as second,
                gather_crowd(caller, SENDERS) as third,
            ):
                data = (
                    make_get(b"/v1/ready"),
                    make_get(b"/v1/resolve?name=a&zone=dc-1"),
                    host.make_call("/none/x"),
                )
                await asyncio.gather(
                    *(
                        crowd.async_send_ahead(each, SENT_BYTES, SENDING_S, False)
                        for crowd, each in zip(
                            (first, second, third), data, strict=True
                        )
                    )
                )
            await host.async_check(watched)


class TestUnfinishedRequests:
    """Clients that begin requests and never end them."""

    async def test_bodies_at_all_listeners(self, tmp_path: Path) -> None:
        """Each listener had the memory of the whole process to itself."""
        async with start_host(tmp_path) as host, watch(host.process) as watched:
            head = host.make_head("/none/x") + (
                b"Content-Length: %d\r\n\r\n" % BODY_BYTES
            )
            data = head + bytes(BODY_BYTES - 1)
            for listener in ("ready", "directory", "caller"):
                address = host.find_address(listener)
                async with gather_crowd(address, BODY_OPENERS) as crowd:
                    await crowd.async_send(data)
            await host.async_check(watched)

    async def test_heads_with_many_fields(self, tmp_path: Path) -> None:
        """Parsed fields take many times their size, and were not counted."""
        async with start_host(tmp_path) as host, watch(host.process) as watched:
            data = host.make_call("/none/x", make_fields(HEAD_BYTES), b"x")[:-1]
            async with gather_crowd(host.node.caller_address, OPENERS) as crowd:
                await crowd.async_send(data)
                await host.async_check(watched)


class TestDescriptors:
    """Clients that keep many connections open."""

    async def async_play(self, folder: Path, listener: str, data: bytes) -> None:
        """Let a crowd keep connections, and check the edge while they are open."""
        async with (
            start_host(folder, MAX_DESCRIPTORS) as host,
            watch(host.process) as watched,
        ):
            async with gather_crowd(host.find_address(listener), OPENERS) as crowd:
                if data:
                    await crowd.async_send(data)
                await host.async_check(watched)
            assert watched.descriptors <= MAX_DESCRIPTORS - FREE_DESCRIPTORS

    @pytest.mark.parametrize("listener", ["caller", "ready", "directory"])
    async def test_silent_connections(self, tmp_path: Path, listener: str) -> None:
        """They took all descriptors until their idle timeouts."""
        await self.async_play(tmp_path, listener, b"")

    @pytest.mark.parametrize("listener", ["caller", "ready", "directory"])
    async def test_unread_responses(self, tmp_path: Path, listener: str) -> None:
        data = make_get(b"/v1/ready" if listener == "ready" else b"/none/x")
        await self.async_play(tmp_path, listener, data)

    @pytest.mark.parametrize("listener", ["caller", "ready", "directory"])
    async def test_unfinished_heads(self, tmp_path: Path, listener: str) -> None:
        await self.async_play(tmp_path, listener, b"GET / HTTP/1.1\r\nHost: h\r\n")
