"""Removes the announcements of edges that the leading scheduler has lost.

The announcement of a killed edge would otherwise remain until its lease ends, and
callers would still receive its address. The leader detects the loss at once, because
the link to the edge breaks. While the store can't remove it, schedulers report such
edges to the others, which leave them out of the directory.
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

    _attempted: set[str] = field(factory=set, init=False)
    """Disconnected edges whose announcements this process has tried to remove."""

    def record_disconnected(self, incarnation: str) -> None:
        """Record that the link to an edge broke."""
        self._disconnected_at[incarnation] = self.clock()
        self._attempted.discard(incarnation)

    def record_reconnected(self, incarnation: str) -> None:
        """Record that an edge is connected again."""
        self._forget(incarnation)

    def list_absent(self) -> tuple[str, ...]:
        """Return the incarnations of absent edges that are still announced."""
        if not self._disconnected_at:
            return ()
        announced = {each.incarnation for each in self.view.members.values()}
        for incarnation in self._disconnected_at.keys() - announced:
            self._forget(incarnation)
        if len(self._disconnected_at) > MAX_ABSENT_SHARE * len(announced):
            return ()
        latest = self.clock() - ABSENT_S
        return tuple(
            incarnation
            for incarnation, disconnected_at in self._disconnected_at.items()
            if disconnected_at <= latest
        )

    async def async_run(self) -> None:
        """Remove the announcements of absent edges until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if self.may_remove():
                await self._async_remove(self._choose_next())

    def _choose_next(self) -> dict[str, str]:
        """Return the keys of some absent edges by incarnation.

        Each edge is chosen once.
        """
        chosen = [each for each in self.list_absent() if each not in self._attempted]
        chosen = chosen[:MAX_REMOVED_PER_CALL]
        self._attempted.update(chosen)
        members = self.view.members.items()
        keys = {each.incarnation: key for key, each in members}
        return {each: keys[each] for each in chosen}

    async def _async_remove(self, keys: dict[str, str]) -> None:
        items = [
            self.mirror.items[key] for key in keys.values() if key in self.mirror.items
        ]
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
            # The store removes the keys when their leases end.
            log_event(log.EdgesKept(reason=str(error)))
            return
        for incarnation in keys:
            self._forget(incarnation)
        if result.committed:
            log_event(log.EdgesRemoved(keys=tuple(each.key for each in items)))

    def _forget(self, incarnation: str) -> None:
        self._disconnected_at.pop(incarnation, None)
        self._attempted.discard(incarnation)
