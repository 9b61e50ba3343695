"""Passes on what the store says to the processes that follow a scheduler."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..coordination.mirror import Mirror
from ..coordination.store import Change, Changes, Snapshot
from .codec import encode_frame
from .link import Link
from .messages import Message, StateChanged, StateRead

PASS_S: Final = 0.1
"""Time for which changes of the store are collected. Each message wakes each edge, and
a runner's entry may change several times while it loads; a drain has to be obeyed
within two seconds."""

IDLE_PASS_S: Final = 1.0
"""The same where no change shows: followers then only learn the store's revision, from
which they would watch themselves. It must stay well within the history of the store,
which is 20 s at most deployments."""

MAX_RECENT_CHANGES: Final = 2000
"""Changes that are kept for edges that come from another scheduler: those of a minute
in which each of 200 hosts and 80 runners changes some times."""

WHOLE_KEPT_S: Final = 1.0
"""Time for which an encoded reading of all keys is sent to others as well, with the
changes since. It takes some milliseconds to encode, for each of hundreds that start."""


@define(eq=False)
class StoreFeed:
    """What followers know, what they lack, and who waits for a reading.

    Readings are sent one a turn of the loop, so that between two of them it takes what
    others ask and greets who has just come. Who waits for one gets no changes before:
    they would hide what came between.
    """

    mirror: Mirror
    """What this process knows of the store."""

    clock: Callable[[], float]
    get_retention_s: Callable[[], float]
    """Seconds for which keys that vanish are still kept, after an outage."""

    _links: dict[Link, None] = field(factory=dict, init=False)
    """Followers that have had a reading, in their order."""

    _waiting: deque[tuple[Link, int]] = field(factory=deque, init=False)
    """Followers that wait for one, with the revision up to which each knows all."""

    _serving: asyncio.Handle | None = field(default=None, init=False)
    _unpassed: dict[str, Change] = field(factory=dict, init=False)
    """The last change of each key that was not passed on yet, in their order."""

    _recent: deque[Change] = field(factory=deque, init=False)
    """The last changes, oldest first."""

    _recent_after: int | None = field(default=None, init=False)
    """Revision from which `_recent` has all changes; None before the first reading."""

    _passed_at: float = field(default=-1e9, init=False)
    """Time on the boot clock up to which all changes of the store were passed on."""

    _whole: bytes = field(default=b"", init=False)
    """A frame with all keys of the store at a revision."""

    _whole_revision: int = field(default=-1, init=False)
    _whole_at: float = field(default=-1e9, init=False)
    _passing: asyncio.TimerHandle | None = field(default=None, init=False)

    def add(self, link: Link, known: int) -> None:
        """Let a follower wait for what it lacks.

        Args:
            link: The connection to it.
            known: Revision up to which it knows the store; 0 if it knows nothing.
        """
        self._waiting.append((link, known))
        if self._serving is None:
            self._serving = asyncio.get_running_loop().call_soon(self._serve)

    def remove(self, link: Link) -> None:
        """Forget a follower that is gone."""
        self._links.pop(link, None)

    def stop(self) -> None:
        """Pass nothing on any more."""
        self._waiting.clear()
        if self._passing is not None:
            self._passing.cancel()

    def find_passed_at(self) -> float:
        """Return the time up to which all changes of the store were passed on."""
        if not self._unpassed:
            self._passed_at = self.mirror.known_at
        return self._passed_at

    def pass_snapshot(self, snapshot: Snapshot) -> None:
        """Pass a full reading of the store on."""
        self._recent.clear()
        self._recent_after = snapshot.revision
        self._send_to_all(self._make_state(snapshot, 0))

    def pass_changes(self, changes: Changes) -> None:
        """Pass changes of the store on, soon and with those that come meanwhile."""
        self._keep_recent(changes)
        first = not self._unpassed
        for change in changes.changes:
            self._unpassed.pop(change.key, None)
            self._unpassed[change.key] = change
        if self._unpassed and first and self._passing is not None:
            self._passing.cancel()
            self._passing = None
        if self._passing is None:
            loop = asyncio.get_running_loop()
            after_s = PASS_S if self._unpassed else IDLE_PASS_S
            self._passing = loop.call_later(after_s, self._pass_on)

    def make_welcome(self, snapshot: Snapshot, known: int) -> StateRead | StateChanged:
        """Return what a follower lacks that knows the store up to a revision.

        When a scheduler is lost all edges come at once. With the names of all keys for
        each of hundreds the next one would be busy for more than a second.
        """
        if self._recent_after is None or known < self._recent_after:
            return self._make_state(snapshot, known)
        changes = tuple(each for each in self._recent if each.revision > known)
        return StateChanged(
            changes=Changes(changes=changes, revision=snapshot.revision),
            retention_s=self.get_retention_s(),
        )

    def _serve(self) -> None:
        """Send the next reading, and come back for the others."""
        self._serving = None
        while self._waiting:
            link, known = self._waiting.popleft()
            snapshot = self.mirror.make_snapshot()
            if not link.is_open:
                continue
            if snapshot is not None:
                self._send_reading(link, snapshot, known)
            self._links[link] = None
            break
        if self._waiting:
            self._serving = asyncio.get_running_loop().call_soon(self._serve)

    def _send_reading(self, link: Link, snapshot: Snapshot, known: int) -> None:
        if known or self.get_retention_s() > 0:
            link.send_frame(encode_frame([self.make_welcome(snapshot, known)]))
            return
        link.send_frame(self._get_whole(snapshot))
        if self._whole_revision < snapshot.revision:
            since = self.make_welcome(snapshot, self._whole_revision)
            link.send_frame(encode_frame([since]))

    def _get_whole(self, snapshot: Snapshot) -> bytes:
        """Return a frame with all keys, of now or of a moment ago.

        Where hundreds start at once, each of them needs it while each announcement of
        the others changes it.
        """
        old = self._recent_after is None or self._whole_revision < self._recent_after
        if old or self.clock() - self._whole_at > WHOLE_KEPT_S:
            self._whole = encode_frame([self._make_state(snapshot, 0)])
            self._whole_revision = snapshot.revision
            self._whole_at = self.clock()
        return self._whole

    def _make_state(self, snapshot: Snapshot, known: int) -> StateRead:
        """Return a reading without the items that were known at a revision."""
        return StateRead(
            keys=tuple(item.key for item in snapshot.items),
            items=tuple(item for item in snapshot.items if item.revision > known),
            revision=snapshot.revision,
            retention_s=self.get_retention_s(),
        )

    def _keep_recent(self, changes: Changes) -> None:
        self._recent.extend(changes.changes)
        while len(self._recent) > MAX_RECENT_CHANGES:
            self._recent_after = self._recent.popleft().revision

    def _pass_on(self) -> None:
        """Send the last change of each key."""
        self._passing = None
        changes = tuple(self._unpassed.values())
        self._unpassed.clear()
        message = StateChanged(
            changes=Changes(changes=changes, revision=self.mirror.revision or 0),
            retention_s=self.get_retention_s(),
        )
        self._send_to_all(message)

    def _send_to_all(self, message: Message) -> None:
        """Encode a message once for all followers; a long one takes a millisecond."""
        if not self._links:
            return
        frame = encode_frame([message])
        for link in tuple(self._links):
            link.send_frame(frame)
