"""Tests of removed runners while processes lose their own paths to the store.

A process that gets no response for a while keeps the entries that are removed after
that, since runners can't renew them during an outage of the store. A leader whose own
path was cut made all its followers do so, although the store had responded to them: for
over two seconds they sent requests to runners that had left.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import orjson
import pytest

from mangoway.models.fleet import Role
from mangoway.platform.documents import CONFIGURATION_KEY, RUNNER_PREFIX

from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.process import MAX_FEED_AGE_S, FakeProcess, FakeRelay

pytestmark = pytest.mark.looptime

DRAIN_S = 2.0
"""Time after its removal from the store in which a runner may get requests."""

HEARTBEAT_S = 1.2
RUNNERS = 16
REMOVE_EACH_S = 0.37
REWRITE_S = 2.0
"""Time after an outage within which runners write lost entries again."""

STEP_S = 0.1
LARGE_FLEET_AGE_S = 1.65
"""Age of a leader's state up to which it is followed where heartbeats are rarest."""


def now() -> float:
    return asyncio.get_running_loop().time()


class Fleet:
    """A leader, two edges that follow it, and runners that renew their entries."""

    def __init__(self, store: FakeCoordinationStore) -> None:
        self.store = store
        self.sequence = 0
        self.renews = True
        self.leader = FakeProcess(store, "s1", Role.SCHEDULER)
        self.edges = [FakeProcess(store, name) for name in ("e1", "e2")]
        self.runners = {f"r{number}" for number in range(RUNNERS)}
        self.removed_at: dict[str, float] = {}
        self.latest_s = 0.0
        """Longest time after its removal for which an edge has used a runner."""

    @property
    def relay(self) -> FakeRelay:
        """Return the links of the edges to the leader."""
        relay = self.leader.mirror.follower
        assert isinstance(relay, FakeRelay)
        return relay

    def write_entries(self) -> None:
        """Let each runner write its entry."""
        self.sequence += 1
        entry = {
            "service": "llm",
            "address": "10.0.1.1:80",
            "zone": "dc1",
            "slots": 8,
            "state": "ready",
            "seq": self.sequence,
        }
        for runner_id in sorted(self.runners):
            self.store.put(RUNNER_PREFIX + runner_id, orjson.dumps(entry))

    def remove(self, runner_id: str) -> None:
        """Remove the entry of a runner that leaves."""
        self.runners.discard(runner_id)
        self.store.remove(RUNNER_PREFIX + runner_id)
        self.removed_at[runner_id] = now()

    async def async_renew(self) -> None:
        """Write the entries of the runners again while the store is available."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.renews and not self.store.down:
                self.write_entries()

    async def async_observe(self) -> None:
        """Measure for how long the edges use removed runners."""
        while True:
            await asyncio.sleep(0.05)
            for runner_id, at in self.removed_at.items():
                if any(each.view.find_open_runner(runner_id) for each in self.edges):
                    self.latest_s = max(self.latest_s, now() - at)

    async def async_flap(self, process: FakeProcess, cut_s: float, times: int) -> None:
        """Cut a process off from the store again and again."""
        for _ in range(times):
            process.client.cut_off = True
            await asyncio.sleep(cut_s)
            process.client.cut_off = False
            await asyncio.sleep(0.4)


@asynccontextmanager
async def start_fleet() -> AsyncIterator[Fleet]:
    """Start a fleet and let it settle."""
    store = FakeCoordinationStore()
    document = {"version": 1, "routes": [], "services": [], "limits": {}}
    store.put(CONFIGURATION_KEY, orjson.dumps(document))
    fleet = Fleet(store)
    fleet.write_entries()
    tasks = [asyncio.create_task(fleet.async_renew())]
    await asyncio.sleep(2.0)
    assert fleet.leader.leadership.fence is not None
    for edge in fleet.edges:
        fleet.relay.connect(fleet.leader, edge)
    await asyncio.sleep(5.0)
    tasks.append(asyncio.create_task(fleet.async_observe()))
    yield fleet
    for task in [*tasks, *fleet.leader.tasks, *fleet.edges[0].tasks]:
        task.cancel()
    fleet.edges[1].kill()


class TestCutOffLeaders:
    """Runners that leave while the leader alone loses its path to the store."""

    @pytest.mark.parametrize("cut_s", [1.3, 1.6, 2.5, 7.2])
    async def test_removed_runners_get_no_requests_after_the_drain_time(
        self, cut_s: float
    ) -> None:
        async with start_fleet() as fleet:
            flapping = asyncio.create_task(
                fleet.async_flap(fleet.leader, cut_s, times=4)
            )
            for number in range(RUNNERS - 2):
                await asyncio.sleep(REMOVE_EACH_S)
                fleet.remove(f"r{number}")
            await flapping
            await asyncio.sleep(5.0)
        assert fleet.latest_s <= DRAIN_S

    async def test_unchanged_store_is_seen_to_respond(self) -> None:
        """A watch that waits for changes returns too late to tell the two apart."""
        async with start_fleet() as fleet:
            fleet.renews = False
            await fleet.async_flap(fleet.leader, 1.5, times=1)
            fleet.remove("r0")
            await asyncio.sleep(5.0)
        assert fleet.latest_s <= DRAIN_S

    @pytest.mark.parametrize("cut_s", [1.6, 2.0, 2.4])
    async def test_runners_removed_after_the_cut_are_dropped_in_time(
        self, cut_s: float
    ) -> None:
        async with start_fleet() as fleet:
            await fleet.async_flap(fleet.leader, cut_s, times=1)
            for number in range(RUNNERS - 2):
                fleet.remove(f"r{number}")
                await asyncio.sleep(0.1)
            await asyncio.sleep(5.0)
        assert fleet.latest_s <= DRAIN_S


class TestCutOffEdges:
    """Runners that leave long after an edge has lost its own path for a moment."""

    async def test_earlier_failure_is_no_outage_while_the_leader_relayed(self) -> None:
        """The edge counted the outage from its last own call that had failed."""
        async with start_fleet() as fleet:
            edge, leader = fleet.edges[0], fleet.leader
            edge.client.cut_off = leader.client.cut_off = True
            await asyncio.sleep(1.0)
            leader.client.cut_off = False
            await asyncio.sleep(0.5)
            edge.client.cut_off = False
            # The edge follows the leader for a minute, and then the store again.
            await asyncio.sleep(60.0)
            leader.client.cut_off = True
            await asyncio.sleep(1.2)
            fleet.remove("r0")
            await asyncio.sleep(5.0)
        assert fleet.latest_s <= DRAIN_S


class TestOutages:
    """Runners whose entries expire while the store is away for everybody."""

    @pytest.mark.parametrize("outage_s", [2.5, 4.0, 9.0])
    @pytest.mark.parametrize("edges_cut_off", [False, True])
    @pytest.mark.parametrize("max_age_s", [MAX_FEED_AGE_S, LARGE_FLEET_AGE_S])
    @pytest.mark.parametrize("expire_after_s", [0.0, 0.6])
    async def test_lost_entries_are_kept_until_they_are_written_again(
        self,
        outage_s: float,
        edges_cut_off: bool,
        max_age_s: float,
        expire_after_s: float,
    ) -> None:
        async with start_fleet() as fleet:
            fleet.relay.max_age_s = max_age_s
            fleet.store.down = True
            for each in fleet.edges:
                each.client.cut_off = edges_cut_off
            fleet.renews = False
            await asyncio.sleep(outage_s)
            fleet.store.down = expire_after_s == 0.0
            await asyncio.sleep(expire_after_s)
            for runner_id in sorted(fleet.runners):
                fleet.store.remove(RUNNER_PREFIX + runner_id)
            fleet.store.down = False
            back_at = now() - expire_after_s
            while now() < back_at + REWRITE_S - STEP_S:
                await asyncio.sleep(STEP_S)
                for each in fleet.edges:
                    assert len(each.view.list_runners("llm")) == len(fleet.runners)
            fleet.write_entries()
            await asyncio.sleep(1.0)
            for each in fleet.edges:
                assert len(each.view.list_runners("llm")) == len(fleet.runners)
