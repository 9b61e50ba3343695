"""Tests of the mirrored state after the store came back from a copy."""

import asyncio

import pytest

from mangoway.coordination.mirror import Mirror

from ..fakes.coordination_store import FakeCoordinationStore, loop_clock
from .test_mirror import Recorder, start

pytestmark = pytest.mark.looptime

LOST_WRITES = 10
"""Writes between the copy and the return of the store."""

AWAY_S = 0.3
DETECTION_S = 2.0
"""Time within which a change in the store must be known to a process."""


async def async_restore(store: FakeCoordinationStore, *, writes: int) -> None:
    """Let the store lose some writes, and write an operator's key and others since."""
    for number in range(10):
        store.put(f"key-{number}", b"1")
    await asyncio.sleep(1.0)
    copy = store.copy()
    for number in range(LOST_WRITES):
        store.put(f"key-{number}", b"lost")
    await asyncio.sleep(1.0)
    store.down = True
    await asyncio.sleep(AWAY_S)
    store.restore(copy)
    store.put("operator", b"new")
    for number in range(writes - 1):
        store.put(f"later-{number}", b"1")
    store.down = False


class TestRestoredState:
    """What a mirror contains after the store came back from a copy."""

    async def test_writes_below_a_known_revision_are_not_missed(self) -> None:
        for writes in (1, 4, 10, 31):
            store, recorder = FakeCoordinationStore(), Recorder()
            task = start(Mirror(store, recorder, loop_clock()))
            await async_restore(store, writes=writes)
            await asyncio.sleep(DETECTION_S)
            task.cancel()
            assert recorder.values.get("operator") == b"new", writes
