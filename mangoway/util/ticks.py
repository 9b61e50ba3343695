"""Aligned wakeups of the periodic tasks of a process."""

import asyncio
from typing import Final

ROUNDING_TOLERANCE: Final = 1e-6
"""Fraction of a period by which a time may be below a multiple and still count as it.
Without it, a task that woke at a multiple would wake again at once."""


async def async_sleep_to_tick(period_s: float) -> None:
    """Sleep until the loop's time is a multiple of a period.

    Tasks with periods that are multiples of each other then wake the process at the
    same times. Waking an idle process costs more than the check that it is woken for.
    """
    loop = asyncio.get_running_loop()
    now = loop.time()
    future = loop.create_future()
    wake_at = (int(now / period_s + ROUNDING_TOLERANCE) + 1) * period_s
    handle = loop.call_at(wake_at, _wake, future)
    try:
        await future
    finally:
        handle.cancel()


def _wake(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)
