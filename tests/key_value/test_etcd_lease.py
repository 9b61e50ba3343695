"""Tests of lease keys."""

import asyncio

import pytest

from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.store import CallRank
from mangoway.models.errors import MangowayError
from tests.stand_ins.key_value import KeyValueStandIn

from .conftest import MakeStore

RANK = CallRank.SAFETY
TTL_S = 10.0
WAIT_TIMEOUT_S = 10.0


async def async_acquire(store: EtcdStore, owner: str) -> bool:
    return await store.async_acquire_lease("/lease", owner, TTL_S, RANK)


class TestLease:
    """Tests of acquiring, renewing, losing and releasing leases."""

    async def test_one_owner_at_a_time(self, make_store: MakeStore) -> None:
        first, second = make_store(), make_store()
        assert await async_acquire(first, "a")
        assert not await async_acquire(second, "b")
        assert await async_acquire(first, "a")

    async def test_expired_lease_can_be_acquired_by_another_owner(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        first, second = make_store(), make_store()
        assert await async_acquire(first, "a")
        stand_in.lapse()
        assert await async_acquire(second, "b")
        assert not await async_acquire(first, "a")

    async def test_lease_expires_without_renewal(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        now = [0.0]
        stand_in.storage.clock = lambda: now[0]
        first, second = make_store(), make_store()
        await async_acquire(first, "a")
        now[0] = TTL_S - 1
        await async_acquire(first, "a")
        now[0] += TTL_S - 1
        assert not await async_acquire(second, "b")
        now[0] += 1
        assert await async_acquire(second, "b")

    async def test_release_frees_the_key(self, make_store: MakeStore) -> None:
        first, second = make_store(), make_store()
        await async_acquire(first, "a")
        await first.async_release_lease("/lease", "a", RANK)
        assert await async_acquire(second, "b")

    async def test_release_by_another_owner_has_no_effect(
        self, make_store: MakeStore
    ) -> None:
        first, second = make_store(), make_store()
        await async_acquire(first, "a")
        await second.async_release_lease("/lease", "b", RANK)
        await first.async_release_lease("/lease", "b", RANK)
        assert not await async_acquire(second, "b")

    async def test_release_after_a_cancelled_acquisition(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        first, second = make_store(), make_store()
        stand_in.switches.lose_answers = 1
        acquisition = asyncio.create_task(async_acquire(first, "a"))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while stand_in.switches.lose_answers:  # noqa: ASYNC110  # A plain number.
                await asyncio.sleep(0.005)
        acquisition.cancel()
        await asyncio.wait({acquisition})
        await first.async_release_lease("/lease", "a", RANK)
        assert await async_acquire(second, "b")

    async def test_lost_response_of_an_acquisition_is_settled(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        stand_in.switches.lose_answers = 1
        assert await async_acquire(store, "a")
        assert await async_acquire(store, "a")

    async def test_acquisition_that_was_not_recorded_is_found(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        stand_in.switches.lose_answers = 1
        stand_in.switches.lose_writes = 0
        await async_acquire(store, "a")
        store._leases._held.clear()
        assert await async_acquire(store, "a")
        assert await async_acquire(store, "a")

    async def test_outage_is_an_error_and_not_a_loss(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        await async_acquire(store, "a")
        stand_in.switches.down = True
        with pytest.raises(MangowayError):
            await async_acquire(store, "a")
        stand_in.switches.down = False
        assert await async_acquire(store, "a")

    async def test_calls_per_lease(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        holder, standby = make_store(), make_store()
        await async_acquire(holder, "a")
        assert sum(stand_in.calls.values()) == 3
        stand_in.calls.clear()
        await async_acquire(holder, "a")
        await async_acquire(standby, "b")
        assert stand_in.calls == {"lease_keep_alive": 1, "range": 1}
