"""Edges that all end at once or one after the other, beside releases of runners."""

import asyncio
from contextlib import ExitStack
from random import Random
from typing import Final

from .faults import START_S, async_stop_node, disturb_node, end_span
from .runners import RunnerStandIn
from .world import World

CUT_PAUSE_S: Final = 0.15
"""Time from the end of the last runner of a version until all edges are killed."""

STOP_PAUSE_S: Final = 0.9
"""Time between the stops of two edges."""

DRAINING_SHARE: Final = 0.3
"""Share of the rolling stops of edges during which the runners drain; in the others
the runners have ended before."""

JOIN_S: Final = 1.0
"""Time from the start of the runners of one version until those of the other leave."""

PATIENCE_S: Final = 6.0
"""Time for which callers try to resume a stream, longer than edges take to start."""

MAX_PAUSE_S: Final = 2.0
"""Longest time for which callers wait before that, so that many streams are broken
when the edges end."""


async def async_cut_power_periodically(
    world: World, random: Random, stopping: asyncio.Event
) -> None:
    """Kill all edges at once, or stop one after the other, until `stopping` is set."""
    kinds = (
        _async_kill_all,
        _async_kill_behind_release,
        _async_kill_behind_release,
        _async_stop_behind_release,
    )
    while not stopping.is_set():
        await asyncio.sleep(random.uniform(1.0, 3.0))
        await random.choice(kinds)(world, random)


async def _async_kill_all(world: World, random: Random) -> None:
    """Kill all edges at once by SIGKILL, and perhaps the schedulers with them."""
    nodes = world.list_nodes("edge")
    with_schedulers = random.random() < 0.5
    if with_schedulers:
        nodes += world.list_nodes("scheduler")
    span = world.records.begin("kill all edges")
    world.records.power_cuts += 1
    with ExitStack() as stack:
        for node in nodes:
            assert node.process is not None
            node.stopping = True
            node.process.kill()
            stack.enter_context(disturb_node(world, node, ended=True))
        await asyncio.sleep(START_S)
    end_span(span)


async def _async_kill_behind_release(world: World, random: Random) -> None:
    """Kill all edges just after the last runner of a version has left."""
    span = world.records.begin("release of runners")
    leaving = await _async_start_release(world, random)
    await asyncio.gather(*(each.async_crash() for each in leaving))
    await asyncio.sleep(CUT_PAUSE_S)
    await _async_kill_all(world, random)
    end_span(span)


async def _async_stop_behind_release(world: World, random: Random) -> None:
    """Stop one edge after the other while the runners of a version leave, or after it.

    Edges that start while these drain still see them in the store.
    """
    leaving = await _async_start_release(world, random)
    if random.random() < DRAINING_SHARE:
        for runner in leaving:
            world.start_task(runner.async_drain())
    else:
        span = world.records.begin("release of runners")
        await asyncio.gather(*(each.async_crash() for each in leaving))
        end_span(span)
    world.records.rolling_stops += 1
    stops = []
    for node in world.list_nodes("edge"):
        if node.process is not None and not node.stopping:
            stops.append(world.start_task(async_stop_node(world, node)))
        await asyncio.sleep(STOP_PAUSE_S)
    await asyncio.gather(*stops)


async def _async_start_release(world: World, random: Random) -> list[RunnerStandIn]:
    """Start runners of one version, and return those of the other, which leave."""
    engines = [each for each in world.runners if each.service == "llm"]
    old = random.choice(sorted({each.software_version for each in engines}))
    new = next(each for each in world.software_versions if each != old)
    leaving = [each for each in engines if each.software_version == old]
    for each in leaving:
        models = {name: set[str]() for name in each.models or {}}
        await world.async_add_runner(each.service, models, new)
    await asyncio.sleep(JOIN_S)
    # Another fault may have ended some of them meanwhile.
    leaving = [each for each in leaving if each in world.runners]
    for each in leaving:
        world.runners.remove(each)
    return leaving
