"""Turns what the mirror reads in the store into the fleet's view."""

from collections.abc import Callable

from attrs import define, field

from ..coordination.crashes import STATEMENT_KEYS, StatementError, decode_statement
from ..coordination.members import LEADER_KEY, MemberError, decode_member
from ..coordination.store import Change, Changes, Item, Snapshot
from ..coordination.view import FleetView, Leader
from ..models.fleet import MEMBER_KEYS
from ..observability import fleet_events as log
from ..observability.event_log import log_event
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
OWN_STATEMENT_KEYS = tuple(OWN_PREFIX + each for each in STATEMENT_KEYS)


@define(eq=False)
class StoreReceiver:
    """Decodes keys and values of the store for a view."""

    view: FleetView
    clock: Callable[[], float]
    """Steady time in seconds."""

    crashes: CrashTracker = field(factory=CrashTracker)
    _statements: set[str] = field(factory=set, init=False)
    """Keys of the statements on crashes that were read."""

    _unreadable: dict[str, int] = field(factory=dict, init=False)
    """Keys whose value can't be read, with the readings that showed so."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take a full reading: what it doesn't show is gone."""
        with self.view.defer_notifications():
            self._take_snapshot(snapshot)

    def _take_snapshot(self, snapshot: Snapshot) -> None:
        now = self.clock()
        keys = frozenset(item.key for item in snapshot.items)
        for item in snapshot.items:
            self._take_item(item, now)
        runners = frozenset(
            key.removeprefix(RUNNER_PREFIX)
            for key in keys
            if key.startswith(RUNNER_PREFIX)
        )
        self.view.keep_only_runners(runners, now)
        for key in set(self.view.members) - keys:
            self.view.remove_member(key)
        if OWN_LEADER_KEY not in keys:
            self.view.update_leader(None)
        for key in self._statements - keys:
            self._withdraw_statement(key)

    def apply_changes(self, changes: Changes) -> None:
        """Take changes in their order."""
        now = self.clock()
        with self.view.defer_notifications():
            for change in changes.changes:
                self._take_change(change, now)

    def has_effect(self, change: Change) -> bool:
        """Return whether a change will show in the view.

        Runners write their entries about once a second, most as they were but for a
        number that counts these writes.
        """
        if change.item is None or not change.key.startswith(RUNNER_PREFIX):
            return True
        try:
            entry = decode_runner(change.key, change.item.value)
        except DocumentError:
            return True
        return not self.view.contains_entry(entry)

    def count_processes(self) -> int:
        """Return the processes of the system that are known, this one included."""
        return max(1, len(self.view.members))

    def record_outage_end(self, retention_s: float | None = None) -> None:
        """Note that the store answers again after an outage.

        Args:
            retention_s: Seconds for which entries that vanish are kept; None: the
                usual.
        """
        if retention_s is None:
            self.view.record_outage_end(self.clock())
        else:
            self.view.record_outage_end(self.clock(), retention_s)

    def _take_change(self, change: Change, now: float) -> None:
        if change.item is None:
            self._unreadable.pop(change.key, None)
        if change.item is not None:
            self._take_item(change.item, now)
        elif change.key.startswith(RUNNER_PREFIX):
            self.view.remove_runner(change.key.removeprefix(RUNNER_PREFIX), now)
        elif change.key.startswith(OWN_MEMBER_KEYS):
            self.view.remove_member(change.key)
        elif change.key == OWN_LEADER_KEY:
            self.view.update_leader(None)
        elif change.key.startswith(OWN_STATEMENT_KEYS):
            self._withdraw_statement(change.key)

    def _take_item(self, item: Item, now: float) -> None:
        try:
            self._decode(item, now)
        except (DocumentError, MemberError, StatementError) as error:
            self._note_unreadable(item.key, str(error))
        else:
            self._unreadable.pop(item.key, None)

    def _note_unreadable(self, key: str, reason: str) -> None:
        """Use the runner no more, and log ever less often that it is so."""
        if key.startswith(RUNNER_PREFIX):
            self.view.withdraw_runner(key.removeprefix(RUNNER_PREFIX))
        times = self._unreadable.get(key, 0) + 1
        self._unreadable[key] = times
        if str(times).strip("0") == "1":
            log_event(log.DocumentUnreadable(key=key, reason=reason, times=times))

    def _decode(self, item: Item, now: float) -> None:
        if item.key == CONFIGURATION_KEY:
            self.view.apply_table(decode_configuration(item.value))
        elif item.key.startswith(RUNNER_PREFIX):
            self.view.update_runner(decode_runner(item.key, item.value))
        elif item.key.startswith(OWN_MEMBER_KEYS):
            self.view.update_member(item.key, decode_member(item.value))
        elif item.key == OWN_LEADER_KEY:
            leader = Leader(
                member=decode_member(item.value),
                fence=item.revision,
                lease_id=item.lease_id,
            )
            self.view.update_leader(leader)
        elif item.key.startswith(OWN_STATEMENT_KEYS):
            self._statements.add(item.key)
            key = item.key.removeprefix(OWN_PREFIX)
            decode_statement(key, item.value).apply_to(self.crashes)

    def _withdraw_statement(self, key: str) -> None:
        self._statements.discard(key)
        self.crashes.withdraw(key.removeprefix(OWN_PREFIX))
