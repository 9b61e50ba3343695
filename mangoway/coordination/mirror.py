"""Keeps a process's copy of the store's keys current.

The leading scheduler reads the store and passes on what it reads; all others follow it,
since each change that the store sends to a watcher is a call that is paid for. Who
hears nothing fresh from the leader reads the store itself.
"""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..util.backoff import Backoff
from ..util.clock import read_boot_clock
from ..util.ticks import async_sleep_to_tick
from .store import (
    Change,
    Changes,
    CoordinationStore,
    HistoryLostError,
    Item,
    Snapshot,
    StoreUnavailableError,
)

LEADER_WATCH_S: Final = 0.3
"""Time that a watch of the leader waits. All others rely on it, so that it must notice
soon that the store fell silent: a drain has to be obeyed and a configuration in force
within two seconds. Others read themselves once its last answer is 0.8 s old."""

OWN_WATCH_S: Final = 0.5
"""Time that a watch of any other process waits while it hears nothing of the leader:
with its margin it must show a silent connection in the rest of the two seconds."""

FIRST_WATCH_S: Final = 0.01
UNSURE_AGE_S: Final = 3.0
"""Time for which a watch waits that only shows that what is known is current, and the
age of the knowledge from which it is made: at a start and after an outage."""

OUTAGE_S: Final = 1.5
"""Time without an answer from which keys may have lapsed: a runner's entry does after
three heartbeats, 3.6 s, and an outage is noticed late."""

LEADER_PACE_S: Final = 0.25
"""Least time between two watches of the leader. Runners write their entries about once
a second, so that a watch is answered at once wherever there are many: without a pause
the leader would make a call for each of them."""

OWN_PACE_S: Final = 0.4
"""Least time between two watches. Without it each of many processes that start together
is woken by each announcement of the others, and each call is paid for."""

OWN_READS_PER_S: Final = 120.0
"""Watches that all processes together begin in a second while they hear of no leader:
with 48 processes one each 0.4 s, with 200 one each 1.7 s. If 200 processes watched
every 0.4 s, five seconds without a leader would cost 2,500 calls."""

MAX_OWN_PACE_S: Final = 2.0
"""Longest time between two such watches, from 240 processes on: a drain has to be
obeyed and a configuration in force within four seconds there."""

FIRST_RETRY_S: Final = 0.1
MOST_RETRY_S: Final = 1.0
"""Bounds of the wait after a failed call: with these a fleet of 83 makes under a tenth
of the reads that its store allows."""

FEED_CHECK_S: Final = 0.1
"""Time between two looks at whether the leader still passes changes on."""


class Receiver(Protocol):
    """Takes what the mirror reads."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take a full reading."""
        ...

    def apply_changes(self, changes: Changes) -> None:
        """Take changes in order."""
        ...

    def has_effect(self, change: Change) -> bool:
        """Return whether a change will show in what was taken so far."""
        ...

    def count_processes(self) -> int:
        """Return the processes of the system that are known, this one included."""
        ...

    def record_outage_end(self, retention_s: float | None = None) -> None:
        """Note that the store answers again after an outage in which keys may lapse.

        Args:
            retention_s: Seconds for which keys that vanish are kept; None: the usual.
        """
        ...


class Feed(Protocol):
    """Another process that passes on what it reads in the store."""

    def is_fresh(self) -> bool:
        """Return whether it has heard of the store lately."""
        ...


class Follower(Protocol):
    """Is told what a mirror reads."""

    def relay_snapshot(self, snapshot: Snapshot) -> None:
        """Pass a full reading on."""
        ...

    def relay_changes(self, changes: Changes) -> None:
        """Pass changes on; without any, that the store has reached a revision."""
        ...


@define(eq=False)
class Mirror:
    """Keeps a receiver current for as long as `async_run` runs."""

    store: CoordinationStore
    receiver: Receiver
    clock: Callable[[], float]
    on_synced: Callable[[], None] = lambda: None
    """Called after each reading or change that was taken."""

    feed: Feed | None = None
    follower: Follower | None = None
    boot_clock: Callable[[], float] = read_boot_clock
    """Time in seconds that also passes while the host is suspended."""

    responded_at: float = field(default=-1e9, init=False)
    """When the store last answered this process."""

    known_at: float = field(default=-1e9, init=False)
    """Time on the boot clock up to which all that the store acknowledged is known here:
    when the answer that shows it was asked for, not when it came."""

    items: dict[str, Item] = field(factory=dict, init=False)
    """All keys as they are known."""

    revision: int | None = field(default=None, init=False)
    """Revision up to which changes were taken; None before the first reading."""

    _fed_at: float = field(default=-1e9, init=False)
    """When another process last passed on what the store said."""

    _backoff: Backoff = field(
        factory=lambda: Backoff(FIRST_RETRY_S, MOST_RETRY_S), init=False
    )
    _failing_since: float | None = field(default=None, init=False)
    _watch_from: float = field(default=0.0, init=False)
    """Earliest time of the next watch."""

    _relist: bool = field(default=False, init=False)

    async def async_run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if self.feed is not None and self.feed.is_fresh():
                self._fed_at = self.clock()
                await async_sleep_to_tick(FEED_CHECK_S)
                continue
            try:
                await self._async_step()
            except HistoryLostError as error:
                log_event(log.StoreHistoryLost(reason=str(error)))
                self._relist = True
            except StoreUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(self._backoff.next())

    def measure_age(self) -> float:
        """Return the seconds for which something may have changed unknown to us."""
        return self.boot_clock() - self.known_at

    def advance_known_at(self, at: float) -> None:
        """Note that all is known here that the store acknowledged before a time.

        Args:
            at: Time on this host's boot clock.
        """
        self.known_at = max(self.known_at, at)

    def make_snapshot(self) -> Snapshot | None:
        """Return all keys as they are known; None before the first reading."""
        if self.revision is None:
            return None
        return Snapshot(items=tuple(self.items.values()), revision=self.revision)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take a full reading, unless nothing in it is new.

        One of a revision that is known must not be passed on: two processes that follow
        each other would send it back and forth for good.
        """
        if self.revision is not None and snapshot.revision <= self.revision:
            return
        self.items = {item.key: item for item in snapshot.items}
        self.revision = snapshot.revision
        self.receiver.apply_snapshot(snapshot)
        if self.follower is not None:
            self.follower.relay_snapshot(snapshot)
        self.on_synced()

    def apply_partial_snapshot(
        self, keys: tuple[str, ...], items: tuple[Item, ...], revision: int
    ) -> None:
        """Take a full reading of another process.

        Args:
            keys: All keys that there are.
            items: Those of them that were not known here.
            revision: Revision of the reading.
        """
        known = {**self.items, **{item.key: item for item in items}}
        present = tuple(known[key] for key in keys if key in known)
        self.apply_snapshot(Snapshot(items=present, revision=revision))

    def apply_changes(self, changes: Changes) -> None:
        """Take the changes that are new."""
        known = self.revision or 0
        new = tuple(each for each in changes.changes if each.revision > known)
        for change in new:
            self._store_change(change)
        self.revision = max(known, changes.revision)
        news = tuple(each for each in new if self.receiver.has_effect(each))
        self.receiver.apply_changes(Changes(changes=new, revision=changes.revision))
        if self.follower is not None and new:
            # Runners write their entries each second, mostly as they were.
            passed = Changes(changes=news, revision=changes.revision)
            self.follower.relay_changes(passed)
        self.on_synced()

    def _store_change(self, change: Change) -> None:
        if change.item is None:
            self.items.pop(change.key, None)
        else:
            self.items[change.key] = change.item

    async def _async_step(self) -> None:
        if self.revision is None or self._relist:
            # A reading may be some seconds old as long as the changes since are kept.
            exact, asked_at = self._relist, self.boot_clock()
            snapshot = await self.store.async_list("", exact=exact)
            self._relist = False
            self._note_answer()
            self.apply_snapshot(snapshot)
            if exact:
                self.advance_known_at(asked_at)
            return
        await asyncio.sleep(max(0.0, self._watch_from - self.clock()))
        unsure = self.measure_age() > UNSURE_AGE_S
        # The first reading may be old, and nothing is served on it alone.
        wait_s = FIRST_WATCH_S if unsure else self._choose_wait()
        pace_s = 0.0 if unsure else self._choose_pace()
        self._watch_from = self.clock() + pace_s
        asked_at = self.boot_clock()
        changes = await self.store.async_watch("", self.revision, wait_s)
        self._note_answer()
        self.apply_changes(changes)
        self.advance_known_at(asked_at)

    def _choose_wait(self) -> float:
        """Return how long a watch waits for a change."""
        return OWN_WATCH_S if self.follower is None else LEADER_WATCH_S

    def _choose_pace(self) -> float:
        """Return the least time between two watches."""
        if self.follower is not None:
            return LEADER_PACE_S
        wanted_s = self.receiver.count_processes() / OWN_READS_PER_S
        return min(MAX_OWN_PACE_S, max(OWN_PACE_S, wanted_s))

    def _note_failure(self, error: StoreUnavailableError) -> None:
        if self._failing_since is None:
            self._failing_since = self.clock()
            log_event(log.StoreLost(reason=str(error)))

    def _note_answer(self) -> None:
        """Note that the store answers, before what it says is taken."""
        now = self.clock()
        since, self._failing_since = self._failing_since, None
        if since is not None:
            log_event(log.StoreRegained(revision=self.revision or 0))
        last = max(self.responded_at, self._fed_at)
        if since is not None and now - min(since, last) > OUTAGE_S:
            self.receiver.record_outage_end()
        self.responded_at = now
        self._backoff.reset()
