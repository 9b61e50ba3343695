"""Tests of processes that all start just after the store came back from a copy.

The failure: each process that starts takes the copy for complete, since only the
processes that were killed knew that the store had just been restored. A key whose
removal the store had lost was accepted until the operator removed it again.
"""

import asyncio

import pytest

from mangoway.coordination.mirror import Mirror
from mangoway.coordination.restore_tracker import REWRITE_S

from ..fakes.coordination_store import FakeCoordinationStore, FakeStoreClient
from .test_mirror_age import ShiftedClock, make_mirror

pytestmark = pytest.mark.looptime

REVOKE_S = 5.0


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

    async def test_process_of_a_store_that_was_never_restored_serves_at_once(
        self,
    ) -> None:
        store = FakeCoordinationStore()
        store.put("k", b"1")
        mirror, task = start(store)
        await asyncio.sleep(0.2)
        assert mirror.measure_operator_age() < 1.0
        task.cancel()
