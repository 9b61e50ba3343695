"""Runners that say in their answers that they leave, before the real programs."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .signals import DRAIN_S
from .store import StoreFault
from .test_runner_limits import choose_busy
from .world import World

SEED = 39
BUSY_S = 3.0
"""Time in which runners are found and get their usual work."""

HELD_S = DRAIN_S + 3.0
"""Time for which the runner serves on."""


@pytest.mark.process
class TestLeavingRunners:
    """Each edge that was told sends no more, whatever the store says."""

    @pytest.mark.parametrize("service", ["llm", "plain"])
    async def test_nothing_is_sent_to_a_runner_that_leaves_in_an_outage(
        self, service: str, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher)
            await world.async_start()
            try:
                await asyncio.sleep(BUSY_S)
                world.store.fault = StoreFault.SILENT
                choose_busy(world, service).say_leaving()
                await asyncio.sleep(HELD_S)
                world.store.fault = StoreFault.NONE
                await asyncio.sleep(DRAIN_S)
            finally:
                await world.async_stop()
        assert world.records.signals.check() == []
