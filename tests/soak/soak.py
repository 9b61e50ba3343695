"""One soak: faults in series and overlapping, then a calm time, then the checks."""

import asyncio
import time
from pathlib import Path
from typing import Final

from attrs import define, field

from ..stand_ins.launcher import Launcher
from .faults import FAULTS, PLANNED
from .records import Records
from .world import World

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


@define(eq=False)
class Result:
    """What a soak showed."""

    seed: int
    faults: list[str] = field(factory=list)
    calls: int = 0
    served: int = 0
    broken: list[str] = field(factory=list)


async def async_soak(seed: int, folder: Path, fault_s: float = FAULT_S) -> Result:
    """Run one soak; the logs of its processes go to a folder."""
    result = Result(seed)
    async with Launcher(folder) as launcher:
        world = World(seed, launcher)
        await world.async_start()
        try:
            await _async_disturb(world, result, fault_s)
            await _async_recover(world.records, result)
        finally:
            await world.async_stop()
    result.calls = len(world.records.calls)
    result.served = sum(1 for each in world.records.calls.values() if each.whole)
    result.broken += world.records.check()
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
