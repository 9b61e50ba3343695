"""Tests of processes that all start just after the store came back from a copy.

The failure: each process that starts takes the copy for complete, since only the
processes that were killed knew that the store had just been restored. A key whose
removal the store had lost was accepted until the operator removed it again.
"""

import asyncio

import pytest

from mangoway.coordination.era_marker import COMPLETE_ERA_KEY, EraMarker
from mangoway.coordination.mirror import Mirror
from mangoway.coordination.restore_tracker import REWRITE_S

from ..fakes.coordination_store import FakeCoordinationStore, FakeStoreClient
from .test_mirror_age import ShiftedClock, make_mirror

pytestmark = pytest.mark.looptime

REVOKE_S = 5.0
MARK = "own/" + COMPLETE_ERA_KEY


async def async_restore(store: FakeCoordinationStore) -> None:
    """Let a store come back from a copy while a process reads it."""
    store.put("k", b"1")
    mirror = make_mirror(store, ShiftedClock())
    task = asyncio.create_task(mirror.async_run())
    await asyncio.sleep(0.5)
    copy = store.copy()
    await asyncio.sleep(0.5)
    store.restore(copy)
    await asyncio.sleep(0.5)
    task.cancel()


def start(store: FakeCoordinationStore) -> tuple[Mirror, "asyncio.Task[None]"]:
    mirror = make_mirror(FakeStoreClient(store), ShiftedClock())  # type: ignore[arg-type]
    mirror.complete_era_key = MARK
    return mirror, asyncio.create_task(mirror.async_run())


class TestStartAfterRestore:
    """Processes that start while the store may lack writes of the operator."""

    async def test_state_of_a_new_process_is_uncertain_until_writes_are_repeated(
        self,
    ) -> None:
        store = FakeCoordinationStore()
        await async_restore(store)
        mirror, task = start(store)
        await asyncio.sleep(REWRITE_S - 1.5)
        assert mirror.measure_operator_age() > REVOKE_S
        await asyncio.sleep(2.0)
        assert mirror.measure_operator_age() < 1.0
        task.cancel()

    async def test_new_process_waits_only_until_the_mark_of_the_leader(self) -> None:
        store = FakeCoordinationStore()
        await async_restore(store)
        mirror, task = start(store)
        await asyncio.sleep(1.0)
        assert mirror.measure_operator_age() > REVOKE_S
        store.put(MARK, b"1")
        await asyncio.sleep(1.0)
        assert mirror.measure_operator_age() < 1.5
        assert not mirror.restores.may_lack_writes()
        task.cancel()

    @pytest.mark.parametrize(("mark", "is_certain"), [(b"1", True), (b"0", False)])
    async def test_only_the_mark_of_this_era_lets_a_new_process_serve_at_once(
        self, mark: bytes, is_certain: bool
    ) -> None:
        store = FakeCoordinationStore()
        await async_restore(store)
        store.put(MARK, mark)
        mirror, task = start(store)
        await asyncio.sleep(0.2)
        assert (mirror.measure_operator_age() < 1.0) == is_certain
        assert mirror.restores.may_lack_writes() != is_certain
        task.cancel()

    async def test_snapshot_with_the_mark_needs_no_further_reading(self) -> None:
        store = FakeCoordinationStore()
        store.put(MARK, b"1")
        store.restore(store.copy())
        mirror, task = start(store)
        task.cancel()
        mirror.apply_snapshot(await store.async_list(""))
        assert not mirror.restores.may_lack_writes()

    async def test_process_of_a_store_that_was_never_restored_serves_at_once(
        self,
    ) -> None:
        store = FakeCoordinationStore()
        store.put("k", b"1")
        mirror, task = start(store)
        await asyncio.sleep(0.2)
        assert mirror.measure_operator_age() < 1.0
        task.cancel()


class TestMark:
    """The mark of a leader that lost writes were repeated since a restore."""

    def start_marker(
        self, store: FakeCoordinationStore, *, leads: bool = True
    ) -> tuple[Mirror, list["asyncio.Task[None]"]]:
        mirror, task = start(store)
        marker = EraMarker(mirror.store, mirror, lambda: leads)
        return mirror, [task, asyncio.create_task(marker.async_run())]

    async def test_leader_writes_it_once_after_each_restore(self) -> None:
        store = FakeCoordinationStore()
        store.put("k", b"1")
        _, tasks = self.start_marker(store)
        await asyncio.sleep(3.0)
        assert MARK not in store.items
        for era in (1, 2):
            store.restore(store.copy())
            await asyncio.sleep(REWRITE_S - 1.0)
            assert MARK not in store.items or store.items[MARK].value != b"%d" % era
            await asyncio.sleep(3.0)
            assert store.items[MARK].value == b"%d" % era
        await asyncio.sleep(5.0)
        assert store.calls.count("commit") == 2
        for task in tasks:
            task.cancel()

    async def test_leader_that_starts_after_the_restore_waits_as_well(self) -> None:
        store = FakeCoordinationStore()
        await async_restore(store)
        _, tasks = self.start_marker(store)
        await asyncio.sleep(REWRITE_S - 0.5)
        assert MARK not in store.items
        await asyncio.sleep(2.0)
        assert store.items[MARK].value == b"1"
        for task in tasks:
            task.cancel()

    async def test_standby_writes_none(self) -> None:
        store = FakeCoordinationStore()
        await async_restore(store)
        _, tasks = self.start_marker(store, leads=False)
        await asyncio.sleep(REWRITE_S + 3.0)
        assert MARK not in store.items
        for task in tasks:
            task.cancel()
