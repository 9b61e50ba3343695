"""One soak: random faults, some at the same time, then recovery, then the checks."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any, Final

from attrs import define, field

from ..stand_ins.launcher import Launcher
from .changes import async_change_periodically
from .faults import (
    FAULTS,
    PLANNED,
    async_break_endings_periodically,
    async_cut_edges_periodically,
    async_fail_falsely_periodically,
    async_misbehave_periodically,
    async_reject_periodically,
    async_restore_periodically,
    async_send_extras_periodically,
    async_signal_periodically,
)
from .order import EventIds
from .power_cuts import MAX_PAUSE_S, PATIENCE_S, async_cut_power_periodically
from .records import Kind, Records
from .stream_callers import (
    MIXED_ALLOWED,
    StreamCaller,
    find_shortfall,
)
from .world import EDGES, World

FAULT_S: Final = 8.0
"""Time in which faults start."""

RECOVERY_S: Final = 12.0
"""Time after the last fault within which the system must have recovered.

It applies once more after the end of the periods; see `_async_recover`.
"""

RECOVERY_WINDOW_S: Final = 2.0
"""Length of the windows in which the recovery is checked."""

MIN_SERVED_SHARE: Final = 0.5
"""Share of the ended requests of one such window that must have succeeded."""

MAX_CONCURRENT_FAULTS: Final = 3
PLANNED_DIVISOR: Final = 3
"""Seeds divisible by this have planned work only, during which all time bounds hold."""


CRASHING_DIVISOR: Final = 4
CRASHING_REMAINDER: Final = 2
"""Remainder, by `CRASHING_DIVISOR`, of the seeds with requests that crash runners."""


REJECTING_DIVISOR: Final = 3
REJECTING_REMAINDER: Final = 1
"""Remainder, by `REJECTING_DIVISOR`, of the seeds with runners that reject or fail."""


SIGNALLING_DIVISOR: Final = 2
SIGNALLING_REMAINDER: Final = 0
"""Remainder, by `SIGNALLING_DIVISOR`, of the seeds with runners that send signals."""


RESTORING_DIVISOR: Final = 5
RESTORING_REMAINDER: Final = 1
"""Remainder, by `RESTORING_DIVISOR`, of the seeds with restores of the store."""


CUTTING_DIVISOR: Final = 7
CUTTING_REMAINDER: Final = 5
"""Remainder, by `CUTTING_DIVISOR`, of the seeds with edges that are cut off from all
runners."""


MISBEHAVING_DIVISOR: Final = 6
MISBEHAVING_REMAINDER: Final = 5
"""Remainder, by `MISBEHAVING_DIVISOR`, of the seeds with runners that leave
unannounced, run on or send bytes without end."""


ODD_IDS: Final = (EventIds.SPARSE, EventIds.TEXT, EventIds.PARTIAL)
"""IDs of events in soaks with odd ones, by the seed's remainder."""

VERSIONS: Final = ("v1", "v2")
ENGINES_OF_VERSIONS: Final = 6
LEFT_AFTER_EVENTS: Final = 8


@define(eq=False)
class Result:
    """Result of a soak."""

    seed: int
    faults: list[str] = field(factory=list)
    calls: int = 0
    served: int = 0
    crashes: int = 0
    """Number of crashes that requests caused."""

    wrongly_blocked: int = 0
    """Harmless requests that were rejected as if they had caused crashes."""

    has_versions: bool = False
    """Whether runners had two software versions."""

    has_extras: bool = False
    """Whether runners sent extra responses."""

    extras: int = 0
    """Number of extra responses."""

    has_promises: bool = False
    """Whether runners failed requests with statuses that promise "not run", and callers
    kept the IDs of their requests."""

    own_failures: int = 0
    """Requests that runners failed so."""

    kept_ids: int = 0
    """Requests that callers sent again under their IDs."""

    restores: int = 0
    """Number of times that the store came back from a copy."""

    pours: int = 0
    """Requests that runners answered with bytes without end."""

    has_broken_endings: bool = False
    """Whether runners sent unframed responses, and were killed in the middle of
    some."""

    unframed: int = 0
    """Number of unframed responses."""

    cut_unframed: int = 0
    """Those of them that the end of their runner, or of their edge, cut."""

    has_power_cuts: bool = False
    """Whether all edges were killed at once, or stopped one after the other."""

    power_cuts: int = 0
    """Number of times that all edges were killed at once."""

    rolling_stops: int = 0
    """Number of times that all edges were stopped one after the other."""

    has_changes: bool = False
    """Whether entries and models changed, the leader lost the store, and calls were
    long."""

    changes: int = 0
    """Number of periods with one of these."""

    event_ids: EventIds = EventIds.RISING
    """IDs of the events of streams."""

    judged: int = 0
    """Streams whose order was judged."""

    disorders: dict[str, int] = field(factory=dict)
    """Streams out of order, by what was wrong."""

    resumed: int = 0
    """Streams that callers resumed at another edge."""

    went_on: int = 0
    """Those of them that went on."""

    violations: list[str] = field(factory=list)


@define(eq=False)
class Periods:
    """Periods of rejections, failures, signals and restores, apart from the faults.

    Unlike faults they go on during the recovery.
    """

    _stopping: asyncio.Event = field(factory=asyncio.Event, init=False)
    _tasks: list[asyncio.Task[None]] = field(factory=list, init=False)

    def __bool__(self) -> bool:
        """Return whether any kind of periods was started."""
        return bool(self._tasks)

    def start(
        self,
        world: World,
        run: Callable[[World, Random, asyncio.Event], Coroutine[Any, Any, None]],
    ) -> None:
        """Start the periods of one kind, which `run` causes until it is stopped."""
        self._tasks.append(
            world.start_task(run(world, Random(world.seed), self._stopping))
        )

    async def async_end(self) -> None:
        """End the periods; at most one more of each kind begins before that."""
        self._stopping.set()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def async_soak(
    seed: int,
    folder: Path,
    fault_s: float = FAULT_S,
    crashing: int | None = None,
    edges: int = EDGES,
    restoring: bool | None = None,
    cutting: bool | None = None,
    versions: bool = False,
    misbehaving: bool | None = None,
    extras: bool = False,
    promises: bool = False,
    broken_endings: bool = False,
    power_cuts: bool = False,
    odd_ids: bool = False,
    changing: bool = False,
) -> Result:
    """Run one soak.

    Args:
        seed: Seed of all random choices.
        folder: Folder for the logs of the processes.
        fault_s: Time in which faults start, in seconds.
        crashing: Number of requests that crash runners; None: derived from the seed.
        edges: Number of edges.
        restoring: Whether the store is restored; None: derived from the seed.
        cutting: Whether edges are cut off from all runners; None: derived from the
            seed.
        versions: Whether runners have two software versions, and callers leave streams
            to resume them.
        misbehaving: Whether runners leave unannounced, run on or send bytes without
            end; None: derived from the seed.
        extras: Whether runners send extra responses.
        promises: Whether runners fail requests with statuses that promise "not run",
            and callers send requests again under their IDs.
        broken_endings: Whether runners send responses without a length or chunks, and
            are killed in the middle of some.
        power_cuts: Whether all edges are killed at once, or stopped one after the
            other; runners have two software versions then.
        odd_ids: Whether IDs of events don't rise by one.
        changing: Whether entries change their services, models are retired, the leader
            alone loses the store, and calls take long.
    """
    versions = versions or power_cuts
    event_ids = ODD_IDS[seed % len(ODD_IDS)] if odd_ids else EventIds.RISING
    result = Result(
        seed,
        has_versions=versions,
        has_extras=extras,
        has_promises=promises,
        has_broken_endings=broken_endings,
        has_power_cuts=power_cuts,
        has_changes=changing,
        event_ids=event_ids,
    )
    if crashing is None:
        crashing = 2 if seed % CRASHING_DIVISOR == CRASHING_REMAINDER else 0
    async with Launcher(folder) as launcher:
        world = World(
            seed,
            launcher,
            edges=edges,
            keeps_ids=promises,
            event_ids=event_ids,
            resets=broken_endings,
        )
        if versions:
            world = World(
                seed,
                launcher,
                edges=edges,
                keeps_ids=promises,
                event_ids=event_ids,
                resets=broken_endings,
                engines=ENGINES_OF_VERSIONS,
                software_versions=VERSIONS,
            )
        await world.async_start()
        stream_caller = StreamCaller(
            world=world,
            random=Random(seed),
            leave_after=LEFT_AFTER_EVENTS,
            patience_s=PATIENCE_S if power_cuts else 0.0,
            max_pause_s=MAX_PAUSE_S if power_cuts else 0.0,
        )
        if versions:
            world.start_task(stream_caller.async_run())
        kinds = list(Kind)
        for number in range(crashing):
            world.send_crashing_requests(kinds[(seed + number) % len(kinds)])
        periods = Periods()
        if seed % REJECTING_DIVISOR == REJECTING_REMAINDER:
            periods.start(world, async_reject_periodically)
        if seed % SIGNALLING_DIVISOR == SIGNALLING_REMAINDER:
            periods.start(world, async_signal_periodically)
        if restoring is None:
            restoring = seed % RESTORING_DIVISOR == RESTORING_REMAINDER
        if restoring:
            periods.start(world, async_restore_periodically)
        if cutting is None:
            cutting = seed % CUTTING_DIVISOR == CUTTING_REMAINDER
        if cutting:
            periods.start(world, async_cut_edges_periodically)
        if misbehaving is None:
            misbehaving = seed % MISBEHAVING_DIVISOR == MISBEHAVING_REMAINDER
        if misbehaving:
            periods.start(world, async_misbehave_periodically)
        if extras:
            periods.start(world, async_send_extras_periodically)
        if promises:
            periods.start(world, async_fail_falsely_periodically)
        if broken_endings:
            periods.start(world, async_break_endings_periodically)
        if power_cuts:
            periods.start(world, async_cut_power_periodically)
        if changing:
            periods.start(world, async_change_periodically)
        try:
            await _async_disturb(world, result, fault_s)
            await _async_recover(world.records, result, periods)
        finally:
            await world.async_stop()
    result.calls = len(world.records.calls)
    result.served = sum(1 for each in world.records.calls.values() if each.whole)
    result.restores = world.records.restores
    result.pours = len(world.records.pours)
    result.extras = world.records.extras
    result.own_failures = world.records.own_failures
    result.kept_ids = world.records.count_kept_ids()
    result.crashes = sum(len(each) for each in world.records.crashes.values())
    result.wrongly_blocked = world.records.count_wrongly_blocked()
    result.unframed = world.records.unframed
    result.cut_unframed = world.records.cut_unframed
    result.power_cuts = world.records.power_cuts
    result.changes = world.records.changes
    result.rolling_stops = world.records.rolling_stops
    report = world.records.judge_order()
    result.judged, result.disorders = report.judged, report.count()
    result.violations += world.records.check(MIXED_ALLOWED)
    _judge_streams(stream_caller, result)
    result.violations += world.records.customers.find_in_logs(folder)
    return result


def _judge_streams(caller: StreamCaller, result: Result) -> None:
    """Check how many streams that callers resumed went on.

    This is checked beside planned work only, where no edge is disturbed.
    """
    result.resumed = sum(each.resumed for each in caller.streams)
    result.went_on = sum(each.went_on for each in caller.streams)
    if result.seed % PLANNED_DIVISOR == 0 and not result.has_power_cuts:
        shortfall = find_shortfall(caller.streams)
        if shortfall:
            result.violations.append(f"resumed: {shortfall}")


async def _async_disturb(world: World, result: Result, fault_s: float) -> None:
    """Start faults at random times, some at the same time, and wait for their ends."""
    end = time.monotonic() + fault_s
    running: set[asyncio.Task[None]] = set()
    names = sorted(PLANNED if world.seed % PLANNED_DIVISOR == 0 else FAULTS)
    while time.monotonic() < end:
        await asyncio.sleep(world.random.uniform(0.1, 1.2))
        running = {each for each in running if not each.done()}
        if len(running) >= MAX_CONCURRENT_FAULTS:
            continue
        name = world.random.choice(names)
        result.faults.append(name)
        running.add(world.start_task(FAULTS[name](world)))
    await asyncio.gather(*running, return_exceptions=True)


async def _async_recover(records: Records, result: Result, periods: Periods) -> None:
    """Wait until the system has recovered, or add a violation at the time bound.

    While runners reject or fail nine of ten requests, or send limits and cooldowns,
    less than half of the requests may succeed for longer than the time bound, whatever
    the system does. Where that happens, these periods are ended, and the system must
    recover within the same bound from then on.
    """
    shortfall = await _async_wait_until_serving(records)
    if shortfall is not None and periods:
        await periods.async_end()
        shortfall = await _async_wait_until_serving(records)
    if shortfall is not None:
        result.violations.append(f"recover: {shortfall} requests succeeded, too few")


async def _async_wait_until_serving(records: Records) -> str | None:
    """Wait until enough requests of one window succeed.

    Returns:
        None, or at the time bound the counts of the last window, as in "12 of 31".
    """
    end = time.monotonic() + RECOVERY_S
    while True:
        began = time.monotonic()
        await asyncio.sleep(RECOVERY_WINDOW_S)
        recent_calls = [each for each in records.calls.values() if each.sent_at > began]
        served = sum(1 for each in recent_calls if each.whole)
        ended = sum(1 for each in recent_calls if each.ended_at)
        if ended and served >= MIN_SERVED_SHARE * ended:
            return None
        if time.monotonic() > end:
            return f"{served} of {ended}"
