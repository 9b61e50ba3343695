"""Retries of all edges together, while the processes that count them restart."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .records import RETRY_WINDOW_S
from .world import World

SEED = 36
REJECTING_S = 7.0
"""Time for which runners reject requests: most of two windows of the budget."""

KILL_INTERVAL_S = 0.9
"""Time between two kills, in which the killed process has restarted."""


async def async_kill_in_turn(world: World, program: str) -> None:
    """Kill the processes of a program one after the other; they are restarted."""
    while True:
        for node in world.list_nodes(program):
            await asyncio.sleep(KILL_INTERVAL_S)
            assert node.process is not None
            node.stopping = True
            node.process.kill()


async def async_kill_leaders(world: World) -> None:
    """Kill schedulers while runners reject most requests.

    Several schedulers, and edges by themselves, then grant requests.
    """
    for runner in world.runners:
        runner.reject_share = 0.95
    await async_kill_in_turn(world, "scheduler")


async def async_kill_edges(world: World) -> None:
    """Kill edges while plain runners reject most requests."""
    for runner in world.runners:
        if runner.models is None:
            runner.reject_share = 0.95
    await async_kill_in_turn(world, "edge")


@pytest.mark.process
class TestRetryBudget:
    """The retry budget of each service, over all edges."""

    @pytest.mark.parametrize("disturb", [async_kill_leaders, async_kill_edges])
    async def test_retries_of_a_window_stay_within_the_budget_of_the_fleet(
        self, disturb: Callable[[World], Awaitable[None]], tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, schedulers=3, edges=4, callers=30)
            await world.async_start()
            await asyncio.sleep(RETRY_WINDOW_S)
            span = world.records.begin(disturb.__name__)
            try:
                task = world.start_task(disturb(world))
                await asyncio.sleep(REJECTING_S)
                task.cancel()
            finally:
                await world.async_stop()
        span.ended = span.began + REJECTING_S
        assert any(map(world.records.list_retries, world.records.arrivals))
        assert world.records.check() == []
