"""Runners that leave unannounced, run on or send bytes without end."""

import asyncio
import time
from pathlib import Path

import pytest

from ..stand_ins.launcher import Launcher
from .loop_delays import LoopDelays
from .records import Kind, Records
from .runners import RunnerStandIn
from .soak import async_soak
from .world import MODELS, ROUTE_TIMEOUT_S, Node, World

SEED = 5
SETTLE_S = 3.0
RUN_S = 8.0
ENGINES = 6
HELD = tuple(MODELS[:3])
"""Models that each engine holds."""

LEAVES_PERIOD_S = 1.0
STATUS_OK = 200
POUR_SHARE = 0.3
MAX_MEMORY_MB = 300
"""Memory of the smallest hosts, which a process must not exceed."""

OBJECTIVE_S = 0.3
"""Objective of the routes, within which 95 of 100 callers of sound runners end."""

SOAK_SEED = 27
"""A seed without other periods than those of misbehaving runners."""


def make_world(launcher: Launcher) -> World:
    """Return a world whose engines hold the same models."""
    return World(SEED, launcher, engines=ENGINES, engine_models=HELD)


async def async_leave_unannounced(world: World, runner: RunnerStandIn) -> None:
    """Let a runner leave whose streams pause, after another one took its place."""
    await world.async_add_runner("llm", {name: set() for name in HELD})
    world.runners.remove(runner)
    await runner.async_leave_unannounced()


def read_memory_mb(node: Node) -> float:
    """Return the largest resident memory that the process of a node had."""
    assert node.process is not None
    status = Path(f"/proc/{node.process.child.pid}/status").read_text()
    [line] = [each for each in status.splitlines() if each.startswith("VmHWM")]
    return int(line.split()[1]) / 1024


@pytest.mark.process
class TestUnannouncedLeaving:
    """Runners whose entries are removed while they serve on."""

    async def test_paused_streams_go_on_at_their_runner(self, tmp_path: Path) -> None:
        """An edge took the missing entry for the end of the runner."""
        async with Launcher(tmp_path) as launcher:
            world = make_world(launcher)
            await world.async_start()
            world.popular_models[:] = HELD
            try:
                await asyncio.sleep(SETTLE_S)
                end = time.monotonic() + RUN_S
                while time.monotonic() < end:
                    engines = [each for each in world.runners if each.service == "llm"]
                    leaving = world.random.choice(engines)
                    world.start_task(async_leave_unannounced(world, leaving))
                    await asyncio.sleep(LEAVES_PERIOD_S)
                await asyncio.sleep(SETTLE_S)
                stopped_at = time.monotonic()
            finally:
                await world.async_stop()
        assert world.records.streams.check({}) == []
        broken = [
            each.request_id
            for each in world.records.calls.values()
            if each.kind is Kind.FIXED_STREAM
            and each.status == STATUS_OK
            and 0 < each.ended_at < stopped_at
            and each.ended_at - each.sent_at < ROUTE_TIMEOUT_S
            and not each.whole
            and not each.given_up
        ]
        assert broken == []


@pytest.mark.process
class TestWaitingUnloads:
    """Runners that go on with runs of callers that have left."""

    async def test_no_adapter_is_ordered_beyond_the_slots(self, tmp_path: Path) -> None:
        """The scheduler took an unload that waited for a run for done."""
        async with Launcher(tmp_path) as launcher:
            world = make_world(launcher)
            await world.async_start()
            world.popular_models[:] = [
                f"{name}/a{number}" for name in HELD for number in range(1, 9)
            ]
            for each in world.runners:
                each.runs_on = each.pauses = True
            try:
                await asyncio.sleep(SETTLE_S)
                nodes = [each for each in world.list_nodes("edge") if each.process]
                for node in nodes:
                    assert node.process is not None
                    node.stopping = True
                    node.process.kill()
                    await asyncio.sleep(RUN_S / len(nodes))
            finally:
                await world.async_stop()
        limits = [each for each in world.records.violations if "limit" in each]
        assert limits == []


@pytest.mark.process
class TestEndlessBytes:
    """Runners that answer with bytes without end."""

    async def test_callers_of_other_runners_are_served(self, tmp_path: Path) -> None:
        """The edges' memory grew with all that came, and their callers waited."""
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, plain_runners=4)
            delays = LoopDelays()
            await world.async_start()
            world.start_task(delays.async_run())
            try:
                await asyncio.sleep(SETTLE_S)
                faulty = [each for each in world.runners if each.service == "plain"][:1]
                faulty += [each for each in world.runners if each.service == "llm"][:1]
                for each in faulty:
                    each.pour_share = POUR_SHARE
                began = time.monotonic()
                await asyncio.sleep(RUN_S)
                memory_mb = [read_memory_mb(each) for each in world.list_nodes("edge")]
            finally:
                await world.async_stop()
        assert len(world.records.pours) > 0
        assert max(memory_mb) < MAX_MEMORY_MB
        assert measure_percentile(world.records, began, delays) <= OBJECTIVE_S


def measure_percentile(records: Records, since: float, delays: LoopDelays) -> float:
    """Return the time that 95 of 100 plain requests took which met no endless bytes.

    The delays of this process don't count: beside other tests it may get no processor
    for half a second, in which it notices no response and sends none for its runners.
    """
    met = set(records.pours)
    times = sorted(
        each.ended_at - each.sent_at - delays.measure_s(each.sent_at, each.ended_at)
        for each in records.calls.values()
        if each.ended_at
        and each.sent_at > since
        and each.kind.service == "plain"
        and each.request_id not in met
    )
    return times[int(0.95 * len(times))]


@pytest.mark.process
class TestSoak:
    """The same beside the faults of a soak."""

    async def test_guarantees_hold(self, tmp_path: Path) -> None:
        result = await async_soak(SOAK_SEED, tmp_path, 6.0, misbehaving=True)
        assert result.violations == []
        assert result.pours > 0
