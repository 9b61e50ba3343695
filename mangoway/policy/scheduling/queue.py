"""Order of the waiting requests.

Answers the load of bursts: when more is asked than can be read in time, requests that
can still be on time go before those that are late already, since a late answer earns a
third. Within each, urgent customers and routes before less urgent ones, and the
earliest bound first.

An event must not cost more the more requests wait: what waits is kept in order, by
model and adapter, and a request that becomes late is moved when its time comes. With a
sort of all that waits at each event, a burst would make each decision slower.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Final

from attrs import define, field

from .events import GrantRequest
from .requests import Rank, RequestKey, WaitingRequest

NO_QUEUES: Final[dict[str, "ArtifactQueue"]] = {}
"""The queues of a model that nobody waits for."""


@define(eq=False)
class ArtifactQueue:
    """Requests that wait for one model with one adapter, first to be served first."""

    _entries: list[tuple[Rank, WaitingRequest]] = field(factory=list, init=False)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return (waiting for _, waiting in self._entries)

    def add(self, waiting: WaitingRequest) -> None:
        """Put a request in its place; ranks differ, so requests aren't compared."""
        insort(self._entries, (waiting.rank, waiting))

    def remove(self, waiting: WaitingRequest) -> None:
        """Take a request out."""
        index = bisect_left(self._entries, waiting.rank, key=lambda each: each[0])
        del self._entries[index]


@define(eq=False)
class ServiceQueue:
    """All requests that wait for the runners of one service."""

    _requests: dict[RequestKey, WaitingRequest] = field(factory=dict, init=False)
    _models: dict[str, dict[str, ArtifactQueue]] = field(factory=dict, init=False)
    """Queues by model and adapter; those that are empty are dropped."""

    _counts: dict[str, int] = field(factory=dict, init=False)
    _becoming_late: list[tuple[float, int, WaitingRequest]] = field(
        factory=list, init=False
    )
    """Requests that will be late, and when, as a heap."""

    _added: int = field(default=0, init=False)

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, waiting: WaitingRequest, now: float) -> None:
        """Take a request in."""
        self.remove(waiting.key)
        self._added += 1
        waiting.arrival_number = self._added
        waiting.update_rank(late=now > waiting.late_at)
        if now <= waiting.late_at:
            heapq.heappush(
                self._becoming_late, (waiting.late_at, waiting.arrival_number, waiting)
            )
        self._requests[waiting.key] = waiting
        model = waiting.grant_request.model
        self._counts[model] = self._counts.get(model, 0) + 1
        self._insert(waiting)

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Take a request out; returns it, or None if it doesn't wait here."""
        waiting = self._requests.pop(key, None)
        if waiting is None:
            return None
        self._remove_from_queue(waiting)
        model = waiting.grant_request.model
        self._counts[model] -= 1
        if not self._counts[model]:
            del self._counts[model]
        return waiting

    def remove_edge(self, edge: str) -> None:
        """Take out all requests of an edge."""
        for key in [each for each in self._requests if each[0] == edge]:
            self.remove(key)

    def update_late(self, now: float) -> None:
        """Put requests that can't be on time any more behind those that can."""
        while self._becoming_late and self._becoming_late[0][0] < now:
            _, _, waiting = heapq.heappop(self._becoming_late)
            if self._requests.get(waiting.key) is waiting:
                self._remove_from_queue(waiting)
                waiting.update_rank(late=True)
                self._insert(waiting)

    def list_sorted(self) -> list[WaitingRequest]:
        """Return all requests, first to be served first."""
        return sorted(self._requests.values(), key=lambda each: each.rank)

    def list_models(self) -> list[str]:
        """Return the models that requests wait for."""
        return list(self._counts)

    def count_model(self, model: str) -> int:
        """Return the requests that wait for a model, its adapters included."""
        return self._counts.get(model, 0)

    def get_artifacts(self, model: str) -> dict[str, ArtifactQueue]:
        """Return the queues of a model by adapter; that without one is empty."""
        return self._models.get(model, NO_QUEUES)

    def _insert(self, waiting: WaitingRequest) -> None:
        grant_request = waiting.grant_request
        artifacts = self._models.setdefault(grant_request.model, {})
        queue = artifacts.get(grant_request.adapter)
        if queue is None:
            queue = artifacts[grant_request.adapter] = ArtifactQueue()
        queue.add(waiting)

    def _remove_from_queue(self, waiting: WaitingRequest) -> None:
        grant_request = waiting.grant_request
        artifacts = self._models[grant_request.model]
        queue = artifacts[grant_request.adapter]
        queue.remove(waiting)
        if not queue:
            del artifacts[grant_request.adapter]
        if not artifacts:
            del self._models[grant_request.model]


def allows(grant_request: GrantRequest, runner_id: str) -> bool:
    """Return whether a request may go to a runner, by what it has behind it."""
    if grant_request.only:
        return runner_id in grant_request.only
    return runner_id not in grant_request.excluded
