"""Writes the crash statements of an edge to the store."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.backoff import Backoff
from .crashes import Statement, encode_statement
from .store import CoordinationStore, StoreUnavailableError, Write

BATCH_DELAY_S: Final = 0.02
"""Time for which statements are collected into one batch. All connections to a crashed
runner break within some milliseconds, and each store call is billed."""

MAX_WRITES_PER_CALL: Final = 16
"""Statements that one call writes; the platform accepts up to 32 entries."""

MAX_PENDING: Final = 256
"""Statements that are queued while the store does not respond. The oldest are dropped
first."""

FIRST_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 1.0


@define(eq=False)
class CrashReporter:
    """Queue of crash statements that are to be written to the store."""

    store: CoordinationStore
    prefix: str
    """Prefix of the system's own keys."""

    send_to_peers: Callable[[str, bytes], bool] = lambda key, value: False
    """Sends a statement to other processes over the links, given its key without the
    prefix and its value. Returns whether there is a link; without one, the statement
    is sent again with the next store call that fails. Links are only used while the
    store does not respond: the store delivers a statement within half a second, and
    using both would deliver it twice to each of 195 hosts."""

    _pending: dict[str, Statement] = field(factory=dict, init=False)
    """Statements that the store has not confirmed, by key, oldest first."""

    _sent_to_peers: dict[str, Statement] = field(factory=dict, init=False)
    """Pending statements that were sent over the links, by key."""

    _posted: asyncio.Event = field(factory=asyncio.Event, init=False)
    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MAX_RETRY_S), init=False
    )

    def post(self, statement: Statement) -> None:
        """Queue a statement; it replaces a queued one with the same key."""
        self._pending.pop(statement.key, None)
        if len(self._pending) >= MAX_PENDING:
            dropped = next(iter(self._pending))
            del self._pending[dropped]
            log_event(log.StatementDropped(key=dropped))
        self._pending[statement.key] = statement
        self._posted.set()

    def is_pending(self, key: str) -> bool:
        """Return whether the store has not confirmed the statement under a key."""
        return key in self._pending

    async def async_run(self) -> None:
        """Write queued statements until cancelled."""
        while True:
            await self._posted.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            await self._async_write()

    async def _async_write(self) -> None:
        batch = list(self._pending.values())[:MAX_WRITES_PER_CALL]
        writes = tuple(
            Write(key=self.prefix + each.key, value=encode_statement(each))
            for each in batch
        )
        try:
            await self.store.async_commit((), writes)
        except StoreUnavailableError:
            # The mirror logs the outage. Repeating the same writes is harmless.
            self._send_unsent_to_peers()
            await asyncio.sleep(self._backoff.next())
            return
        self._backoff.reset()
        self._sent_to_peers.clear()
        for each in batch:
            if self._pending.get(each.key) is each:
                del self._pending[each.key]
        if not self._pending:
            self._posted.clear()

    def _send_unsent_to_peers(self) -> None:
        """Send pending statements over the links, each of them once."""
        self._sent_to_peers = {
            key: self._sent_to_peers[key]
            for key in self._sent_to_peers
            if key in self._pending
        }
        for each in self._pending.values():
            is_sent = self._sent_to_peers.get(each.key) is each
            if not is_sent and self.send_to_peers(each.key, encode_statement(each)):
                self._sent_to_peers[each.key] = each
