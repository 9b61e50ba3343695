"""Tests of the times in which a test's event loop ran late."""

import asyncio
import time

from .loop_delays import LoopDelays

BLOCKED_S = 0.2


class TestLoopDelays:
    """Delays of a loop that one callback blocks for a while."""

    async def test_only_the_blocked_time_counts(self) -> None:
        """Waiting for a slow edge passed for a delay of the test's own loop."""
        delays = LoopDelays()
        task = asyncio.create_task(delays.async_run())
        began = time.monotonic()
        await asyncio.sleep(2 * BLOCKED_S)
        blocked_at = time.monotonic()
        time.sleep(BLOCKED_S)  # noqa: ASYNC251
        ended = time.monotonic()
        await asyncio.sleep(0.05)
        task.cancel()
        # A tick is due up to 10 ms after the loop was blocked.
        assert delays.measure_s(blocked_at, ended) > 0.8 * BLOCKED_S
        assert delays.measure_s(began, ended) <= ended - began - BLOCKED_S
        assert delays.measure_s(blocked_at, blocked_at) == 0
        middle = (blocked_at + ended) / 2
        assert delays.measure_s(middle, ended) <= ended - middle
