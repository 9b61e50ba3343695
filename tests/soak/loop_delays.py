"""Times in which the event loop of a test process ran late."""

import asyncio
import time
from typing import Final

from attrs import define, field

TICK_S: Final = 0.01
MIN_DELAY_S: Final = 0.005
"""Delay from which a tick counts as late; the loop of an idle host is late by less."""


@define(eq=False)
class LoopDelays:
    """Times in which the event loop of this process ran late.

    Callers, relays and runners share this loop, so that a request appears to take
    longer by these times, which its caller would not see on a host of its own.
    """

    _late: list[tuple[float, float]] = field(factory=list, init=False)
    """When a tick was due, and when it ran."""

    async def async_run(self) -> None:
        """Record the delays until cancelled."""
        while True:
            due = time.monotonic() + TICK_S
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - due > MIN_DELAY_S:
                self._late.append((due, now))

    def measure_s(self, began: float, ended: float) -> float:
        """Return the seconds of a time span in which the loop was late."""
        return sum(
            max(0.0, min(ended, ran) - max(began, due)) for due, ran in self._late
        )
