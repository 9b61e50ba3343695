"""Keeps a process's copy of the store's keys current.

The leading scheduler reads the store and relays its state to all other processes, since
each change that the store sends to a watcher is billed as a call. A process that
receives no recent state from the leader reads the store itself.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.backoff import Backoff
from ..util.clock import read_boot_clock
from ..util.ticks import async_sleep_to_tick
from .interfaces import Feed, Follower, Receiver
from .lost_writes import LostWrites
from .restore_tracker import REWRITE_S, RestoreTracker
from .store import (
    Change,
    Changes,
    CoordinationStore,
    HistoryLostError,
    Item,
    OutdatedResponseError,
    Snapshot,
    StoreRevision,
    StoreUnavailableError,
)
from .view import OUTAGE_RETENTION_S

LEADER_WATCH_S: Final = 0.3
"""Time for which a watch of the leader waits for changes. All other processes depend on
the leader, so it must soon detect a silent store: a drain and a configuration must take
effect within two seconds. Other processes read the store themselves once the last
response to the leader is 0.8 s old."""

OWN_WATCH_S: Final = 0.5
"""Time for which a watch of any other process waits for changes while the leader relays
nothing. Together with the time for which a late response is awaited, it must detect a
silent connection in the remainder of the two seconds."""

STALE_WATCH_S: Final = 0.01
STALE_AGE_S: Final = 3.0
"""Wait of a watch that only verifies the mirrored state, and the age of that state from
which such a watch is started: at the start of the process and after an outage."""

OUTAGE_S: Final = 1.5
"""Time without a response after which keys may have expired. The entry of a runner
expires after three heartbeats, 3.6 s; this is shorter, since an outage is detected
late."""

LEADER_WATCH_INTERVAL_S: Final = 0.25
"""Minimum time between the starts of two watches of the leader. Runners write their
entries about once a second, so that with many runners each watch returns at once.
Without the interval, the leader would make a call for each entry."""

OWN_WATCH_INTERVAL_S: Final = 0.4
"""Minimum time between the starts of two watches of any other process. Without it, if
many processes start together, the announcement of each would end the watches of all
others, and each watch is billed."""

OWN_WATCHES_PER_S: Final = 120.0
"""Watches that all processes together start per second without a leader. With 48
processes, each starts one every 0.4 s; with 200, one every 1.7 s. If 200 processes
started one every 0.4 s, five seconds without a leader would cost 2,500 calls."""

MAX_OWN_WATCH_INTERVAL_S: Final = 2.0
"""Maximum time between the starts of two watches of a process without a leader, reached
with 240 processes. With so many, a drain and a configuration must take effect within
four seconds."""

FIRST_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 1.0
"""Bounds of the delay after a failed call. With them, a fleet of 83 uses less than a
tenth of the reads that its store allows."""

NEW_ERA_WAIT_S: Final = 1.0
"""Time for which a process that follows another one waits for the state of a new era.
The leader reads it within 0.6 s. If all hosts read the store themselves after it came
back from a copy, the largest fleet would exceed its rates."""

LOST_WRITES_S: Final = 2.2
"""Time after a restore for which acknowledged writes of runners and of this system may
still be missing. They write what was lost again within about two seconds."""

FEED_CHECK_S: Final = 0.1
"""Time between two checks of whether the leader still relays the store."""


@define(eq=False)
class Mirror:
    """Mirror of the store that updates a receiver while `async_run` runs."""

    store: CoordinationStore
    receiver: Receiver
    clock: Callable[[], float]
    on_synced: Callable[[], None] = lambda: None
    """Called after each snapshot or batch of changes has been applied."""

    complete_era_key: str = ""
    """Key of the mark that lost writes were repeated since the last restore."""

    feed: Feed | None = None
    follower: Follower | None = None
    boot_clock: Callable[[], float] = read_boot_clock
    """Clock in seconds that also advances while the host is suspended."""

    responded_at: float = field(default=-1e9, init=False)
    """When the store last responded to this process."""

    known_at: float = field(default=-1e9, init=False)
    """Time on the boot clock up to which all acknowledged writes are mirrored: when the
    request to the store was sent, not when its response arrived."""

    items: dict[str, Item] = field(factory=dict, init=False)
    """All mirrored items by key."""

    revision: StoreRevision | None = field(default=None, init=False)
    """Revision up to which changes are applied; None before the first snapshot."""

    restores: RestoreTracker = field(init=False)
    """What this process knows and a restored store lacks."""

    _lost_writes: LostWrites = field(
        factory=lambda: LostWrites(LOST_WRITES_S), init=False
    )
    """Writes of runners and of this system."""

    _lost_operator_writes: LostWrites = field(
        factory=lambda: LostWrites(REWRITE_S), init=False
    )
    _available_at: float = field(default=-1e9, init=False)
    """When the store last responded to this process or to the one that it follows."""

    _outage_ended_at: float = field(default=-1e9, init=False)
    """When such a response last came after a time in which entries may have expired."""

    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MAX_RETRY_S), init=False
    )
    _failing_since: float | None = field(default=None, init=False)
    _watch_from: float = field(default=0.0, init=False)
    """Time from which the next watch may start."""

    _needs_snapshot: bool = field(default=False, init=False)
    _outdated_since: float | None = field(default=None, init=False)
    """When this process learned that the state is of an earlier era."""

    def __attrs_post_init__(self) -> None:
        self.restores = RestoreTracker(self.receiver, self.clock)

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            self._deliver(self.restores.release(self.items))
            if self.feed is not None and self._can_follow(self.feed):
                self._record_available(self.clock() - self.feed.measure_age())
                await async_sleep_to_tick(FEED_CHECK_S)
                continue
            try:
                await self._async_step()
            except HistoryLostError as error:
                log_event(log.StoreHistoryLost(reason=str(error)))
                self._needs_snapshot = True
            except OutdatedResponseError as error:
                # A reading that may be stale can still be of an earlier era.
                self._needs_snapshot = True
                self._record_failure(error)
                await asyncio.sleep(self._backoff.next())
            except StoreUnavailableError as error:
                self._record_failure(error)
                await asyncio.sleep(self._backoff.next())

    @property
    def era(self) -> int:
        """Return the era of the mirrored state; 0 before the first snapshot."""
        return 0 if self.revision is None else self.revision.era

    def is_era_complete(self) -> bool:
        """Return whether lost writes are known to be repeated since the last restore.

        A process that starts does not know otherwise how long ago that was.
        """
        mark = self.items.get(self.complete_era_key)
        return mark is not None and mark.value == str(self.era).encode()

    def learn_era(self, era: int) -> None:
        """Learn of an era from another process; earlier eras are outdated from now.

        Args:
            era: Era that the other process knows.
        """
        self.store.learn_era(era)

    def measure_age(self) -> float:
        """Return for how many seconds the store may have changed unnoticed."""
        return self.boot_clock() - self.known_at

    def measure_certain_age(self) -> float:
        """Return for how many seconds a write of runners or hosts may be unknown here.

        It is the age of the state, unless the store came back from a copy just now:
        what was written since the last reading before may be lost until it is written
        again.
        """
        return self._measure_age_with(self._lost_writes)

    def measure_operator_age(self) -> float:
        """Return for how many seconds a write of the operator may be unknown here."""
        return self._measure_age_with(self._lost_operator_writes)

    def _measure_age_with(self, lost: LostWrites) -> float:
        return self.boot_clock() - lost.find_certain_at(self.known_at, self.clock())

    def advance_known_at(self, at: float) -> None:
        """Record that all writes acknowledged before a time are mirrored.

        Args:
            at: Time on this host's boot clock.
        """
        self.known_at = max(self.known_at, at)

    def make_snapshot(self) -> Snapshot | None:
        """Return a snapshot of the mirrored items; None before the first snapshot."""
        if self.revision is None:
            return None
        return Snapshot(items=tuple(self.items.values()), revision=self.revision)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a snapshot unless its revision is known already.

        A snapshot of a known revision must not be relayed, because two processes that
        follow each other would send it back and forth without end.
        """
        if self.revision is not None and snapshot.revision <= self.revision:
            return
        known_items, known_era = self.items, self.era
        is_first = self.revision is None
        self.items = {item.key: item for item in snapshot.items}
        self.revision = snapshot.revision
        self.learn_era(snapshot.revision.era)
        if is_first and self.era > 0 and not self.is_era_complete():
            self.restores.record_start()
            self._lost_operator_writes.record_restore(self.known_at, self.clock())
        if is_first or self.era == known_era:
            self.restores.record_removed(known_items.keys() - self.items.keys())
        else:
            for lost in (self._lost_writes, self._lost_operator_writes):
                lost.record_restore(self.known_at, self.clock())
            self.restores.record_restore(known_items, self.items)
            self.receiver.record_restore()
            self._log_restore(known_items)
        # Followers get it first, so that an error in this process costs them nothing.
        self._relay_snapshot(snapshot)
        self._deliver_snapshot(snapshot)
        self.on_synced()

    def record_relayed_outage(self, retention_s: float) -> None:
        """Record that the process that relays the store found the end of an outage.

        That process may only have lost its own path to the store. If the store has
        responded to this process meanwhile, no entry expired.

        Args:
            retention_s: Seconds from now for which it keeps removed entries.
        """
        earliest = self.clock() + retention_s - OUTAGE_RETENTION_S - OUTAGE_S
        has_seen_store = self.responded_at >= earliest
        if has_seen_store and self._outage_ended_at < earliest:
            return
        self.receiver.record_outage_end(retention_s)

    def apply_retained(self, items: tuple[Item, ...]) -> None:
        """Apply items that another process knows to be newer than the restored ones."""
        newer = (
            each
            for each in items
            if self.restores.retain(each, self.items.get(each.key))
        )
        self._deliver(tuple(newer))

    def _deliver_snapshot(self, snapshot: Snapshot) -> None:
        """Pass a snapshot to the receiver, without the entries that are held back."""
        held = self.restores.held
        items = tuple(each for each in snapshot.items if each.key not in held)
        self.receiver.apply_snapshot(Snapshot(items=items, revision=snapshot.revision))
        self._deliver(tuple(self.restores.retained.values()))

    def _relay_snapshot(self, snapshot: Snapshot) -> None:
        if self.follower is None:
            return
        self.follower.relay_snapshot(snapshot)
        if self.restores.retained:
            self.follower.relay_retained(tuple(self.restores.retained.values()))

    def _log_restore(self, known_items: dict[str, Item]) -> None:
        log_event(
            log.StoreRestored(
                era=self.era,
                revision=0 if self.revision is None else self.revision.number,
                lost_keys=len(known_items.keys() - self.items.keys()),
                held_keys=len(self.restores.held),
                rewritten_keys=len(self.restores.lost),
                retained=tuple(self.restores.retained),
            )
        )

    def _deliver(self, items: tuple[Item, ...]) -> None:
        """Pass items to the receiver whose revisions are not newer than the known."""
        if not items or self.revision is None:
            return
        changes = tuple(
            Change(key=each.key, revision=each.revision, item=each) for each in items
        )
        self.receiver.apply_changes(Changes(changes=changes, revision=self.revision))

    def apply_partial_snapshot(
        self, keys: tuple[str, ...], items: tuple[Item, ...], revision: StoreRevision
    ) -> None:
        """Apply a snapshot of another process, without the items that are known here.

        Args:
            keys: All keys of the snapshot.
            items: Those items of the snapshot that are not known here.
            revision: Revision of the snapshot.
        """
        own = self.items if self.era == revision.era else {}
        known = {**own, **{item.key: item for item in items}}
        present = tuple(known[key] for key in keys if key in known)
        self.apply_snapshot(Snapshot(items=present, revision=revision))

    def apply_changes(self, changes: Changes) -> None:
        """Apply those changes that are newer than the known revision.

        Changes of another era do not follow the mirrored state and are ignored.
        """
        known = self.revision or StoreRevision(changes.revision.era, 0)
        if changes.revision.era != known.era:
            self.learn_era(changes.revision.era)
            return
        new = tuple(each for each in changes.changes if each.revision > known)
        for change in new:
            self._store_change(change)
        self.revision = max(known, changes.revision)
        if self.is_era_complete():
            self.restores.record_complete()
            self._lost_operator_writes.record_repeated()
        effective = self._select_effective(new)
        if self.follower is not None and new:
            # Runners write their entries every second, mostly unchanged. Followers get
            # the others first, as they get snapshots.
            relayed = Changes(changes=effective, revision=changes.revision)
            self.follower.relay_changes(relayed)
        self.receiver.apply_changes(Changes(changes=new, revision=changes.revision))
        self.on_synced()

    def _select_effective(self, changes: tuple[Change, ...]) -> tuple[Change, ...]:
        """Return the changes that alter the view, or what an earlier one altered."""
        altered: set[str] = set()
        effective = []
        for each in changes:
            if each.key in altered or self.receiver.has_effect(each):
                altered.add(each.key)
                effective.append(each)
        return tuple(effective)

    def _store_change(self, change: Change) -> None:
        self.restores.record_change(change)
        if change.item is None:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change.item

    async def _async_step(self) -> None:
        if self.revision is None or self._needs_snapshot or self._is_outdated():
            await self._async_read_snapshot()
            return
        await asyncio.sleep(max(0.0, self._watch_from - self.clock()))
        is_stale = self.measure_age() > STALE_AGE_S
        # The first snapshot may be old, so no request is served based on it alone.
        wait_s = STALE_WATCH_S if is_stale else self._choose_wait()
        interval_s = 0.0 if is_stale else self._choose_interval()
        self._watch_from = self.clock() + interval_s
        revision, requested_at = self.revision, self.boot_clock()
        changes = await self.store.async_watch("", revision, wait_s)
        self._record_response()
        if changes.revision.era != revision.era:
            # They follow a revision number that has been given out again.
            self.learn_era(changes.revision.era)
            return
        self.apply_changes(changes)
        if self.era == revision.era:
            self.advance_known_at(requested_at)

    async def _async_read_snapshot(self) -> None:
        """Read all keys.

        The first snapshot may be some seconds old while the store still keeps the
        changes since, which the next watch returns.
        """
        exact, requested_at = self.revision is not None, self.boot_clock()
        snapshot = await self.store.async_list("", exact=exact or self._needs_snapshot)
        self._needs_snapshot = False
        self._record_response()
        if self.revision is not None and snapshot.revision < self.revision:
            log_event(
                log.StoreStateIgnored(
                    era=snapshot.revision.era,
                    revision=snapshot.revision.number,
                    known_era=self.revision.era,
                    known_revision=self.revision.number,
                )
            )
            return
        self.apply_snapshot(snapshot)
        if exact:
            self.advance_known_at(requested_at)

    def _can_follow(self, feed: Feed) -> bool:
        """Return whether the state that another process relays is good enough."""
        if not self._is_outdated():
            self._outdated_since = None
        elif self._outdated_since is None:
            self._outdated_since = self.clock()
        elif self.clock() > self._outdated_since + NEW_ERA_WAIT_S:
            return False
        return feed.is_fresh()

    def _is_outdated(self) -> bool:
        """Return whether a later era than that of the mirrored state is known."""
        return self.revision is not None and self.revision.era < self.store.era

    def _choose_wait(self) -> float:
        """Return for how long a watch waits for changes.

        A process with a follower is a scheduler. It may be the leader, so it detects a
        silent store as soon as the leader must.
        """
        return OWN_WATCH_S if self.follower is None else LEADER_WATCH_S

    def _choose_interval(self) -> float:
        """Return the minimum time between the starts of two watches."""
        if self.follower is not None:
            return LEADER_WATCH_INTERVAL_S
        interval_s = self.receiver.count_processes() / OWN_WATCHES_PER_S
        return min(MAX_OWN_WATCH_INTERVAL_S, max(OWN_WATCH_INTERVAL_S, interval_s))

    def _record_failure(self, error: StoreUnavailableError) -> None:
        if self._failing_since is None:
            self._failing_since = self.clock()
            log_event(log.StoreLost(reason=str(error)))

    def _record_response(self) -> None:
        """Record a response of the store; call this before the response is applied."""
        now = self.clock()
        since, self._failing_since = self._failing_since, None
        if since is not None:
            log_event(
                log.StoreRegained(
                    revision=0 if self.revision is None else self.revision.number
                )
            )
        ends_outage = self._record_available(now)
        if since is not None and ends_outage:
            self.receiver.record_outage_end()
        self.responded_at = now
        self._backoff.reset()

    def _record_available(self, at: float) -> bool:
        """Record a response of the store to this process or to the one it follows.

        Returns:
            Whether entries may have expired in the time without a response before it.
        """
        ends_outage = at - self._available_at > OUTAGE_S
        if ends_outage:
            self._outage_ended_at = self.clock()
        self._available_at = max(self._available_at, at)
        return ends_outage
