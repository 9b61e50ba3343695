"""Tests of the client of the platform's store."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest

from mangoway.coordination.store import (
    HistoryLostError,
    OutdatedResponseError,
    Precondition,
    StoreUnavailableError,
    Write,
)
from mangoway.observability.metrics import Metrics
from mangoway.platform.store import MAX_ERA, PlatformStore, decode_era

from ..fakes.revisions import at
from ..soak.store import StoreStandIn
from ..upstreams.raw_server import RawServer, answer, make_response


@asynccontextmanager
async def connect() -> AsyncIterator[tuple[StoreStandIn, PlatformStore]]:
    """Yield a store and a client of it."""
    store = StoreStandIn(Random(1))
    await store.async_start()
    client = PlatformStore(store.address, Metrics())
    try:
        yield store, client
    finally:
        client.close()
        await store.async_stop()


def decode(*values: bytes, default: int = 0) -> int:
    return decode_era(tuple((b"Store-Era", each) for each in values), default)


class TestDecodeEra:
    """The era that a response states."""

    def test_missing_field_means_the_known_era(self) -> None:
        assert decode(default=3) == 3

    def test_whole_number_is_the_era(self) -> None:
        assert decode(b"12") == 12

    def test_repeated_equal_fields_are_one(self) -> None:
        assert decode(b"2", b"2") == 2

    @pytest.mark.parametrize(
        "values",
        [
            (b"1", b"2"),
            (b"1, 1",),
            (b"-1",),
            (b"1.0",),
            (b"x",),
            (b"",),
            (b"9" * 5000,),
            (b"%d" % (MAX_ERA + 1),),
        ],
    )
    def test_response_with_an_invalid_era_is_dropped(
        self, values: tuple[bytes, ...]
    ) -> None:
        with pytest.raises(StoreUnavailableError):
            decode(*values)


class TestOddResponses:
    """Responses of status 200 that don't have the published form.

    An error of another type ended the task that follows the store, for good.
    """

    async def test_reading_fails_as_in_an_outage(self) -> None:
        items = ["5", "[5]", "[null]", '["x"]', '[{"key":"k"}]', '{"a":1}']
        items += ['[{"key":"k","value":5,"revision":1}]']
        items += ['[{"key":5,"value":"","revision":1}]']
        items += ['[{"key":"k","value":"","revision":1e300}]']
        items += ['[{"key":"k","value":"","revision":1,"lease":[1]}]']
        bodies = ["", "5", "[]", '"x"', "null", "{}", '{"current_rev":1}']
        bodies += [
            f'{{"current_rev":1,"items":{each},"events":{each}}}' for each in items
        ]
        bodies += ['{"current_rev":1e300,"items":[],"events":[]}']
        accepted = []
        for body in bodies:
            async with RawServer(answer(make_response(200, body.encode()))) as server:
                store = PlatformStore(server.address, Metrics())
                for call in (store.async_list(""), store.async_watch("", at(1), 0.1)):
                    try:
                        await call
                    except StoreUnavailableError:
                        continue
                    accepted.append(body)
                store.close()
        assert accepted == []


class TestEras:
    """Responses of a store that came back from a copy."""

    async def test_revision_contains_the_era_of_its_response(self) -> None:
        async with connect() as (store, client):
            copy = store.copy()
            store.restore(copy)
            store.write("k", b"1")
            snapshot = await client.async_list("")
            assert snapshot.revision == at(store.revision, era=1)
            assert [each.revision for each in snapshot.items] == [snapshot.revision]
            assert client.era == 1

    async def test_lost_history_teaches_the_era(self) -> None:
        async with connect() as (store, client):
            copy = store.copy()
            known = at(store.write("k", b"1"))
            store.restore(copy)
            with pytest.raises(HistoryLostError):
                await client.async_watch("", known, 0.01)
            assert client.era == 1

    async def test_response_of_an_earlier_era_is_dropped(self) -> None:
        async with connect() as (_, client):
            client.era = 2
            with pytest.raises(OutdatedResponseError):
                await client.async_list("")
            assert client.era == 2

    async def test_invalid_era_of_another_process_is_ignored(self) -> None:
        async with connect() as (_, client):
            client.learn_era(MAX_ERA + 1)
            assert client.era == 0
            await client.async_list("")

    async def test_revision_of_an_earlier_era_meets_no_precondition(self) -> None:
        """The number is given out again, so the precondition could hold by chance."""
        async with connect() as (store, client):
            copy = store.copy()
            known = at(store.write("k", b"1"))
            store.restore(copy)
            assert store.write("k", b"2") == known.number
            await client.async_list("")
            condition = Precondition(key="k", revision=known)
            result = await client.async_commit(
                (condition,), (Write(key="k", value=b"3"),)
            )
            assert not result.committed
            assert store.items["k"].value == b"2"


class TestConnections:
    """Connections to the store, which sends one response to each call."""

    async def test_writes_share_a_connection(self) -> None:
        response = make_response(200, b'{"revision": 5}')
        async with RawServer(answer(response)) as server:
            client = PlatformStore(server.address, Metrics())
            for _ in range(2):
                await client.async_commit((), (Write(key="k", value=b"v"),))
            client.close()
        assert (len(server.requests), server.connections) == (2, 1)
