"""Periodic tasks of one process that wake it together."""

import asyncio
from typing import Final

ROUNDING: Final = 1e-6
"""Part of a period by which a time may miss a multiple of it and still count as one:
otherwise a task that was woken at a multiple would wake again at once."""


async def async_sleep_to_tick(period_s: float) -> None:
    """Sleep until the loop's time is a multiple of a period.

    Tasks whose periods divide each other then wake the process at the same times; each
    waking of an idle process costs more than the look that it is for.
    """
    loop = asyncio.get_running_loop()
    now = loop.time()
    future = loop.create_future()
    at = (int(now / period_s + ROUNDING) + 1) * period_s
    handle = loop.call_at(at, _wake, future)
    try:
        await future
    finally:
        handle.cancel()


def _wake(future: "asyncio.Future[None]") -> None:
    if not future.done():
        future.set_result(None)
