"""Runners that signal in their responses that they leave, with the real programs."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .signals import DRAIN_S
from .store import StoreFault
from .test_runner_limits import choose_busiest
from .world import World

SEED = 39
BUSY_S = 3.0
"""Time in which runners are found and get their usual load."""

LEAVING_S = DRAIN_S + 3.0
"""Time for which the runner keeps serving."""


@pytest.mark.process
class TestLeavingRunners:
    """Edges that received the signal stop sending, also while the store is silent."""

    @pytest.mark.parametrize("service", ["llm", "plain"])
    async def test_no_request_is_sent_to_a_leaving_runner_in_a_store_outage(
        self, service: str, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher)
            await world.async_start()
            try:
                await asyncio.sleep(BUSY_S)
                world.store.fault = StoreFault.SILENT
                choose_busiest(world, service).start_leaving()
                await asyncio.sleep(LEAVING_S)
                world.store.fault = StoreFault.NONE
                await asyncio.sleep(DRAIN_S)
            finally:
                await world.async_stop()
        assert world.records.signals.check() == []
