"""A process's view of the fleet: configuration, runners, members and leader."""

import time
from collections.abc import Callable, Container, Iterator
from contextlib import contextmanager
from typing import Final

from attrs import define, field, frozen

from ..models.fleet import Member, Role
from ..models.routing import RoutingTable
from ..models.runner import RunnerEntry, is_later_incarnation
from ..models.signals import LeavingReport
from ..models.streams import StreamOrigin
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.failures import log_failure
from ..policy.edge.software_versions import MAX_VERSIONS, ServiceVersion
from .members import ANNOUNCEMENTS_PER_S
from .store import StoreRevision

OUTAGE_RETENTION_S: Final = 2.2
"""Time after the end of an outage for which removed entries are kept. According to the
platform, the entries of running runners are back about 2 s after an outage. A removal
3 s after an outage must take effect at once, so this must be less."""

MEMBER_RETENTION_S: Final = 3.0
"""Time for which announcements are kept that the store lost when it came back from a
copy: the lease of an announcement, since a process may have ended meanwhile. The time
in which all processes write them again is added."""

FENCES_PER_ERA: Final = 1 << 40
"""More than the revisions of an era: 400 writes a second for 87 years."""

MAX_LEAVING: Final = 16_384
"""Runner incarnations that are kept as leaving: more than the runners of a fleet. They
outlast the entries, since these may come back after an outage."""


@frozen(kw_only=True)
class Leader:
    """Holder of the scheduler's key; the fence number increases with each holder."""

    member: Member
    revision: StoreRevision
    """Revision at which the holder took the key."""

    lease_id: int

    @property
    def fence(self) -> int:
        """Return the fence number of the holder's orders.

        It rises over eras. For a store that states no era it is the revision.
        """
        return self.revision.era * FENCES_PER_ERA + self.revision.number


@define(eq=False)
class FleetView:
    """State of the fleet as received from the store; it is kept during outages."""

    on_change: list[Callable[[], None]] = field(factory=list)
    """Called after each change of the configuration, the runners or the leader."""

    clock: Callable[[], float] = time.monotonic
    """Clock for how long runners have been leaving, in seconds."""

    table: RoutingTable | None = field(default=None, init=False)
    runners: dict[str, RunnerEntry] = field(factory=dict, init=False)
    members: dict[str, Member] = field(factory=dict, init=False)
    """Members by store key."""

    absent_edges: frozenset[str] = field(default=frozenset(), init=False)
    """Incarnations of announced edges that the scheduler doesn't reach. The last report
    is kept while no scheduler is heard."""

    recorded_versions: dict[str, ServiceVersion] = field(factory=dict, init=False)
    """Software versions that the store lists, by store key."""

    lost_versions: set[ServiceVersion] = field(factory=set, init=False)
    """Those whose records the store lost with an outage, or when it came back from a
    copy, until `VersionRecorder` takes them."""

    leader: Leader | None = field(default=None, init=False)
    _kept_until: float = field(default=0.0, init=False)
    """Time until which removed entries are kept, since they may come back."""

    _leaving: dict[str, int] = field(factory=dict, init=False)
    """Runners that report that they leave, with the start time of that incarnation."""

    _closed_at: dict[str, float] = field(factory=dict, init=False)
    """When it became known that a runner leaves."""

    _members_kept_until: float = field(default=0.0, init=False)
    """Time until which members are kept whose announcements the store has lost."""

    _missing_members: set[str] = field(factory=set, init=False)
    """Keys of members whose announcements are missing and that are kept here."""

    _missing: set[str] = field(factory=set, init=False)
    """Runners whose entries were removed from the store and are kept here."""

    _is_deferring: bool = field(default=False, init=False)
    """Whether listeners are notified of changes later, all at once."""

    _has_unnotified_change: bool = field(default=False, init=False)
    """Whether there was a change since listeners were last notified."""

    _failed_listeners: dict[Callable[[], None], None] = field(factory=dict, init=False)
    """Listeners that failed when they were last notified."""

    @contextmanager
    def defer_notifications(self) -> Iterator[None]:
        """Notify listeners once at the end of the block, not after each change.

        Each listener iterates over all runners. If it were notified of each of
        thousands, a scheduler that starts would be busy for many seconds.
        """
        if self._is_deferring:
            yield
            return
        self._is_deferring = True
        try:
            yield
        finally:
            self._is_deferring = False
            if self._has_unnotified_change:
                self._notify()

    def repeat_failed_notifications(self) -> None:
        """Notify the listeners again that failed at the last change."""
        for callback in tuple(self._failed_listeners):
            self._notify_listener(callback)

    def record_outage_end(
        self, now: float, retention_s: float = OUTAGE_RETENTION_S
    ) -> None:
        """Record the end of an outage during which keys may have expired.

        Args:
            now: Time in seconds.
            retention_s: Seconds from now for which removed entries are kept.
        """
        self._kept_until = max(self._kept_until, now + retention_s)

    def record_restore(self, now: float) -> None:
        """Record that the store came back from a copy, without the later writes.

        A runner that drains goes on draining, whatever its entry in the copy says.
        """
        self.record_outage_end(now)
        self._members_kept_until = (
            now + MEMBER_RETENTION_S + len(self.members) / ANNOUNCEMENTS_PER_S
        )
        draining = [each for each in self.runners.values() if each.draining]
        with self.defer_notifications():
            for each in draining:
                self.record_leaving(
                    LeavingReport(runner_id=each.runner_id, started_ms=each.started_ms)
                )

    def get_retention_s(self, now: float) -> float:
        """Return the remaining seconds for which removed entries are kept."""
        return max(0.0, self._kept_until - now)

    def apply_table(self, table: RoutingTable) -> bool:
        """Apply a configuration and return True if it is newer than the current one."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        log_event(log.RoutingApplied(version=table.version, routes=len(table.routes)))
        self._notify()
        return True

    def update_runner(self, entry: RunnerEntry) -> None:
        """Add or update a runner from its current entry."""
        self._missing.discard(entry.runner_id)
        known = self.runners.get(entry.runner_id)
        if known == entry:
            return
        if known is not None and 0 < entry.started_ms < known.started_ms:
            # A late write by an earlier incarnation.
            return
        self.runners[entry.runner_id] = entry
        if self.is_open(entry):
            self._closed_at.pop(entry.runner_id, None)
        else:
            self._closed_at.setdefault(entry.runner_id, self.clock())
        if known is None or _has_state_changed(known, entry):
            log_event(
                log.RunnerSeen(
                    runner_id=entry.runner_id,
                    service=entry.service,
                    address=entry.address,
                    draining=entry.draining,
                    models=len(entry.models),
                    started_ms=entry.started_ms,
                    software_version=entry.software_version,
                )
            )
        self._notify()

    def record_leaving(self, report: LeavingReport) -> bool:
        """Record that a runner incarnation leaves, regardless of its entry.

        Returns:
            Whether this was not known before.
        """
        known = self._leaving.get(report.runner_id)
        if known is not None and not is_later_incarnation(report.started_ms, known):
            return False
        if len(self._leaving) >= MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[report.runner_id] = report.started_ms
        if report.runner_id in self.runners:
            self._closed_at.setdefault(report.runner_id, self.clock())
        self._notify()
        return True

    def list_leaving(self) -> list[LeavingReport]:
        """Return a report for each runner that leaves."""
        return [
            LeavingReport(runner_id=runner_id, started_ms=started_ms)
            for runner_id, started_ms in self._leaving.items()
        ]

    def is_open(self, entry: RunnerEntry) -> bool:
        """Return whether a runner accepts new requests."""
        if entry.draining:
            return False
        left_ms = self._leaving.get(entry.runner_id)
        return left_ms is None or is_later_incarnation(entry.started_ms, left_ms)

    def is_listed(self, runner: RunnerEntry) -> bool:
        """Return whether the fleet has an entry of this incarnation of a runner."""
        known = self.runners.get(runner.runner_id)
        return known is not None and not is_later_incarnation(
            known.started_ms, runner.started_ms
        )

    def has_restarted(self, runner: RunnerEntry) -> bool:
        """Return whether a later incarnation of a runner has its ID."""
        known = self.runners.get(runner.runner_id)
        return known is not None and is_later_incarnation(
            known.started_ms, runner.started_ms
        )

    def measure_closed_s(self, runner_id: str) -> float:
        """Return for how many seconds a runner is known to leave; 0 if it doesn't."""
        closed_at = self._closed_at.get(runner_id)
        return 0.0 if closed_at is None else self.clock() - closed_at

    def contains_entry(self, entry: RunnerEntry) -> bool:
        """Return whether the view contains this entry and the store still does."""
        known = self.runners.get(entry.runner_id)
        return known == entry and entry.runner_id not in self._missing

    def withdraw_runner(self, runner_id: str) -> None:
        """Remove a runner whose entry can no longer be decoded."""
        self._drop_runner(runner_id, "its entry cannot be decoded")

    def remove_runner(self, runner_id: str, now: float) -> None:
        """Remove a runner, or keep it for a while if an outage has just ended."""
        if runner_id not in self.runners:
            return
        if now < self._kept_until:
            self._missing.add(runner_id)
            return
        self._drop_runner(runner_id, "its entry was removed")

    def expire_missing(self, now: float) -> None:
        """Remove the runners whose entries have not come back in time."""
        if now < self._kept_until:
            return
        for runner_id in list(self._missing):
            self._drop_runner(runner_id, "its entry has not come back")

    def expire_missing_members(self, now: float) -> None:
        """Remove the members whose announcements have not come back in time."""
        if now < self._members_kept_until:
            return
        for key in list(self._missing_members):
            self.remove_member(key)

    def keep_only_members(self, present: frozenset[str], now: float) -> None:
        """Remove the members that a snapshot does not contain."""
        for key in set(self.members) - present:
            if now < self._members_kept_until:
                self._missing_members.add(key)
            else:
                self.remove_member(key)

    def keep_only_runners(self, present: frozenset[str], now: float) -> None:
        """Remove the runners that a snapshot does not contain."""
        for runner_id in set(self.runners) - present:
            self.remove_runner(runner_id, now)

    def update_member(self, key: str, member: Member) -> None:
        """Add or update a member."""
        self._missing_members.discard(key)
        self.members[key] = member

    def remove_member(self, key: str) -> None:
        """Remove a member."""
        self._missing_members.discard(key)
        self.members.pop(key, None)

    def update_version_record(self, key: str, version: ServiceVersion) -> None:
        """Add the record of a software version; of too many, the first is dropped."""
        self.recorded_versions[key] = version
        if len(self.recorded_versions) > MAX_VERSIONS:
            del self.recorded_versions[next(iter(self.recorded_versions))]

    def remove_version_record(self, key: str, now: float) -> None:
        """Remove the record of a software version, which has expired or was lost."""
        version = self.recorded_versions.pop(key, None)
        if version is not None and now < self._kept_until:
            self.lost_versions.add(version)

    def keep_only_version_records(self, present: frozenset[str], now: float) -> None:
        """Remove the records of versions that a snapshot does not contain."""
        for key in set(self.recorded_versions) - present:
            self.remove_version_record(key, now)

    def list_recorded_versions(self, services: Container[str]) -> set[ServiceVersion]:
        """Return the versions of services that the store lists, or has just lost."""
        known = {*self.recorded_versions.values(), *self.lost_versions}
        return {each for each in known if each[0] in services}

    def list_current_versions(self, services: Container[str]) -> set[ServiceVersion]:
        """Return the versions of the current runners of services."""
        return {
            (each.service, each.software_version)
            for each in self.runners.values()
            if each.service in services
        }

    def list_reachable_edges(self) -> list[Member]:
        """Return the announced edges without absent ones; all if none is left."""
        edges = [each for each in self.members.values() if each.role is Role.EDGE]
        reachable = [
            each for each in edges if each.incarnation not in self.absent_edges
        ]
        return reachable or edges

    def update_leader(self, leader: Leader | None) -> None:
        """Update the holder of the scheduler's key; None if it is free."""
        if leader == self.leader:
            return
        self.leader = leader
        log_event(
            log.LeaderSeen(
                host=leader.member.host if leader else None,
                incarnation=leader.member.incarnation if leader else None,
                fence=leader.fence if leader else None,
            )
        )
        self._notify()

    def list_runners(self, service: str) -> list[RunnerEntry]:
        """Return the runners of a service that accept new requests."""
        return [
            each
            for each in self.runners.values()
            if each.service == service and self.is_open(each)
        ]

    def states_versions(self, service: str) -> bool:
        """Return whether any runner of a service states its software version."""
        return self.has_other_version(service, "")

    def has_other_version(self, service: str, version: str) -> bool:
        """Return whether any runner of a service has another software version."""
        return any(
            each.service == service and each.software_version != version
            for each in self.runners.values()
        )

    def may_continue(self, origin: StreamOrigin, runner: RunnerEntry) -> bool:
        """Return whether a runner may write the rest of a stream.

        A runner without a version is taken for the same software as another one only
        if no runner of the service states a version.
        """
        if runner.service != origin.service:
            return False
        if origin.software_version or runner.software_version:
            return runner.software_version == origin.software_version
        same = runner.runner_id == origin.runner_id
        return same or not self.states_versions(origin.service)

    def list_open_runners(self) -> tuple[RunnerEntry, ...]:
        """Return the runners of all services that accept new requests."""
        return tuple(each for each in self.runners.values() if self.is_open(each))

    def list_leaving_runners(self, services: frozenset[str]) -> tuple[RunnerEntry, ...]:
        """Return the runners of services that leave but may still run requests."""
        if not services:
            return ()
        return tuple(
            each
            for each in self.runners.values()
            if each.service in services and not self.is_open(each)
        )

    def find_open_runner(self, runner_id: str) -> RunnerEntry | None:
        """Return a runner if it accepts new requests."""
        entry = self.runners.get(runner_id)
        return entry if entry is not None and self.is_open(entry) else None

    def _drop_runner(self, runner_id: str, reason: str) -> None:
        self._missing.discard(runner_id)
        self._closed_at.pop(runner_id, None)
        if self.runners.pop(runner_id, None) is not None:
            log_event(log.RunnerGone(runner_id=runner_id, reason=reason))
            self._notify()

    def _notify(self) -> None:
        self._has_unnotified_change = self._is_deferring
        if self._is_deferring:
            return
        for callback in self.on_change:
            self._notify_listener(callback)

    def _notify_listener(self, callback: Callable[[], None]) -> None:
        """Notify a listener, whose errors must not affect others or the batch."""
        self._failed_listeners.pop(callback, None)
        try:
            callback()
        except Exception as error:
            self._failed_listeners[callback] = None
            log_failure(error)


def _has_state_changed(known: RunnerEntry, entry: RunnerEntry) -> bool:
    """Return whether a runner is draining, has restarted or has other software now."""
    return (
        known.draining != entry.draining
        or known.started_ms != entry.started_ms
        or known.software_version != entry.software_version
    )
