"""Tells what an edge has to say of crashes, and writes it to the store."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.backoff import Backoff
from .crashes import Statement, encode_statement
from .store import CoordinationStore, StoreUnavailableError, Write

GATHER_S: Final = 0.02
"""Time for which statements are gathered: all connections to a crashed runner break
within some milliseconds, and each call of the store is paid for."""

WRITES_A_CALL: Final = 16
"""Statements in one call; the platform takes up to 32 entries."""

MAX_PENDING: Final = 256
"""Statements that wait while the store does not answer; the oldest go first."""

FIRST_RETRY_S: Final = 0.2
MOST_RETRY_S: Final = 1.0


@define(eq=False)
class CrashReporter:
    """Statements on their way to the store."""

    store: CoordinationStore
    prefix: str
    """Prefix of the system's own keys."""

    tell: Callable[[str, bytes], bool] = lambda key, value: False
    """Tells other processes over the links: the key without the prefix, and the value.
    Returns whether there is a link; without one it is tried again with the store.
    That is done where the store does not answer: through it they hear in half a second,
    and what both bring would go twice to each of 195 hosts."""

    _pending: dict[str, Statement] = field(factory=dict, init=False)
    """By key, oldest first."""

    _told: dict[str, Statement] = field(factory=dict, init=False)
    """Those of them that were told over the links, by key."""

    _posted: asyncio.Event = field(factory=asyncio.Event, init=False)
    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MOST_RETRY_S), init=False
    )

    def post(self, statement: Statement) -> None:
        """Write a statement soon, in place of an earlier one under its key."""
        self._pending.pop(statement.key, None)
        if len(self._pending) >= MAX_PENDING:
            dropped = next(iter(self._pending))
            del self._pending[dropped]
            log_event(log.StatementDropped(key=dropped))
        self._pending[statement.key] = statement
        self._posted.set()

    async def async_run(self) -> None:
        """Write what is posted until cancelled."""
        while True:
            await self._posted.wait()
            await asyncio.sleep(GATHER_S)
            await self._async_write()

    async def _async_write(self) -> None:
        batch = list(self._pending.values())[:WRITES_A_CALL]
        writes = tuple(
            Write(key=self.prefix + each.key, value=encode_statement(each))
            for each in batch
        )
        try:
            await self.store.async_commit((), writes)
        except StoreUnavailableError:
            # The mirror logs that the store is lost; the same writes do no harm twice.
            self._tell_untold()
            await asyncio.sleep(self._backoff.next())
            return
        self._backoff.reset()
        self._told.clear()
        for each in batch:
            if self._pending.get(each.key) is each:
                del self._pending[each.key]
        if not self._pending:
            self._posted.clear()

    def _tell_untold(self) -> None:
        """Tell others over the links what the store was not told."""
        self._told = {
            key: self._told[key] for key in self._told if key in self._pending
        }
        for each in self._pending.values():
            is_told = self._told.get(each.key) is each
            if not is_told and self.tell(each.key, encode_statement(each)):
                self._told[each.key] = each
