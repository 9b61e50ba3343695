"""Prompt parts that crash each runner that begins to write an answer on them.

The failure: requests with such a part, no two alike, crashed one runner after the
other, since crashes were counted for equal requests only.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import aiohttp
import pytest
from attrs import define

from ..fakes.polling import async_wait_until
from ..stand_ins.launcher import Launcher
from .records import FAULT_FREE_S, Call, Kind
from .test_crashing_requests import (
    async_cut_edges_from_store,
    async_do_nothing,
)
from .world import World

SEED = 71
EDGES = 4
RUNNERS = 6
PART = "dead1"
OTHER_PART = "dead2"
CRASHES_TO_KNOW = 5
RUNS_ALLOWED = 3
"""Runs of requests with such a part later than `FAULT_FREE_S` after its fifth crash."""

WATCHED_S = 6.0
"""Time for which the runs are counted."""

CRASHES_TIMEOUT_S = 8.0
"""Time for the five crashes."""

SOUND_PAUSE_S = 0.05
CRASHING_PAUSE_S = 0.2
MIN_SERVED_RATIO = 0.5
"""Least share of sound first attempts that are served from `2 * FAULT_FREE_S` after the
fifth crash, relative to before the first."""


@define(kw_only=True)
class Case:
    """One kind of trouble beside the requests."""

    schedulers: int = 2
    parts: tuple[str, ...] = (PART,)
    prepare: Callable[[World], Awaitable[None]] = async_do_nothing


async def async_send(
    world: World, part: str, kinds: list[Kind], pause_s: float
) -> None:
    """Send requests to one edge after the other, without waiting for responses."""
    caller = world.make_caller(len(part) + (3000 if part else 4000))
    edges = world.list_nodes("edge")
    async with aiohttp.ClientSession() as session:
        for number in range(100_000):
            kind = kinds[number % len(kinds)]
            address = edges[number % len(edges)].caller_address
            call = caller.async_call(session, address, kind, shared_part=part)
            world.start_task(call)
            await asyncio.sleep(pause_s)


def find_known_at(world: World, part: str) -> float:
    """Return when a part could be known: at its fifth crash, or the last of fewer."""
    return world.records.crashes[part][:CRASHES_TO_KNOW][-1]


def count_late_runs(world: World, part: str) -> int:
    """Return the runs with a part that came too long after it could be known."""
    late_from = find_known_at(world, part) + FAULT_FREE_S
    runs = [run for runs in world.records.runs.values() for run in runs]
    return sum(run.crashing == part and run.at > late_from for run in runs)


def measure_served(calls: list[Call]) -> float:
    """Return the share of requests that were served."""
    return sum(each.whole for each in calls) / len(calls)


@pytest.mark.process
class TestCrashingParts:
    """Requests with a part that crashes runners, beside sound ones."""

    @pytest.mark.parametrize(
        "case",
        [
            pytest.param(Case(), id="all_well"),
            pytest.param(Case(schedulers=0), id="no_scheduler"),
            pytest.param(Case(prepare=async_cut_edges_from_store), id="store_away"),
            pytest.param(Case(parts=(PART, OTHER_PART)), id="two_parts"),
        ],
    )
    async def test_part_is_known_after_five_crashes(
        self, case: Case, tmp_path: Path
    ) -> None:
        kinds = [Kind.STREAM, Kind.FIXED_STREAM]
        async with Launcher(tmp_path) as launcher:
            world = World(
                SEED,
                launcher,
                schedulers=case.schedulers,
                edges=EDGES,
                engines=RUNNERS,
                callers=0,
            )
            await world.async_start()
            try:
                await case.prepare(world)
                world.start_task(async_send(world, "", kinds, SOUND_PAUSE_S))
                await asyncio.sleep(FAULT_FREE_S)
                began = time.monotonic()
                for part in case.parts:
                    world.start_task(async_send(world, part, kinds, CRASHING_PAUSE_S))
                crashes = world.records.crashes
                # Fewer crashes may be enough to know the part.
                with suppress(TimeoutError):
                    await async_wait_until(
                        lambda: all(
                            len(crashes.get(each, ())) >= CRASHES_TO_KNOW
                            for each in case.parts
                        ),
                        CRASHES_TIMEOUT_S,
                    )
                await asyncio.sleep(2 * FAULT_FREE_S + WATCHED_S)
            finally:
                await world.async_stop()
        late = {part: count_late_runs(world, part) for part in case.parts}
        assert all(count <= RUNS_ALLOWED for count in late.values()), late
        sound = [
            each
            for each in world.records.calls.values()
            if not each.shared_part and not each.given_up and each.ended_at
        ]
        known_at = max(find_known_at(world, part) for part in case.parts)
        after = [each for each in sound if each.sent_at > known_at + 2 * FAULT_FREE_S]
        before = [each for each in sound if each.sent_at < began]
        assert measure_served(after) >= MIN_SERVED_RATIO * measure_served(before)
