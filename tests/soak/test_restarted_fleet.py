"""All processes of a role, or of both roles, that are killed at once and start again.

The failure: what only these processes knew was taken for something that doesn't exist.
"""

import asyncio
import time
from pathlib import Path

import aiohttp
import orjson
import pytest
from attrs import evolve

from mangoway.coordination.restore_tracker import REWRITE_S
from mangoway.policy.scheduling.const import STORE_WINDOW_S

from ..stand_ins.launcher import Launcher
from . import world as world_module
from .customers import REVOKE_S
from .records import RETRY_WINDOW_S, Kind
from .store import StoreFault
from .test_crashing_requests import FOLLOW_S
from .test_lost_keys import async_send_with
from .world import Node, World

SEED = 113
WATCHES_END_S = 0.7
"""Time after which no watch that began before the store's absence is answered."""

AWAY_S = 0.3
REPEATED_S = 4.9
"""Time from the store's return until the operator makes the lost write again."""

WATCHED_S = 9.0
REJECTING_S = 8.0
"""Time for which runners reject requests."""

ALL_KILLED_S = 2.5
"""Time between two kills of all processes, within a window of the retry budget."""

MARKED_S = 2.5
"""Time within which the processes note in the store that lost writes were repeated."""

STARTED_S = 20.0
"""Time within which all processes are ready again on a busy machine."""

KILLED_S = 0.2
"""Time after which a killed process has ended; it is restarted 0.1 s later."""

NODE_STARTED = 150
"""Number of the event that a process logs when it has started."""

LOADS_PER_S = 0.5

PLACEMENT_ORDERED = 453
"""Number of the event that a scheduler logs for each order."""

ROLES = (("edge",), ("edge", "scheduler"))


def kill_all(world: World, roles: tuple[str, ...]) -> None:
    """Kill all processes of some roles at once; they are restarted."""
    for role in roles:
        for node in world.list_nodes(role):
            assert node.process is not None
            node.stopping = True
            node.process.kill()


async def async_measure_start(node: Node, log: Path) -> float:
    """Return the seconds from the start of an edge, after its imports, to readiness."""
    async with aiohttp.ClientSession() as session:
        while not await async_is_ready(session, node):  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    return time.time() - find_start(log)


def find_start(log: Path) -> float:
    """Return when the last process that wrote a log started."""
    events = map(orjson.loads, log.read_text().splitlines()[:-1])
    return max(
        float(each["timestamp"]) for each in events if each.get("event") == NODE_STARTED
    )


def list_loads(logs: Path) -> list[float]:
    """Return when schedulers ordered models to be loaded, in order."""
    lines = [line for path in logs.glob("scheduler-*") for line in path.open()]
    events = [orjson.loads(line) for line in lines if line.endswith("}\n")]
    return sorted(
        float(each["timestamp"])
        for each in events
        if each.get("event") == PLACEMENT_ORDERED
        and each["load"]
        and not each["adapter"]
    )


async def async_is_ready(session: aiohttp.ClientSession, node: Node) -> bool:
    try:
        async with session.get(f"http://{node.ready_address}/v1/ready") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


@pytest.mark.process
class TestKeys:
    """Keys that were taken away in a write that the restored store has lost."""

    @pytest.mark.parametrize("roles", ROLES)
    async def test_removed_key_is_not_accepted_by_restarted_edges(
        self, roles: tuple[str, ...], tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, callers=0)
            await world.async_start()
            try:
                await asyncio.sleep(FOLLOW_S)
                edges = [each.caller_address for each in world.list_nodes("edge")]
                async with aiohttp.ClientSession() as session:
                    first = await world.make_caller(0).async_call(
                        session, edges[0], Kind.SAFE
                    )
                for number, key in enumerate(tuple(world.records.customers.keys)):
                    template = evolve(first, key=key.text)
                    caller = world.make_caller(number)
                    world.start_task(async_send_with(caller, template, edges))
                await asyncio.sleep(1.0)
                copy = world.store.copy()
                world.store.absence = StoreFault.SILENT
                await asyncio.sleep(WATCHES_END_S)
                removed_at = time.monotonic()
                world.records.customers.change_key(removed_at)
                world.write_configuration()
                await asyncio.sleep(AWAY_S)
                lost = world.store.restore(copy)
                world.store.absence = StoreFault.NONE
                await asyncio.sleep(0.5)
                kill_all(world, roles)
                await asyncio.sleep(REPEATED_S - 0.5)
                world.store.write_again(lost)
                await asyncio.sleep(WATCHED_S)
            finally:
                await world.async_stop()
        keys = world.records.customers.keys
        removed = {each.text for each in keys if each.removed_at is not None}
        late = [
            each
            for each in world.records.calls.values()
            if each.sent_at > removed_at + REVOKE_S
        ]
        assert any(each.key in removed for each in late)
        assert not any(each.whole for each in late if each.key in removed)
        assert any(each.whole for each in late if each.key not in removed)


@pytest.mark.process
class TestStartAfterRestore:
    """Starts of all processes well after the store came back from a copy."""

    @pytest.mark.parametrize("schedulers", [0, 2])
    async def test_restarted_fleet_does_not_wait_for_writes_that_were_repeated(
        self, schedulers: int, tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, callers=0, schedulers=schedulers)
            await world.async_start()
            try:
                await asyncio.sleep(FOLLOW_S)
                world.store.restore(world.store.copy())
                await asyncio.sleep(REWRITE_S + MARKED_S)
                kill_all(world, ("edge", "scheduler"))
                await asyncio.sleep(KILLED_S)
                async with asyncio.timeout(STARTED_S):
                    waits = await asyncio.gather(
                        *(
                            async_measure_start(each, tmp_path / f"{each.name}.log")
                            for each in world.nodes
                            if each.ready_address
                        )
                    )
            finally:
                await world.async_stop()
        assert max(waits) < REWRITE_S / 2


@pytest.mark.process
class TestLoads:
    """Loads from the weight store, over all leaders."""

    async def test_no_window_has_more_loads_when_all_schedulers_restart_twice(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        make_service = world_module._make_engine_service
        service = make_service(set())
        service["engine"]["loads_per_s"] = LOADS_PER_S
        monkeypatch.setattr(
            world_module, "_make_engine_service", lambda retired: service
        )
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, engines=8, engine_models=("m0",))
            await world.async_start()
            try:
                kills: list[float] = []
                for count in (1, 3):
                    async with asyncio.timeout(STARTED_S):
                        while len(list_loads(tmp_path)) < count:  # noqa: ASYNC110
                            await asyncio.sleep(0.05)
                    kill_all(world, ("scheduler",))
                    kills.append(time.time())
                    await asyncio.sleep(KILLED_S)
                await asyncio.sleep(2 * STORE_WINDOW_S)
            finally:
                await world.async_stop()
        loads = list_loads(tmp_path)
        most = max(
            sum(1 for at in loads if begin <= at < begin + STORE_WINDOW_S)
            for begin in loads
        )
        assert len(loads) > 2
        next_leader_at = min(at for at in loads if at > kills[0])
        assert next_leader_at - kills[0] > STORE_WINDOW_S
        assert most <= LOADS_PER_S * STORE_WINDOW_S * 1.1 + 3


@pytest.mark.process
class TestRetries:
    """The retry budget of each service, over all edges before and after a restart."""

    @pytest.mark.parametrize("roles", ROLES)
    async def test_no_window_exceeds_the_budget_when_all_restart_twice(
        self, roles: tuple[str, ...], tmp_path: Path
    ) -> None:
        async with Launcher(tmp_path) as launcher:
            world = World(SEED, launcher, schedulers=2, edges=4, callers=30)
            await world.async_start()
            await asyncio.sleep(RETRY_WINDOW_S)
            span = world.records.begin("all killed")
            try:
                for runner in world.runners:
                    runner.reject_share = 0.95
                for _ in range(2):
                    await asyncio.sleep(ALL_KILLED_S)
                    kill_all(world, roles)
                await asyncio.sleep(REJECTING_S - 2 * ALL_KILLED_S)
            finally:
                await world.async_stop()
        span.ended = span.began + REJECTING_S
        assert any(map(world.records.list_retries, world.records.arrivals))
        budget = [each for each in world.records.check() if each.startswith("budget")]
        assert budget == []
