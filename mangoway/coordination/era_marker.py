"""Marks in the store that the writes lost by its last restore were repeated.

Processes that were running at a restore know how long ago it was. One that starts does
not, and without the mark it has to wait until the lost writes were repeated.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from .mirror import Mirror
from .store import CoordinationStore, StoreUnavailableError, Write

COMPLETE_ERA_KEY: Final = "complete-era"
"""Key of the mark, whose value is an era, without the prefix of the system's keys."""

CHECK_S: Final = 0.5
"""Time between two checks; a check needs no store call."""


@define(eq=False)
class EraMarker:
    """Writer of the mark."""

    store: CoordinationStore
    mirror: Mirror
    may_write: Callable[[], bool]
    """Whether this process is the one that writes."""

    async def async_run(self) -> None:
        """Write the mark after each restore, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if self._is_due() and self.may_write():
                await self._async_write()

    def _is_due(self) -> bool:
        mirror = self.mirror
        if mirror.era == 0 or mirror.is_era_complete():
            return False
        return not mirror.restores.may_lack_writes()

    async def _async_write(self) -> None:
        mirror = self.mirror
        value = str(mirror.era).encode()
        write = Write(key=mirror.complete_era_key, value=value)
        try:
            await self.store.async_commit((), (write,))
        except StoreUnavailableError as error:
            log_event(log.EraUnmarked(era=mirror.era, reason=str(error)))
