"""Repeats of the whole fleet, while those who count them come and go."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .records import RETRY_WINDOW_S
from .world import World

SEED = 36
TROUBLE_S = 7.0
"""Time for which runners fail: most of two windows of the budget."""

TURN_S = 0.9
"""Time between the ends of two processes: each is up again before the next one ends."""


async def async_kill_in_turn(world: World, program: str) -> None:
    """Kill the processes of a program one after the other; they start again."""
    while True:
        for node in world.list_nodes(program):
            await asyncio.sleep(TURN_S)
            assert node.process is not None
            node.stopping = True
            node.process.kill()


async def async_lose_leaders(world: World) -> None:
    """Let many schedulers and edges alone grant places while runners refuse most."""
    for runner in world.runners:
        runner.shedding = 0.95
    await async_kill_in_turn(world, "scheduler")


async def async_lose_edges(world: World) -> None:
    """Let edges begin and end while plain runners refuse most requests."""
    for runner in world.runners:
        if runner.models is None:
            runner.shedding = 0.95
    await async_kill_in_turn(world, "edge")


@pytest.mark.process
class TestRetryBudget:
    """The budget of each service, over all who send to it."""

    @pytest.mark.parametrize("disturb", [async_lose_leaders, async_lose_edges])
    async def test_repeats_of_a_window_stay_within_the_budget_of_the_fleet(
        self, disturb: Callable[[World], Awaitable[None]], tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, schedulers=3, edges=4, callers=30)
            await world.async_start()
            await asyncio.sleep(RETRY_WINDOW_S)
            span = world.records.begin(disturb.__name__)
            try:
                task = world.start_task(disturb(world))
                await asyncio.sleep(TROUBLE_S)
                task.cancel()
            finally:
                await world.async_stop()
        span.ended = span.began + TROUBLE_S
        assert any(map(world.records.list_repeats, world.records.arrivals))
        assert world.records.check() == []
