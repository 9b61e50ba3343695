"""Maintains the crash statements in the store.

The leading scheduler writes the block statements, merges clearances that edges wrote
over each other, and removes outdated statements of all kinds. Without a leader nothing
is removed, and all statements stay in force.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final

from attrs import define, field, frozen

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
    ClearanceStatement,
    encode_statement,
)
from .mirror import Mirror
from .store import CoordinationStore, StoreUnavailableError, Write

CHECK_S: Final = 0.5
"""Time between two checks of the statements."""

MAX_KEYS_PER_CALL: Final = 16
"""Keys that one call writes or removes; the platform accepts up to 32 entries."""

MAX_CRASH_KEYS: Final = 1024
"""Crash statements that are kept. Of 195 edges, the 12 that had requests in progress at
a crashed runner write one each, so that the statements cover 85 crashes."""

CLEARANCE_MARGIN_S: Final = 60.0
"""Time for which a clearance is kept longer than the charges that it clears."""

MAX_KEYS: Final = {
    CRASH_KEYS: MAX_CRASH_KEYS,
    BLOCK_KEYS: MAX_BLOCKED,
    CLEARANCE_KEYS: MAX_CLEARANCES,
}
"""Keys that are kept of each kind."""

RETENTION_S: Final = {
    CRASH_KEYS: CRASH_RETENTION_S,
    BLOCK_KEYS: BLOCK_S,
    CLEARANCE_KEYS: CRASH_RETENTION_S + CLEARANCE_MARGIN_S,
}
"""Time for which a key is kept after this process first saw it, by kind. That of a
clearance counts from its last change, since it may clear further crashes by then."""


@frozen
class Sighting:
    """When a value of a statement was seen."""

    value: bytes
    at: float


@define(eq=False)
class StatementMaintainer:
    """Maintainer of the crash statements while this process leads."""

    store: CoordinationStore
    mirror: Mirror
    tracker: CrashTracker
    clock: Callable[[], float]
    may_write: Callable[[], bool]
    """Whether this process leads."""

    prefix: str
    """Prefix of the system's own keys."""

    _first_seen: dict[str, Sighting] = field(factory=dict, init=False)
    """First sighting of each statement, by key without the prefix."""

    async def async_run(self) -> None:
        """Maintain the statements until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.async_check()

    async def async_check(self) -> None:
        """Write what the statements lack, and otherwise remove outdated statements.

        If the store came back from a copy, first write the statements again that it
        lost, and remove those again that had been removed.
        """
        if self.may_write() and await self._async_repair():
            return
        if self.tracker.is_empty:
            # The tracker contains all statements in the store. Mostly there are none.
            self._first_seen.clear()
            return
        values = self._list_values()
        now = self.clock()
        self._first_seen = {
            key: self._get_first_sighting(key, value, now)
            for key, value in values.items()
        }
        if not self.may_write():
            return
        missing = (*self._list_missing_blocks(), *self._list_unmerged(values))
        writes = missing[:MAX_KEYS_PER_CALL]
        # The block statement is written before the charges that led to it are removed.
        removed = (
            ()
            if writes
            else tuple(self._list_outdated(list(values), now)[:MAX_KEYS_PER_CALL])
        )
        if writes or removed:
            keys_to_remove = tuple(self.prefix + each for each in removed)
            await self._async_commit(writes, keys_to_remove)

    async def _async_repair(self) -> bool:
        """Undo what a restore of the store did to the statements, one batch a call.

        Returns:
            Whether there was anything to undo.
        """
        kinds = tuple(self.prefix + each for each in STATEMENT_KEYS)
        lost = list(self.mirror.restores.lost.values())[:MAX_KEYS_PER_CALL]
        held = [each for each in self.mirror.restores.held if each.startswith(kinds)]
        removed = tuple(sorted(held)[:MAX_KEYS_PER_CALL])
        if not lost and not removed:
            return False
        writes = tuple(Write(key=each.key, value=each.value) for each in lost)
        await self._async_commit(writes, removed)
        return True

    async def _async_commit(
        self, writes: tuple[Write, ...], removed: tuple[str, ...]
    ) -> None:
        try:
            await self.store.async_commit((), writes, removed)
        except StoreUnavailableError as error:
            log_event(log.StatementsKept(reason=str(error)))

    def _get_first_sighting(self, key: str, value: bytes, now: float) -> Sighting:
        """Return the sighting from which the retention of a statement counts."""
        first = self._first_seen.get(key)
        if first is None:
            return Sighting(value, now)
        is_extended = key.startswith(CLEARANCE_KEYS) and first.value != value
        return Sighting(value, now) if is_extended else first

    def _list_values(self) -> dict[str, bytes]:
        """Return the values of all statements by key, oldest first."""
        kinds = tuple(self.prefix + each for each in STATEMENT_KEYS)
        items = [
            each for each in self.mirror.items.values() if each.key.startswith(kinds)
        ]
        items.sort(key=lambda item: item.revision)
        return {each.key.removeprefix(self.prefix): each.value for each in items}

    def _list_unmerged(self, values: dict[str, bytes]) -> Iterator[Write]:
        """Yield writes for clearances that lack what others under their key listed."""
        for key, value in values.items():
            if not key.startswith(CLEARANCE_KEYS):
                continue
            clearance = self.tracker.find_clearance(key)
            if clearance is None:
                continue
            merged = encode_statement(ClearanceStatement(clearance=clearance))
            if merged != value:
                yield Write(key=self.prefix + key, value=merged)

    def _list_missing_blocks(self) -> Iterator[Write]:
        """Yield writes for block statements that are missing or have other charges."""
        for content in self.tracker.list_blocked()[-MAX_BLOCKED:]:
            statement = BlockStatement(
                content=content, charges=self.tracker.list_charges(content)
            )
            key, value = self.prefix + statement.key, encode_statement(statement)
            written = self.mirror.items.get(key)
            if written is None or written.value != value:
                yield Write(key=key, value=value)

    def _list_outdated(self, keys: list[str], now: float) -> list[str]:
        """Return the keys that are expired, in excess, or block no request any more."""
        block_keys = {BLOCK_KEYS + each for each in self.tracker.list_blocked()}
        outdated = []
        for kind in STATEMENT_KEYS:
            kind_keys = [each for each in keys if each.startswith(kind)]
            excess = len(kind_keys) - MAX_KEYS[kind]
            for number, key in enumerate(kind_keys):
                expired = now - self._first_seen[key].at > RETENTION_S[kind]
                obsolete = kind == BLOCK_KEYS and key not in block_keys
                if number < excess or expired or obsolete:
                    outdated.append(key)
        return outdated
