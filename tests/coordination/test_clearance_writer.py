"""Tests of clearances that edges write over each other while no scheduler leads.

A process that starts then reads only the last one. It would block a request that the
running ones send, for as long as its charges are kept.
"""

import asyncio

import pytest

from mangoway.coordination.clearance_writer import CHECK_S, ClearanceWriter
from mangoway.coordination.crashes import encode_statement

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

pytestmark = pytest.mark.looptime


class Edge:
    """An edge that checks its clearances."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.writer = ClearanceWriter(
            process.reporter, process.mirror, process.tracker, PREFIX
        )
        process.tasks.append(asyncio.create_task(self.writer.async_run()))


async def async_clear_over_each_other(
    store: FakeCoordinationStore, edges: list[Edge]
) -> None:
    """Write charges, and a clearance of each edge that lacks the others'.

    Without any of the clearances the request is blocked.
    """
    charges = 2 + len(edges)
    for number in range(charges):
        edges[0].process.reporter.post(make_crash(f"i-{number}@0"))
    await async_wait_until(lambda: len(store.items) == charges)
    for number, edge in enumerate(edges):
        edge.writer.post(make_clearance(f"i-{number}@0"))
    await async_wait_until(lambda: make_clearance().key in str(store.items))


class TestClearanceWriter:
    """Clearances of several edges under one key."""

    @pytest.mark.parametrize("count", [2, 5])
    async def test_clearances_are_merged_without_a_leader(self, count: int) -> None:
        store = FakeCoordinationStore()
        async with start_processes(store, count) as processes:
            edges = [Edge(process) for process in processes]
            await async_clear_over_each_other(store, edges)
            await asyncio.sleep(4 * CHECK_S)
            every = make_clearance(*(f"i-{number}@0" for number in range(count)))
            assert store.items[PREFIX + every.key].value == encode_statement(every)

    async def test_process_that_starts_later_does_not_block(self) -> None:
        store = FakeCoordinationStore()
        async with start_processes(store, 2) as processes:
            edges = [Edge(process) for process in processes]
            await async_clear_over_each_other(store, edges)
            await asyncio.sleep(4 * CHECK_S)
            async with start_processes(store, 1) as [late]:
                await async_wait_until(
                    lambda: len(late.mirror.items) == len(store.items)
                )
                blocked = [each.tracker.is_blocked(CULPRIT) for each in processes]
                assert (late.tracker.is_blocked(CULPRIT), *blocked) == (False,) * 3

    async def test_merged_clearances_are_not_written_again(self) -> None:
        store = FakeCoordinationStore()
        async with start_processes(store, 2) as processes:
            edges = [Edge(process) for process in processes]
            await async_clear_over_each_other(store, edges)
            await asyncio.sleep(4 * CHECK_S)
            calls = store.calls.count("commit")
            await asyncio.sleep(10 * CHECK_S)
            assert store.calls.count("commit") == calls

    async def test_clearance_of_another_edge_is_left_to_its_writer(self) -> None:
        """Else hundreds of edges would write it at a time."""
        store = FakeCoordinationStore()
        async with start_processes(store, 3) as processes:
            edges = [Edge(process) for process in processes]
            await async_clear_over_each_other(store, edges[:2])
            await asyncio.sleep(4 * CHECK_S)
            assert edges[2].writer._checked == {}

    async def test_removed_clearance_is_not_written_again(self) -> None:
        store = FakeCoordinationStore()
        async with start_processes(store, 2) as processes:
            edges = [Edge(process) for process in processes]
            await async_clear_over_each_other(store, edges)
            await asyncio.sleep(4 * CHECK_S)
            store.remove(PREFIX + make_clearance().key)
            await asyncio.sleep(4 * CHECK_S)
            assert PREFIX + make_clearance().key not in store.items
