"""Records in the store which software versions the runners have.

The leading scheduler writes the records, and an edge if nobody else does.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.edge.software_versions import ServiceVersion, VersionHistory
from ..policy.edge.version_records import (
    RecordSchedule,
    choose_lease_s,
    choose_rewrite_s,
    get_retention_s,
    list_streaming_services,
)
from ..util.backoff import Backoff
from .mirror import Mirror
from .store import (
    CoordinationStore,
    Item,
    LeaseEndedError,
    StoreRevision,
    StoreUnavailableError,
    Write,
)
from .version_records import (
    VersionRecord,
    VersionRecordError,
    decode_version_record,
    encode_version_record,
)
from .view import FleetView

CHECK_S: Final = 0.25
"""Time between two checks; a check needs no store call."""

MAX_WRITES_PER_CALL: Final = 16
"""Records that one call writes; the platform accepts up to 32 entries."""

FIRST_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 5.0


@define(eq=False, kw_only=True)
class VersionRecorder:
    """Writer of the records of software versions."""

    store: CoordinationStore
    mirror: Mirror
    view: FleetView
    clock: Callable[[], float]
    prefix: str
    """Prefix of the system's own keys."""

    choose_delay_s: Callable[[], float]
    """Returns for how many seconds this process leaves a write to others."""

    history: VersionHistory = field(factory=VersionHistory)
    """What this process knows of the versions."""

    _is_outdated: bool = field(default=True, init=False)
    """Whether the current versions lack the latest change of the fleet."""

    _present: set[ServiceVersion] = field(factory=set, init=False)
    """Versions of the current runners."""

    _is_failing: bool = field(default=False, init=False)
    """Whether the last write failed, which was logged."""

    _doubtful: set[ServiceVersion] = field(factory=set, init=False)
    """Versions whose records may be bound to another process's lease, as the last write
    failed or the store came back from a copy meanwhile. They are written again."""

    _schedule: RecordSchedule = field(factory=RecordSchedule, init=False)
    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MAX_RETRY_S), init=False
    )

    def handle_view_change(self) -> None:
        """Record that the runners or the configuration may have changed."""
        self._is_outdated = True

    async def async_run(self) -> None:
        """Write the records until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            if not await self.async_check():
                await asyncio.sleep(self._backoff.next())

    async def async_check(self) -> bool:
        """Write what is due.

        Returns:
            Whether all calls of the store were successful.
        """
        now = self.clock()
        lost, self.view.lost_versions = self.view.lost_versions, set()
        for each in lost:
            self.history.learn(each, now)
        due = self._list_due(now)
        if not due:
            return True
        try:
            await self._async_write(due)
        except (StoreUnavailableError, LeaseEndedError) as error:
            # The former records stay bound to their lease.
            if not self._is_failing:
                log_event(log.VersionsNotRecorded(reason=str(error)))
            self._is_failing = True
            return False
        self._is_failing = False
        self._backoff.reset()
        return True

    def _list_due(self, now: float) -> list[VersionRecord]:
        """Return the records that this process must write now."""
        table = self.view.table
        retention_s = get_retention_s(table)
        if table is None or retention_s <= 0.0:
            return []
        services = list_streaming_services(table)
        if self._is_outdated:
            self._is_outdated = False
            self._present = self.view.list_current_versions(services)
        present = self._present
        for each in present:
            self.history.learn(each, now)
        lease_s = choose_lease_s(retention_s)
        recent = self.history.list_recent(services, now - retention_s)
        records = {
            each: record
            for each in present | recent
            if (record := VersionRecord(each, lease_s)).is_valid
        }
        due = self._schedule.list_due(
            now=now,
            rewrite_s=choose_rewrite_s(retention_s),
            choose_delay_s=self.choose_delay_s,
            present=present & records.keys(),
            recent=recent & records.keys(),
            written=self._find_written(records),
        )
        return [records[each] for each in due]

    def _find_written(
        self, records: dict[ServiceVersion, VersionRecord]
    ) -> dict[ServiceVersion, StoreRevision]:
        """Return the revisions of the records that the store has for certain."""
        self._doubtful &= records.keys()
        written = {}
        for version, record in records.items():
            item = self.mirror.items.get(self.prefix + record.key)
            if version in self._doubtful or item is None:
                continue
            if _is_kept_for(item, record):
                written[version] = item.revision
        return written

    async def _async_write(self, records: list[VersionRecord]) -> None:
        """Write records that expire together, unless they are written again.

        A lease of their own is made each time: a renewed one would keep the records of
        versions that have gone.

        Raises:
            LeaseEndedError: If the store came back from a copy without the lease.
            StoreUnavailableError: If a call received no response.
        """
        lease_s = records[0].lease_s
        lease_id = await self.store.async_grant_lease(lease_s)
        era = self.store.era
        for begin in range(0, len(records), MAX_WRITES_PER_CALL):
            batch = records[begin : begin + MAX_WRITES_PER_CALL]
            writes = tuple(
                Write(
                    key=self.prefix + each.key,
                    value=encode_version_record(each),
                    lease_id=lease_id,
                )
                for each in batch
            )
            versions = {each.version for each in batch}
            self._doubtful |= versions
            await self.store.async_commit((), writes)
            if self.store.era != era:
                # The lease is lost, and its ID may belong to another process.
                raise LeaseEndedError(lease_id)
            self._doubtful -= versions
            self._schedule.record_written(versions, self.clock())
        log_event(
            log.VersionsRecorded(
                versions=tuple(" ".join(each.version) for each in records),
                lease_s=lease_s,
            )
        )


def _is_kept_for(item: Item, record: VersionRecord) -> bool:
    """Return whether the store keeps a record for as long as wanted, or longer.

    Processes of two releases may want different times, and must not write in turn.
    """
    try:
        found = decode_version_record(record.key, item.value)
    except VersionRecordError:
        return False
    return found.lease_s >= record.lease_s
