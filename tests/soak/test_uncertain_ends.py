"""Runners killed within responses that end with their connections, as real processes.

The failure: callers got streams and bodies that ended early and looked complete.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path

import aiohttp
import orjson
import pytest
from attrs import define, field

from ..stand_ins.launcher import Launcher, Process, find_free_address
from .records import Call, Kind
from .world import MODELS, World

SEED = 83
EDGES = 2
RUNNERS = 4
"""Runners of each service."""

SETTLE_S = 1.0
RUN_S = 10.0
KILL_PERIOD_S = 0.5
RESTART_S = 0.1
"""Time from a kill to the start of the next process, under another id, there."""

REMOVAL_S = 1.5
"""Time from a kill until the store drops the entry."""

PAUSE_S = 0.04
"""Time between two requests to an edge."""

BROKEN_EVENT = 268
"""Event of a response that is taken for cut off."""

MIN_CALLS = 100
MIN_WHOLE_SHARE = 0.9
"""Least share of the calls of each kind that may be repeated that must be served."""


@define(eq=False)
class RunnerProcesses:
    """The runners of a world, each in a process of its own."""

    world: World
    launcher: Launcher
    running: list[tuple[str, str, str, Process]] = field(factory=list, init=False)
    """Service, id, address and process of each."""

    _numbers: "count[int]" = field(factory=lambda: count(1), init=False)

    async def async_start(self, service: str, address: str) -> None:
        """Start a runner at an address, and announce it."""
        runner_id = f"u-{next(self._numbers)}"
        process = await self.launcher.async_start_stand_in(
            runner_id, "unframed_runner", "--id", runner_id, "--listen", address
        )
        fields = {
            "service": service,
            "address": address,
            "zone": "dc-1",
            "version": 1,
            "slots": 64,
            "state": "ready",
            "seq": 1,
        }
        if service == "llm":
            models = [{"name": MODELS[0], "version": 1, "adapters": []}]
            fields |= {"phase": "colocated", "models": models}
        self.world.store.write(f"servers/{runner_id}", orjson.dumps(fields))
        self.running.append((service, runner_id, address, process))

    async def async_replace(self) -> None:
        """Kill the oldest runner, and start another one at its address."""
        service, runner_id, address, process = self.running.pop(0)
        process.kill()
        await asyncio.sleep(RESTART_S)
        await self.async_start(service, address)
        await asyncio.sleep(REMOVAL_S)
        self.world.store.remove(f"servers/{runner_id}")


async def async_keep(runners: RunnerProcesses) -> None:
    """Let all runners go on."""


async def async_send(world: World, number: int, edge: str) -> None:
    """Send requests of all kinds to an edge, without waiting for their responses."""
    caller = world.make_caller(number)
    caller.models = MODELS[:1]
    async with aiohttp.ClientSession() as session:
        for kind in list(Kind) * 10_000:
            world.start_task(caller.async_call(session, edge, kind))
            await asyncio.sleep(PAUSE_S)


async def async_play(
    folder: Path, replace: Callable[[RunnerProcesses], Awaitable[None]]
) -> list[Call]:
    """Send requests while runners are replaced; return those that have ended."""
    async with Launcher(folder) as launcher:
        world = World(
            SEED, launcher, edges=EDGES, engines=0, plain_runners=0, callers=0
        )
        world.popular_models[:] = MODELS[:1]
        await world.async_start()
        runners = RunnerProcesses(world, launcher)
        try:
            for service in ("llm", "plain") * RUNNERS:
                await runners.async_start(service, find_free_address())
            await asyncio.sleep(SETTLE_S)
            for number, node in enumerate(world.list_nodes("edge")):
                world.start_task(async_send(world, number, node.caller_address))
            end = time.monotonic() + RUN_S
            while time.monotonic() < end:
                await asyncio.sleep(KILL_PERIOD_S)
                world.start_task(replace(runners))
        finally:
            await world.async_stop()
    return [
        each
        for each in world.records.calls.values()
        if each.ended_at and not each.given_up
    ]


def list_broken(folder: Path) -> list[str]:
    """Return what the edges found of the responses that they took for cut off."""
    lines = [
        orjson.loads(line)
        for path in folder.glob("edge-*.log")
        for line in path.read_bytes().splitlines(keepends=True)
        if line.startswith(b"{") and line.endswith(b"}\n")
    ]
    return [each["found"] for each in lines if each.get("event") == BROKEN_EVENT]


@pytest.mark.process
class TestKilledRunners:
    """Responses of runners that are killed one after the other."""

    async def test_no_cut_response_looks_complete(self, tmp_path: Path) -> None:
        calls = await async_play(tmp_path, RunnerProcesses.async_replace)
        cut = [f"{each.kind.value}: {each.mixed}" for each in calls if each.mixed]
        assert cut == [], f"{len(cut)} of {len(calls)}"
        assert list_broken(tmp_path)
        for kind in (Kind.SAFE, Kind.STREAM):
            sent = [each for each in calls if each.kind is kind]
            assert len(sent) >= MIN_CALLS
            assert sum(each.whole for each in sent) >= MIN_WHOLE_SHARE * len(sent)


@pytest.mark.process
class TestLiveRunners:
    """Responses of runners that go on."""

    async def test_no_whole_response_is_taken_for_cut_off(self, tmp_path: Path) -> None:
        calls = await async_play(tmp_path, async_keep)
        assert len(calls) >= MIN_CALLS
        assert list_broken(tmp_path) == []
