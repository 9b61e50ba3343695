"""Repository of the configuration in the key-value service, with atomic edits."""

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from ..key_value.store import (
    CallRank,
    KeyValueStore,
    Put,
    StoredValue,
    TransactionResult,
)
from ..models.errors import ErrorCode, MangowayError
from ..models.identifiers import ConfigVersion, Revision
from ..models.verdict import Verdict
from .bundle import BASE, ConfigurationBundle, Part, PartName, name_overlay
from .const import (
    CONFIG_PREFIX,
    HEAD_KEY,
    HISTORY_PREFIX,
    MAX_DELTA_BYTES,
    MAX_HISTORY_ENTRIES,
    MAX_SETTLE_ATTEMPTS,
    SETTLE_FIRST_PAUSE_S,
)
from .delta import make_delta
from .records import HeadRecord, HistoryRecord, decode_record, encode_record
from .validator import validate_bundle

Validate = Callable[[ConfigurationBundle], None]

ABSENT = Revision(0)
VERSION_DIGITS = 12
"""Fixed number of digits of the version in a history key, so that keys sort by it."""


@frozen(kw_only=True)
class Edit:
    """Edit that replaces the text of one document."""

    part: PartName
    text: str
    nonce: str
    """Unique for each edit; a retry of the edit has the same nonce."""

    edited_at: float
    """Wall-clock time in seconds since the epoch."""

    based_on: ConfigVersion | None = None
    """Version whose text the operator edited; None to skip the check for conflicts."""


@frozen(kw_only=True)
class Snapshot:
    """Consistent snapshot of all keys with the configuration's prefix."""

    head: HeadRecord
    bundle: ConfigurationBundle
    history: tuple[HistoryRecord, ...]
    """Kept edits, oldest first."""

    revisions: dict[str, Revision]

    def find_edit(self, nonce: str) -> HistoryRecord | None:
        """Return the accepted edit with a nonce, or None."""
        return next((edit for edit in self.history if edit.nonce == nonce), None)


@define
class ConfigurationRepository:
    """Reads and edits the configuration in the key-value service."""

    _store: KeyValueStore
    _validate: Validate = field(default=validate_bundle, kw_only=True)

    async def async_read_head(self) -> HeadRecord:
        """Read the head record; its version is 0 if there is no configuration yet."""
        stored = await self._store.async_get(HEAD_KEY, CallRank.CONFIGURATION)
        return _decode_head(stored)

    async def async_read_snapshot(self) -> Snapshot:
        """Read all documents and the history in a single call."""
        values = await self._store.async_list(CONFIG_PREFIX, CallRank.CONFIGURATION)
        return _make_snapshot(values)

    async def async_read_bundle(self, site: str) -> ConfigurationBundle:
        """Read the documents of one site, all of the same version.

        Raises:
            MangowayError: CONFIG_CONFLICT if edits were accepted during each read.
        """
        for _ in range(MAX_SETTLE_ATTEMPTS):
            head = await self.async_read_head()
            bundle = await self._async_read_parts(head, site)
            if bundle is not None:
                return bundle
        detail = f"documents changed during each of {MAX_SETTLE_ATTEMPTS} reads"
        raise MangowayError(ErrorCode.CONFIG_CONFLICT, detail, retry_after=1.0)

    async def async_read_edit(self, version: ConfigVersion) -> HistoryRecord | None:
        """Read the edit that created a version; None if it is no longer kept."""
        key = name_history_key(version)
        stored = await self._store.async_get(key, CallRank.CONFIGURATION)
        if stored.value is None:
            return None
        return decode_record(stored.value, HistoryRecord)

    async def async_apply(self, edit: Edit, author: str) -> HistoryRecord:
        """Put an edit in force, unless it was accepted before, and return its record.

        Raises:
            MangowayError: If the validation fails; CONFIG_CONFLICT, naming both
                versions, if another edit was accepted in between; PLATFORM_UNAVAILABLE
                with a verdict if the service did not respond.
        """
        snapshot = await self.async_read_snapshot()
        done = snapshot.find_edit(edit.nonce)
        if done is not None:
            return done
        _check_base_version(snapshot, edit)
        record = _make_record(snapshot, edit, author)
        bundle = snapshot.bundle.replace_part(edit.part, edit.text, record.version)
        self._validate(bundle)
        puts = _make_puts(snapshot, bundle, record)
        await self._async_settle(puts, record)
        return record

    async def _async_settle(self, puts: tuple[Put, ...], record: HistoryRecord) -> None:
        """Retry the commit until it is known whether the edit was accepted.

        A retry is safe, since only one commit can find the head unchanged.
        """
        pause_s = SETTLE_FIRST_PAUSE_S
        is_ambiguous = False
        for attempts_left in reversed(range(MAX_SETTLE_ATTEMPTS)):
            try:
                return await self._async_commit(puts, record)
            except MangowayError as error:
                is_ambiguous |= error.failure.verdict is not Verdict.NOT_RUN
                if error.code is ErrorCode.CONFIG_CONFLICT or not is_ambiguous:
                    raise
                if not attempts_left:
                    raise _make_unsettled_error(record, error) from error
            await asyncio.sleep(pause_s)
            pause_s *= 2

    async def _async_commit(self, puts: tuple[Put, ...], record: HistoryRecord) -> None:
        result = await self._store.async_commit(puts, CallRank.CONFIGURATION)
        if not result.succeeded:
            await self._async_check_accepted(record, result)

    async def _async_check_accepted(
        self, record: HistoryRecord, result: TransactionResult
    ) -> None:
        """Return if an earlier attempt to commit succeeded, whose response was lost.

        Raises:
            MangowayError: CONFIG_CONFLICT if another edit was accepted instead.
        """
        head = _decode_head(result.current[0])
        if head.nonce == record.nonce:
            return
        if head.version > record.version:
            winner = await self.async_read_edit(record.version)
            if winner is not None and winner.nonce == record.nonce:
                return
        detail = (
            f"version {head.version} came into force while an edit of version "
            f"{record.version - 1} was being applied"
        )
        raise MangowayError(ErrorCode.CONFIG_CONFLICT, detail)

    async def _async_read_parts(
        self, head: HeadRecord, site: str
    ) -> ConfigurationBundle | None:
        parts: dict[PartName, Part] = {}
        for name in (BASE, name_overlay(site)):
            if name not in head.parts:
                continue
            key = f"{CONFIG_PREFIX}{name}"
            stored = await self._store.async_get(key, CallRank.CONFIGURATION)
            if stored.value is None:
                return None
            parts[name] = decode_record(stored.value, Part)
            if parts[name].version != head.parts[name]:
                return None
        return ConfigurationBundle(version=head.version, parts=parts)


def name_history_key(version: ConfigVersion) -> str:
    """Return the key of the edit that created a version."""
    return f"{HISTORY_PREFIX}{version:0{VERSION_DIGITS}d}"


def _decode_head(stored: StoredValue) -> HeadRecord:
    if stored.value is None:
        return HeadRecord()
    return decode_record(stored.value, HeadRecord)


def _make_snapshot(values: tuple[StoredValue, ...]) -> Snapshot:
    found = {stored.key: stored.value for stored in values if stored.value is not None}
    head_value = found.get(HEAD_KEY)
    head = decode_record(head_value, HeadRecord) if head_value else HeadRecord()
    parts = {
        name: decode_record(found[f"{CONFIG_PREFIX}{name}"], Part)
        for name in head.parts
    }
    history = tuple(
        decode_record(value, HistoryRecord)
        for key, value in sorted(found.items())
        if key.startswith(HISTORY_PREFIX)
    )
    return Snapshot(
        head=head,
        bundle=ConfigurationBundle(version=head.version, parts=parts),
        history=history,
        revisions={stored.key: stored.revision for stored in values},
    )


def _check_base_version(snapshot: Snapshot, edit: Edit) -> None:
    current = snapshot.head.parts.get(edit.part, ConfigVersion(0))
    if edit.based_on is None or current <= edit.based_on:
        return
    detail = (
        f"{edit.part} was changed at version {current}, the edit is based on version "
        f"{edit.based_on}"
    )
    raise MangowayError(ErrorCode.CONFIG_CONFLICT, detail)


def _make_record(snapshot: Snapshot, edit: Edit, author: str) -> HistoryRecord:
    version = ConfigVersion(snapshot.head.version + 1)
    old = snapshot.bundle.find_text(edit.part)
    record = HistoryRecord(
        version=version,
        nonce=edit.nonce,
        author=author,
        edited_at=edit.edited_at,
        part=edit.part,
        delta=make_delta(edit.part, version, old, edit.text),
    )
    if len(encode_record(record)) > MAX_DELTA_BYTES:
        return evolve(record, delta=None)
    return record


def _make_puts(
    snapshot: Snapshot, bundle: ConfigurationBundle, record: HistoryRecord
) -> tuple[Put, ...]:
    head = HeadRecord(
        version=record.version,
        nonce=record.nonce,
        parts={name: part.version for name, part in bundle.parts.items()},
    )
    writes: list[tuple[str, bytes | None]] = [
        (HEAD_KEY, encode_record(head)),
        (f"{CONFIG_PREFIX}{record.part}", encode_record(bundle.parts[record.part])),
        (name_history_key(record.version), encode_record(record)),
    ]
    last_removed = record.version - MAX_HISTORY_ENTRIES
    writes += [
        (name_history_key(old.version), None)
        for old in snapshot.history
        if old.version <= last_removed
    ]
    return tuple(
        Put(key=key, value=value, expected=snapshot.revisions.get(key, ABSENT))
        for key, value in writes
    )


def _make_unsettled_error(record: HistoryRecord, error: MangowayError) -> MangowayError:
    detail = (
        f"unknown whether version {record.version} was accepted; "
        f"retry with nonce {record.nonce}: {error.failure.detail}"
    )
    code = ErrorCode.PLATFORM_UNAVAILABLE
    return MangowayError(code, detail, Verdict.MAY_HAVE_RUN, retry_after=5.0)
