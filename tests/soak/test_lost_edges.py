"""Edges that end without an announcement, while parts that would notice it are away.

The failure: callers were sent to an edge that had ended for as long as the store was
away, since only the store could end its announcement.
"""

import asyncio
import time
from pathlib import Path

import aiohttp
import pytest

from ..stand_ins.launcher import Launcher
from .test_crashing_requests import FOLLOW_S
from .world import Node, World

SEED = 51
GONE_S = 5.0
"""Time after the end of an edge until no directory may name it: its lease of 3 s, which
the stand-in of the store checks each 0.5 s, and the others' watches on a busy host."""

KEPT_S = 4.0
"""Time for which it must stay so."""

LEADER_TIMEOUT_S = 15.0


def end_process(node: Node) -> None:
    """Kill the process of a node for good."""
    assert node.process is not None
    node.restarts, node.stopping = False, True
    node.process.kill()


def cut_from_store(world: World) -> None:
    """Cut all processes from the store."""
    for node in world.nodes:
        node.store_relay.cut()
        node.store_relay.switches.refuse_new = True


async def async_list_named(world: World) -> set[str]:
    """Return all addresses that the directories of the running edges name."""
    named: set[str] = set()
    async with aiohttp.ClientSession() as session:
        for node in world.list_nodes("edge"):
            url = f"http://{node.directory_address}/v1/resolve"
            async with session.get(url) as response:
                named.update((await response.json(content_type=None))["addresses"])
    return named


async def async_wait_for_leader(world: World) -> None:
    """Wait until a scheduler leads, and the edges have had time to connect to it."""
    async with asyncio.timeout(LEADER_TIMEOUT_S):
        while "mangoway/scheduler" not in world.store.items:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    await asyncio.sleep(FOLLOW_S)


@pytest.mark.process
class TestLostEdges:
    """Directories of the other edges, after one or more edges were killed."""

    @pytest.mark.parametrize(
        ("schedulers", "killed", "store_away"),
        [
            pytest.param(2, 1, False, id="all_well"),
            pytest.param(2, 1, True, id="store_away"),
            pytest.param(0, 1, False, id="no_scheduler"),
            pytest.param(2, 3, False, id="most_edges"),
        ],
    )
    async def test_killed_edge_is_not_named(
        self, schedulers: int, killed: int, store_away: bool, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, schedulers=schedulers, edges=4, callers=0)
            await world.async_start()
            try:
                if schedulers:
                    await async_wait_for_leader(world)
                edges = world.list_nodes("edge")
                every_address = {each.caller_address for each in edges}
                assert await async_list_named(world) == every_address
                if store_away:
                    cut_from_store(world)
                for node in edges[:killed]:
                    end_process(node)
                remaining = {each.caller_address for each in edges[killed:]}
                await asyncio.sleep(GONE_S)
                until = time.monotonic() + KEPT_S
                while time.monotonic() < until:
                    assert await async_list_named(world) == remaining
                    await asyncio.sleep(0.2)
            finally:
                await world.async_stop()
