"""Waiting for a condition that other tasks fulfil."""

import asyncio
from collections.abc import Callable

PERIOD_S = 0.01
TIMEOUT_S = 3.0


async def async_wait_until(
    condition: Callable[[], bool], timeout_s: float = TIMEOUT_S
) -> None:
    """Wait until a condition is true.

    Raises:
        TimeoutError: If it is still false after the timeout.
    """
    for _ in range(int(timeout_s / PERIOD_S)):
        if condition():
            return
        await asyncio.sleep(PERIOD_S)
    raise TimeoutError("the condition is still false")
