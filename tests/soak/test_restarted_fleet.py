"""All processes of a role, or of both roles, that are killed at once and start again.

The failure: what only these processes knew was taken for something that doesn't exist.
"""

import asyncio
import time
from pathlib import Path

import aiohttp
import pytest
from attrs import evolve

from ..stand_ins.launcher import Launcher
from .customers import REVOKE_S
from .records import RETRY_WINDOW_S, Kind
from .store import StoreFault
from .test_crashing_requests import FOLLOW_S
from .test_lost_keys import async_send_with
from .world import World

SEED = 113
WATCHES_END_S = 0.7
"""Time after which no watch that began before the store's absence is answered."""

AWAY_S = 0.3
REPEATED_S = 4.9
"""Time from the store's return until the operator makes the lost write again."""

WATCHED_S = 4.0
REJECTING_S = 8.0
"""Time for which runners reject requests."""

ALL_KILLED_S = 2.5
"""Time between two kills of all processes, within a window of the retry budget."""

ROLES = (("edge",), ("edge", "scheduler"))


def kill_all(world: World, roles: tuple[str, ...]) -> None:
    """Kill all processes of some roles at once; they are restarted."""
    for role in roles:
        for node in world.list_nodes(role):
            assert node.process is not None
            node.stopping = True
            node.process.kill()


@pytest.mark.process
class TestKeys:
    """Keys that were taken away in a write that the restored store has lost."""

    @pytest.mark.parametrize("roles", ROLES)
    async def test_removed_key_is_not_accepted_by_restarted_edges(
        self, roles: tuple[str, ...], tmp_path: Path
    ) -> None:
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
                copy = world.store.copy()
                world.store.absence = StoreFault.SILENT
                await asyncio.sleep(WATCHES_END_S)
                removed_at = time.monotonic()
                world.records.customers.change_key(removed_at)
                world.write_configuration()
                await asyncio.sleep(AWAY_S)
                lost = world.store.restore(copy)
                world.store.absence = StoreFault.NONE
                await asyncio.sleep(0.5)
                kill_all(world, roles)
                await asyncio.sleep(REPEATED_S - 0.5)
                world.store.write_again(lost)
                await asyncio.sleep(WATCHED_S)
            finally:
                await world.async_stop()
        keys = world.records.customers.keys
        removed = {each.text for each in keys if each.removed_at is not None}
        late = [
            each
            for each in world.records.calls.values()
            if each.sent_at > removed_at + REVOKE_S
        ]
        assert any(each.key in removed for each in late)
        assert not any(each.whole for each in late if each.key in removed)
        assert any(each.whole for each in late if each.key not in removed)


@pytest.mark.process
class TestRetries:
    """The retry budget of each service, over all edges before and after a restart."""

    @pytest.mark.parametrize("roles", ROLES)
    async def test_no_window_exceeds_the_budget_when_all_restart_twice(
        self, roles: tuple[str, ...], tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, schedulers=2, edges=4, callers=30)
            await world.async_start()
            await asyncio.sleep(RETRY_WINDOW_S)
            span = world.records.begin("all killed")
            try:
                for runner in world.runners:
                    runner.reject_share = 0.95
                for _ in range(2):
                    await asyncio.sleep(ALL_KILLED_S)
                    kill_all(world, roles)
                await asyncio.sleep(REJECTING_S - 2 * ALL_KILLED_S)
            finally:
                await world.async_stop()
        span.ended = span.began + REJECTING_S
        assert any(map(world.records.list_retries, world.records.arrivals))
        budget = [each for each in world.records.check() if each.startswith("budget")]
        assert budget == []
