"""Applies snapshots and changes of the store to the view of the fleet."""

from collections.abc import Callable

from attrs import define, field

from ..coordination.crashes import STATEMENT_KEYS, StatementError, decode_statement
from ..coordination.members import LEADER_KEY, MemberError, decode_member
from ..coordination.store import Change, Changes, Item, Snapshot
from ..coordination.version_records import (
    VERSION_KEYS,
    VersionRecordError,
    decode_version_record,
)
from ..coordination.view import FleetView, Leader
from ..models.fleet import MEMBER_KEYS
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.failures import log_failure
from ..policy.crashes.tracker import CrashTracker
from .documents import (
    CONFIGURATION_KEY,
    OWN_PREFIX,
    RUNNER_PREFIX,
    decode_configuration,
    decode_runner,
)
from .fields import DocumentError

OWN_LEADER_KEY = OWN_PREFIX + LEADER_KEY
OWN_MEMBER_KEYS = OWN_PREFIX + MEMBER_KEYS
OWN_VERSION_KEYS = OWN_PREFIX + VERSION_KEYS
OWN_STATEMENT_KEYS = tuple(OWN_PREFIX + each for each in STATEMENT_KEYS)
INVALID_VALUE_ERRORS = (DocumentError, MemberError, StatementError, VersionRecordError)


@define(eq=False)
class StoreReceiver:
    """Decodes keys and values of the store and updates a view with them."""

    view: FleetView
    clock: Callable[[], float]
    """Monotonic time in seconds."""

    crashes: CrashTracker = field(factory=CrashTracker)
    _statements: set[str] = field(factory=set, init=False)
    """Keys of the crash statements in the store."""

    _is_restoring: bool = field(default=False, init=False)
    """Whether the next snapshot is of a store that came back from a copy."""

    _failure_counts: dict[str, int] = field(factory=dict, init=False)
    """Number of consecutive failures to decode a value, by key."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot of the store; keys missing from it count as deleted."""
        with self.view.defer_notifications():
            self._apply_snapshot(snapshot)

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        now = self.clock()
        keys = frozenset(item.key for item in snapshot.items)
        for item in snapshot.items:
            self._apply_item(item, now)
        runners = frozenset(
            key.removeprefix(RUNNER_PREFIX)
            for key in keys
            if key.startswith(RUNNER_PREFIX)
        )
        self.view.keep_only_runners(runners, now)
        self.view.keep_only_members(keys, now)
        self.view.keep_only_version_records(keys, now)
        if OWN_LEADER_KEY not in keys:
            self.view.update_leader(None)
        if self._is_restoring:
            # The leader writes the missing statements again.
            self._is_restoring = False
            return
        for key in self._statements - keys:
            self._withdraw_statement(key)

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes in order."""
        now = self.clock()
        with self.view.defer_notifications():
            for change in changes.changes:
                self._apply_change(change, now)

    def has_effect(self, change: Change) -> bool:
        """Return whether a change would alter the view.

        Runners rewrite their entries about once a second, and most rewrites differ only
        in a counter of these writes.
        """
        if change.item is None or not change.key.startswith(RUNNER_PREFIX):
            return True
        try:
            entry = decode_runner(change.key, change.item.value)
        except Exception:
            # The same error is logged when the change is applied.
            return True
        return not self.view.contains_entry(entry)

    def count_processes(self) -> int:
        """Return the number of known processes of the system, including this one."""
        return max(1, len(self.view.members))

    def record_restore(self) -> None:
        """Record that the next snapshot is of a store that came back from a copy."""
        self._is_restoring = True
        self.view.record_restore(self.clock())

    def must_be_rewritten(self, key: str) -> bool:
        """Return whether this system writes an item again that the store has lost.

        These are the crash statements: announcements, the leader's key and the records
        of versions are bound to leases, and all others belong to the operator and the
        runners. Records of versions are written again by `VersionRecorder`.
        """
        return key.startswith(OWN_STATEMENT_KEYS)

    def may_be_outdated(self, key: str) -> bool:
        """Return whether an entry of a copy counts only if it was not removed since.

        The leader's key counts, since the store decides who may take it.
        """
        return key.startswith((RUNNER_PREFIX, OWN_MEMBER_KEYS, *OWN_STATEMENT_KEYS))

    def is_superseded(self, item: Item, known: Item) -> bool:
        """Return whether a restored configuration is older than the known one."""
        if item.key != CONFIGURATION_KEY:
            return False
        try:
            return (
                decode_configuration(item.value).version
                < decode_configuration(known.value).version
            )
        except DocumentError:
            return False

    def record_outage_end(self, retention_s: float | None = None) -> None:
        """Record that the store is available again after an outage.

        Args:
            retention_s: Seconds for which entries that are missing from the store are
                kept; None for the view's default.
        """
        if retention_s is None:
            self.view.record_outage_end(self.clock())
        else:
            self.view.record_outage_end(self.clock(), retention_s)

    def _apply_change(self, change: Change, now: float) -> None:
        if change.item is None:
            self._failure_counts.pop(change.key, None)
        if change.item is not None:
            self._apply_item(change.item, now)
        elif change.key.startswith(RUNNER_PREFIX):
            self.view.remove_runner(change.key.removeprefix(RUNNER_PREFIX), now)
        elif change.key.startswith(OWN_MEMBER_KEYS):
            self.view.remove_member(change.key)
        elif change.key == OWN_LEADER_KEY:
            self.view.update_leader(None)
        elif change.key.startswith(OWN_VERSION_KEYS):
            self.view.remove_version_record(change.key, now)
        elif change.key.startswith(OWN_STATEMENT_KEYS):
            self._withdraw_statement(change.key)

    def _apply_item(self, item: Item, now: float) -> None:
        try:
            self._decode_and_apply(item, now)
        except INVALID_VALUE_ERRORS as error:
            self._handle_invalid_value(item.key, str(error))
        except Exception as error:
            # The other items of the batch are not read again.
            log_failure(error)
            self._handle_invalid_value(item.key, repr(error))
        else:
            self._failure_counts.pop(item.key, None)

    def _handle_invalid_value(self, key: str, reason: str) -> None:
        """Stop using the runner if the value is its entry, and log the failure.

        Of consecutive failures, those whose number is a power of ten are logged.
        """
        if key.startswith(RUNNER_PREFIX):
            self.view.withdraw_runner(key.removeprefix(RUNNER_PREFIX))
        times = self._failure_counts.get(key, 0) + 1
        self._failure_counts[key] = times
        if str(times).strip("0") == "1":
            log_event(log.DocumentUnreadable(key=key, reason=reason, times=times))

    def _decode_and_apply(self, item: Item, now: float) -> None:
        if item.key == CONFIGURATION_KEY:
            self.view.apply_table(decode_configuration(item.value))
        elif item.key.startswith(RUNNER_PREFIX):
            self.view.update_runner(decode_runner(item.key, item.value))
        elif item.key.startswith(OWN_MEMBER_KEYS):
            self.view.update_member(item.key, decode_member(item.value))
        elif item.key == OWN_LEADER_KEY:
            leader = Leader(
                member=decode_member(item.value),
                revision=item.revision,
                lease_id=item.lease_id,
            )
            self.view.update_leader(leader)
        elif item.key.startswith(OWN_VERSION_KEYS):
            record = decode_version_record(
                item.key.removeprefix(OWN_PREFIX), item.value
            )
            self.view.update_version_record(item.key, record.version)
        elif item.key.startswith(OWN_STATEMENT_KEYS):
            self._statements.add(item.key)
            key = item.key.removeprefix(OWN_PREFIX)
            decode_statement(key, item.value).apply_to(self.crashes)

    def _withdraw_statement(self, key: str) -> None:
        self._statements.discard(key)
        self.crashes.withdraw(key.removeprefix(OWN_PREFIX))
