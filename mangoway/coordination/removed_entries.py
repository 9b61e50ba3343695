"""Entries that were removed from the store, and that a copy of it may bring back."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from .store import Item

REMOVED_RETENTION_S: Final = 60.0
"""Time for which a removal is remembered. Copies of the store are some seconds old."""

MAX_REMOVED: Final = 16_384
"""Removals that are remembered: more than the entries of a fleet."""

HOLD_S: Final = 5.0
"""Time for which an entry of a copy is held back if it had been removed. The platform
drops the entry of a runner that has ended after 3.6 s, and the announcement of a
process that has ended with its lease of 3 s."""


@define(eq=False)
class RemovedEntries:
    """Holds back entries of a copy that had been removed from the store before.

    An entry is used again once it is written in the new era, or once it has stayed
    in the store for `HOLD_S`.
    """

    _removed_at: dict[str, float] = field(factory=dict, init=False)
    """When each entry was removed, by key, oldest first."""

    _held: set[str] = field(factory=set, init=False)
    _held_until: float = field(default=0.0, init=False)

    @property
    def held(self) -> frozenset[str]:
        """Return the keys that are held back."""
        return frozenset(self._held)

    def record_removed(self, key: str, now: float) -> None:
        """Record that an entry was removed, in time in seconds."""
        self._held.discard(key)
        self._removed_at.pop(key, None)
        self._removed_at[key] = now
        if len(self._removed_at) > MAX_REMOVED:
            del self._removed_at[next(iter(self._removed_at))]

    def record_written(self, key: str) -> None:
        """Record that an entry was written."""
        self._removed_at.pop(key, None)
        self._held.discard(key)

    def hold_back(self, keys: Iterable[str], now: float) -> frozenset[str]:
        """Hold back those entries of a copy that had been removed.

        Args:
            keys: Keys of the copy.
            now: Time in seconds.

        Returns:
            The keys that are held back.
        """
        oldest = now - REMOVED_RETENTION_S
        self._removed_at = {
            key: at for key, at in self._removed_at.items() if at >= oldest
        }
        self._held = {key for key in keys if key in self._removed_at}
        self._held_until = now + HOLD_S
        return frozenset(self._held)

    def release(self, items: dict[str, Item], now: float) -> tuple[Item, ...]:
        """Stop holding entries back after `HOLD_S`, and return them.

        Args:
            items: All items of the store by key.
            now: Time in seconds.
        """
        if not self._held or now < self._held_until:
            return ()
        released = tuple(items[key] for key in sorted(self._held) if key in items)
        for each in released:
            self._removed_at.pop(each.key, None)
        self._held.clear()
        return released
