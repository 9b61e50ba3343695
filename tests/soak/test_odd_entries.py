"""Odd entries of other writers among those of the runners, with the real programs.

The failure: an address that can't be connected to ended the handler of each request
that was sent to it, and its caller lost the connection without a response.
"""

import asyncio
from itertools import product
from pathlib import Path
from typing import Any

import aiohttp
import orjson
import pytest

from ..stand_ins.launcher import Launcher
from .records import Call, Kind
from .world import Node, World

SEED = 72
EDGES = 2

SERVING_S = 2.5
PAUSE_S = 0.02
MIN_CALLS = 100
"""Requests without which a run proves nothing."""

ENTRY: dict[str, Any] = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "dc-1",
    "slots": 16,
    "state": "ready",
    "seq": 1,
    "born": 1_771_816_803_316,
}

ODD_FIELDS: dict[str, dict[str, Any]] = {
    "nul": {"address": "10.0.0.1\0:80"},
    "empty_labels": {"address": "...:80"},
    "long_label": {"address": "a" * 64 + ".example:80"},
    "line_break": {"address": "10.0.0.1\r\nX-Hold: 1:80"},
    "port_0": {"address": "127.0.0.1:0"},
    "number_of_slots": {"slots": 2**64 - 1, "born": 2**64 - 1},
}


async def async_send_requests(
    world: World, node: Node, kind: Kind, number: int, calls: list[Call]
) -> None:
    """Send one request after the other to an edge on kept connections."""
    caller = world.make_caller(number)
    async with aiohttp.ClientSession() as session:
        while True:
            calls.append(await caller.async_call(session, node.caller_address, kind))
            await asyncio.sleep(PAUSE_S)


@pytest.mark.process
class TestOddEntries:
    """Requests and processes beside one odd entry of each service."""

    @pytest.mark.parametrize("odd", list(ODD_FIELDS))
    async def test_callers_get_responses_and_processes_go_on(
        self, odd: str, tmp_path: Path
    ) -> None:
        calls: list[Call] = []
        async with Launcher(tmp_path) as launcher:
            world = World(
                SEED, launcher, edges=EDGES, schedulers=1, engines=2, callers=0
            )
            await world.async_start()
            try:
                for service in ("plain", "llm"):
                    entry = {**ENTRY, "service": service, **ODD_FIELDS[odd]}
                    world.store.write(f"servers/odd-{service}", orjson.dumps(entry))
                edges = world.list_nodes("edge")
                for number, (node, kind) in enumerate(product(edges, Kind)):
                    world.start_task(
                        async_send_requests(world, node, kind, number, calls)
                    )
                await asyncio.sleep(SERVING_S)
                # A change after the odd entries reaches all edges in time.
                world.write_configuration()
                await world.async_probe_configuration()
                nodes = world.list_nodes("edge") + world.list_nodes("scheduler")
                processes = [each.process for each in nodes if each.process]
            finally:
                await world.async_stop()
        lost = [each.request_id for each in calls if each.was_disconnected]
        assert (len(lost), world.records.check()) == (0, [])
        assert len(calls) >= MIN_CALLS
        assert len(processes) == EDGES + 1
        # Each process says that it doesn't use the entries, and why.
        for process in processes:
            lines = process.log.read_text().splitlines()
            unreadable = [each for each in lines if "DocumentUnreadable" in each]
            for service in ("plain", "llm"):
                assert any(f"servers/odd-{service}" in each for each in unreadable)
