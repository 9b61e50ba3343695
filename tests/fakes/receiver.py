"""A receiver of the store's state for tests that override what they need."""

from mangoway.coordination.store import Change, Changes, Item, Snapshot


class InertReceiver:
    """A receiver that ignores the state and keeps nothing over a restore."""

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Ignore the call."""

    def apply_changes(self, changes: Changes) -> None:
        """Ignore the call."""

    def has_effect(self, change: Change) -> bool:
        return True

    def count_processes(self) -> int:
        return 1

    def record_outage_end(self, retention_s: float | None = None) -> None:
        """Ignore the call."""

    def record_restore(self) -> None:
        """Ignore the call."""

    def may_be_outdated(self, key: str) -> bool:
        return False

    def must_be_rewritten(self, key: str) -> bool:
        return False

    def is_superseded(self, item: Item, known: Item) -> bool:
        return False
