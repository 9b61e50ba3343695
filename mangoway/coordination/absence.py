"""Removes the announcements of edges that the leading scheduler has lost.

The announcement of a killed edge would otherwise remain until its lease ends, and
callers would still receive its address. The leader detects the loss at once, because
the link to the edge breaks.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from .mirror import Mirror
from .store import CoordinationStore, Precondition, StoreUnavailableError
from .view import FleetView

ABSENT_S: Final = 1.0
"""Time without a link after which an edge counts as absent. An edge that still
runs reconnects within some tenths of a second."""

MAX_ABSENT_SHARE: Final = 0.5
"""Maximum share of absent edges at which announcements are removed. If more edges are
absent, this process is probably cut off, or all edges are restarting."""

MAX_REMOVED_PER_CALL: Final = 10
"""Announcements that one call removes; the platform accepts up to 32 entries."""

CHECK_S: Final = 0.5
"""Time between two checks for absent edges."""


@define(eq=False)
class AbsentEdges:
    """Tracker of edges whose links broke, by incarnation."""

    store: CoordinationStore
    mirror: Mirror
    view: FleetView
    clock: Callable[[], float]
    may_remove: Callable[[], bool]
    """Whether this process leads."""

    _disconnected_at: dict[str, float] = field(factory=dict, init=False)
    """When the link to each disconnected edge broke, by its incarnation."""

    def record_disconnected(self, incarnation: str) -> None:
        """Record that the link to an edge broke."""
        self._disconnected_at[incarnation] = self.clock()

    def record_reconnected(self, incarnation: str) -> None:
        """Record that an edge is connected again."""
        self._disconnected_at.pop(incarnation, None)

    async def async_run(self) -> None:
        """Remove the announcements of absent edges until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            keys = self._list_absent()
            if keys:
                await self._async_remove(keys)

    def _list_absent(self) -> list[str]:
        """Return the keys of edges that have been absent for long enough.

        Each edge is returned once. An edge that announces itself again is running, even
        if it does not reach this process.
        """
        members = self.view.members
        keys_by_incarnation = {each.incarnation: key for key, each in members.items()}
        for incarnation in [
            each for each in self._disconnected_at if each not in keys_by_incarnation
        ]:
            del self._disconnected_at[incarnation]
        if not self.may_remove():
            return []
        if len(self._disconnected_at) > MAX_ABSENT_SHARE * len(members):
            return []
        latest = self.clock() - ABSENT_S
        absent = [
            each
            for each, disconnected_at in self._disconnected_at.items()
            if disconnected_at <= latest
        ]
        for incarnation in absent[:MAX_REMOVED_PER_CALL]:
            del self._disconnected_at[incarnation]
        return [keys_by_incarnation[each] for each in absent[:MAX_REMOVED_PER_CALL]]

    async def _async_remove(self, keys: list[str]) -> None:
        items = [self.mirror.items[key] for key in keys if key in self.mirror.items]
        if not items:
            return
        # A key that has been written since belongs to an edge that is running.
        unchanged = tuple(
            Precondition(key=each.key, revision=each.revision) for each in items
        )
        try:
            result = await self.store.async_commit(
                unchanged, (), tuple(each.key for each in items)
            )
        except StoreUnavailableError as error:
            # The keys are removed when their leases end.
            log_event(log.EdgesKept(reason=str(error)))
            return
        if result.committed:
            log_event(log.EdgesRemoved(keys=tuple(each.key for each in items)))
