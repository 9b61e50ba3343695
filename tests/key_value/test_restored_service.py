"""Tests of a key-value service that was restored from a backup.

It gives revisions out again that it had given to other changes, so that no revision of
before is a point in time any more. What a reader knows must follow all the same.
"""

import asyncio
from collections.abc import AsyncIterator
from copy import deepcopy

import pytest

from mangoway.key_value import etcd_lease
from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.store import CallRank, Put, StoredValue
from tests.stand_ins.etcd_storage import EtcdStorage
from tests.stand_ins.key_value import KeyValueStandIn

from .conftest import MakeStore
from .test_etcd_lease import async_acquire
from .test_etcd_watch import async_end, async_fail, async_next, async_write

RANK = CallRank.CONFIGURATION


async def async_delete(store: EtcdStore, key: str) -> None:
    found = await store.async_get(key, RANK)
    put = Put(key=key, value=None, expected=found.revision)
    assert (await store.async_commit((put,), RANK)).succeeded


async def async_collect_until(
    watch: AsyncIterator[StoredValue], last: tuple[str, bytes | None]
) -> list[tuple[str, bytes | None]]:
    """Return the changes up to one of them."""
    changes = [await async_next(watch)]
    while changes[-1] != last:
        changes.append(await async_next(watch))
    return changes


@pytest.mark.usefixtures("quick_watch")
class TestWatch:
    """Watches that fail when the service is restored, or later."""

    @pytest.mark.parametrize("writes", [1, 2, 3, 4, 8])
    @pytest.mark.parametrize("failure", ["down", "stalled"])
    async def test_changes_written_before_the_watch_is_opened_again(
        self,
        stand_in: KeyValueStandIn,
        store: EtcdStore,
        make_store: MakeStore,
        failure: str,
        writes: int,
    ) -> None:
        """The service has reached or passed the known revision again by then."""
        await async_write(store, "/w/a", b"0")
        backup = deepcopy(stand_in.storage)
        watch = store.watch("/w/")
        for value in (b"1", b"2", b"3"):
            await async_write(store, "/w/a", value)
            assert await async_next(watch) == ("/w/a", value)
        collected = asyncio.create_task(async_collect_until(watch, ("/w/last", b"end")))
        stand_in.storage = backup
        other = make_store()
        for number in range(writes):
            await async_write(other, f"/w/b{number}", b"new")
        await async_fail(stand_in, failure)
        await async_write(other, "/w/last", b"end")
        expected = {("/w/a", b"0"), *((f"/w/b{n}", b"new") for n in range(writes))}
        assert expected <= set(await collected)
        await async_end(watch)

    async def test_other_value_at_the_same_revision(
        self, stand_in: KeyValueStandIn, store: EtcdStore, make_store: MakeStore
    ) -> None:
        await async_write(store, "/w/a", b"0")
        backup = deepcopy(stand_in.storage)
        watch = store.watch("/w/")
        await async_write(store, "/w/a", b"1")
        assert await async_next(watch) == ("/w/a", b"1")
        next_change = asyncio.create_task(async_next(watch))
        stand_in.storage = backup
        await async_write(make_store(), "/w/a", b"other")
        await async_fail(stand_in, "down")
        assert await next_change == ("/w/a", b"other")
        await async_end(watch)

    async def test_key_that_the_backup_lacks_is_reported_as_deleted(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        await async_write(store, "/v/x", b"0")
        backup = deepcopy(stand_in.storage)
        watch = store.watch("/w/")
        await async_write(store, "/w/a", b"1")
        assert await async_next(watch) == ("/w/a", b"1")
        next_change = asyncio.create_task(async_next(watch))
        stand_in.storage = backup
        await async_fail(stand_in, "down")
        assert await next_change == ("/w/a", None)
        await async_end(watch)

    async def test_key_known_from_before_the_watch_is_reported_as_deleted(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        backup = deepcopy(stand_in.storage)
        await async_write(store, "/w/a", b"1")
        watch = store.watch("/w/")
        next_change = asyncio.create_task(async_next(watch))
        await asyncio.sleep(0.1)
        stand_in.storage = backup
        await async_fail(stand_in, "down")
        assert await next_change == ("/w/a", None)
        await async_end(watch)

    async def test_restore_between_a_read_and_the_watch(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        """All keys are reported, since the service doesn't have the revision read."""
        await async_write(store, "/w/a", b"0")
        backup = deepcopy(stand_in.storage)
        await async_write(store, "/w/a", b"1")
        watch = store.watch("/w/")
        stand_in.storage = backup
        assert await async_next(watch) == ("/w/a", b"0")
        await async_end(watch)


@pytest.mark.usefixtures("quick_watch")
class TestCompaction:
    """Changes that are compacted when a watch is opened again."""

    async def test_compacted_deletion_is_reported(
        self, stand_in: KeyValueStandIn, store: EtcdStore, make_store: MakeStore
    ) -> None:
        await async_write(store, "/w/a", b"1")
        await async_write(store, "/w/b", b"1")
        watch = store.watch("/w/")
        next_change = asyncio.create_task(async_next(watch))
        await asyncio.sleep(0.1)
        stand_in.switches.blind_watches = 1
        other = make_store()
        await async_delete(other, "/w/a")
        await async_write(other, "/v/x", b"1")
        stand_in.storage.compacted = stand_in.storage.revision
        await async_fail(stand_in, "down")
        assert await next_change == ("/w/a", None)
        await async_end(watch)


class TestNewestRevision:
    """The newest known revision, by which a stalled watch is recognised."""

    async def test_watch_at_a_restored_service_is_not_taken_for_stalled(
        self,
        stand_in: KeyValueStandIn,
        store: EtcdStore,
        quick_watch: None,
    ) -> None:
        """Else it would be opened again until the old revision is reached."""
        backup = deepcopy(stand_in.storage)
        for number in range(9):
            await async_write(store, "/w/a", b"%d" % number)
        watch = store.watch("/w/")
        next_change = asyncio.create_task(async_next(watch))
        await asyncio.sleep(0.1)
        stand_in.storage = backup
        await async_fail(stand_in, "down")
        assert await next_change == ("/w/a", None)
        opened = stand_in.calls["watch"]
        next_change = asyncio.create_task(async_next(watch))
        await asyncio.sleep(1.5)
        assert stand_in.calls["watch"] <= opened + 1
        next_change.cancel()
        await asyncio.wait({next_change})

    async def test_read_at_a_restored_service_counts_as_the_newest(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        backup = deepcopy(stand_in.storage)
        await async_write(store, "/w/a", b"1")
        known = store._client.revision
        stand_in.storage = backup
        await store.async_get("/w/a", RANK)
        assert store._client.revision < known


class TestLease:
    """Lease keys whose write the backup lacks, though it has their lease."""

    def restore_without_the_key(self, stand_in: KeyValueStandIn) -> None:
        """Restore a state between the grant of the lease and the write of its key."""
        leases = stand_in.storage.leases
        stand_in.storage = EtcdStorage(leases=leases)

    async def test_holder_notices_that_its_key_is_gone(
        self,
        stand_in: KeyValueStandIn,
        make_store: MakeStore,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Its lease is renewed, while another owner holds the key."""
        monkeypatch.setattr(etcd_lease, "LEASE_KEY_CHECK_S", 0.0)
        first, second = make_store(), make_store()
        assert await async_acquire(first, "a")
        self.restore_without_the_key(stand_in)
        assert await async_acquire(second, "b")
        assert not await async_acquire(first, "a")

    async def test_holder_notices_it_after_the_old_revision_is_reached(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        first, second = make_store(), make_store()
        assert await async_acquire(first, "a")
        self.restore_without_the_key(stand_in)
        await first.async_get("/other", RANK)
        assert await async_acquire(second, "b")
        for number in range(5):
            await async_write(second, "/other", b"%d" % number)
        assert not await async_acquire(first, "a")

    async def test_holder_whose_key_is_in_the_backup_keeps_it(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        first, second = make_store(), make_store()
        assert await async_acquire(first, "a")
        backup = deepcopy(stand_in.storage)
        await async_write(first, "/other", b"1")
        stand_in.storage = backup
        assert await async_acquire(first, "a")
        assert await async_acquire(first, "a")
        assert not await async_acquire(second, "b")

    async def test_renewal_at_a_member_that_lags_keeps_the_lease(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        assert await async_acquire(store, "a")
        store._client.revision += 5
        assert await async_acquire(store, "a")
