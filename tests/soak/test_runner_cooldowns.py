"""Runners that reject requests with a cooldown, with the real programs."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .test_runner_limits import choose_busiest
from .world import World

SEED = 39
BUSY_S = 3.0
"""Time in which runners are found and get their usual load."""

REJECT_SHARE = 0.9
"""Share of the requests that the runner rejects."""

COOLDOWN_S = 2.0
REJECTING_S = 3 * COOLDOWN_S


@pytest.mark.process
class TestRunnerCooldowns:
    """Edges send no requests to a runner during its cooldown."""

    @pytest.mark.parametrize("service", ["llm", "plain"])
    async def test_runner_gets_few_requests_during_its_cooldown(
        self, service: str, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher)
            await world.async_start()
            try:
                await asyncio.sleep(BUSY_S)
                runner = choose_busiest(world, service)
                runner.reject_share, runner.cooldown_s = REJECT_SHARE, COOLDOWN_S
                await asyncio.sleep(REJECTING_S)
            finally:
                await world.async_stop()
        assert world.records.signals.cooldowns
        assert world.records.signals.check() == []
