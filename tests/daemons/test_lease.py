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
    """A lease holder and what it was told."""

    def __init__(self, store: FakeKeyValueStore, name: str) -> None:
        self.told: list[str] = []
        self.lease = LeaseHolder(
            store=store,
            cell=CellId("c1"),
            owner=IncarnationId(name),
            ttl_s=TTL_S,
            on_gained=lambda: self.told.append("gained"),
            on_lost=lambda: self.told.append("lost"),
        )

    def start(self) -> None:
        self.task = asyncio.create_task(self.lease.async_run())

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.lease.async_release()


class TestLeaseHolder:
    """Who plans a cell."""

    async def test_one_of_two_holds_it(self) -> None:
        store = FakeKeyValueStore()
        one, other = Holder(store, "a"), Holder(store, "b")
        one.start()
        await asyncio.sleep(1)
        other.start()
        await asyncio.sleep(5 * TTL_S)
        assert one.told == ["gained"]
        assert other.told == []
        await one.stop()
        await other.stop()

    async def test_planned_stop_lets_the_other_in_before_the_lease_lapses(
        self,
    ) -> None:
        store = FakeKeyValueStore()
        one, other = Holder(store, "a"), Holder(store, "b")
        one.start()
        await asyncio.sleep(0.1)
        other.start()
        await one.stop()
        await asyncio.sleep(TTL_S / 2)
        assert one.told == ["gained", "lost"]
        assert other.told == ["gained"]
        await other.stop()

    async def test_outage_loses_it_at_its_end_and_not_before(self) -> None:
        store = FakeKeyValueStore()
        holder = Holder(store, "a")
        holder.start()
        await asyncio.sleep(0.1)
        store.down = True
        await asyncio.sleep(TTL_S - 0.5)
        assert holder.told == ["gained"]
        await asyncio.sleep(1)
        assert holder.told == ["gained", "lost"]
        store.down = False
        await asyncio.sleep(TTL_S)
        assert holder.told == ["gained", "lost", "gained"]
        await holder.stop()

    async def test_lapsed_lease_that_another_took_is_lost(self) -> None:
        store = FakeKeyValueStore()
        holder = Holder(store, "a")
        holder.start()
        await asyncio.sleep(0.1)
        store.lapse_lease(KEY)
        await store.async_acquire_lease(KEY, "b", TTL_S, CallRank.SAFETY)
        await asyncio.sleep(TTL_S / 2)
        assert holder.told == ["gained", "lost"]
        await holder.stop()

    async def test_answer_that_comes_late_counts_from_the_question(self) -> None:
        store = FakeKeyValueStore(delay_s=TTL_S + 1)
        holder = Holder(store, "a")
        holder.start()
        await asyncio.sleep(3 * TTL_S)
        assert "lost" in holder.told or holder.told == []
        assert not holder.lease.held
        store.delay_s = 0.0
        await holder.stop()
