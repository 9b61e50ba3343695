"""One soak: faults in series and overlapping, then a calm time, then the checks."""

import asyncio
import time
from pathlib import Path
from random import Random
from typing import Final

from attrs import define, field

from ..stand_ins.launcher import Launcher
from .faults import (
    FAULTS,
    PLANNED,
    async_refuse_in_spells,
    async_say_in_spells,
)
from .records import Kind, Records
from .world import EDGES, World

FAULT_S: Final = 8.0
"""Time in which faults begin."""

RECOVERY_S: Final = 12.0
"""Time after the last fault until the system must serve again as a whole."""

LAST_CALLS_S: Final = 2.0
"""Time at the end in which at least half of the requests must be served."""

LEAST_SERVED: Final = 0.5
FAULTS_AT_ONCE: Final = 3
PLANNED_EACH: Final = 3
"""One seed in so many sees planned work alone, beside which all bounds in time hold."""


CRASHING_EACH: Final = 4
CRASHING_REST: Final = 2
"""One seed in so many, with this rest, sees requests that make their runners crash."""


REFUSING_EACH: Final = 3
REFUSING_REST: Final = 1
"""One seed in so many, with this rest, sees runners that refuse or fail in spells."""


SAYING_EACH: Final = 2
SAYING_REST: Final = 0
"""One seed in so many, with this rest, sees runners that limit, rest and leave."""


@define(eq=False)
class Result:
    """What a soak showed."""

    seed: int
    faults: list[str] = field(factory=list)
    calls: int = 0
    served: int = 0
    crashes: int = 0
    """Crashes that requests caused."""

    held_back: int = 0
    """Innocent requests that were refused as if they had caused them."""

    broken: list[str] = field(factory=list)


async def async_soak(
    seed: int,
    folder: Path,
    fault_s: float = FAULT_S,
    crashing: int | None = None,
    edges: int = EDGES,
) -> Result:
    """Run one soak.

    Args:
        seed: What all its choices come from.
        folder: Where the logs of its processes go.
        fault_s: Time in which faults begin, in seconds.
        crashing: Requests that make their runners crash; None: as the seed says.
        edges: Number of edges.
    """
    result = Result(seed)
    if crashing is None:
        crashing = 2 if seed % CRASHING_EACH == CRASHING_REST else 0
    async with Launcher(folder) as launcher:
        world = World(seed, launcher, edges=edges)
        await world.async_start()
        kinds = list(Kind)
        for number in range(crashing):
            world.send_crashing_requests(kinds[(seed + number) % len(kinds)])
        if seed % REFUSING_EACH == REFUSING_REST:
            world.start_task(async_refuse_in_spells(world, Random(seed)))
        if seed % SAYING_EACH == SAYING_REST:
            world.start_task(async_say_in_spells(world, Random(seed)))
        try:
            await _async_disturb(world, result, fault_s)
            await _async_recover(world.records, result)
        finally:
            await world.async_stop()
    result.calls = len(world.records.calls)
    result.served = sum(1 for each in world.records.calls.values() if each.whole)
    result.crashes = sum(len(each) for each in world.records.crashes.values())
    result.held_back = world.records.count_held_back()
    result.broken += world.records.check()
    result.broken += world.records.customers.find_in_logs(folder)
    return result


async def _async_disturb(world: World, result: Result, fault_s: float) -> None:
    """Begin faults at random times, several at once, and wait for their ends."""
    end = time.monotonic() + fault_s
    under_way: set[asyncio.Task[None]] = set()
    names = sorted(PLANNED if world.seed % PLANNED_EACH == 0 else FAULTS)
    while time.monotonic() < end:
        await asyncio.sleep(world.random.uniform(0.1, 1.2))
        under_way = {each for each in under_way if not each.done()}
        if len(under_way) >= FAULTS_AT_ONCE:
            continue
        name = world.random.choice(names)
        result.faults.append(name)
        under_way.add(world.start_task(FAULTS[name](world)))
    await asyncio.gather(*under_way, return_exceptions=True)


async def _async_recover(records: Records, result: Result) -> None:
    """Wait for the bound of the recovery, or until it serves again."""
    end = time.monotonic() + RECOVERY_S
    while True:
        began = time.monotonic()
        await asyncio.sleep(LAST_CALLS_S)
        last = [each for each in records.calls.values() if each.sent_at > began]
        served = sum(1 for each in last if each.whole)
        ended = sum(1 for each in last if each.ended_at)
        if ended and served >= LEAST_SERVED * ended:
            return
        if time.monotonic() > end:
            result.broken.append(f"recover: {served} of {ended} requests are served")
            return
