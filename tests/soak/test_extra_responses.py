"""Runners that send extra responses where the next one is due."""

import asyncio
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .runners import RunnerStandIn
from .world import MODELS, World

SEED = 6
SETTLE_S = 3.0
RUN_S = 8.0
MAX_RUN_S = 24.0
"""Time within which the least number of extra responses must have been sent."""

POLL_S = 0.2
ENGINES = 6
HELD = tuple(MODELS[:3])
"""Models that each engine holds."""

EXTRA_SHARE = 0.3
MIN_EXTRAS = 10
"""Extra responses without which a play proves nothing."""

CHECKED = (
    "limit",
    "mixed",
    "twice",
    "rejected",
    "unasked",
    "overlap",
    "joined",
    "order",
)
"""Guarantees that a wrong response may break."""


def count_extras(runners: list[RunnerStandIn]) -> int:
    """Return the extra responses that runners have sent."""
    return sum(each.extras.count for each in runners)


async def async_find_violations(folder: Path, service: str) -> list[str]:
    """Return what breaks if the runners of a service send extra responses.

    Callers use more adapters than the runners have slots for, and the runners go on
    with runs of callers that have left, so that unloads wait.
    """
    async with Launcher(folder) as launcher:
        world = World(SEED, launcher, engines=ENGINES, engine_models=HELD)
        await world.async_start()
        world.popular_models[:] = [
            f"{name}/a{number}" for name in HELD for number in range(1, 9)
        ]
        faulty = [each for each in world.runners if each.service == service]
        try:
            await asyncio.sleep(SETTLE_S)
            for each in faulty:
                each.extras.share = EXTRA_SHARE
                each.runs_on = each.pauses = True
            await asyncio.sleep(RUN_S)
            async with asyncio.timeout(MAX_RUN_S - RUN_S):
                while count_extras(faulty) < MIN_EXTRAS:  # noqa: ASYNC110
                    await asyncio.sleep(POLL_S)
        finally:
            await world.async_stop()
    return [each for each in world.records.check() if each.startswith(CHECKED)]


@pytest.mark.process
class TestExtraResponses:
    """Responses that belong to no request, or to an earlier one."""

    async def test_requests_keep_their_promises(self, tmp_path: Path) -> None:
        """An extra rejection without an ID passed for that of the next request."""
        assert await async_find_violations(tmp_path, "plain") == []

    async def test_orders_fit_the_runners(self, tmp_path: Path) -> None:
        """An extra response passed for that to the next order or report."""
        assert await async_find_violations(tmp_path, "llm") == []
