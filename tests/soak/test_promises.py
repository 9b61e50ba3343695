"""Runners that make an edge promise "not run" of requests that run."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .runners import RunnerStandIn
from .world import MODELS, World

SEED = 7
SETTLE_S = 2.0
RUN_S = 8.0
SHARE = 0.3
MIN_CASES = 20
"""Failures or extra responses without which a play proves nothing."""

MOVE_PERIOD_S = 1.0
"""Period after which demand moves to other models, which are then loaded."""

CHECKED = ("rejected", "twice", "mixed", "order", "unasked")


async def async_play(world: World, start: Callable[[RunnerStandIn], None]) -> list[str]:
    """Return which promises break.

    Args:
        world: The world, which is started and stopped.
        start: Begins the misbehaviour of a runner.
    """
    await world.async_start()
    try:
        await asyncio.sleep(SETTLE_S)
        for each in world.runners:
            start(each)
        for number in range(round(RUN_S / MOVE_PERIOD_S)):
            chosen = (number % len(MODELS), (number + 5) % len(MODELS))
            world.popular_models[:] = [MODELS[each] for each in chosen]
            await asyncio.sleep(MOVE_PERIOD_S)
    finally:
        await world.async_stop()
    return [each for each in world.records.check() if each.startswith(CHECKED)]


def fail_falsely(runner: RunnerStandIn) -> None:
    """Let a runner run requests and fail them with a status that says "not run"."""
    runner.own_failure_share = SHARE


def reject_with_copies(runner: RunnerStandIn) -> None:
    """Let a runner reject requests, and send copies of its responses later."""
    runner.reject_share = runner.extras.share = SHARE
    runner.extras.copy_share = 1.0


@pytest.mark.process
class TestPromises:
    """Statuses that promise "not run", against what runners ran."""

    async def test_failures_of_runners_promise_nothing(self, tmp_path: Path) -> None:
        """The status of a runner that had run the request was sent on."""
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher)
            assert await async_play(world, fail_falsely) == []
        assert world.records.own_failures >= MIN_CASES

    async def test_retried_streams_run_once(self, tmp_path: Path) -> None:
        """A copy of a rejection passed for that of the next attempt."""
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, edges=6, schedulers=3, engines=12)
            assert await async_play(world, reject_with_copies) == []
        extras = sum(each.extras.take_count() for each in world.runners)
        assert extras >= MIN_CASES
