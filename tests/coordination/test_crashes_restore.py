"""Tests of crash statements after the store came back from a copy."""

import asyncio

from ..fakes.coordination_store import FakeCoordinationStore
from ..fakes.polling import async_wait_until
from .test_crashes import (
    CULPRIT,
    PREFIX,
    Process,
    make_clearance,
    make_crash,
    start_processes,
)


async def async_block(process: Process, keys: int = 4) -> None:
    """Let three runners crash with a request, so that it is blocked.

    Args:
        process: The process that sees the crashes.
        keys: Number of keys in the store after that.
    """
    for number in range(3):
        process.reporter.post(make_crash(f"i-{number}@0"))
    await async_wait_until(lambda: process.tracker.is_blocked(CULPRIT))
    await process.maintainer.async_check()
    await async_wait_until(lambda: len(process.mirror.items) == keys)


class TestLostStatements:
    """Statements that were written after the copy was taken."""

    async def test_running_process_goes_on_blocking_the_request(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        async with start_processes(store, 1) as [process]:
            process.leads = False
            await async_block(process, keys=3)
            store.restore(copy)
            await async_wait_until(lambda: process.mirror.era == 1)
            assert process.mirror.items == {}
            assert process.tracker.is_blocked(CULPRIT)

    async def test_leader_writes_them_again_for_processes_that_start_later(
        self,
    ) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        async with start_processes(store, 1) as [process]:
            await async_block(process)
            before = {key: item.value for key, item in store.items.items()}
            store.restore(copy)
            await async_wait_until(lambda: process.mirror.era == 1)
            await process.maintainer.async_check()
            after = {key: item.value for key, item in store.items.items()}
            assert after == before
            await async_wait_until(lambda: not process.mirror.restores.lost)
            async with start_processes(store, 1) as [later]:
                await async_wait_until(lambda: later.tracker.is_blocked(CULPRIT))

    async def test_only_the_leader_writes_them_again(self) -> None:
        store = FakeCoordinationStore()
        copy = store.copy()
        async with start_processes(store, 1) as [process]:
            await async_block(process)
            process.leads = False
            store.restore(copy)
            await async_wait_until(lambda: process.mirror.era == 1)
            await process.maintainer.async_check()
            assert store.items == {}

    async def test_lost_clearance_is_written_again(self) -> None:
        store = FakeCoordinationStore()
        async with start_processes(store, 1) as [process]:
            await async_block(process)
            copy = store.copy()
            process.reporter.post(make_clearance("i-0@0", "i-1@0", "i-2@0"))
            await async_wait_until(lambda: not process.tracker.is_blocked(CULPRIT))
            store.restore(copy)
            await async_wait_until(lambda: process.mirror.era == 1)
            assert not process.tracker.is_blocked(CULPRIT)
            await process.maintainer.async_check()
            key = PREFIX + make_clearance("i-0@0").key
            assert key in store.items


class TestUndoneRemovals:
    """Statements that had been removed, and that are in the copy."""

    async def test_removed_block_does_not_come_back(self) -> None:
        store = FakeCoordinationStore()
        async with start_processes(store, 1) as [process]:
            await async_block(process)
            copy = store.copy()
            for key in list(store.items):
                store.remove(key)
            await async_wait_until(lambda: not process.tracker.is_blocked(CULPRIT))
            store.restore(copy)
            await async_wait_until(lambda: process.mirror.era == 1)
            assert not process.tracker.is_blocked(CULPRIT)
            await process.maintainer.async_check()
            assert store.items == {}
            await asyncio.sleep(0.5)
            assert not process.tracker.is_blocked(CULPRIT)
