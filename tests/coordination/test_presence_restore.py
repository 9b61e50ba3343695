"""Tests of announcements after the store came back from a copy."""

import asyncio
from random import Random

import pytest

from mangoway.coordination.presence import (
    ANNOUNCE_SPREAD_S,
    LEASE_S,
    RENEW_S,
    Presence,
)
from mangoway.models.fleet import Member, Role

from ..fakes.coordination_store import (
    FakeCoordinationStore,
    FakeStoreClient,
    loop_clock,
)
from ..fakes.process import FakeProcess

pytestmark = pytest.mark.looptime

LARGE_FLEET = 240
WRITES_PER_S = 400
"""Writing calls that the store allows per second."""


def count_writes(store: FakeCoordinationStore) -> int:
    return store.calls.count("commit") + store.calls.count("grant")


class TestKeptAnnouncement:
    """A process whose announcement is in the copy."""

    async def test_its_lease_is_kept_without_a_write(self) -> None:
        store = FakeCoordinationStore()
        process = FakeProcess(store, "a")
        await asyncio.sleep(1.0)
        copy, lease_id = store.copy(), process.presence.lease_id
        store.put("k", b"lost")
        writes = count_writes(store)
        store.restore(copy)
        await asyncio.sleep(3 * LEASE_S)
        process.kill()
        assert count_writes(store) == writes
        assert process.presence.lease_id == lease_id
        assert process.presence.is_valid()
        assert process.key in store.items


class TestLostAnnouncement:
    """A process whose announcement was written after the copy was taken."""

    async def test_it_is_announced_again(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        process = FakeProcess(store, "a")
        await asyncio.sleep(1.0)
        store.restore(copy)
        await asyncio.sleep(ANNOUNCE_SPREAD_S + RENEW_S + 0.5)
        announced = process.key in store.items
        await asyncio.sleep(3 * LEASE_S)
        process.kill()
        assert announced
        assert process.key in store.items

    async def test_lease_that_was_given_to_another_process_is_left_alone(
        self,
    ) -> None:
        """Renewals would keep the keys of the other, and the end would remove them."""
        store = FakeCoordinationStore()
        copy = store.copy()
        one = FakeProcess(store, "a")
        await asyncio.sleep(1.0)
        lease_id = one.presence.lease_id
        store.restore(copy)
        other = FakeStoreClient(store)
        assert await other.async_grant_lease(LEASE_S) == lease_id
        store.put("other", b"1", lease_id)
        await asyncio.sleep(RENEW_S)
        ends_at = store.leases[lease_id]
        await one.presence.async_leave()
        assert "other" in store.items
        await asyncio.sleep(ends_at - asyncio.get_running_loop().time() + 0.1)
        one.kill()
        await store.async_list("")
        assert "other" not in store.items

    async def test_lease_that_is_later_than_the_one_in_the_copy_is_not_trusted(
        self,
    ) -> None:
        """The copy has the key with an earlier lease of the same process."""
        store = FakeCoordinationStore()
        process = FakeProcess(store, "a")
        await asyncio.sleep(1.0)
        copy = store.copy()
        process.presence.discard_lease("the test ends it")
        await asyncio.sleep(RENEW_S + 0.5)
        lost_lease = process.presence.lease_id
        store.restore(copy)
        other = FakeStoreClient(store)
        assert await other.async_grant_lease(LEASE_S) == lost_lease
        await asyncio.sleep(ANNOUNCE_SPREAD_S + RENEW_S + 0.5)
        process.kill()
        assert process.presence.lease_id != lost_lease
        assert store.items[process.key].lease_id == process.presence.lease_id

    async def test_leader_role_is_not_based_on_a_lost_lease(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        process = FakeProcess(store, "a")
        await asyncio.sleep(1.0)
        assert process.presence.is_valid()
        store.restore(copy)
        process.client.era = 1
        assert not process.presence.is_valid()
        process.kill()

    async def test_large_fleet_stays_within_the_rates_of_the_store(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        processes = [FakeProcess(store, f"h{each}") for each in range(LARGE_FLEET)]
        for number, process in enumerate(processes):
            process.presence.random = Random(number)
            process.presence.count_processes = lambda: LARGE_FLEET
        await asyncio.sleep(5.0)
        store.restore(copy)
        most = 0
        for _ in range(40):
            writes = count_writes(store)
            await asyncio.sleep(0.25)
            most = max(most, count_writes(store) - writes)
        announced = sum(1 for each in processes if each.key in store.items)
        for process in processes:
            process.kill()
        assert announced == LARGE_FLEET
        assert most <= WRITES_PER_S / 4


class TestUnknownRestore:
    """Calls that were under way when the store came back."""

    async def test_announcement_with_a_lease_of_an_earlier_era_is_repeated(
        self,
    ) -> None:
        """Its key could be bound to the lease of another process."""
        store = FakeCoordinationStore()
        copy = store.copy()
        client = FakeStoreClient(store)
        member = Member(
            host="a",
            role=Role.EDGE,
            data_centre="dc1",
            incarnation="inc-a",
            peer_address="",
            caller_address="127.0.0.1:1",
        )
        presence = Presence(client, member, "own/", clock=loop_clock())
        task = asyncio.get_running_loop().create_task(presence.async_run())
        await asyncio.sleep(0.005)
        lease_id = presence.lease_id
        assert lease_id and not presence.announced
        store.restore(copy)
        assert store.grant_lease(LEASE_S) == lease_id
        await asyncio.sleep(RENEW_S)
        task.cancel()
        assert presence.lease_id != lease_id
        assert store.items["own/" + member.key].lease_id == presence.lease_id
