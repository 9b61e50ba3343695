"""The backups that runners keep of other runners' streams."""

from attrs import define, field, frozen

from .requests import RequestKey, RunningRequest


@frozen(kw_only=True)
class Backup:
    """A copy of a stream's KV memory at another runner."""

    key: RequestKey
    running: RunningRequest
    runner_id: str
    handle_s: float
    """Seconds for which the runner keeps the copy after its last part."""


@define(eq=False)
class BackupTable:
    """Backups of all streams, and those that runners still keep after the end."""

    _backups: dict[RequestKey, Backup] = field(factory=dict, init=False)
    _expiring: dict[tuple[RequestKey, str], float] = field(factory=dict, init=False)
    """Copies of streams that didn't end well, by request and runner, with the time at
    which the runner drops them, in the order of these times. A request that is tried
    again may leave copies at several runners."""

    granted: int = field(default=0, init=False)
    """Number of backups that were granted."""

    def __len__(self) -> int:
        return len(self._backups) + len(self._expiring)

    def add(self, backup: Backup) -> None:
        """Add the backup of a stream that is granted now."""
        # The new copy takes the place of one that its runner still keeps.
        self._expiring.pop((backup.key, backup.runner_id), None)
        self._backups[backup.key] = backup
        self.granted += 1

    def get(self, key: RequestKey) -> Backup | None:
        """Return the backup of a running stream."""
        return self._backups.get(key)

    def pop(self, key: RequestKey) -> Backup | None:
        """Remove and return the backup of a stream."""
        return self._backups.pop(key, None)

    def expire_later(self, backup: Backup, now: float) -> None:
        """Record that a runner keeps the copy of an ended stream for a while."""
        self._expiring[backup.key, backup.runner_id] = now + backup.handle_s

    def pop_expired(self, now: float) -> list[tuple[RequestKey, str]]:
        """Remove and return the copies that their runners have dropped."""
        expired = []
        for copy, expires_at in self._expiring.items():
            if expires_at > now:
                break
            expired.append(copy)
        for copy in expired:
            del self._expiring[copy]
        return expired

    def list_edge(self, edge: str) -> list[RequestKey]:
        """Return the requests of an edge that have a backup."""
        return [key for key in self._backups if key[0] == edge]
