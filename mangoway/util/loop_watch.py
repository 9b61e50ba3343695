"""Notices when the event loop runs late, as after a pause of the process."""

import asyncio
from collections.abc import Callable

from ..observability.event_log import log_event
from ..observability.events import LoopLagged
from ..observability.metrics import Metrics

PERIOD_S = 0.5
LOG_FROM_S = 1.0
"""Lateness from which an event is logged; all of it is in the metrics."""


async def async_watch_loop(
    metrics: Metrics, clock: Callable[[], float] | None = None
) -> None:
    """Measure the lateness of the loop until cancelled.

    Args:
        metrics: Where the lateness is counted.
        clock: Source of the time in seconds; that of the loop if None.
    """
    clock = clock or asyncio.get_running_loop().time
    while True:
        due = clock() + PERIOD_S
        await asyncio.sleep(PERIOD_S)
        late_s = max(0.0, clock() - due)
        metrics.loop_lag_seconds.observe(seconds=late_s)
        if late_s >= LOG_FROM_S:
            log_event(LoopLagged(seconds=late_s))
