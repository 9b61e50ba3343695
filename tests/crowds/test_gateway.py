"""Crowds at the listeners of a gateway."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest

from ..processes.conftest import BASE_FILE, ENGINE_MEMORY_MB, async_wait_loaded
from ..stand_ins.fleet import Fleet, async_wait_for
from ..stand_ins.launcher import Launcher, Process
from .crowd import Watch, async_ask, gather_crowd, watch
from .host import FREE_DESCRIPTORS, MAX_DESCRIPTORS, MAX_MEMORY_MB, make_get

SENDERS = 16
SENT_BYTES = 24 << 20
SENDING_S = 4.0
OPENERS = 400
BODY_OPENERS = 300
BODY_BYTES = 1 << 20
"""Largest body by the default settings."""


@asynccontextmanager
async def start_fleet(
    folder: Path, max_descriptors: int | None = None
) -> AsyncIterator[tuple[Fleet, Process]]:
    """Start a small fleet, and yield it with its only gateway."""
    async with (
        aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=60)) as session,
        Launcher(folder) as launcher,
    ):
        fleet = Fleet(launcher, session)
        await fleet.async_start_platform()
        await fleet.async_start_engines(1, ENGINE_MEMORY_MB)
        await fleet.async_start_services(1)
        launcher.max_descriptors = max_descriptors
        await fleet.async_start_controller()
        gateway = await fleet.async_start_gateway()
        await fleet.async_list_hosts()
        await fleet.async_wait_started()
        await fleet.async_apply_base(BASE_FILE)
        await fleet.async_wait_ready()
        await async_wait_loaded(fleet)
        await async_wait_for("calls are served", lambda: async_is_served(gateway))
        yield fleet, gateway


async def async_is_served(gateway: Process) -> bool:
    """Return whether an ordinary call is answered."""
    call = make_completion(len(ORDINARY_BODY)) + ORDINARY_BODY
    return b" 200 " in await async_ask(gateway.address, call)


def make_completion(body_bytes: int) -> bytes:
    """Return the head of a request for a completion, with a body of some size."""
    return (
        b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nX-Caller: agents\r\n"
        b"X-Work-Class: urgent\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n" % body_bytes
    )


ORDINARY_BODY = b'{"model": "escort-chat@1", "prompt": "hello", "max_tokens": 2}'


async def async_check(gateway: Process, watched: Watch) -> None:
    """Check that the gateway lives within its memory, and answers an ordinary call."""
    ready = await async_ask(gateway.address, make_get(b"/readyz"))
    assert b" 200 " in ready
    assert await async_is_served(gateway)
    assert gateway.is_running
    assert watched.peak_mb < MAX_MEMORY_MB


class TestCallers:
    """Clients that keep to no limits at the listener for callers."""

    @pytest.mark.parametrize("reads", [False, True], ids=["unread", "read"])
    @pytest.mark.parametrize("path", [b"/readyz", b"/none"])
    async def test_requests_sent_ahead(
        self, tmp_path: Path, path: bytes, reads: bool
    ) -> None:
        """Each response let further requests in, and all in a read were kept parsed."""
        async with start_fleet(tmp_path) as (_, gateway), watch(gateway) as watched:
            async with gather_crowd(gateway.address, SENDERS) as crowd:
                data = make_get(path)
                await crowd.async_send_ahead(data, SENT_BYTES, SENDING_S, reads)
            await async_check(gateway, watched)

    async def test_unfinished_bodies(self, tmp_path: Path) -> None:
        async with start_fleet(tmp_path) as (_, gateway), watch(gateway) as watched:
            data = make_completion(BODY_BYTES) + bytes(BODY_BYTES - 1)
            async with gather_crowd(gateway.address, BODY_OPENERS) as crowd:
                await crowd.async_send(data)
            await async_check(gateway, watched)

    async def test_silent_connections(self, tmp_path: Path) -> None:
        async with (
            start_fleet(tmp_path, MAX_DESCRIPTORS) as (_, gateway),
            watch(gateway) as watched,
        ):
            async with gather_crowd(gateway.address, OPENERS):
                await async_check(gateway, watched)
            assert watched.descriptors <= MAX_DESCRIPTORS - FREE_DESCRIPTORS
