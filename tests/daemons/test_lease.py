"""Tests of the lease of a cell, in virtual time."""

import asyncio

import pytest

from mangoway.daemons.lease import LeaseHolder
from mangoway.key_value.store import CallRank
from mangoway.models.identifiers import CellId, IncarnationId

from ..fakes.key_value import FakeKeyValueStore

pytestmark = pytest.mark.looptime

KEY = "/mangoway/cells/c1/lease"
TTL_S = 9.0


class Holder:
    """A lease holder and the changes that it reported."""

    def __init__(self, store: FakeKeyValueStore, name: str) -> None:
        self.changes: list[str] = []
        self.lease = LeaseHolder(
            store=store,
            cell=CellId("c1"),
            owner=IncarnationId(name),
            ttl_s=TTL_S,
            on_gained=lambda: self.changes.append("gained"),
            on_lost=lambda: self.changes.append("lost"),
        )

    def start(self) -> None:
        self.task = asyncio.create_task(self.lease.async_run())

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.lease.async_release()


class TestLeaseHolder:
    """Which controller holds the lease of a cell."""

    async def test_only_one_of_two_holds_the_lease(self) -> None:
        store = FakeKeyValueStore()
        one, other = Holder(store, "a"), Holder(store, "b")
        one.start()
        await asyncio.sleep(1)
        other.start()
        await asyncio.sleep(5 * TTL_S)
        assert one.changes == ["gained"]
        assert other.changes == []
        await one.stop()
        await other.stop()

    async def test_after_a_planned_stop_the_other_gains_the_lease_before_it_expires(
        self,
    ) -> None:
        store = FakeKeyValueStore()
        one, other = Holder(store, "a"), Holder(store, "b")
        one.start()
        await asyncio.sleep(0.1)
        other.start()
        await one.stop()
        await asyncio.sleep(TTL_S / 2)
        assert one.changes == ["gained", "lost"]
        assert other.changes == ["gained"]
        await other.stop()

    async def test_lease_is_lost_in_an_outage_only_when_it_expires(self) -> None:
        store = FakeKeyValueStore()
        holder = Holder(store, "a")
        holder.start()
        await asyncio.sleep(0.1)
        store.down = True
        await asyncio.sleep(TTL_S - 0.5)
        assert holder.changes == ["gained"]
        await asyncio.sleep(1)
        assert holder.changes == ["gained", "lost"]
        store.down = False
        await asyncio.sleep(TTL_S)
        assert holder.changes == ["gained", "lost", "gained"]
        await holder.stop()

    async def test_expired_lease_that_another_acquired_is_lost(self) -> None:
        store = FakeKeyValueStore()
        holder = Holder(store, "a")
        holder.start()
        await asyncio.sleep(0.1)
        store.expire_lease(KEY)
        await store.async_acquire_lease(KEY, "b", TTL_S, CallRank.SAFETY)
        await asyncio.sleep(TTL_S / 2)
        assert holder.changes == ["gained", "lost"]
        await holder.stop()

    async def test_lease_from_a_late_answer_counts_from_the_request(self) -> None:
        store = FakeKeyValueStore(delay_s=TTL_S + 1)
        holder = Holder(store, "a")
        holder.start()
        await asyncio.sleep(3 * TTL_S)
        assert "lost" in holder.changes or holder.changes == []
        assert not holder.lease.held
        store.delay_s = 0.0
        await holder.stop()
