"""Streams that callers resume after all edges have restarted, with real programs.

The failure: the versions that had served were known to running edges only, so that the
rest of a stream of a version that had left came from the only one that was there.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import pytest
from attrs import define

from ..stand_ins.launcher import Launcher
from .stream_callers import (
    MIN_RESUMED,
    MIXED_ALLOWED,
    CallerStream,
    StreamCaller,
    count_mixed,
)
from .test_crashing_requests import FOLLOW_S
from .test_lost_edges import async_wait_for_leader
from .test_stream_versions import LEFT_AFTER_EVENTS
from .world import MODELS, Node, World

SEED = 72
EDGES = 4
RUNNERS = 4
BOTH_VERSIONS = ("v1", "v2")
ROUTE_TIMEOUT_S = 10.0
"""Streams may be resumed for twice this time, longer than a release of the edges."""

BEGUN = 24
"""Streams that have begun before the restart."""

BEGIN_TIMEOUT_S = 8.0

LEFT_S = 1.0
"""Time after the runners of the first version have gone, in which all edges see it."""

STOP_INTERVAL_S = 0.9
PATIENCE_S = 11.0
"""Time for which callers try to resume while edges are stopped one after the other."""

RESTARTED_S = 20.0


async def async_kill_all(world: World, *programs: str) -> None:
    """Kill all processes of some programs at once, and wait until they are back."""
    nodes = [each for each in world.nodes if each.program in programs]
    ended = [each.process for each in nodes]
    for node in nodes:
        assert node.process is not None
        node.stopping = True
        node.process.kill()
    async with asyncio.timeout(RESTARTED_S):
        while any(map(_is_same, nodes, ended)):  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        await world.async_wait_ready()


async def async_kill_edges(world: World) -> None:
    """Kill all edges at once."""
    await async_kill_all(world, "edge")


async def async_kill_everything(world: World) -> None:
    """Kill all edges and schedulers at once."""
    await async_kill_all(world, "edge", "scheduler")


async def async_stop_edges(world: World) -> None:
    """Stop all edges, one after the other, as a release of this system does."""
    for node in world.list_nodes("edge"):
        assert node.process is not None
        node.stopping = True
        node.process.terminate()
        await asyncio.sleep(STOP_INTERVAL_S)


async def async_leave(world: World) -> None:
    """Replace all runners by ones of the second version."""
    replaced = [each for each in world.runners if each.service == "llm"]
    for _ in range(RUNNERS):
        models: dict[str, set[str]] = {name: set() for name in world.engine_models}
        await world.async_add_runner("llm", models, BOTH_VERSIONS[1])
    await asyncio.gather(*(each.async_drain() for each in replaced))
    await asyncio.sleep(LEFT_S)


async def async_stay(world: World) -> None:
    """Let all runners serve on."""
    await asyncio.sleep(LEFT_S)


async def async_wait_for_streams(caller: StreamCaller) -> None:
    """Wait until enough streams have begun."""
    async with asyncio.timeout(BEGIN_TIMEOUT_S):
        while sum(bool(each.versions) for each in caller.streams) < BEGUN:  # noqa: ASYNC110
            await asyncio.sleep(0.05)


@define(kw_only=True)
class Case:
    """What happens between the first part of the streams and the rest."""

    async_release: Callable[[World], Awaitable[None]]
    async_restart: Callable[[World], Awaitable[None]]
    versions: tuple[str, ...] = BOTH_VERSIONS[:1]
    schedulers: int = 2
    patience_s: float = 0.0
    waits: bool = True
    """Whether callers resume their streams only after the restart."""


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
            engine_models=tuple(MODELS[:2]),
            route_timeout_s=ROUTE_TIMEOUT_S,
        )
        await world.async_start()
        caller = StreamCaller(
            world=world,
            random=Random(SEED),
            leave_after=LEFT_AFTER_EVENTS,
            resumes=asyncio.Event(),
            patience_s=case.patience_s,
        )
        try:
            if case.schedulers:
                await async_wait_for_leader(world)
            else:
                await asyncio.sleep(FOLLOW_S)
            sending = world.start_task(caller.async_run())
            await async_wait_for_streams(caller)
            caller.stopped = True
            await case.async_release(world)
            if not case.waits:
                caller.resumes.set()
            await case.async_restart(world)
            caller.resumes.set()
            await sending
        finally:
            await world.async_stop()
    return caller.streams


@pytest.mark.process
class TestRestartedEdges:
    """Streams whose callers resume them while no edge is left that began them."""

    @pytest.mark.parametrize(
        "case",
        [
            pytest.param(
                Case(async_release=async_leave, async_restart=async_kill_edges),
                id="edges_killed",
            ),
            pytest.param(
                Case(
                    async_release=async_leave,
                    async_restart=async_kill_edges,
                    schedulers=0,
                ),
                id="edges_killed_no_scheduler",
            ),
            pytest.param(
                Case(async_release=async_leave, async_restart=async_kill_everything),
                id="edges_and_schedulers_killed",
            ),
            pytest.param(
                Case(
                    async_release=async_leave,
                    async_restart=async_stop_edges,
                    patience_s=PATIENCE_S,
                    waits=False,
                ),
                id="edges_stopped_in_turn",
            ),
            pytest.param(
                Case(
                    async_release=async_stay,
                    async_restart=async_kill_edges,
                    versions=BOTH_VERSIONS,
                ),
                id="edges_killed_both_versions_stay",
            ),
        ],
    )
    async def test_no_stream_goes_on_at_another_version(
        self, case: Case, tmp_path: Path
    ) -> None:
        streams = await async_play(case, tmp_path)
        assert sum(each.resumed for each in streams) >= MIN_RESUMED
        assert count_mixed(streams) <= MIXED_ALLOWED

    @pytest.mark.parametrize(
        "case",
        [
            pytest.param(
                Case(async_release=async_stay, async_restart=async_kill_edges),
                id="edges_killed",
            ),
            pytest.param(
                Case(
                    async_release=async_stay,
                    async_restart=async_kill_edges,
                    schedulers=0,
                ),
                id="edges_killed_no_scheduler",
            ),
            pytest.param(
                Case(async_release=async_stay, async_restart=async_kill_everything),
                id="edges_and_schedulers_killed",
            ),
        ],
    )
    async def test_streams_of_the_only_version_go_on(
        self, case: Case, tmp_path: Path
    ) -> None:
        streams = await async_play(case, tmp_path)
        resumed = [each for each in streams if each.resumed]
        assert len(resumed) >= MIN_RESUMED
        assert [each for each in resumed if not each.went_on] == []


def _is_same(node: Node, ended: object) -> bool:
    """Return whether a node has no new process yet."""
    return node.process is ended
