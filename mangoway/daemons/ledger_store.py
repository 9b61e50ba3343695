"""Storage of memory ledgers in the key-value service."""

import asyncio
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ..key_value.store import CallRank, KeyValueStore, Put, StoredValue
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import CellId, Revision, UpstreamId
from ..models.order import Ledger
from ..policy.placement.events import (
    LedgerConflicted,
    LedgerRead,
    LedgerUnavailable,
    LedgerWritten,
)
from ..util.tasks import Tasks
from .const import CELLS_PREFIX, LEDGER_LIST_THRESHOLD, LEDGERS_NAME
from .ledger_codec import decode_ledger, encode_ledger

ABSENT: Revision = Revision(0)

LedgerEvent = LedgerRead | LedgerWritten | LedgerConflicted | LedgerUnavailable


@frozen(kw_only=True)
class LedgerFailure:
    """The error with which a read or write of a ledger failed."""

    upstream: UpstreamId
    error: MangowayError


@define(eq=False, kw_only=True)
class LedgerStore:
    """Reads and writes the ledgers of one cell.

    Every read or write ends in exactly one event. Reads that are requested together are
    combined into one listing.
    """

    store: KeyValueStore
    cell: CellId
    tasks: Tasks
    on_event: Callable[[LedgerEvent], None]
    on_failure: Callable[[LedgerFailure], None]
    _pending_reads: set[UpstreamId] = field(factory=set, init=False)

    def async_read(self, upstream: UpstreamId) -> None:
        """Read a ledger, together with others requested in this loop iteration."""
        if not self._pending_reads:
            asyncio.get_running_loop().call_soon(self._start_reads)
        self._pending_reads.add(upstream)

    def async_write(self, ledger: Ledger, expected: Revision) -> None:
        """Write a ledger if its key still has the expected revision."""
        self.tasks.async_start(self._async_write(ledger, expected))

    def _start_reads(self) -> None:
        upstreams = sorted(self._pending_reads)
        self._pending_reads.clear()
        if len(upstreams) >= LEDGER_LIST_THRESHOLD:
            self.tasks.async_start(self._async_list(upstreams))
            return
        for upstream in upstreams:
            self.tasks.async_start(self._async_get(upstream))

    async def _async_get(self, upstream: UpstreamId) -> None:
        try:
            stored = await self.store.async_get(
                self._make_key(upstream), CallRank.SAFETY
            )
        except MangowayError as error:
            self._report_failure(upstream, error)
        else:
            self._report_read(upstream, stored)

    async def _async_list(self, upstreams: Iterable[UpstreamId]) -> None:
        try:
            values = await self.store.async_list(self._prefix, CallRank.SAFETY)
        except MangowayError as error:
            for upstream in upstreams:
                self._report_failure(upstream, error)
            return
        found = {stored.key: stored for stored in values}
        for upstream in upstreams:
            key = self._make_key(upstream)
            absent = StoredValue(key=key, value=None, revision=ABSENT)
            self._report_read(upstream, found.get(key, absent))

    async def _async_write(self, ledger: Ledger, expected: Revision) -> None:
        upstream = ledger.upstream
        put = Put(
            key=self._make_key(upstream), value=encode_ledger(ledger), expected=expected
        )
        try:
            result = await self.store.async_commit((put,), CallRank.SAFETY)
            current = None if result.succeeded else _decode(result.current[0])
        except MangowayError as error:
            self._report_failure(upstream, error)
            return
        if result.succeeded:
            written = LedgerWritten(
                upstream_id=upstream, ledger=ledger, revision=result.revision
            )
            self.on_event(written)
        else:
            conflicted = LedgerConflicted(
                upstream_id=upstream,
                ledger=current,
                revision=result.current[0].revision,
            )
            self.on_event(conflicted)

    def _report_read(self, upstream: UpstreamId, stored: StoredValue) -> None:
        try:
            ledger = _decode(stored)
            _check_owner(ledger, upstream)
        except MangowayError as error:
            self._report_failure(upstream, error)
            return
        self.on_event(
            LedgerRead(upstream_id=upstream, ledger=ledger, revision=stored.revision)
        )

    def _report_failure(self, upstream: UpstreamId, error: MangowayError) -> None:
        self.on_failure(LedgerFailure(upstream=upstream, error=error))
        self.on_event(LedgerUnavailable(upstream_id=upstream))

    @property
    def _prefix(self) -> str:
        return f"{CELLS_PREFIX}{self.cell}/{LEDGERS_NAME}/"

    def _make_key(self, upstream: UpstreamId) -> str:
        return f"{self._prefix}{upstream}"


def _decode(stored: StoredValue) -> Ledger | None:
    return None if stored.value is None else decode_ledger(stored.value)


def _check_owner(ledger: Ledger | None, upstream: UpstreamId) -> None:
    if ledger is not None and ledger.upstream != upstream:
        detail = f"the ledger stored for {upstream} belongs to {ledger.upstream}"
        raise MangowayError(ErrorCode.LEDGER_UNREADABLE, detail)
