"""Tracks what the store lost when it came back from a copy."""

import math
from collections.abc import Callable, Iterable
from typing import Final, Protocol

from attrs import define, field

from .removed_entries import RemovedEntries
from .store import Change, Item

REWRITE_S: Final = 5.0
"""Time after a restore in which the store may lack acknowledged writes. Runners write
their entries again within about two seconds; the operator may take longer."""


class RestorePolicy(Protocol):
    """What the keys of the store mean for a restore."""

    def may_be_outdated(self, key: str) -> bool:
        """Return whether an entry of a copy counts only if it was not removed since."""
        ...

    def must_be_rewritten(self, key: str) -> bool:
        """Return whether this system writes an item again that the store has lost."""
        ...

    def is_superseded(self, item: Item, known: Item) -> bool:
        """Return whether an item of a copy is older than the known one with its key."""
        ...


@define(eq=False)
class RestoreTracker:
    """What a process knows and a restored store lacks."""

    policy: RestorePolicy
    clock: Callable[[], float]
    """Monotonic time in seconds."""

    retained: dict[str, Item] = field(factory=dict, init=False)
    """Items that are newer than those with which the store came back, by key. They
    stay in use."""

    lost: dict[str, Item] = field(factory=dict, init=False)
    """Items of this system that the store lacks or has with another value, by key. The
    leader writes them again."""

    _removed: RemovedEntries = field(factory=RemovedEntries, init=False)
    _restored_at: float = field(default=-math.inf, init=False)
    """When this process first read a restored store of the current era."""

    @property
    def held(self) -> frozenset[str]:
        """Return the keys of the copy that had been removed before the restore."""
        return self._removed.held

    def may_lack_writes(self) -> bool:
        """Return whether the store may lack writes that it has acknowledged.

        After it came back from a copy, these are written again. A process that starts
        does not know how long ago that was.
        """
        return self.clock() < self._restored_at + REWRITE_S

    def record_start(self) -> None:
        """Record the first reading of a store that was restored at any time before."""
        self._restored_at = self.clock()

    def record_complete(self) -> None:
        """Record that lost writes were repeated since the last restore."""
        self._restored_at = -math.inf

    def record_restore(
        self, known_items: dict[str, Item], items: dict[str, Item]
    ) -> None:
        """Record that the store came back from a copy.

        Args:
            known_items: All items before the restore, by key.
            items: All items of the restored store, by key.
        """
        now = self.clock()
        self._restored_at = now
        self._removed.hold_back(
            (key for key in items if self.policy.may_be_outdated(key)), now
        )
        self.retained = {
            key: item
            for key, item in {**known_items, **self.retained}.items()
            if key in items and self.policy.is_superseded(items[key], item)
        }
        self.lost = {
            key: item
            for key, item in {**known_items, **self.lost}.items()
            if self.policy.must_be_rewritten(key)
            and (key not in items or items[key].value != item.value)
        }

    def record_removed(self, keys: Iterable[str]) -> None:
        """Record that items were removed from the store."""
        now = self.clock()
        for key in keys:
            self._removed.record_removed(key, now)

    def record_change(self, change: Change) -> None:
        """Record a change, after which the store has what it had lost of this key."""
        self.lost.pop(change.key, None)
        if change.item is None:
            self.record_removed((change.key,))
            return
        self._removed.record_written(change.key)
        retained = self.retained.get(change.key)
        if retained and not self.policy.is_superseded(change.item, retained):
            del self.retained[change.key]

    def retain(self, item: Item, known: Item | None) -> bool:
        """Retain an item that another process retains.

        Args:
            item: The item.
            known: The store's item with this key; None if there is none.

        Returns:
            Whether it is newer than the store's item.
        """
        if known is not None and not self.policy.is_superseded(known, item):
            return False
        self.retained[item.key] = item
        return True

    def release(self, items: dict[str, Item]) -> tuple[Item, ...]:
        """Return the entries that need not be held back any more.

        Args:
            items: All items of the store by key.
        """
        return self._removed.release(items, self.clock())
