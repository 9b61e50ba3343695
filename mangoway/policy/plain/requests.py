"""Waiting and running requests of one plain service."""

import heapq
from bisect import bisect_left, insort
from typing import Final

from attrs import define, field

from .events import PlainGrantRequest

RequestKey = tuple[str, str]
"""Edge and request id."""

Rank = tuple[bool, int, int, float, float, int]
"""Sort key of the queue, smallest first: whether the request is late, the ranks of its
customer and its route, its customer's share, its next time limit, and its arrival
number."""

NO_RANK: Final[Rank] = (False, 0, 0, 0.0, 0.0, 0)


@define(eq=False)
class PlainWaiting:
    """A request that waits for a runner of a plain service."""

    grant_request: PlainGrantRequest
    late_at: float
    """Time from which its response can no longer meet the objective."""

    objective_at: float
    deadline_at: float
    """Latest time at which it may start so that its caller still receives the
    response."""

    share_rank: float = 0.0
    """Rank of its customer by what it has used of its share; smaller goes first."""

    number: int = 0
    rank: Rank = field(default=NO_RANK, init=False)
    is_queued: bool = field(default=False, init=False)
    key: RequestKey = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.key = (self.grant_request.edge, self.grant_request.request_id)

    def update_rank(self, *, late: bool) -> None:
        """Update the sort key; `late` if the response can no longer be on time."""
        grant_request = self.grant_request
        bound = self.deadline_at if late else self.objective_at
        self.rank = (
            late,
            grant_request.priority,
            grant_request.route_priority,
            self.share_rank,
            bound,
            self.number,
        )


@define(eq=False)
class PlainRunning:
    """A request that was granted to a runner."""

    key: RequestKey
    runner_id: str
    granted_at: float
    left_at: float
    """Time at which its caller leaves."""

    running_at_grant: int
    """Requests granted to the runner at that time, including this one."""


@define(eq=False)
class PlainQueue:
    """Requests that wait for one service, in order of service."""

    _entries: list[tuple[Rank, PlainWaiting]] = field(factory=list, init=False)
    _requests: dict[RequestKey, PlainWaiting] = field(factory=dict, init=False)
    _limits: list[tuple[float, int, PlainWaiting]] = field(factory=list, init=False)
    """Heap of the times at which requests become late or their callers leave; entries
    of requests that no longer wait are dropped when they are due."""

    _last_number: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, waiting: PlainWaiting, now: float) -> None:
        """Insert a request."""
        self._last_number += 1
        waiting.number = self._last_number
        waiting.update_rank(late=now >= waiting.late_at)
        waiting.is_queued = True
        self._requests[waiting.key] = waiting
        insort(self._entries, (waiting.rank, waiting))
        limit_at = waiting.deadline_at
        if not waiting.rank[0]:
            limit_at = min(limit_at, waiting.late_at)
        heapq.heappush(self._limits, (limit_at, waiting.number, waiting))

    def remove(self, key: RequestKey) -> PlainWaiting | None:
        """Remove and return a request; None if it doesn't wait."""
        waiting = self._requests.pop(key, None)
        if waiting is None:
            return None
        waiting.is_queued = False
        del self._entries[self._find(waiting.rank)]
        if not self._entries:
            self._limits.clear()
        return waiting

    def clear(self) -> list[RequestKey]:
        """Remove all requests, and return their keys in order of service."""
        keys = [waiting.key for _, waiting in self._entries]
        for key in keys:
            self.remove(key)
        return keys

    def list_first(self, count: int) -> list[PlainWaiting]:
        """Return the requests that are served first."""
        return [waiting for _, waiting in self._entries[:count]]

    def list_keys(self, edge: str) -> list[RequestKey]:
        """Return the keys of an edge's requests."""
        return [each for each in self._requests if each[0] == edge]

    def count_before(self, rank: Rank) -> int:
        """Return the number of requests that are served before a rank."""
        return self._find(rank)

    def pop_due(self, now: float) -> PlainWaiting | None:
        """Return a request whose time limit has passed, or None.

        A request that has become late is moved behind those that can be on time. One
        whose caller leaves must be removed by the caller of this method.
        """
        while self._limits and self._limits[0][0] <= now:
            _, _, waiting = heapq.heappop(self._limits)
            if not waiting.is_queued:
                continue
            if not waiting.rank[0]:
                self._move_late(waiting)
            return waiting
        return None

    def _move_late(self, waiting: PlainWaiting) -> None:
        del self._entries[self._find(waiting.rank)]
        waiting.update_rank(late=True)
        insort(self._entries, (waiting.rank, waiting))
        heapq.heappush(self._limits, (waiting.deadline_at, waiting.number, waiting))

    def _find(self, rank: Rank) -> int:
        return bisect_left(self._entries, rank, key=lambda each: each[0])
