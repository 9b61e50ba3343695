"""Interfaces of what consumes, feeds and follows the mirror of the store."""

from typing import Protocol

from .restore_tracker import RestorePolicy
from .store import Change, Changes, Item, Snapshot


class Receiver(RestorePolicy, Protocol):
    """Consumer of the mirrored state of the store."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state with a snapshot."""
        ...

    def apply_changes(self, changes: Changes) -> None:
        """Apply changes in order."""
        ...

    def has_effect(self, change: Change) -> bool:
        """Return whether a change would alter the state."""
        ...

    def count_processes(self) -> int:
        """Return the number of known processes of the system, including this one."""
        ...

    def record_restore(self) -> None:
        """Record that the next snapshot is of a store that came back from a copy.

        What it lacks may only have been lost, and is written again soon.
        """
        ...

    def record_outage_end(self, retention_s: float | None = None) -> None:
        """Record the end of an outage during which keys may have expired.

        Args:
            retention_s: Seconds for which removed keys are still kept; None for the
                default.
        """
        ...


class Feed(Protocol):
    """Another process that relays the state of the store."""

    def is_fresh(self) -> bool:
        """Return whether the other process has relayed recent state."""
        ...

    def measure_age(self) -> float:
        """Return the seconds since the store last responded to the other process."""
        ...


class Follower(Protocol):
    """Relay of the mirrored state to other processes."""

    def relay_snapshot(self, snapshot: Snapshot) -> None:
        """Relay a snapshot."""
        ...

    def relay_changes(self, changes: Changes) -> None:
        """Relay changes; if there are none, only the revision of the store."""
        ...

    def relay_retained(self, items: tuple[Item, ...]) -> None:
        """Relay items that are newer than those of the restored store."""
        ...
