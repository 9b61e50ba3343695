"""Maintains the crash statements in the store.

The leading scheduler writes the block statements and removes outdated statements of all
kinds. Without a leader nothing is removed, and all statements stay in force.
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
"""Time for which a key is kept after this process first saw it, by kind."""


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

    _first_seen_at: dict[str, float] = field(factory=dict, init=False)
    """When each statement was first seen, by key without the prefix."""

    async def async_run(self) -> None:
        """Maintain the statements until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            await self.async_check()

    async def async_check(self) -> None:
        """Write missing block statements, and otherwise remove outdated statements.

        If the store came back from a copy, first write the statements again that it
        lost, and remove those again that had been removed.
        """
        if self.may_write() and await self._async_repair():
            return
        if self.tracker.is_empty:
            # The tracker contains all statements in the store. Mostly there are none.
            self._first_seen_at.clear()
            return
        keys = self._list_keys()
        now = self.clock()
        self._first_seen_at = {key: self._first_seen_at.get(key, now) for key in keys}
        if not self.may_write():
            return
        writes = self._list_missing_blocks()
        # The block statement is written before the charges that led to it are removed.
        removed = (
            () if writes else tuple(self._list_outdated(keys, now)[:MAX_KEYS_PER_CALL])
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

    def _list_keys(self) -> list[str]:
        """Return the keys of all statements, oldest first."""
        kinds = tuple(self.prefix + each for each in STATEMENT_KEYS)
        items = [
            each for each in self.mirror.items.values() if each.key.startswith(kinds)
        ]
        items.sort(key=lambda item: item.revision)
        return [each.key.removeprefix(self.prefix) for each in items]

    def _list_missing_blocks(self) -> tuple[Write, ...]:
        """Return writes for block statements that are missing or have other charges."""
        missing = []
        for content in self.tracker.list_blocked()[-MAX_BLOCKED:]:
            statement = BlockStatement(
                content=content, charges=self.tracker.list_charges(content)
            )
            key, value = self.prefix + statement.key, encode_statement(statement)
            written = self.mirror.items.get(key)
            if written is None or written.value != value:
                missing.append(Write(key=key, value=value))
        return tuple(missing[:MAX_KEYS_PER_CALL])

    def _list_outdated(self, keys: list[str], now: float) -> list[str]:
        """Return the keys that are expired, in excess, or block no request any more."""
        block_keys = {BLOCK_KEYS + each for each in self.tracker.list_blocked()}
        outdated = []
        for kind in STATEMENT_KEYS:
            kind_keys = [each for each in keys if each.startswith(kind)]
            excess = len(kind_keys) - MAX_KEYS[kind]
            for number, key in enumerate(kind_keys):
                expired = now - self._first_seen_at[key] > RETENTION_S[kind]
                obsolete = kind == BLOCK_KEYS and key not in block_keys
                if number < excess or expired or obsolete:
                    outdated.append(key)
        return outdated
