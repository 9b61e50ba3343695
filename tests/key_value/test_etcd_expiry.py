"""Tests of keys that expire."""

import asyncio
from typing import Any, cast

import pytest
from attrs import define, field

from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.etcd_expiry import ExpiryLeases
from mangoway.key_value.store import CallRank, Put
from mangoway.models.identifiers import Revision
from tests.stand_ins.key_value import KeyValueStandIn

RANK = CallRank.CLAIM
TTL_S = 100.0


async def async_claim(store: EtcdStore, key: str) -> bool:
    put = Put(key=key, value=b"1", expected=Revision(0), ttl_s=TTL_S)
    return (await store.async_commit((put,), RANK)).succeeded


class TestExpiry:
    """Tests of keys with a time to live."""

    async def test_key_expires_after_its_time_to_live(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        now = [0.0]
        stand_in.storage.clock = lambda: now[0]
        await async_claim(store, "/a")
        now[0] = TTL_S
        assert (await store.async_get("/a", RANK)).value == b"1"
        now[0] = 2 * TTL_S
        assert (await store.async_get("/a", RANK)).value is None

    async def test_keys_share_a_lease(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        for number in range(20):
            assert await async_claim(store, f"/{number}")
        assert stand_in.calls == {"lease_grant": 1, "txn": 20}

    async def test_lease_that_the_service_lost_is_replaced(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        await async_claim(store, "/a")
        stand_in.lapse()
        assert await async_claim(store, "/b")
        assert (await store.async_get("/b", RANK)).value == b"1"

    async def test_key_without_time_to_live_does_not_expire(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        put = Put(key="/a", value=b"1", expected=Revision(0))
        await store.async_commit((put,), RANK)
        stand_in.lapse()
        assert (await store.async_get("/a", RANK)).value == b"1"


@define
class Granter:
    """Fake client that grants numbered leases and records their times."""

    granted_s: list[int] = field(factory=list)

    async def async_grant(self, ttl_s: int, rank: CallRank) -> int:
        self.granted_s.append(ttl_s)
        return len(self.granted_s)


class TestExpiryLeases:
    """Tests of the replacement of shared leases."""

    @pytest.mark.looptime
    async def test_lease_is_used_for_new_keys_in_its_first_half(self) -> None:
        granter = Granter()
        leases = ExpiryLeases(cast(Any, granter))
        assert await leases.async_find(TTL_S, RANK) == 1
        await asyncio.sleep(TTL_S - 1)
        assert await leases.async_find(TTL_S, RANK) == 1
        await asyncio.sleep(1)
        assert await leases.async_find(TTL_S, RANK) == 2
        assert granter.granted_s == [2 * TTL_S, 2 * TTL_S]

    async def test_concurrent_keys_share_one_grant(self) -> None:
        granter = Granter()
        leases = ExpiryLeases(cast(Any, granter))
        finds = (leases.async_find(TTL_S, RANK) for _ in range(5))
        assert set(await asyncio.gather(*finds)) == {1}
