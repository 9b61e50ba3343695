"""Tests of the relay: broken and working connections."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress

import aiohttp
import pytest

from .relay import Relay
from .service import ServiceStandIn


@pytest.fixture
async def relay() -> AsyncIterator[Relay]:
    service = ServiceStandIn("host-1")
    relay = Relay(await service.async_start())
    await relay.async_start()
    yield relay
    await relay.async_stop()
    await service.async_stop()


async def async_call(relay: Relay, session: aiohttp.ClientSession) -> int:
    url = f"http://{relay.relay_address}/confirm"
    async with session.post(url, json={"id": "1"}) as response:
        return int((await response.json())["run"])


class TestRelay:
    """Open connections break; new ones work."""

    async def test_cut(self, relay: Relay) -> None:
        async with aiohttp.ClientSession() as session:
            assert await async_call(relay, session) == 1
            relay.cut()
            # The client may or may not have noticed the closed connection by now.
            with suppress(aiohttp.ClientError):
                await async_call(relay, session)
            assert await async_call(relay, session) > 1
            assert relay.truth()["accepted"] == 2

    async def test_mute(self, relay: Relay) -> None:
        async with aiohttp.ClientSession() as old, aiohttp.ClientSession() as new:
            assert await async_call(relay, old) == 1
            relay.mute()
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(async_call(relay, old), 0.2)
            # No data passes on the muted connection, in either direction.
            assert await async_call(relay, new) == 2
