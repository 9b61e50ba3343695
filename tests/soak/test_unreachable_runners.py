"""Edges that are cut off from all runners, with the real programs.

The failure: callers of such edges were hardly served, although other edges could have
sent their requests on.
"""

import asyncio
import time
from pathlib import Path

import aiohttp
import pytest

from ..stand_ins.launcher import Launcher
from .cuts import OpenConnections
from .records import FAULT_FREE_S, Call, Kind
from .test_crashing_requests import FOLLOW_S
from .world import Node, World

SEED = 61
EDGES = 4
CUT_S = 10.0
PAUSE_S = 0.1
"""Time between two requests to one edge."""

KINDS = (Kind.SAFE, Kind.ONCE, Kind.STREAM, Kind.FIXED_STREAM)
MIN_SERVED_RATIO = 2 / 3
"""Least share of the first attempts that is served at edges that are cut off, relative
to the others."""

ALLOWED_FAILURES = 10
ALLOWED_FAILED_SHARE = 1 / 50
"""First attempts that may fail at edges that are cut off in any case, and the share of
all first attempts that is added to them."""


async def async_send_to(world: World, node: Node, number: int) -> None:
    """Send requests of each kind to one edge, without waiting for their responses."""
    caller = world.make_caller(number)
    async with aiohttp.ClientSession() as session:
        for count in range(10_000):
            kind = KINDS[count % len(KINDS)]
            world.start_task(caller.async_call(session, node.caller_address, kind))
            await asyncio.sleep(PAUSE_S)


def choose_cut(world: World, cut: str) -> list[Node]:
    """Return the edges to cut off: one, those of a data centre, or all but one."""
    edges = world.list_nodes("edge")
    return {"one": edges[:1], "data_centre": edges[::2], "all_but_one": edges[1:]}[cut]


def find_shortfall(cut: list[Call], others: list[Call]) -> str:
    """Return why callers of the edges that are cut off are served too badly, or ""."""
    served = sum(each.whole for each in cut)
    others_served = sum(each.whole for each in others)
    allowed = ALLOWED_FAILURES + ALLOWED_FAILED_SHARE * (len(cut) + len(others))
    if len(cut) - served <= allowed:
        return ""
    if served / len(cut) >= MIN_SERVED_RATIO * others_served / len(others):
        return ""
    return f"{served} of {len(cut)} served, {others_served} of {len(others)} at others"


@pytest.mark.process
class TestEdgesWithoutRunners:
    """First attempts at edges that are cut off, compared with those at the others."""

    @pytest.mark.parametrize("open_connections", list(OpenConnections))
    @pytest.mark.parametrize("cut", ["one", "data_centre", "all_but_one"])
    async def test_callers_of_cut_off_edges_are_served(
        self, cut: str, open_connections: OpenConnections, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, edges=EDGES, callers=0)
            await world.async_start()
            try:
                await asyncio.sleep(FOLLOW_S)
                for number, node in enumerate(world.list_nodes("edge")):
                    world.start_task(async_send_to(world, node, number))
                await asyncio.sleep(FAULT_FREE_S)
                cut_off = choose_cut(world, cut)
                pids = {node.process.child.pid for node in cut_off if node.process}
                relays = [each.relay for each in world.runners if each.relay]
                span = world.records.begin("edges cut off from the runners")
                world.cuts.begin(pids, relays, open_connections)
                await asyncio.sleep(CUT_S)
                span.ended = time.monotonic()
                world.cuts.end()
                await asyncio.sleep(FAULT_FREE_S)
            finally:
                await world.async_stop()
        calls = [
            each
            for each in world.records.calls.values()
            if span.began + FAULT_FREE_S < each.sent_at < span.ended
            and not each.given_up
        ]
        addresses = {each.caller_address for each in cut_off}
        at_cut_off = [each for each in calls if each.edge in addresses]
        at_others = [each for each in calls if each.edge not in addresses]
        assert find_shortfall(at_cut_off, at_others) == ""
        assert world.records.check() == []
