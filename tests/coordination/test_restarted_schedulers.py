"""Tests of the loads of schedulers that all restart within one window of the store.

How many loads a leader has started is known to its own process only. Each leader of a
series took the one before for the only one of the window.
"""

import asyncio

import pytest
from attrs import evolve

from mangoway.coordination.leadership import SHORT_TERM_S
from mangoway.policy.scheduling.const import STORE_WINDOW_S
from mangoway.policy.scheduling.store_loads import StoreLoadLimiter

from ..fakes.coordination_store import FakeCoordinationStore, FakeStoreClient
from ..fakes.fleet import make_engine
from .test_leadership import Candidate

pytestmark = pytest.mark.looptime

ORDER_DELAY_S = 0.5
ELECTION_S = 8.0
LOADS_PER_S = 1.8
ALLOWED = LOADS_PER_S * STORE_WINDOW_S * 1.1 + 3
"""Loads that the weight store tolerates in a window."""

ENGINE = evolve(make_engine(["a"], load_s=5.4), loads_per_s=LOADS_PER_S)


class Fleet:
    """Schedulers that lead one after the other and load whatever they may."""

    def __init__(self) -> None:
        self.store = FakeCoordinationStore()
        self.loads: list[float] = []
        self.started = 0

    def start(self, host: str) -> Candidate:
        self.started += 1
        candidate = Candidate(
            FakeStoreClient(self.store),
            host,
            checks_fences=True,
            incarnation=self.started,
            address=f"127.0.0.1:{ord(host)}",
        )
        candidate.leadership.order_delay_s = ORDER_DELAY_S
        return candidate

    async def async_lead(self, *candidates: Candidate, seconds: float) -> Candidate:
        """Load what is allowed for some seconds from the leader's first order on."""
        loop = asyncio.get_running_loop()
        leaders: list[Candidate] = []
        async with asyncio.timeout(ELECTION_S):
            while not leaders:
                await asyncio.sleep(0.05)
                leaders = [each for each in candidates if each.leadership.may_order]
        [leader] = leaders
        limiter = start_loads(leader)
        until = loop.time() + seconds
        while loop.time() < until:
            while limiter.can_start(ENGINE, loop.time()):
                limiter.record_load(loop.time(), loop.time() + 5.4)
                self.loads.append(loop.time())
            await asyncio.sleep(0.05)
        return leader

    def find_most_in_window(self) -> int:
        return max(
            sum(1 for at in self.loads if begin <= at < begin + STORE_WINDOW_S)
            for begin in self.loads
        )


def start_loads(candidate: Candidate) -> StoreLoadLimiter:
    limiter = StoreLoadLimiter()
    may_load = candidate.leadership.may_load_from_store
    limiter.start(asyncio.get_running_loop().time(), may_load=may_load)
    return limiter


class TestRestartedLeaders:
    """Loads from the weight store while leaders follow one another."""

    @pytest.mark.parametrize("kills", [1, 2, 3])
    async def test_no_window_has_more_loads_when_all_are_killed_at_once(
        self, kills: int
    ) -> None:
        fleet = Fleet()
        for number in range(kills):
            both = fleet.start("a"), fleet.start("b")
            await fleet.async_lead(*both, seconds=12.3 if number == 0 else 0.3)
            for each in both:
                each.kill()
        last = fleet.start("a"), fleet.start("b")
        await fleet.async_lead(*last, seconds=12.0)
        for each in last:
            each.kill()
        assert fleet.find_most_in_window() <= ALLOWED

    async def test_no_window_has_more_loads_in_a_rolling_restart(self) -> None:
        fleet = Fleet()
        candidates = {host: fleet.start(host) for host in "abc"}
        await asyncio.sleep(1.0)
        for number in range(6):
            leader = await fleet.async_lead(
                *candidates.values(), seconds=12.3 if number == 0 else 0.3
            )
            leader.leadership.stop()
            await leader.presence.async_leave()
            leader.kill()
            host = next(key for key, each in candidates.items() if each is leader)
            candidates[host] = fleet.start(host)
        for each in candidates.values():
            each.kill()
        assert fleet.find_most_in_window() <= ALLOWED

    async def test_leader_after_a_long_term_loads_at_once(self) -> None:
        fleet = Fleet()
        for _ in range(3):
            one = fleet.start("a")
            before = len(fleet.loads)
            await fleet.async_lead(one, seconds=0.2)
            assert len(fleet.loads) > before
            await asyncio.sleep(12.0)
            one.kill()

    async def test_leader_after_a_short_term_may_load_after_a_window(self) -> None:
        fleet = Fleet()
        one = fleet.start("a")
        await fleet.async_lead(one, seconds=0.3)
        one.kill()
        two = fleet.start("a")
        await fleet.async_lead(two, seconds=0.3)
        assert not two.leadership.may_load_from_store
        await asyncio.sleep(SHORT_TERM_S)
        assert two.leadership.may_load_from_store
        two.kill()

    async def test_scheduler_with_an_outdated_state_takes_no_term_for_long(
        self,
    ) -> None:
        fleet = Fleet()
        one = fleet.start("a")
        await fleet.async_lead(one, seconds=0.3)
        one.kill()
        two = fleet.start("a")
        find_item, two.leadership.find_item = two.leadership.find_item, lambda key: None
        await asyncio.sleep(ELECTION_S)
        assert two.leadership.fence is None
        two.leadership.find_item = find_item
        await fleet.async_lead(two, seconds=0.3)
        assert not two.leadership.may_load_from_store
        two.kill()
