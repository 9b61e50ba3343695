"""Bounds what the links of a scheduler make it hold, all together."""

from collections.abc import Callable, Iterable
from typing import Final

from attrs import define, field

from ..policy.connections import (
    MAX_FOLLOWERS,
    MAX_UNNAMED_LINKS,
    ConnectionState,
    ConnectionTable,
)
from .follower_link import FollowerLink

MAX_BUFFERED_BYTES: Final = 16 << 20
"""Sum of the bytes of incomplete frames, above which the link with most is closed."""

MAX_UNSENT_TOTAL_BYTES: Final = 32 << 20
"""Sum of the bytes that other ends have yet to read, above which the link with most is
closed. A snapshot of the largest fleet is sent to one follower in each turn."""


HELLOS_PER_CHECK: Final = 32
"""Hellos after which unsent bytes are counted again. Each may send a snapshot, and
hundreds of followers may connect between two heartbeats."""


@define(eq=False)
class LinkLimits:
    """Counts the links of a scheduler, and closes those beyond its limits."""

    max_unnamed: int = MAX_UNNAMED_LINKS
    max_followers: int = MAX_FOLLOWERS
    on_displaced: Callable[[int, str, str], None] = lambda limit, state, peer: None
    """Called with the limit, the state and the address of a link that was closed since
    there were too many."""

    on_rejected: Callable[[str, str], None] = lambda reason, peer: None
    """Called with the reason and the address of a link that was closed for what its
    other end sent or did not read."""

    _unnamed: ConnectionTable[FollowerLink] = field(init=False)
    """Links whose other ends have not said who they are."""

    _followers: ConnectionTable[FollowerLink] = field(init=False)
    _buffered: dict[FollowerLink, int] = field(factory=dict, init=False)
    _buffered_total: int = field(default=0, init=False)
    _hellos: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._unnamed = ConnectionTable(self.max_unnamed)
        self._followers = ConnectionTable(self.max_followers)

    def add(self, link: FollowerLink) -> None:
        """Add a new link; the oldest one without a hello makes room."""
        closed = self._unnamed.add(link)
        if closed is not None:
            self._close(closed[0], self._unnamed.limit, ConnectionState.NEW)

    def accept(self, link: FollowerLink) -> bool:
        """Count a link as that of a follower; return whether there is room."""
        self._unnamed.remove(link)
        if self._followers.add(link) is not None:
            self._close(link, self._followers.limit, ConnectionState.BUSY)
            return False
        self._followers.set_state(link, ConnectionState.BUSY)
        self._hellos += 1
        return True

    @property
    def is_check_due(self) -> bool:
        """Return whether unsent bytes should be counted after this hello."""
        return self._hellos % HELLOS_PER_CHECK == 0

    def remove(self, link: FollowerLink) -> None:
        """Forget a link that is lost."""
        self._unnamed.remove(link)
        self._followers.remove(link)
        self._buffered_total -= self._buffered.pop(link, 0)

    def record_buffered(self, link: FollowerLink) -> None:
        """Record the bytes of a link's incomplete frame, and keep to their sum."""
        size = link.buffered_bytes
        self._buffered_total += size - self._buffered.pop(link, 0)
        if size:
            self._buffered[link] = size
        while self._buffered_total > MAX_BUFFERED_BYTES:
            largest = max(self._buffered, key=self._buffered.__getitem__)
            # Closing it removes it here.
            self._reject(largest, "the frames of all links have too many bytes")
            self.remove(largest)

    def check_unsent(self, links: Iterable[FollowerLink]) -> None:
        """Close the links with most unsent bytes until their sum keeps to its limit."""
        sizes = {each: each.unsent_bytes for each in links}
        total = sum(sizes.values())
        for link in sorted(sizes, key=sizes.__getitem__, reverse=True):
            if total <= MAX_UNSENT_TOTAL_BYTES:
                return
            total -= sizes[link]
            self._reject(link, "other ends have too many bytes to read")

    def _reject(self, link: FollowerLink, reason: str) -> None:
        if link.edge:
            # A link without a name reports this itself.
            self.on_rejected(reason, link.peer)
        link.close(reason)

    def _close(self, link: FollowerLink, limit: int, state: ConnectionState) -> None:
        self.on_displaced(limit, state.value, link.peer)
        link.close("there are too many links")
