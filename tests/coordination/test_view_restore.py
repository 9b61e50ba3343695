"""Tests of what a process believes after the store came back from a copy."""

import asyncio
from typing import Any

import orjson
import pytest

from mangoway.coordination.members import encode_member
from mangoway.coordination.removed_entries import HOLD_S
from mangoway.coordination.view import (
    MEMBER_RETENTION_S,
    OUTAGE_RETENTION_S,
)
from mangoway.models.fleet import Member, Role
from mangoway.platform.documents import CONFIGURATION_KEY, OWN_PREFIX, RUNNER_PREFIX

from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.process import FakeProcess

pytestmark = pytest.mark.looptime

SETTLE_S = 0.7
"""Time within which a process has read a change or a restored store."""


def put_configuration(store: FakeCoordinationStore, version: int) -> None:
    document = {"version": version, "routes": [], "services": []}
    store.put(CONFIGURATION_KEY, orjson.dumps(document))


def put_runner(
    store: FakeCoordinationStore,
    *,
    draining: bool = False,
    beat: int = 1,
    born: int = 0,
) -> None:
    fields: dict[str, Any] = {
        "service": "llm",
        "address": "10.0.0.1:1",
        "zone": "dc1",
        "slots": 8,
        "state": "draining" if draining else "ready",
        "seq": beat,
    }
    store.put(RUNNER_PREFIX + "r1", orjson.dumps({**fields, "born": born}))


def remove_runner(store: FakeCoordinationStore) -> None:
    store.remove(RUNNER_PREFIX + "r1")


def make_member(host: str) -> Member:
    return Member(
        host=host,
        role=Role.EDGE,
        data_centre="dc1",
        incarnation=f"inc-{host}",
        peer_address="",
        caller_address=f"10.0.0.{ord(host[-1])}:1",
    )


def put_member(store: FakeCoordinationStore, host: str) -> str:
    member = make_member(host)
    key = OWN_PREFIX + member.key
    store.put(key, encode_member(member))
    return key


def is_open(process: FakeProcess) -> bool:
    return process.view.find_open_runner("r1") is not None


class TestConfiguration:
    """The configuration never goes back in a running process."""

    async def test_older_version_of_the_copy_is_ignored(self) -> None:
        store = FakeCoordinationStore()
        put_configuration(store, 3)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        put_configuration(store, 5)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(SETTLE_S)
        assert process.view.table is not None
        assert process.view.table.version == 5
        assert CONFIGURATION_KEY in process.mirror.restores.retained
        put_configuration(store, 6)
        await asyncio.sleep(SETTLE_S)
        process.kill()
        assert process.view.table.version == 6
        assert process.mirror.restores.retained == {}


class TestRunners:
    """Runners of which the copy and the process know different things."""

    async def test_draining_runner_goes_on_draining(self) -> None:
        store = FakeCoordinationStore()
        put_runner(store)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        put_runner(store, draining=True, beat=2)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        for beat in range(3, 20):
            put_runner(store, beat=beat)
            await asyncio.sleep(0.5)
            assert not is_open(process)
        process.kill()

    async def test_later_incarnation_of_a_draining_runner_is_open(self) -> None:
        store = FakeCoordinationStore()
        put_runner(store, born=1000)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        put_runner(store, draining=True, beat=2, born=1000)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        put_runner(store, born=2000)
        await asyncio.sleep(SETTLE_S)
        process.kill()
        assert is_open(process)

    async def test_removed_runner_does_not_come_back_from_the_copy(self) -> None:
        store = FakeCoordinationStore()
        put_runner(store)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        remove_runner(store)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert not is_open(process)
        remove_runner(store)
        await asyncio.sleep(2 * HOLD_S)
        process.kill()
        assert not is_open(process)

    async def test_removed_runner_that_writes_its_entry_again_is_open(self) -> None:
        store = FakeCoordinationStore()
        put_runner(store)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        remove_runner(store)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(SETTLE_S)
        put_runner(store, beat=9)
        await asyncio.sleep(SETTLE_S)
        process.kill()
        assert is_open(process)

    async def test_entry_that_stays_in_the_store_is_believed_again(self) -> None:
        """The runner may have written it before this process read the store."""
        store = FakeCoordinationStore()
        put_runner(store)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        remove_runner(store)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(HOLD_S + SETTLE_S)
        process.kill()
        assert is_open(process)

    async def test_runner_that_came_after_the_copy_has_time_to_write_again(
        self,
    ) -> None:
        """The store was away for too short a time to count as an outage."""
        store = FakeCoordinationStore()
        put_configuration(store, 1)
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        put_runner(store)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(OUTAGE_RETENTION_S - 0.4)
        assert is_open(process)
        put_runner(store, beat=2)
        await asyncio.sleep(2 * OUTAGE_RETENTION_S)
        process.kill()
        assert is_open(process)


class TestMembers:
    """Hosts in address answers."""

    async def test_host_that_joined_after_the_copy_is_kept_for_a_while(self) -> None:
        store = FakeCoordinationStore()
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        key = put_member(store, "b")
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(MEMBER_RETENTION_S - 0.5)
        assert key in process.view.members
        await asyncio.sleep(2.0)
        process.kill()
        assert key not in process.view.members

    async def test_host_that_left_after_the_copy_does_not_come_back(self) -> None:
        store = FakeCoordinationStore()
        key = put_member(store, "b")
        process = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        store.remove(key)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert key not in process.view.members
        process.kill()


class TestOtherProcess:
    """A process that starts after the restore and follows another one."""

    async def test_it_receives_the_newer_configuration(self) -> None:
        store = FakeCoordinationStore()
        put_configuration(store, 3)
        first = FakeProcess(store, "a")
        await asyncio.sleep(SETTLE_S)
        copy = store.copy()
        put_configuration(store, 5)
        await asyncio.sleep(SETTLE_S)
        store.restore(copy)
        await asyncio.sleep(SETTLE_S)
        second = FakeProcess(store, "b")
        await asyncio.sleep(SETTLE_S)
        assert second.view.table is not None
        assert second.view.table.version == 3
        second.mirror.apply_retained(tuple(first.mirror.restores.retained.values()))
        first.kill()
        second.kill()
        assert second.view.table.version == 5
        assert second.mirror.restores.retained == first.mirror.restores.retained
