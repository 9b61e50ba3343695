"""Tests that each write reported as done took effect once, despite faults.

They guard against a write that is sent again after its response was lost and takes
effect twice, or is reported as done without effect.
"""

import asyncio
from random import Random

import pytest

from mangoway.key_value.etcd import EtcdStore
from mangoway.key_value.store import CallRank, Put
from mangoway.models.errors import MangowayError
from mangoway.models.verdict import Verdict
from tests.stand_ins.key_value import KeyValueStandIn

from .conftest import MakeStore

RANK = CallRank.SAFETY
WRITERS = 3
ADDITIONS = 12
FAULTS = ("lose_answers", "lose_writes", "silence", None, None, None, None, None)


class Writer:
    """Client that increments a shared number and counts the reported results."""

    def __init__(
        self, stand_in: KeyValueStandIn, store: EtcdStore, source: Random
    ) -> None:
        self._stand_in = stand_in
        self._store = store
        self._source = source
        self.done = 0
        self.unknown = 0

    async def async_run(self) -> None:
        while self.done + self.unknown < ADDITIONS:
            try:
                await self._async_add()
            except MangowayError as error:
                self.unknown += error.failure.verdict is not Verdict.NOT_RUN

    async def _async_add(self) -> None:
        found = await self._store.async_get("/n", RANK)
        value = str(int(found.value or b"0") + 1).encode()
        self._disturb()
        put = Put(key="/n", value=value, expected=found.revision)
        self.done += (await self._store.async_commit((put,), RANK)).succeeded

    def _disturb(self) -> None:
        """Cause a random fault of the next write of any client, or none."""
        fault = self._source.choice(FAULTS)
        if fault == "silence":
            self._stand_in.silence()
        elif fault is not None:
            setattr(self._stand_in.switches, fault, 1)


class TestCounting:
    """Tests of concurrent writers with lost responses."""

    @pytest.mark.parametrize("seed", range(3))
    async def test_every_reported_write_counts_once(
        self, stand_in: KeyValueStandIn, make_store: MakeStore, seed: int
    ) -> None:
        source = Random(seed)
        writers = [Writer(stand_in, make_store(), source) for _ in range(WRITERS)]
        await asyncio.gather(*(writer.async_run() for writer in writers))
        done = sum(writer.done for writer in writers)
        unknown = sum(writer.unknown for writer in writers)
        kv = stand_in.storage.range(b"/n", b"")[0]
        assert done <= kv.version <= done + unknown
