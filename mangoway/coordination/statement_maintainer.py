"""Keeps the statements on crashes in the store few, and what follows from them safe.

The leading scheduler writes down which requests are held back, and takes away what is
old. While nobody leads nothing is taken away, and all that is known stays in force.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.crashes.const import (
    BLOCK_S,
    CRASH_RETENTION_S,
    MAX_BLOCKED,
    MAX_CLEARANCES,
)
from ..policy.crashes.tracker import CrashTracker
from .crashes import (
    BLOCK_KEYS,
    CLEARANCE_KEYS,
    CRASH_KEYS,
    STATEMENT_KEYS,
    BlockStatement,
    encode_statement,
)
from .mirror import Mirror
from .store import CoordinationStore, StoreUnavailableError, Write

CHECK_S: Final = 0.5
"""Time between two looks."""

ENTRIES_A_CALL: Final = 16
"""Keys that one call writes or removes; the platform takes up to 32 entries."""

MAX_CRASH_KEYS: Final = 1024
"""Statements of edges that are kept: each of 12 edges that had a request at a runner
writes one, so that they tell of 85 crashes at 195 edges."""

CLEARED_MARGIN_S: Final = 60.0
"""Time for which a clearance outlives the charges that it is about."""

MOST: Final = {
    CRASH_KEYS: MAX_CRASH_KEYS,
    BLOCK_KEYS: MAX_BLOCKED,
    CLEARANCE_KEYS: MAX_CLEARANCES,
}
"""Keys of each kind that are kept."""

STAY_S: Final = {
    CRASH_KEYS: CRASH_RETENTION_S,
    BLOCK_KEYS: BLOCK_S,
    CLEARANCE_KEYS: CRASH_RETENTION_S + CLEARED_MARGIN_S,
}
"""Time for which a key of each kind is kept after this process has seen it."""


@define(eq=False)
class StatementMaintainer:
    """Looks after the statements while this process leads."""

    store: CoordinationStore
    mirror: Mirror
    tracker: CrashTracker
    clock: Callable[[], float]
    may_write: Callable[[], bool]
    """Whether this process leads."""

    prefix: str
    """Prefix of the system's own keys."""

    _seen_at: dict[str, float] = field(factory=dict, init=False)
    """When each statement was seen first, by key without the prefix."""

    async def async_run(self) -> None:
        """Look after the statements until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.async_check()

    async def async_check(self) -> None:
        """Write what is missing, and remove what is old."""
        if self.tracker.is_empty:
            # Every statement in the store is in the book; most days there are none.
            self._seen_at.clear()
            return
        keys = self._list_keys()
        now = self.clock()
        self._seen_at = {key: self._seen_at.get(key, now) for key in keys}
        if not self.may_write():
            return
        writes = self._list_missing()
        # What holds a request back stands before the charges behind it go.
        removed = () if writes else tuple(self._list_old(keys, now)[:ENTRIES_A_CALL])
        if not writes and not removed:
            return
        try:
            await self.store.async_commit(
                (), writes, tuple(self.prefix + each for each in removed)
            )
        except StoreUnavailableError as error:
            log_event(log.StatementsKept(reason=str(error)))

    def _list_keys(self) -> list[str]:
        """Return the keys of all statements, oldest first."""
        kinds = tuple(self.prefix + each for each in STATEMENT_KEYS)
        items = [
            each for each in self.mirror.items.values() if each.key.startswith(kinds)
        ]
        items.sort(key=lambda item: item.revision)
        return [each.key.removeprefix(self.prefix) for each in items]

    def _list_missing(self) -> tuple[Write, ...]:
        """Return what is to be written of requests that are held back."""
        missing = []
        for content in self.tracker.list_blocked()[-MAX_BLOCKED:]:
            statement = BlockStatement(
                content=content, charges=self.tracker.list_charges(content)
            )
            key, value = self.prefix + statement.key, encode_statement(statement)
            written = self.mirror.items.get(key)
            if written is None or written.value != value:
                missing.append(Write(key=key, value=value))
        return tuple(missing[:ENTRIES_A_CALL])

    def _list_old(self, keys: list[str], now: float) -> list[str]:
        """Return the keys that are too old, too many, or hold nothing any more."""
        held = {BLOCK_KEYS + each for each in self.tracker.list_blocked()}
        old = []
        for kind in STATEMENT_KEYS:
            alike = [each for each in keys if each.startswith(kind)]
            beyond = len(alike) - MOST[kind]
            for number, key in enumerate(alike):
                expired = now - self._seen_at[key] > STAY_S[kind]
                idle = kind == BLOCK_KEYS and key not in held
                if number < beyond or expired or idle:
                    old.append(key)
        return old
