"""Requests that crash each runner that runs them, sent again and again.

The failure: responses were cut off and requests rejected for half a minute while one
runner after the other crashed, each because of the same request. After a crash the
edge retried this request at a second runner, like all interrupted ones; its caller
sent it again under another id; and later it arrived at other edges, each of which
treated it as a new request. Runner A crashes with the request and some twenty others,
all of which are retried; runner B crashes; the caller's retry arrives at another edge;
runner C crashes. From then on the request could be identified, but it was sent to
runners for as long as it arrived.

The cause: processes drew conclusions from a crash about the runner only, and shared
none of them. The identity of the request is evidence enough: in the log lines of
crashed runners (354) of one run of each case below without the protection, the
identities of the four requests stand in the lines of 6 to 29 incarnations of runners,
those of 166 others in two incarnations at most.

The bounds are the promised ones: three crashes, and three runs more once three seconds
have passed.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from ..fakes.polling import async_wait_until
from ..stand_ins.launcher import Launcher
from .records import BLOCK_S, CRASHES_ALLOWED, RETRIES_ALLOWED, Kind
from .world import World

SEED = 27
ALREADY_SENT = 1
"""Runs of a request that may be under way when its third crash is reported."""

LEADER_KEY = "mangoway/scheduler"
FOLLOW_S = 2.0
"""Time in which all edges find a new leader and connect to it, on a busy host."""

CRASH_TIMEOUT_S = 15.0
"""Time within which the requests must have crashed runners often enough to be
identified."""

WATCHED_S = 4.0
"""Time for which the requests are still sent once they must be blocked."""


async def async_do_nothing(world: World) -> None:
    """Cause no fault."""


async def async_kill_schedulers(world: World) -> None:
    """Kill the schedulers one after the other; they are restarted."""
    for node in world.list_nodes("scheduler"):
        assert node.process is not None
        node.stopping = True
        node.process.kill()
        await asyncio.sleep(0.7)


async def async_cut_edges_from_store(world: World) -> None:
    """Cut all edges from the store once they are connected to the leader.

    An edge that loses the store before it has found a scheduler receives no statements.
    """
    await async_wait_until(lambda: LEADER_KEY in world.store.items, CRASH_TIMEOUT_S)
    await asyncio.sleep(FOLLOW_S)
    for node in world.list_nodes("edge"):
        node.store_relay.cut()
        node.store_relay.switches.refuse_new = True


async def async_run_world(
    tmp_path: Path,
    schedulers: int,
    disturb: Callable[[World], Awaitable[None]],
    prepare: Callable[[World], Awaitable[None]] = async_do_nothing,
) -> World:
    """Send a crashing request of each kind, and return the world with its records.

    Args:
        tmp_path: Folder for the logs of the processes.
        schedulers: Number of schedulers; 0: each edge chooses runners by itself.
        disturb: Runs once the requests can be identified.
        prepare: Runs before the requests are sent.
    """
    async with Launcher(tmp_path) as launcher:
        world = World(
            SEED,
            launcher,
            schedulers=schedulers,
            edges=4,
            engines=5,
            plain_runners=5,
            callers=8,
        )
        await world.async_start()
        try:
            await prepare(world)
            names = [world.send_crashing_requests(kind) for kind in Kind]
            await async_wait_for_crashes(world, names)
            await disturb(world)
            await asyncio.sleep(BLOCK_S + WATCHED_S)
        finally:
            await world.async_stop()
    return world


async def async_wait_for_crashes(world: World, names: list[str]) -> None:
    """Wait until each of the requests can be identified."""

    def are_identified() -> bool:
        return all(world.records.find_identified_at(each) is not None for each in names)

    await async_wait_until(are_identified, CRASH_TIMEOUT_S)


def check_violations(world: World) -> None:
    """Check that no request ran too often once it had to be blocked."""
    records = world.records
    late = {name: records.count_late_runs(name) for name in records.crashes}
    assert len(late) == len(Kind)
    assert all(each <= RETRIES_ALLOWED for each in late.values()), late
    assert records.check() == []


@pytest.mark.process
class TestCrashingRequests:
    """Crashing requests of each kind, at services with engines and plain ones."""

    @pytest.mark.parametrize(
        ("schedulers", "disturb"),
        [
            pytest.param(2, async_do_nothing, id="leader"),
            pytest.param(0, async_do_nothing, id="no_scheduler"),
            pytest.param(2, async_kill_schedulers, id="change_of_leader"),
        ],
    )
    async def test_crashing_requests_are_blocked(
        self,
        schedulers: int,
        disturb: Callable[[World], Awaitable[None]],
        tmp_path: Path,
    ) -> None:
        check_violations(await async_run_world(tmp_path, schedulers, disturb))

    async def test_edges_without_the_store_exchange_crash_statements(
        self, tmp_path: Path
    ) -> None:
        """Crash statements also reach the other edges by way of the leader.

        Without them each edge would identify a request from three crashes of its own,
        within the time bound, but with twelve crashes in all.
        """
        prepare = async_cut_edges_from_store
        world = await async_run_world(tmp_path, 2, async_do_nothing, prepare)
        check_violations(world)
        crashes = {name: len(each) for name, each in world.records.crashes.items()}
        assert all(
            each <= CRASHES_ALLOWED + ALREADY_SENT for each in crashes.values()
        ), crashes
