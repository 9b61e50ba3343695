"""Tests of connections to an engine that are closed, or stay open without data."""

import asyncio

import pytest

from tests.stand_ins.caller import Ending
from tests.stand_ins.fleet import Fleet, async_wait_for
from tests.stand_ins.launcher import Process

from .conftest import async_make_caller, async_wait_loaded
from .test_gateways import async_stream, async_wait_streams

pytestmark = pytest.mark.process


async def async_start_relays(fleet: Fleet) -> list[Process]:
    """Start a relay in front of each engine."""
    relays = []
    for number, engine in enumerate(fleet.engines):
        relay = await fleet.launcher.async_start_stand_in(
            f"relay-{number}", "relay", f"--target={engine.address}"
        )
        fleet.set_host(engine.name, relay.address, "runner", number)
        relays.append(relay)
    await fleet.async_publish_hosts()
    for relay in relays:
        await async_wait_used(fleet, relay)
    await async_wait_loaded(fleet)
    return relays


async def async_wait_used(fleet: Fleet, relay: Process) -> None:
    async def async_is_used() -> bool:
        (truth,) = await fleet.async_get_truths([relay])
        return int(truth["accepted"]) >= len(fleet.gateways)

    await async_wait_for(f"{relay.name} is used", async_is_used)


class TestConnections:
    """Streams continue at their offset on a new connection."""

    @pytest.mark.parametrize("fault", ["cut", "mute"])
    async def test_stream_completes(self, fleet: Fleet, fault: str) -> None:
        relays = await async_start_relays(fleet)
        caller = await async_make_caller(fleet, *fleet.gateways)
        streams = [asyncio.create_task(async_stream(caller)) for _ in range(4)]
        await async_wait_streams(fleet, 4)
        for relay in relays:
            await fleet.async_post(relay.admin, f"/admin/{fault}", {})
        assert set(await asyncio.gather(*streams)) == {Ending.ANSWERED}
