"""Changed entries and configurations, with the real programs."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest

from ..stand_ins.launcher import Launcher
from .changes import async_flap_leader, async_relabel_foreign_entries
from .world import World

SEED = 81
SETTLE_S = 4.0
DRAIN_S = 2.0
REMOVE_EACH_S = 1.0
LEAVING = 6
APPLY_S = 2.0
CALLERS = 12
PLAIN_RUNNERS = 8


@asynccontextmanager
async def start_world(tmp_path: Path, callers: int = CALLERS) -> AsyncIterator[World]:
    """Start a world, and let it settle."""
    async with Launcher(tmp_path) as launcher:
        world = World(SEED, launcher, callers=callers, plain_runners=PLAIN_RUNNERS)
        await world.async_start()
        try:
            await asyncio.sleep(SETTLE_S)
            yield world
        finally:
            await world.async_stop()


def count_late_runs(world: World) -> int:
    """Return how many requests reached runners after their drain time."""
    leaving = world.records.leaving
    return sum(
        run.at > leaving[run.runner_id] + DRAIN_S
        for runs in world.records.runs.values()
        for run in runs
        if run.runner_id in leaving
    )


@pytest.mark.process
class TestForeignEntries:
    """Entries of another writer that change their service and are removed.

    The leading scheduler failed at each removal, and relayed no configuration that came
    with one, so that no edge ever applied it.
    """

    async def test_configurations_reach_all_edges(self, tmp_path: Path) -> None:
        async with start_world(tmp_path) as world:
            for _ in range(2):
                await async_relabel_foreign_entries(world, Random(SEED))
            await asyncio.sleep(APPLY_S + 1.0)
            assert world.records.check() == []
            probes = [
                each
                for each in world.records.calls.values()
                if each.version is not None
            ]
            assert len(probes) == 2 * len(world.list_nodes("edge"))
            assert all(each.whole for each in probes)


@pytest.mark.process
class TestFlappingLeader:
    """Runners that leave while the leader alone loses its path to the store.

    It took each cut for an outage, and all edges kept removed runners for longer.
    """

    async def test_removed_runners_get_no_late_requests(self, tmp_path: Path) -> None:
        async with start_world(tmp_path) as world:
            flapping = world.start_task(async_flap_leader(world, Random(SEED)))
            leaving = []
            for _ in range(LEAVING):
                await asyncio.sleep(REMOVE_EACH_S)
                runner = next(each for each in world.runners if each.models is None)
                await world.async_add_runner(runner.service, None)
                world.runners.remove(runner)
                leaving.append(world.start_task(runner.async_leave_unannounced()))
            await asyncio.gather(flapping, *leaving)
            assert len(world.records.leaving) == LEAVING
            assert count_late_runs(world) == 0
