"""Queue of needs in the order of their loads, and limit of the load rate."""

from enum import IntEnum
from heapq import nsmallest

from attrs import define, field, frozen

from ...models.artifact import Artifact
from .const import BLOCKED_RETRY_DELAY_S, MAX_BLOCKED_RETRY_DELAY_S, MAX_NEEDS_PER_PLAN


class NeedRank(IntEnum):
    """Priority of a load; lower values are served first."""

    LAST_COPY = 0
    """No copy is ready or loading."""

    FLOOR = 1
    SPREAD = 2
    """The floor copies are in too few data centres."""

    ROOM = 3
    """A copy on another runner that makes room for another artifact.

    Either it replaces a copy that can then be evicted, or it is a base beside which
    an adapter fits.
    """

    DEMAND = 4


@frozen(kw_only=True)
class Need:
    """A copy of an artifact that should be loaded on some runner."""

    artifact: Artifact
    rank: NeedRank
    score: float = 0.0
    """Requests per second for floors, gain per GB for copies above them.

    Needs with a higher score are served first.
    """

    memory_mb: int = 0

    @property
    def order_key(self) -> tuple[int, bool, float, int, Artifact]:
        """Return the sort key: rank, bases first, highest score, largest memory.

        Copies for demand are sorted by score alone: with bases first, adapters would
        wait until no base had any demand left.
        """
        is_adapter = self.artifact.adapter is not None
        is_after_bases = is_adapter and self.rank is not NeedRank.DEMAND
        return (self.rank, is_after_bases, -self.score, -self.memory_mb, self.artifact)


@define
class _Blocked:
    until: float
    wait_s: float
    since: float


@define
class LoadQueue:
    """Queue of needs, at most one for each artifact."""

    _needs: dict[Artifact, Need] = field(factory=dict)
    _blocked: dict[Artifact, _Blocked] = field(factory=dict)

    def put(self, need: Need) -> None:
        """Add a need, or replace the need of the same artifact."""
        self._needs[need.artifact] = need

    def drop(self, artifact: Artifact) -> None:
        """Remove the need of an artifact."""
        self._needs.pop(artifact, None)
        self._blocked.pop(artifact, None)

    def drop_rank(self, rank: NeedRank) -> None:
        """Remove all needs of a rank."""
        for need in [need for need in self._needs.values() if need.rank is rank]:
            self.drop(need.artifact)

    def find(self, artifact: Artifact) -> Need | None:
        """Return the need of an artifact, or None."""
        return self._needs.get(artifact)

    def list_all(self) -> list[Need]:
        """Return all needs in the order of service."""
        return sorted(self._needs.values(), key=lambda need: need.order_key)

    def list_due(self, now: float) -> list[Need]:
        """Return the first needs that are not delayed after a failed attempt."""
        due = (need for need in self._needs.values() if self._is_due(need, now))
        return nsmallest(MAX_NEEDS_PER_PLAN, due, key=lambda need: need.order_key)

    def _is_due(self, need: Need, now: float) -> bool:
        blocked = self._blocked.get(need.artifact)
        return blocked is None or blocked.until <= now

    def block(self, artifact: Artifact, now: float) -> None:
        """Delay a need for which no runner was found."""
        blocked = self._blocked.get(artifact)
        if blocked is None:
            blocked = _Blocked(until=now, wait_s=BLOCKED_RETRY_DELAY_S / 2, since=now)
            self._blocked[artifact] = blocked
        blocked.wait_s = min(blocked.wait_s * 2, MAX_BLOCKED_RETRY_DELAY_S)
        blocked.until = now + blocked.wait_s

    def unblock(self, artifact: Artifact) -> None:
        """Remove the delay of a need, as it was served or changed its rank."""
        self._blocked.pop(artifact, None)

    def unblock_all(self) -> None:
        """Make all needs due immediately, since memory became free."""
        for blocked in self._blocked.values():
            blocked.until = 0.0
            blocked.wait_s = BLOCKED_RETRY_DELAY_S / 2

    def find_blocked_s(self, artifact: Artifact, now: float) -> float:
        """Return for how long no runner was found for a need."""
        blocked = self._blocked.get(artifact)
        return 0.0 if blocked is None else now - blocked.since

    def __len__(self) -> int:
        return len(self._needs)


@define
class LoadLimiter:
    """Token bucket that limits the rate of loads from the weight store."""

    _tokens: float = 1.0
    _updated_at: float = 0.0

    def may_load(self, now: float, loads_per_second: float) -> bool:
        """Return whether a load may start at time `now`."""
        burst = max(1.0, loads_per_second)
        self._tokens = min(
            burst, self._tokens + (now - self._updated_at) * loads_per_second
        )
        self._updated_at = now
        return self._tokens >= 1.0

    def consume(self) -> None:
        """Consume the token of one load."""
        self._tokens -= 1.0
