"""Streams that go on while runners of two software versions serve, with real programs.

The failure: the rest of a stream came from any runner of its service, also from one
whose software writes what doesn't fit the events before.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from attrs import define

from ..stand_ins.launcher import Launcher
from .order import EVENT_COUNT
from .stream_callers import (
    MIN_RESUMED,
    MIXED_ALLOWED,
    CallerStream,
    StreamCaller,
    count_mixed,
    find_shortfall,
)
from .test_crashing_requests import FOLLOW_S, async_do_nothing
from .world import MODELS, World

SEED = 83
EDGES = 4
RUNNERS = 8
BOTH_VERSIONS = ("v1", "v2")
CRASH_PAUSE_S = 0.6
CRASHES = 16
KILL_PAUSE_S = 1.2
KILLS = 8
RELEASE_PAUSE_S = 0.8
WATCHED_S = 8.0
LEFT_AFTER_EVENTS = 8


async def async_crash_runners(world: World) -> None:
    """Crash one runner after the other."""
    for _ in range(CRASHES):
        runners = [each for each in world.runners if each.service == "llm"]
        world.crash_runner(world.random.choice(runners))
        await asyncio.sleep(CRASH_PAUSE_S)


async def async_kill_edges(world: World) -> None:
    """Kill one edge after the other."""
    for number in range(KILLS):
        running = world.list_nodes("edge")
        node = running[number % len(running)]
        assert node.process is not None
        node.stopping = True
        node.process.kill()
        await asyncio.sleep(KILL_PAUSE_S)


async def async_wait(world: World) -> None:
    """Let streams run without a fault."""
    await asyncio.sleep(WATCHED_S)


async def async_release(world: World) -> None:
    """Replace most runners by ones of a second version, and kill edges meanwhile."""
    killing = world.start_task(async_kill_edges(world))
    replaced = [each for each in world.runners if each.service == "llm"][2:]
    for runner in replaced:
        models: dict[str, set[str]] = {name: set() for name in world.engine_models}
        await world.async_add_runner("llm", models, BOTH_VERSIONS[1])
        world.start_task(runner.async_drain())
        await asyncio.sleep(RELEASE_PAUSE_S)
    await killing


@define(kw_only=True)
class Case:
    """What happens beside the streams, and how callers resume them."""

    disturb: Callable[[World], Awaitable[None]]
    versions: tuple[str, ...] = BOTH_VERSIONS
    schedulers: int = 2
    prepare: Callable[[World], Awaitable[None]] = async_do_nothing
    leave_after: int = EVENT_COUNT + 1
    names_origin: bool = True


async def async_play(case: Case, tmp_path: Path) -> list[CallerStream]:
    """Return the streams of one play."""
    async with Launcher(tmp_path) as launcher:
        world = World(
            SEED,
            launcher,
            schedulers=case.schedulers,
            edges=EDGES,
            engines=RUNNERS,
            callers=0,
            software_versions=case.versions,
            engine_models=tuple(MODELS[:3]),
        )
        await world.async_start()
        caller = StreamCaller(
            world=world,
            random=Random(SEED),
            leave_after=case.leave_after,
            names_origin=case.names_origin,
        )
        try:
            await asyncio.sleep(FOLLOW_S)
            await case.prepare(world)
            sending = world.start_task(caller.async_run())
            await asyncio.sleep(KILL_PAUSE_S)
            await case.disturb(world)
            caller.stopped = True
            await sending
        finally:
            await world.async_stop()
    return caller.streams


@pytest.mark.process
class TestTwoVersions:
    """Streams of two software versions that are resumed by edges and by callers."""

    @pytest.mark.parametrize(
        "case",
        [
            pytest.param(Case(disturb=async_crash_runners), id="crashes"),
            pytest.param(
                Case(disturb=async_crash_runners, schedulers=0),
                id="crashes_no_scheduler",
            ),
            pytest.param(Case(disturb=async_kill_edges), id="killed_edges"),
            pytest.param(
                Case(disturb=async_kill_edges, schedulers=0),
                id="killed_edges_no_scheduler",
            ),
            pytest.param(
                Case(disturb=async_wait, leave_after=LEFT_AFTER_EVENTS),
                id="callers_leave",
            ),
            pytest.param(
                Case(
                    disturb=async_release,
                    versions=BOTH_VERSIONS[:1],
                    leave_after=LEFT_AFTER_EVENTS,
                ),
                id="release",
            ),
        ],
    )
    async def test_streams_hold_events_of_one_version_and_go_on(
        self, case: Case, tmp_path: Path
    ) -> None:
        streams = await async_play(case, tmp_path)
        assert count_mixed(streams) <= MIXED_ALLOWED
        assert find_shortfall(streams) == ""

    async def test_stream_of_unknown_origin_is_not_sent_on(
        self, tmp_path: Path
    ) -> None:
        case = Case(
            disturb=async_wait, leave_after=LEFT_AFTER_EVENTS, names_origin=False
        )
        streams = await async_play(case, tmp_path)
        assert count_mixed(streams) == 0
        assert sum(each.resumed for each in streams) >= MIN_RESUMED


@pytest.mark.process
class TestOneVersion:
    """Streams of a service whose runners all have the same software version."""

    async def test_stream_of_unknown_origin_goes_on(self, tmp_path: Path) -> None:
        case = Case(
            disturb=async_wait,
            versions=BOTH_VERSIONS[:1],
            leave_after=LEFT_AFTER_EVENTS,
            names_origin=False,
        )
        streams = await async_play(case, tmp_path)
        resumed = [each for each in streams if each.resumed]
        assert len(resumed) >= MIN_RESUMED
        assert [each for each in resumed if not each.went_on] == []
