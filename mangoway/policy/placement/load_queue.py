"""Limits of the weight store and the order in which needs are served."""

from enum import IntEnum
from heapq import nsmallest

from attrs import define, field, frozen

from ...models.artifact import Artifact
from .const import BLOCKED_RETRY_S, MAX_BLOCKED_RETRY_S, NEEDS_PER_PLAN


class NeedRank(IntEnum):
    """Importance of a load; lower goes first."""

    LAST_COPY = 0
    """No copy is ready."""

    FLOOR = 1
    SPREAD = 2
    """The floor copies are in too few data centres."""

    ROOM = 3
    """A copy elsewhere lets this one go, so that another artifact fits."""

    DEMAND = 4


@frozen(kw_only=True)
class Need:
    """A copy that should be loaded somewhere."""

    artifact: Artifact
    rank: NeedRank
    score: float = 0.0
    """Demand for floors, gain per GB for copies above them; higher goes first."""

    memory_mb: int = 0

    @property
    def order_key(self) -> tuple[int, bool, float, int, Artifact]:
        """Return the place in the queue: rank, bases first, score, size.

        Copies for demand go by score alone: with bases first, adapters would wait
        until no base had any demand left.
        """
        is_adapter = self.artifact.adapter is not None
        goes_later = is_adapter and self.rank is not NeedRank.DEMAND
        return (self.rank, goes_later, -self.score, -self.memory_mb, self.artifact)


@define
class _Blocked:
    until: float
    wait_s: float
    since: float


@define
class LoadQueue:
    """Needs by artifact, at most one each."""

    _needs: dict[Artifact, Need] = field(factory=dict)
    _blocked: dict[Artifact, _Blocked] = field(factory=dict)

    def put(self, need: Need) -> None:
        """Add a need, or replace that of the same artifact."""
        self._needs[need.artifact] = need

    def drop(self, artifact: Artifact) -> None:
        """Forget the need of an artifact."""
        self._needs.pop(artifact, None)
        self._blocked.pop(artifact, None)

    def drop_rank(self, rank: NeedRank) -> None:
        """Forget all needs of a rank."""
        for need in [need for need in self._needs.values() if need.rank is rank]:
            self.drop(need.artifact)

    def find(self, artifact: Artifact) -> Need | None:
        """Return the need of an artifact."""
        return self._needs.get(artifact)

    def list_all(self) -> list[Need]:
        """Return all needs, first served first."""
        return sorted(self._needs.values(), key=lambda need: need.order_key)

    def list_due(self, now: float) -> list[Need]:
        """Return the first needs that are not waiting after a vain try."""
        due = (need for need in self._needs.values() if self._is_due(need, now))
        return nsmallest(NEEDS_PER_PLAN, due, key=lambda need: need.order_key)

    def _is_due(self, need: Need, now: float) -> bool:
        blocked = self._blocked.get(need.artifact)
        return blocked is None or blocked.until <= now

    def block(self, artifact: Artifact, now: float) -> None:
        """Let a need that found no runner wait."""
        blocked = self._blocked.get(artifact)
        if blocked is None:
            blocked = _Blocked(until=now, wait_s=BLOCKED_RETRY_S / 2, since=now)
            self._blocked[artifact] = blocked
        blocked.wait_s = min(blocked.wait_s * 2, MAX_BLOCKED_RETRY_S)
        blocked.until = now + blocked.wait_s

    def unblock(self, artifact: Artifact) -> None:
        """Note that a need was served."""
        self._blocked.pop(artifact, None)

    def unblock_all(self) -> None:
        """Let every need be tried at once, since memory became free."""
        for blocked in self._blocked.values():
            blocked.until = 0.0
            blocked.wait_s = BLOCKED_RETRY_S / 2

    def find_blocked_s(self, artifact: Artifact, now: float) -> float:
        """Return for how long a need has found no runner."""
        blocked = self._blocked.get(artifact)
        return 0.0 if blocked is None else now - blocked.since

    def __len__(self) -> int:
        return len(self._needs)


@define
class LoadLimiter:
    """Token bucket of the weight store's load rate."""

    _tokens: float = 1.0
    _at: float = 0.0

    def may_load(self, now: float, loads_per_second: float) -> bool:
        """Return whether a load may start now."""
        burst = max(1.0, loads_per_second)
        self._tokens = min(burst, self._tokens + (now - self._at) * loads_per_second)
        self._at = now
        return self._tokens >= 1.0

    def take(self) -> None:
        """Count a load."""
        self._tokens -= 1.0
