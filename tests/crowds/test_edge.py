"""Crowds at the listeners of an edge."""

import asyncio
import itertools
import socket
import time
from contextlib import suppress
from pathlib import Path

import orjson
import pytest

from ..soak.callers import PATHS
from ..soak.records import Kind
from .crowd import gather_crowd, watch
from .host import (
    FREE_DESCRIPTORS,
    MAX_DESCRIPTORS,
    make_fields,
    make_get,
    start_host,
)

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


class TestDatagrams:
    """Datagrams of no edge of the fleet."""

    async def test_records_without_end(self, tmp_path: Path) -> None:
        async with start_host(tmp_path) as host, watch(host.process) as watched:
            address, _, port = host.node.caller_address.rpartition(":")
            end = time.monotonic() + SENDING_S
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.connect((address, int(port)))
                for number in itertools.count():
                    if time.monotonic() > end:
                        break
                    names = [
                        f"{number:08}{each:03}".ljust(200, "x") for each in range(80)
                    ]
                    rows = [[name, name, name, "d" * 11] for name in names]
                    with suppress(OSError):
                        sender.send(orjson.dumps(["r", rows]))
                    await asyncio.sleep(0)
            await host.async_check(watched)
