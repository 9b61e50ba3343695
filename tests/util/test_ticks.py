"""Tests of aligned wakeups, in virtual time."""

import asyncio

import pytest

from mangoway.util.ticks import async_sleep_to_tick

pytestmark = pytest.mark.looptime


class TestTicks:
    """Sleeping to multiples of a period."""

    async def test_times_are_multiples(self) -> None:
        loop = asyncio.get_running_loop()
        times = []
        for _ in range(40):
            await async_sleep_to_tick(0.1)
            times.append(round(loop.time() / 0.1, 4))
        assert times == [float(round(each)) for each in times]
        assert times == [times[0] + number for number in range(40)]

    async def test_tasks_of_several_periods_wake_together(self) -> None:
        loop = asyncio.get_running_loop()
        wake_times: set[float] = set()

        async def async_tick(period_s: float) -> None:
            for _ in range(int(2 / period_s)):
                await async_sleep_to_tick(period_s)
                wake_times.add(round(loop.time(), 6))

        await asyncio.gather(*(async_tick(each) for each in (0.1, 0.2, 0.5)))
        assert len(wake_times) == 20
