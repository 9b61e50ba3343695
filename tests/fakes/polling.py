"""Waiting for something that other tasks bring about."""

import asyncio
from collections.abc import Callable

PERIOD_S = 0.01
TIMEOUT_S = 3.0


async def async_wait_until(
    condition: Callable[[], bool], timeout_s: float = TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it doesn't within some seconds.
    """
    for _ in range(int(timeout_s / PERIOD_S)):
        if condition():
            return
        await asyncio.sleep(PERIOD_S)
    raise TimeoutError("the condition did not come to hold")
