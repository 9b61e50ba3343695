"""Tests that the etcd adapter and the in-memory fake behave alike."""

import asyncio

import pytest

from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.store import CallRank, KeyValueStore, Put
from mangoway.models.identifiers import Revision
from tests.fakes.key_value import FakeKeyValueStore

RANK = CallRank.SAFETY
WAIT_TIMEOUT_S = 10.0


@pytest.fixture(params=["etcd", "fake"])
def any_store(request: pytest.FixtureRequest, store: EtcdStore) -> KeyValueStore:
    return store if request.param == "etcd" else FakeKeyValueStore()


def make_put(key: str, value: bytes | None, expected: int = 0) -> Put:
    return Put(key=key, value=value, expected=Revision(expected))


class TestKeyValueStore:
    """Tests of the behaviour shared by all stores."""

    async def test_write_requires_the_expected_revision(
        self, any_store: KeyValueStore
    ) -> None:
        first = await any_store.async_commit((make_put("/a", b"1"),), RANK)
        stale = await any_store.async_commit((make_put("/a", b"2"),), RANK)
        put = make_put("/a", b"3", first.revision)
        second = await any_store.async_commit((put,), RANK)
        assert (first.succeeded, stale.succeeded, second.succeeded) == (1, 0, 1)
        assert stale.current[0].revision == first.revision < second.revision
        found = await any_store.async_get("/a", RANK)
        assert (found.value, found.revision) == (b"3", second.revision)

    async def test_key_can_be_created_again_after_its_deletion(
        self, any_store: KeyValueStore
    ) -> None:
        first = await any_store.async_commit((make_put("/a", b"1"),), RANK)
        delete = make_put("/a", None, first.revision)
        await any_store.async_commit((delete,), RANK)
        assert (await any_store.async_get("/a", RANK)).revision == 0
        again = await any_store.async_commit((make_put("/a", b"2"),), RANK)
        assert again.revision > first.revision

    async def test_list_returns_keys_with_the_prefix_in_order(
        self, any_store: KeyValueStore
    ) -> None:
        puts = tuple(make_put(key, b"1") for key in ("/p/b", "/p/a", "/q"))
        await any_store.async_commit(puts, RANK)
        listed = await any_store.async_list("/p/", RANK)
        assert [found.key for found in listed] == ["/p/a", "/p/b"]

    async def test_lease_has_one_owner(self, any_store: KeyValueStore) -> None:
        async def async_acquire(owner: str) -> bool:
            return await any_store.async_acquire_lease("/l", owner, 10.0, RANK)

        assert [await async_acquire(owner) for owner in "aba"] == [True, False, True]
        await any_store.async_release_lease("/l", "b", RANK)
        assert not await async_acquire("b")
        await any_store.async_release_lease("/l", "a", RANK)
        assert await async_acquire("b")

    async def test_watch_yields_writes_and_deletions(
        self, any_store: KeyValueStore
    ) -> None:
        watch = any_store.watch("/w/")
        next_change = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.1)
        first = await any_store.async_commit((make_put("/w/a", b"1"),), RANK)
        await any_store.async_commit((make_put("/w/a", None, first.revision),), RANK)
        written = await asyncio.wait_for(next_change, WAIT_TIMEOUT_S)
        deleted = await asyncio.wait_for(anext(watch), WAIT_TIMEOUT_S)
        assert (written.value, written.revision) == (b"1", first.revision)
        assert (deleted.value, deleted.revision) == (None, 0)
        await watch.aclose()  # type: ignore[attr-defined]
