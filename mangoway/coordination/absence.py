"""Takes the announcements of edges away that the leading scheduler has lost.

An edge that is killed would stay announced until its lease ends, and callers would be
told its address. The leader notices at once, since the edge's connection breaks.
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
"""Time without a connection from which an edge counts as gone: one that has only lost
its connection makes it anew in some tenths of a second."""

MAX_ABSENT_SHARE: Final = 0.5
"""Part of the edges from which their absence says that this process is cut off, or that
all have been stopped and are about to come back."""

MAX_REMOVED: Final = 10
"""Announcements that one call removes; the platform takes up to 32 entries a call."""

CHECK_S: Final = 0.5
"""Time between two looks at the edges that were lost."""


@define(eq=False)
class AbsentEdges:
    """Edges whose connections broke, by incarnation."""

    store: CoordinationStore
    mirror: Mirror
    view: FleetView
    clock: Callable[[], float]
    may_remove: Callable[[], bool]
    """Whether this process leads."""

    _lost_at: dict[str, float] = field(factory=dict, init=False)
    """When the connection to each lost edge broke, by its incarnation."""

    def record_disconnected(self, incarnation: str) -> None:
        """Note that the connection to an edge broke."""
        self._lost_at[incarnation] = self.clock()

    def record_reconnected(self, incarnation: str) -> None:
        """Note that an edge is connected again."""
        self._lost_at.pop(incarnation, None)

    async def async_run(self) -> None:
        """Look for absent edges until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            keys = self._list_absent()
            if keys:
                await self._async_remove(keys)

    def _list_absent(self) -> list[str]:
        """Return the keys of edges that have been gone for long enough.

        Each is returned once: one that is announced again lives, though it does not
        reach this process.
        """
        members = self.view.members
        known = {each.incarnation: key for key, each in members.items()}
        for incarnation in [each for each in self._lost_at if each not in known]:
            del self._lost_at[incarnation]
        if not self.may_remove():
            return []
        if len(self._lost_at) > MAX_ABSENT_SHARE * len(members):
            return []
        due = self.clock() - ABSENT_S
        absent = [each for each, lost_at in self._lost_at.items() if lost_at <= due]
        for incarnation in absent[:MAX_REMOVED]:
            del self._lost_at[incarnation]
        return [known[each] for each in absent[:MAX_REMOVED]]

    async def _async_remove(self, keys: list[str]) -> None:
        items = [self.mirror.items[key] for key in keys if key in self.mirror.items]
        if not items:
            return
        # A key that was written meanwhile belongs to an edge that lives.
        held = tuple(
            Precondition(key=each.key, revision=each.revision) for each in items
        )
        try:
            result = await self.store.async_commit(
                held, (), tuple(each.key for each in items)
            )
        except StoreUnavailableError as error:
            # Their leases end by themselves.
            log_event(log.EdgesKept(reason=str(error)))
            return
        if result.committed:
            log_event(log.EdgesRemoved(keys=tuple(each.key for each in items)))
