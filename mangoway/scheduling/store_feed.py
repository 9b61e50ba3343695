"""Relays the state of the store to the processes that follow a scheduler."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..coordination.mirror import Mirror
from ..coordination.store import (
    NO_REVISION,
    Change,
    Changes,
    Item,
    Snapshot,
    StoreRevision,
)
from .codec import encode_frame
from .link import Link
from .messages import Message, RetainedItems, StoreChanges, StoreSnapshot

RELAY_INTERVAL_S: Final = 0.1
"""Time for which changes of the store are collected into one message. Each message
wakes every edge, and a runner's entry may change several times while it loads. A drain
must take effect within two seconds."""

IDLE_RELAY_INTERVAL_S: Final = 1.0
"""The same while nothing has changed. Followers then only receive the store's revision,
from which they would start a watch of their own. The time must stay well within the
history of the store, which is 20 s in most deployments."""

MAX_RECENT_CHANGES: Final = 2000
"""Changes that are kept for edges that come from another scheduler. They cover a minute
in which each of 200 hosts and 80 runners changes several times."""

SNAPSHOT_REUSE_S: Final = 1.0
"""Time for which an encoded snapshot is reused for other followers, together with the
changes since. Encoding one takes several milliseconds, and hundreds of followers may
start at once."""


@define(eq=False)
class StoreFeed:
    """Sends snapshots and changes of the store to followers.

    One snapshot is sent per event loop turn, so that requests and new connections are
    handled in between. A follower that waits for its snapshot receives no changes
    before it, because their revision would hide the changes in between.
    """

    mirror: Mirror
    """The state of the store in this process."""

    clock: Callable[[], float]
    get_retention_s: Callable[[], float]
    """Returns the seconds for which vanished keys are still kept after an outage."""

    _links: dict[Link, None] = field(factory=dict, init=False)
    """Followers that have received a snapshot, in the order in which they got it."""

    _reading_retained: set[Link] = field(factory=set, init=False)
    """Followers that read retained items."""

    _waiting: deque[tuple[Link, StoreRevision]] = field(factory=deque, init=False)
    """Followers that wait for a snapshot, with the revision that each has already."""

    _next_turn: asyncio.Handle | None = field(default=None, init=False)
    _pending_changes: dict[str, Change] = field(factory=dict, init=False)
    """The last change of each key that was not relayed yet, oldest first."""

    _recent_changes: deque[Change] = field(factory=deque, init=False)
    """The most recent changes, oldest first."""

    _recent_after_revision: StoreRevision | None = field(default=None, init=False)
    """Revision after which `_recent_changes` is complete; None before a snapshot."""

    _relayed_at: float = field(default=-1e9, init=False)
    """Time on the boot clock up to which all changes of the store were relayed."""

    _snapshot_frame: bytes = field(default=b"", init=False)
    """A frame with all keys of the store at a revision."""

    _snapshot_revision: StoreRevision | None = field(default=None, init=False)
    _snapshot_at: float = field(default=-1e9, init=False)
    _relay_timer: asyncio.TimerHandle | None = field(default=None, init=False)

    def add(
        self, link: Link, known_revision: StoreRevision, *, reads_retained: bool = False
    ) -> None:
        """Add a follower, which is sent the state that it lacks in its turn.

        Args:
            link: The link to it.
            known_revision: Store revision that it has already.
            reads_retained: Whether it reads retained items.
        """
        if reads_retained:
            self._reading_retained.add(link)
        self._waiting.append((link, known_revision))
        if self._next_turn is None:
            self._next_turn = asyncio.get_running_loop().call_soon(self._serve_next)

    def remove(self, link: Link) -> None:
        """Remove a follower whose link is lost."""
        self._links.pop(link, None)
        self._reading_retained.discard(link)

    def stop(self) -> None:
        """Stop relaying."""
        self._waiting.clear()
        if self._relay_timer is not None:
            self._relay_timer.cancel()

    def find_relayed_at(self) -> float:
        """Return the time up to which all changes of the store were relayed."""
        if not self._pending_changes:
            self._relayed_at = self.mirror.known_at
        return self._relayed_at

    def relay_snapshot(self, snapshot: Snapshot) -> None:
        """Relay a snapshot of the store."""
        self._recent_changes.clear()
        # They may be of an earlier era, and the snapshot contains all others.
        self._pending_changes.clear()
        self._recent_after_revision = snapshot.revision
        self._send_to_all(self._make_snapshot(snapshot, NO_REVISION))

    def relay_retained(self, items: tuple[Item, ...]) -> None:
        """Relay items that are newer than those of the restored store."""
        for link in tuple(self._links):
            self._send_retained(link, items)

    def relay_changes(self, changes: Changes) -> None:
        """Relay changes of the store soon, together with those of the meantime."""
        self._record_recent(changes)
        first = not self._pending_changes
        for change in changes.changes:
            self._pending_changes.pop(change.key, None)
            self._pending_changes[change.key] = change
        if self._pending_changes and first and self._relay_timer is not None:
            self._relay_timer.cancel()
            self._relay_timer = None
        if self._relay_timer is None:
            loop = asyncio.get_running_loop()
            after_s = (
                RELAY_INTERVAL_S if self._pending_changes else IDLE_RELAY_INTERVAL_S
            )
            self._relay_timer = loop.call_later(after_s, self._relay_changes)

    def make_update(
        self, snapshot: Snapshot, known_revision: StoreRevision
    ) -> StoreSnapshot | StoreChanges:
        """Return the message with the state that a follower lacks after a revision.

        When a scheduler is lost, all edges connect to the next one at once. Sending the
        names of all keys to each of hundreds would take it more than a second.
        """
        if (
            self._recent_after_revision is None
            or known_revision < self._recent_after_revision
        ):
            return self._make_snapshot(snapshot, known_revision)
        changes = tuple(
            each for each in self._recent_changes if each.revision > known_revision
        )
        return StoreChanges(
            changes=Changes(changes=changes, revision=snapshot.revision),
            retention_s=self.get_retention_s(),
        )

    def _serve_next(self) -> None:
        """Send the next snapshot and schedule the others."""
        self._next_turn = None
        while self._waiting:
            link, known_revision = self._waiting.popleft()
            snapshot = self.mirror.make_snapshot()
            if not link.is_open:
                continue
            if snapshot is not None:
                # A process that starts uses the state as soon as it is received.
                self._send_retained(link, tuple(self.mirror.restores.retained.values()))
                self._send_state(link, snapshot, known_revision)
            self._links[link] = None
            break
        if self._waiting:
            self._next_turn = asyncio.get_running_loop().call_soon(self._serve_next)

    def _send_retained(self, link: Link, items: tuple[Item, ...]) -> None:
        if items and link in self._reading_retained:
            link.send(RetainedItems(items=items))

    def _send_state(
        self, link: Link, snapshot: Snapshot, known_revision: StoreRevision
    ) -> None:
        if known_revision != NO_REVISION or self.get_retention_s() > 0:
            link.send_frame(encode_frame([self.make_update(snapshot, known_revision)]))
            return
        frame, revision = self._get_snapshot_frame(snapshot)
        link.send_frame(frame)
        if revision < snapshot.revision:
            changes_since = self.make_update(snapshot, revision)
            link.send_frame(encode_frame([changes_since]))

    def _get_snapshot_frame(self, snapshot: Snapshot) -> tuple[bytes, StoreRevision]:
        """Return a frame with all keys and its revision, slightly out of date or not.

        When hundreds of followers start at once, each of them needs it while the
        announcements of the others change it.
        """
        is_outdated = (
            self._recent_after_revision is None
            or self._snapshot_revision is None
            or self._snapshot_revision < self._recent_after_revision
        )
        if (
            self._snapshot_revision is None
            or is_outdated
            or self.clock() - self._snapshot_at > SNAPSHOT_REUSE_S
        ):
            self._snapshot_frame = encode_frame(
                [self._make_snapshot(snapshot, NO_REVISION)]
            )
            self._snapshot_revision = snapshot.revision
            self._snapshot_at = self.clock()
        return self._snapshot_frame, self._snapshot_revision

    def _make_snapshot(
        self, snapshot: Snapshot, known_revision: StoreRevision
    ) -> StoreSnapshot:
        """Return a snapshot without the items of a known revision."""
        return StoreSnapshot(
            keys=tuple(item.key for item in snapshot.items),
            items=tuple(
                item for item in snapshot.items if item.revision > known_revision
            ),
            revision=snapshot.revision,
            retention_s=self.get_retention_s(),
        )

    def _record_recent(self, changes: Changes) -> None:
        self._recent_changes.extend(changes.changes)
        while len(self._recent_changes) > MAX_RECENT_CHANGES:
            self._recent_after_revision = self._recent_changes.popleft().revision

    def _relay_changes(self) -> None:
        """Send the last change of each key to all followers."""
        self._relay_timer = None
        changes = tuple(self._pending_changes.values())
        self._pending_changes.clear()
        message = StoreChanges(
            changes=Changes(
                changes=changes, revision=self.mirror.revision or NO_REVISION
            ),
            retention_s=self.get_retention_s(),
        )
        self._send_to_all(message)

    def _send_to_all(self, message: Message) -> None:
        """Send a message to all; it is encoded once, as that may take a millisecond."""
        if not self._links:
            return
        frame = encode_frame([message])
        for link in tuple(self._links):
            link.send_frame(frame)
