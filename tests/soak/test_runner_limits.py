"""Runners that send a rate limit, with the real programs."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .runners import RunnerStandIn
from .signals import LIMIT_WINDOW_S
from .world import World

SEED = 39
LIMIT = 4.0
"""Limit of a runner in requests a second; a runner without one gets some 15."""

BUSY_S = 3.0
"""Time in which runners are found and get their usual load."""

LIMITED_S = 8.0
"""Time in which arrivals are counted: two windows."""

MIN_USED_SHARE = 0.5
"""Share of the limit that must reach the runner, once the arrivals of before the limit
are older than a window. Until then they use it up."""


def choose_busiest(world: World, service: str) -> RunnerStandIn:
    """Return the runner of a service that got most requests recently."""
    now = asyncio.get_running_loop().time()
    runners = [each for each in world.runners if each.service == service]
    count_arrivals = world.records.signals.count_arrivals
    return max(
        runners, key=lambda each: count_arrivals(each.runner_id, now - BUSY_S, now)
    )


@pytest.mark.process
class TestRunnerLimits:
    """A limit applies to all edges together."""

    @pytest.mark.parametrize("service", ["llm", "plain"])
    async def test_runner_gets_no_more_than_its_limit_from_all_edges(
        self, service: str, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, callers=15)
            await world.async_start()
            try:
                await asyncio.sleep(BUSY_S)
                runner = choose_busiest(world, service)
                runner.start_limit(LIMIT)
                await asyncio.sleep(LIMIT_WINDOW_S)
                began = asyncio.get_running_loop().time()
                await asyncio.sleep(LIMITED_S)
            finally:
                await world.async_stop()
        signals = world.records.signals
        arrivals = signals.count_arrivals(runner.runner_id, began, began + LIMITED_S)
        assert world.records.check() == []
        assert arrivals >= MIN_USED_SHARE * LIMIT * LIMITED_S
