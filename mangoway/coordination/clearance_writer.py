"""Writes the clearances of an edge, and again if another edge has written over them.

All edges write the clearances of a request under one key. If two write at once, the
store keeps one of them, and a process that starts later reads only that one. The leader
writes the merged clearance; without a leader, the edges that wrote one do.
"""

import asyncio
from typing import Final, Protocol

from attrs import define, field

from ..policy.crashes.tracker import CrashTracker
from .crashes import ClearanceStatement, Statement, encode_statement
from .mirror import Mirror

CHECK_S: Final = 1.0
"""Time between two checks. A clearance is written again if it is incomplete at two in a
row: the leader takes half a second to merge it."""

MAX_CHECKED: Final = 64
"""Clearances that are checked, the latest written ones."""


class StatementQueue(Protocol):
    """Statements that are to be written to the store."""

    def post(self, statement: Statement) -> None:
        """Queue a statement, which is written soon."""
        ...

    def is_pending(self, key: str) -> bool:
        """Return whether the store has not confirmed the statement under a key."""
        ...


@define(eq=False)
class ClearanceWriter:
    """Passes statements on, and checks the clearances among them in the store."""

    queue: StatementQueue
    mirror: Mirror
    tracker: CrashTracker
    prefix: str
    """Prefix of the system's own keys."""

    _checked: dict[str, bool] = field(factory=dict, init=False)
    """Whether a clearance was incomplete at the last check, by key, oldest first."""

    def post(self, statement: Statement) -> None:
        """Queue a statement, which is written soon."""
        if isinstance(statement, ClearanceStatement):
            self._checked.pop(statement.key, None)
            self._checked[statement.key] = False
            if len(self._checked) > MAX_CHECKED:
                del self._checked[next(iter(self._checked))]
        self.queue.post(statement)

    async def async_run(self) -> None:
        """Check the clearances until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            self.check()

    def check(self) -> None:
        """Queue the clearances again that were incomplete at the last check as well."""
        for key, was_incomplete in list(self._checked.items()):
            clearance = self.tracker.find_clearance(key)
            if clearance is None:
                # It is outdated and was removed.
                del self._checked[key]
                continue
            item = self.mirror.items.get(self.prefix + key)
            statement = ClearanceStatement(clearance=clearance)
            is_incomplete = (
                item is not None
                and not self.queue.is_pending(key)
                and item.value != encode_statement(statement)
            )
            self._checked[key] = is_incomplete
            if is_incomplete and was_incomplete:
                self.post(statement)
