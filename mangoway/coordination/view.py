"""What a process knows of the fleet: configuration, runners, members, leader."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from attrs import define, field, frozen

from ..models.fleet import Member
from ..models.routing import RoutingTable
from ..models.runner import RunnerEntry, is_later_incarnation
from ..models.signals import LeavingReport
from ..observability import fleet_events as log
from ..observability.event_log import log_event

RETURN_TIME_S: Final = 2.2
"""Time from the end of an outage for which an entry that vanished is still kept: the
platform says that entries of living runners are back about 2 s after an outage. What
the store removes 3 s after one counts at once again, so this must be less."""


MAX_LEAVING: Final = 16_384
"""Lives that are known to leave: more than all runners of a fleet. Their entries may
come back after an outage, so that they are remembered beyond these."""


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
    _kept_until: float = field(default=0.0, init=False)
    """Time until which entries that vanish are kept, since they may come back."""

    _leaving: dict[str, int] = field(factory=dict, init=False)
    """Runners whose answers say that they leave, with the starts of these lives."""

    _missing: set[str] = field(factory=set, init=False)
    """Runners whose entries vanished and are kept."""

    _gathering: bool = field(default=False, init=False)
    """Whether changes are told together later."""

    _changed: bool = field(default=False, init=False)
    """Whether something changed that was not told yet."""

    @contextmanager
    def defer_notifications(self) -> Iterator[None]:
        """Tell the changes of one reading together.

        Who is told looks at all runners: told of each of thousands, a scheduler that
        starts would be busy for many seconds.
        """
        if self._gathering:
            yield
            return
        self._gathering = True
        try:
            yield
        finally:
            self._gathering = False
            if self._changed:
                self._notify()

    def record_outage_end(self, now: float, retention_s: float = RETURN_TIME_S) -> None:
        """Note that the store answers again after an outage in which keys lapsed.

        Args:
            now: Time in seconds.
            retention_s: Seconds from now for which entries that vanish are kept.
        """
        self._kept_until = max(self._kept_until, now + retention_s)

    def get_retention_s(self, now: float) -> float:
        """Return for how much longer entries that vanish are kept."""
        return max(0.0, self._kept_until - now)

    def apply_table(self, table: RoutingTable) -> bool:
        """Put a newer configuration in force; an older one is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        log_event(log.RoutingApplied(version=table.version, routes=len(table.routes)))
        self._notify()
        return True

    def update_runner(self, entry: RunnerEntry) -> None:
        """Take a runner's entry as it is now."""
        self._missing.discard(entry.runner_id)
        known = self.runners.get(entry.runner_id)
        if known == entry:
            return
        if known is not None and 0 < entry.started_ms < known.started_ms:
            # Written by an earlier life, and late.
            return
        self.runners[entry.runner_id] = entry
        if known is None or _is_news(known, entry):
            log_event(
                log.RunnerSeen(
                    runner_id=entry.runner_id,
                    service=entry.service,
                    address=entry.address,
                    draining=entry.draining,
                    models=len(entry.models),
                    started_ms=entry.started_ms,
                )
            )
        self._notify()

    def record_leaving(self, said: LeavingReport) -> bool:
        """Take that a life of a runner leaves, whatever its entry says.

        Returns:
            Whether that was not known.
        """
        known = self._leaving.get(said.runner_id)
        if known is not None and not is_later_incarnation(said.started_ms, known):
            return False
        if len(self._leaving) >= MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[said.runner_id] = said.started_ms
        self._notify()
        return True

    def list_leaving(self) -> list[LeavingReport]:
        """Return the runners that say that they leave."""
        return [
            LeavingReport(runner_id=runner_id, started_ms=started_ms)
            for runner_id, started_ms in self._leaving.items()
        ]

    def is_open(self, entry: RunnerEntry) -> bool:
        """Return whether a runner takes new requests."""
        if entry.draining:
            return False
        left_ms = self._leaving.get(entry.runner_id)
        return left_ms is None or is_later_incarnation(entry.started_ms, left_ms)

    def contains_entry(self, entry: RunnerEntry) -> bool:
        """Return whether an entry is in the view as it is, and for sure."""
        known = self.runners.get(entry.runner_id)
        return known == entry and entry.runner_id not in self._missing

    def withdraw_runner(self, runner_id: str) -> None:
        """Take a runner away whose entry can't be read any more."""
        self._drop_runner(runner_id, "its entry can't be read")

    def remove_runner(self, runner_id: str, now: float) -> None:
        """Take a runner away, or keep it for a while just after an outage."""
        if runner_id not in self.runners:
            return
        if now < self._kept_until:
            self._missing.add(runner_id)
            return
        self._drop_runner(runner_id, "its entry was removed")

    def expire_missing(self, now: float) -> None:
        """Take away the runners whose entries have not come back in time."""
        if now < self._kept_until:
            return
        for runner_id in list(self._missing):
            self._drop_runner(runner_id, "its entry has not come back")

    def keep_only_runners(self, present: frozenset[str], now: float) -> None:
        """Take away the runners that a full reading did not show."""
        for runner_id in set(self.runners) - present:
            self.remove_runner(runner_id, now)

    def update_member(self, key: str, member: Member) -> None:
        """Take a member's announcement."""
        self.members[key] = member

    def remove_member(self, key: str) -> None:
        """Take a member away."""
        self.members.pop(key, None)

    def update_leader(self, leader: Leader | None) -> None:
        """Take who holds the scheduler's key; None: nobody."""
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
        """Return the runners of a service that take new requests."""
        return [
            each
            for each in self.runners.values()
            if each.service == service and self.is_open(each)
        ]

    def list_open_runners(self) -> tuple[RunnerEntry, ...]:
        """Return the runners of all services that take new requests."""
        return tuple(each for each in self.runners.values() if self.is_open(each))

    def find_open_runner(self, runner_id: str) -> RunnerEntry | None:
        """Return a runner if it takes new requests."""
        entry = self.runners.get(runner_id)
        return entry if entry is not None and self.is_open(entry) else None

    def _drop_runner(self, runner_id: str, reason: str) -> None:
        self._missing.discard(runner_id)
        if self.runners.pop(runner_id, None) is not None:
            log_event(log.RunnerGone(runner_id=runner_id, reason=reason))
            self._notify()

    def _notify(self) -> None:
        self._changed = self._gathering
        if self._gathering:
            return
        for call in self.on_change:
            call()


def _is_news(known: RunnerEntry, entry: RunnerEntry) -> bool:
    """Return whether a runner drains, or drains no more, or has started again."""
    return known.draining != entry.draining or known.started_ms != entry.started_ms
