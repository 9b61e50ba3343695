"""Measurement of event loop lag, such as after a pause of the process."""

import asyncio
from collections.abc import Callable

from ..observability.event_log import log_event
from ..observability.events import LoopLagged
from ..observability.metrics import Metrics

CHECK_PERIOD_S = 0.5
MIN_LOGGED_LAG_S = 1.0
"""Smallest lag that is logged as an event; the metrics contain smaller ones too."""


async def async_watch_loop(
    metrics: Metrics, clock: Callable[[], float] | None = None
) -> None:
    """Measure the event loop's lag until cancelled.

    Args:
        metrics: Metrics that record the lag.
        clock: Returns the time in seconds; the loop's clock if None.
    """
    clock = clock or asyncio.get_running_loop().time
    while True:
        due = clock() + CHECK_PERIOD_S
        await asyncio.sleep(CHECK_PERIOD_S)
        lag_s = max(0.0, clock() - due)
        metrics.loop_lag_seconds.observe(seconds=lag_s)
        if lag_s >= MIN_LOGGED_LAG_S:
            log_event(LoopLagged(seconds=lag_s))
