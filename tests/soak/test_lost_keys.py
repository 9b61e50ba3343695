"""Keys that are taken away just before the store comes back from a copy.

The failure: no host had read that write, the operator made it again 4.5 s after the
restore, and requests with the key ran until then.
"""

import asyncio
import time
from pathlib import Path

import aiohttp
import pytest
from attrs import evolve

from ..stand_ins.launcher import Launcher
from .callers import Caller
from .customers import REVOKE_S
from .records import Call, Kind
from .store import StoreFault
from .test_crashing_requests import FOLLOW_S
from .world import World

SEED = 97
AWAY_S = 0.7
REPEATED_S = 4.5
"""Time from the store's return until the operator makes the lost write again."""

WATCHED_S = 3.0
PAUSE_S = 0.05


async def async_send_with(caller: Caller, template: Call, edges: list[str]) -> None:
    """Send requests with the key of a call to each edge in turn."""
    async with aiohttp.ClientSession() as session:
        for count in range(10_000):
            edge = edges[count % len(edges)]
            await caller.async_call(session, edge, Kind.SAFE, original=template)
            await asyncio.sleep(PAUSE_S)


async def async_lose_removal(world: World) -> float:
    """Replace a key in a write that no host reads, and return when.

    The operator repeats it after the restore.
    """
    copy = world.store.copy()
    world.store.absence = StoreFault.SILENT
    removed_at = time.monotonic()
    world.records.customers.change_key(removed_at)
    world.write_configuration()
    await asyncio.sleep(AWAY_S)
    lost = world.store.restore(copy)
    world.records.restores += 1
    world.store.absence = StoreFault.NONE
    await asyncio.sleep(REPEATED_S)
    world.store.write_again(lost)
    await asyncio.sleep(WATCHED_S)
    return removed_at


@pytest.mark.process
class TestLostKeyRemoval:
    """Requests with a key whose removal the restored store has lost."""

    async def test_key_ends_in_time_and_others_stay(self, tmp_path: Path) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, callers=0)
            await world.async_start()
            try:
                await asyncio.sleep(FOLLOW_S)
                edges = [each.caller_address for each in world.list_nodes("edge")]
                async with aiohttp.ClientSession() as session:
                    first = await world.make_caller(0).async_call(
                        session, edges[0], Kind.SAFE
                    )
                for number, key in enumerate(tuple(world.records.customers.keys)):
                    template = evolve(first, key=key.text)
                    caller = world.make_caller(number)
                    world.start_task(async_send_with(caller, template, edges))
                await asyncio.sleep(1.0)
                removed_at = await async_lose_removal(world)
            finally:
                await world.async_stop()
        late = [
            each
            for each in world.records.calls.values()
            if each.sent_at > removed_at + REVOKE_S
        ]
        removed = {
            each.text
            for each in world.records.customers.keys
            if each.removed_at is not None
        }
        assert any(each.key in removed for each in late)
        assert not any(each.whole for each in late if each.key in removed)
        assert any(each.whole for each in late if each.key not in removed)
