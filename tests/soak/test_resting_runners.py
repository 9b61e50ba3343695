"""Runners that refuse requests and ask for rest, before the real programs."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .test_runner_limits import choose_busy
from .world import World

SEED = 39
BUSY_S = 3.0
"""Time in which runners are found and get their usual work."""

SHEDDING = 0.9
"""Part of the requests that the runner refuses."""

REST_S = 2.0
HELD_S = 3 * REST_S


@pytest.mark.process
class TestRestingRunners:
    """Each edge leaves a runner alone that has asked it for rest."""

    @pytest.mark.parametrize("service", ["llm", "plain"])
    async def test_runner_that_asked_for_rest_is_left_alone(
        self, service: str, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher)
            await world.async_start()
            try:
                await asyncio.sleep(BUSY_S)
                runner = choose_busy(world, service)
                runner.shedding, runner.rest_s = SHEDDING, REST_S
                await asyncio.sleep(HELD_S)
            finally:
                await world.async_stop()
        assert world.records.signals.rests
        assert world.records.signals.check() == []
