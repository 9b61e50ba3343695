"""Tests of reads and transactions through the etcd API."""

import asyncio
from collections.abc import Callable

import pytest

from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.store import CallRank, Put
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import Revision
from mangoway.models.verdict import Verdict
from tests.stand_ins.key_value import KeyValueStandIn

from ..fakes.addresses import UNUSABLE_ADDRESSES
from .conftest import MakeStore

RANK = CallRank.SAFETY
WAIT_TIMEOUT_S = 10.0


def put(key: str, value: bytes | None, expected: int = 0) -> tuple[Put, ...]:
    return (Put(key=key, value=value, expected=Revision(expected)),)


async def async_wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition is met."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():  # noqa: ASYNC110  # The switch is a plain number.
            await asyncio.sleep(0.005)


class TestReadsAndWrites:
    """Tests of compare-and-swap without failures."""

    async def test_absent_key(self, store: EtcdStore) -> None:
        found = await store.async_get("/a", RANK)
        assert (found.value, found.revision) == (None, 0)

    async def test_write_then_read(self, store: EtcdStore) -> None:
        result = await store.async_commit(put("/a", b"1"), RANK)
        found = await store.async_get("/a", RANK)
        assert result.succeeded
        assert (found.value, found.revision) == (b"1", result.revision)

    async def test_stale_write_returns_the_current_value(
        self, store: EtcdStore
    ) -> None:
        first = await store.async_commit(put("/a", b"1"), RANK)
        second = await store.async_commit(put("/a", b"2"), RANK)
        assert not second.succeeded
        assert second.current[0].value == b"1"
        assert second.current[0].revision == first.revision

    async def test_one_stale_key_fails_the_whole_write(self, store: EtcdStore) -> None:
        await store.async_commit(put("/a", b"1"), RANK)
        both = (*put("/b", b"2"), *put("/a", b"2"))
        assert not (await store.async_commit(both, RANK)).succeeded
        assert (await store.async_get("/b", RANK)).value is None

    async def test_list_is_ordered_and_limited_to_the_prefix(
        self, store: EtcdStore
    ) -> None:
        for key in ("/p/b", "/p/a", "/q", "/o"):
            await store.async_commit(put(key, key.encode()), RANK)
        listed = await store.async_list("/p/", RANK)
        assert [item.key for item in listed] == ["/p/a", "/p/b"]

    async def test_delete(self, store: EtcdStore) -> None:
        first = await store.async_commit(put("/a", b"1"), RANK)
        await store.async_commit(put("/a", None, first.revision), RANK)
        assert (await store.async_get("/a", RANK)).value is None


class TestAmbiguousWrites:
    """Tests of writes with a lost response."""

    @pytest.mark.parametrize("switch", ["lose_answers", "lose_writes"])
    async def test_lost_response_is_settled_as_success(
        self, stand_in: KeyValueStandIn, store: EtcdStore, switch: str
    ) -> None:
        setattr(stand_in.switches, switch, 1)
        result = await store.async_commit(put("/a", b"1"), RANK)
        found = await store.async_get("/a", RANK)
        assert result.succeeded
        assert (found.value, found.revision) == (b"1", result.revision)

    async def test_equal_value_of_another_writer_is_not_own_write(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        ours, other = make_store(), make_store()
        stand_in.switches.lose_writes = 1
        waiting = asyncio.create_task(ours.async_commit(put("/a", b"same"), RANK))
        await async_wait_for(lambda: not stand_in.switches.lose_writes)
        theirs = await other.async_commit(put("/a", b"same"), RANK)
        result = await waiting
        assert theirs.succeeded
        assert not result.succeeded

    async def test_overwritten_own_write_is_found(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        ours, other = make_store(), make_store()
        stand_in.switches.lose_answers = 1
        waiting = asyncio.create_task(ours.async_commit(put("/a", b"1"), RANK))
        await async_wait_for(lambda: not stand_in.switches.lose_answers)
        own = await other.async_get("/a", RANK)
        revision = own.revision
        for value in (b"2", b"3"):
            later = await other.async_commit(put("/a", value, revision), RANK)
            revision = later.revision
        result = await waiting
        assert (result.succeeded, result.revision) == (True, own.revision)

    async def test_lost_response_of_a_delete(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        first = await store.async_commit(put("/a", b"1"), RANK)
        stand_in.switches.lose_answers = 1
        result = await store.async_commit(put("/a", None, first.revision), RANK)
        assert result.succeeded

    async def test_unsettled_write_may_have_run(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        stand_in.switches.lose_writes = 99
        with pytest.raises(MangowayError) as caught:
            await store.async_commit(put("/a", b"1"), RANK)
        assert caught.value.code is ErrorCode.PLATFORM_UNAVAILABLE
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN

    async def test_exhausted_budget_after_a_lost_response_leaves_the_write_unsettled(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        store = make_store(calls_per_second=0.1)
        for _ in range(4):
            await store.async_get("/a", RANK)
        stand_in.switches.lose_answers = 1
        with pytest.raises(MangowayError) as caught:
            await store.async_commit(put("/a", b"1"), RANK)
        assert caught.value.code is ErrorCode.PLATFORM_BUDGET
        assert caught.value.failure.verdict is Verdict.MAY_HAVE_RUN


class TestConnections:
    """Tests of silent connections, several endpoints and outages."""

    async def test_silent_connection_is_replaced(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        await store.async_get("/a", RANK)
        stand_in.silence()
        assert (await store.async_commit(put("/a", b"1"), RANK)).succeeded

    async def test_other_endpoint_is_used(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        store = make_store("127.0.0.1:1", stand_in.address)
        for number in range(3):
            found = await store.async_get(f"/{number}", RANK)
            assert found.value is None

    async def test_write_to_an_unreachable_service_has_not_run(
        self, make_store: MakeStore
    ) -> None:
        store = make_store("127.0.0.1:1")
        with pytest.raises(MangowayError) as caught:
            await store.async_commit(put("/a", b"1"), RANK)
        assert caught.value.failure.verdict is Verdict.NOT_RUN

    async def test_calls_succeed_after_an_outage(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        stand_in.switches.down = True
        with pytest.raises(MangowayError, match="UNAVAILABLE"):
            await store.async_get("/a", RANK)
        stand_in.switches.down = False
        assert (await store.async_get("/a", RANK)).revision == 0

    async def test_calls_succeed_after_a_server_restart(
        self, stand_in: KeyValueStandIn, store: EtcdStore
    ) -> None:
        await store.async_commit(put("/a", b"1"), RANK)
        address = stand_in.address
        await stand_in.async_stop()
        with pytest.raises(MangowayError):
            await store.async_get("/a", RANK)
        second = KeyValueStandIn(stand_in.storage)
        await second.async_start(address)
        try:
            assert (await store.async_get("/a", RANK)).value == b"1"
        finally:
            await second.async_stop()

    async def test_background_call_over_budget_is_not_made(
        self, stand_in: KeyValueStandIn, make_store: MakeStore
    ) -> None:
        store = make_store(calls_per_second=0.1)
        for _ in range(2):
            await store.async_get("/a", CallRank.BACKGROUND)
        with pytest.raises(MangowayError) as caught:
            await store.async_get("/a", CallRank.BACKGROUND)
        assert caught.value.code is ErrorCode.PLATFORM_BUDGET
        assert caught.value.failure.verdict is Verdict.NOT_RUN
        assert stand_in.calls["range"] == 2
        await store.async_get("/a", CallRank.SAFETY)


class TestUnusableAddress:
    """Endpoints at which nothing can listen."""

    async def test_read_has_not_run(self, make_store: MakeStore) -> None:
        """An error of another type ended the task that used the store."""
        for address in UNUSABLE_ADDRESSES:
            if not address.rpartition(":")[2].isdigit():
                # The settings allow no such address.
                continue
            with pytest.raises(MangowayError) as raised:
                await make_store(address).async_get("/a", RANK)
            assert raised.value.code is ErrorCode.PLATFORM_UNAVAILABLE
            assert raised.value.failure.verdict is Verdict.NOT_RUN
