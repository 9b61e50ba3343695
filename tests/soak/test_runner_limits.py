"""Runners that name how many requests they take, before the real programs."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .runners import RunnerStandIn
from .world import World

SEED = 39
LIMIT = 4.0
"""Requests a second that a runner names; it gets some 15 a second without."""

BUSY_S = 3.0
"""Time in which runners are found and get their usual work."""

HELD_S = 8.0
"""Time for which the limit is named: two windows."""

LEAST_USED = 0.5
"""Part of what the runner takes that must reach it."""


def choose_busy(world: World, service: str) -> RunnerStandIn:
    """Return the runner of a service that got most requests lately."""
    now = asyncio.get_running_loop().time()
    runners = [each for each in world.runners if each.service == service]
    count = world.records.signals.count_arrivals
    return max(runners, key=lambda each: count(each.runner_id, now - BUSY_S, now))


@pytest.mark.process
class TestRunnerLimits:
    """A limit holds over all edges together."""

    @pytest.mark.parametrize("service", ["llm", "plain"])
    async def test_runner_gets_no_more_than_its_limit_from_all_edges(
        self, service: str, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, callers=15)
            await world.async_start()
            try:
                await asyncio.sleep(BUSY_S)
                runner = choose_busy(world, service)
                runner.name_limit(LIMIT)
                began = asyncio.get_running_loop().time()
                await asyncio.sleep(HELD_S)
            finally:
                await world.async_stop()
        signals = world.records.signals
        got = signals.count_arrivals(runner.runner_id, began, began + HELD_S)
        assert world.records.check() == []
        assert got >= LEAST_USED * LIMIT * HELD_S
