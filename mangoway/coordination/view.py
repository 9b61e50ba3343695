"""What a process knows of the fleet: configuration, runners, members, leader."""

from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen

from ..models.routing import RoutingTable
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from .members import Member

RETURN_TIME_S: Final = 2.2
"""Time for which an entry that vanished beside trouble of the store is still kept: the
platform says that entries of living runners are back about 2 s after an outage."""

TROUBLE_S: Final = 3.0
"""Time after a failed call of the store for which removals are not taken at once; the
platform's own time of stability."""


@frozen(kw_only=True)
class Leader:
    """The holder of the scheduler's key; its fence number grows with each holder."""

    member: Member
    fence: int
    lease_id: int


@define(eq=False)
class FleetView:
    """Soft state that the store's changes keep current; it outlives outages."""

    on_change: list[Callable[[], None]] = field(factory=list)
    """Called after each change of the runners or of the leader."""

    table: RoutingTable | None = field(default=None, init=False)
    runners: dict[str, RunnerEntry] = field(factory=dict, init=False)
    members: dict[str, Member] = field(factory=dict, init=False)
    """By key."""

    leader: Leader | None = field(default=None, init=False)
    last_leader_seen_at: float | None = field(default=None, init=False)
    _trouble_until: float = field(default=0.0, init=False)
    _missing: dict[str, float] = field(factory=dict, init=False)
    """Runners whose entries vanished, with the time at which they count as gone."""

    def note_trouble(self, now: float) -> None:
        """Note that the store failed to answer, so that keys may lapse in it."""
        self._trouble_until = now + TROUBLE_S

    def is_troubled(self, now: float) -> bool:
        """Return whether the store failed to answer lately."""
        return now < self._trouble_until

    def take_table(self, table: RoutingTable) -> bool:
        """Put a newer configuration in force; an older one is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        log_event(log.RoutingApplied(version=table.version, routes=len(table.routes)))
        self._notify()
        return True

    def take_runner(self, entry: RunnerEntry) -> None:
        """Take a runner's entry as it is now."""
        self._missing.pop(entry.runner_id, None)
        known = self.runners.get(entry.runner_id)
        if known == entry:
            return
        self.runners[entry.runner_id] = entry
        if known is None or known.draining != entry.draining:
            log_event(
                log.RunnerSeen(
                    runner_id=entry.runner_id,
                    service=entry.service,
                    address=entry.address,
                    draining=entry.draining,
                    models=len(entry.models),
                )
            )
        self._notify()

    def remove_runner(self, runner_id: str, now: float) -> None:
        """Take a runner away, or hold it for a while if the store was in trouble."""
        if runner_id not in self.runners:
            return
        if now < self._trouble_until:
            self._missing.setdefault(runner_id, now + RETURN_TIME_S)
            return
        self._drop_runner(runner_id, "its entry was removed")

    def expire_missing(self, now: float) -> None:
        """Take away the runners whose entries have not come back in time."""
        for runner_id, gone_at in list(self._missing.items()):
            if now >= gone_at:
                self._drop_runner(runner_id, "its entry has not come back")

    def keep_only_runners(self, present: frozenset[str], now: float) -> None:
        """Take away the runners that a full reading did not show."""
        for runner_id in set(self.runners) - present:
            self.remove_runner(runner_id, now)

    def take_member(self, key: str, member: Member) -> None:
        """Take a member's announcement."""
        self.members[key] = member

    def remove_member(self, key: str) -> None:
        """Take a member away."""
        self.members.pop(key, None)

    def take_leader(self, leader: Leader | None, now: float) -> None:
        """Take who holds the scheduler's key; None: nobody."""
        if leader == self.leader:
            return
        if self.leader is not None:
            self.last_leader_seen_at = now
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
        """Return the runners of a service that take new requests."""
        return [
            each
            for each in self.runners.values()
            if each.service == service and not each.draining
        ]

    def find_open_runner(self, runner_id: str) -> RunnerEntry | None:
        """Return a runner if it takes new requests."""
        entry = self.runners.get(runner_id)
        return None if entry is None or entry.draining else entry

    def _drop_runner(self, runner_id: str, reason: str) -> None:
        self._missing.pop(runner_id, None)
        if self.runners.pop(runner_id, None) is not None:
            log_event(log.RunnerGone(runner_id=runner_id, reason=reason))
            self._notify()

    def _notify(self) -> None:
        for call in self.on_change:
            call()
