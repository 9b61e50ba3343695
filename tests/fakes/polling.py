"""Waiting for something that other tasks bring about."""

import asyncio
from collections.abc import Callable

PERIOD_S = 0.01
MOST_S = 3.0


async def async_wait_until(holds: Callable[[], bool], most_s: float = MOST_S) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it doesn't within some seconds.
    """
    for _ in range(int(most_s / PERIOD_S)):
        if holds():
            return
        await asyncio.sleep(PERIOD_S)
    raise TimeoutError("the condition did not come to hold")
