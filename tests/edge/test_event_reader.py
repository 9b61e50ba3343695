"""Tests of the limits of a stream's events."""

import asyncio

import pytest

from mangoway.edge.const import EVENTS_PER_TURN, MAX_STREAM_EVENTS
from mangoway.edge.event_reader import EventReader
from mangoway.http1.client import ExchangeFailedError, async_connect

from ..upstreams.raw_server import RawServer, answer

EVENT = b"data: w\n\n"


class TestEventReader:
    """Many events in one read, which a faulty runner may send without end."""

    async def test_number_of_events_is_limited(self) -> None:
        """Nothing else ended a stream of tiny events before its deadline."""
        async with RawServer(answer()) as server:
            reader = EventReader(await async_connect(server.address, 0.0))
            data = EVENT * (MAX_STREAM_EVENTS + 1)
            with pytest.raises(ExchangeFailedError, match="too many events"):
                async for _ in reader.async_iterate(data):
                    pass

    async def test_other_tasks_run_between_events(self) -> None:
        async with RawServer(answer()) as server:
            reader = EventReader(await async_connect(server.address, 0.0))
            turns = 0

            async def count_turns() -> None:
                nonlocal turns
                while True:
                    turns += 1
                    await asyncio.sleep(0)

            counting = asyncio.create_task(count_turns())
            async for _ in reader.async_iterate(EVENT * 10 * EVENTS_PER_TURN):
                pass
            counting.cancel()
        assert turns >= 9
