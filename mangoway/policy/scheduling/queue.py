"""Queues of the waiting requests.

When a burst exceeds the prefill capacity, requests that can still be on time are served
before those that are late already, since a late answer has a third of the value. Within
each group, requests are ordered by the rank of the customer, then of the route, then by
the earliest time limit. If customers share the service, their shares go before the time
limit (see `shared_queue`).

The cost of an event must not grow with the number of waiting requests. They are
therefore kept sorted, by model and adapter, and a request that becomes late is moved at
that time. Sorting all waiting requests at each event would slow down each decision in a
burst.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Any, Final

from attrs import define, field

from ...models.runner import RunnerEntry
from ..fairness.shares import CustomerShares
from .events import GrantRequest
from .requests import Rank, RequestKey, WaitingRequest
from .shared_queue import GROUP_FIELDS, SharedQueue, sort_by_shares

NO_QUEUES: Final[dict[str, "ArtifactQueue | SharedQueue"]] = {}
"""Queues of a model that no request waits for."""


@define(eq=False)
class ArtifactQueue:
    """Requests that wait for one model with one adapter, in order of service."""

    _entries: list[tuple[Rank, WaitingRequest]] = field(factory=list, init=False)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return (waiting for _, waiting in self._entries)

    def add(self, waiting: WaitingRequest) -> None:
        """Insert a request; ranks are unique, so requests aren't compared."""
        insort(self._entries, (waiting.rank, waiting))

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request."""
        index = bisect_left(self._entries, waiting.rank, key=lambda each: each[0])
        del self._entries[index]


@define(eq=False)
class ServiceQueue:
    """All requests that wait for the runners of one service."""

    _requests: dict[RequestKey, WaitingRequest] = field(factory=dict, init=False)
    _models: dict[str, dict[str, ArtifactQueue | SharedQueue]] = field(
        factory=dict, init=False
    )
    """Queues by model and adapter; empty ones are removed."""

    _counts: dict[str, int] = field(factory=dict, init=False)
    _deferrable: dict[str, int] = field(factory=dict, init=False)
    """Number of deferrable requests by model."""

    _becoming_late: list[tuple[float, int, WaitingRequest]] = field(
        factory=list, init=False
    )
    """Heap of the requests that will be late, with the time of that."""

    _added: int = field(default=0, init=False)
    _shares: CustomerShares | None = field(default=None, init=False)

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, waiting: WaitingRequest, now: float) -> None:
        """Add a request."""
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
        if now > waiting.late_at:
            waiting.deferrable = False
        self._count_deferrable(waiting, 1)
        if self._shares is not None:
            _count_waiting(self._shares, waiting)
        self._insert(waiting)

    def remove(self, key: RequestKey) -> WaitingRequest | None:
        """Remove and return a request, or return None if it doesn't wait here."""
        waiting = self._requests.pop(key, None)
        if waiting is None:
            return None
        self._remove_from_queue(waiting)
        if self._shares is not None:
            self._shares.remove_waiting(waiting.grant_request.customer)
        model = waiting.grant_request.model
        self._counts[model] -= 1
        if not self._counts[model]:
            del self._counts[model]
        self._count_deferrable(waiting, -1)
        return waiting

    def remove_edge(self, edge: str) -> None:
        """Remove all requests of an edge."""
        for key in [each for each in self._requests if each[0] == edge]:
            self.remove(key)

    def update_late(self, now: float) -> None:
        """Move requests that can no longer be on time behind those that can."""
        while self._becoming_late and self._becoming_late[0][0] < now:
            _, _, waiting = heapq.heappop(self._becoming_late)
            if self._requests.get(waiting.key) is waiting:
                self._remove_from_queue(waiting)
                waiting.update_rank(late=True)
                self._insert(waiting)
                self._count_deferrable(waiting, -1)
                waiting.deferrable = False

    def list_sorted(self) -> list[WaitingRequest]:
        """Return all requests in order of service."""
        if self._shares is not None:
            return sort_by_shares(self._requests.values(), self._shares)
        return sorted(self._requests.values(), key=lambda each: each.rank)

    def get_rank(self, waiting: WaitingRequest) -> tuple[Any, ...]:
        """Return the sort key of a request at this moment."""
        if self._shares is None:
            return waiting.rank
        grant_request = waiting.grant_request
        share = self._shares.read(grant_request.customer, grant_request.priority)
        return (*waiting.rank[:GROUP_FIELDS], share, *waiting.rank[GROUP_FIELDS:])

    def set_shares(self, shares: CustomerShares | None) -> None:
        """Order requests by shares of customers from now on; None for no shares."""
        if shares is self._shares:
            return
        self._models.clear()
        self._shares = shares
        for waiting in self._requests.values():
            if shares is not None:
                _count_waiting(shares, waiting)
            self._insert(waiting)

    def list_models(self) -> list[str]:
        """Return the models that requests wait for."""
        return list(self._counts)

    def count_model(self, model: str) -> int:
        """Return the number of requests that wait for a model, with any adapter."""
        return self._counts.get(model, 0)

    def count_deferrable(self, model: str) -> int:
        """Return the number of requests for a model whose placement can be deferred."""
        return self._deferrable.get(model, 0)

    def get_artifacts(self, model: str) -> dict[str, ArtifactQueue | SharedQueue]:
        """Return the queues of a model by adapter; the key of no adapter is empty."""
        return self._models.get(model, NO_QUEUES)

    def _count_deferrable(self, waiting: WaitingRequest, change: int) -> None:
        if not waiting.deferrable:
            return
        model = waiting.grant_request.model
        self._deferrable[model] = self._deferrable.get(model, 0) + change
        if not self._deferrable[model]:
            del self._deferrable[model]

    def _insert(self, waiting: WaitingRequest) -> None:
        grant_request = waiting.grant_request
        artifacts = self._models.setdefault(grant_request.model, {})
        queue = artifacts.get(grant_request.adapter)
        if queue is None:
            queue = artifacts[grant_request.adapter] = (
                ArtifactQueue() if self._shares is None else SharedQueue(self._shares)
            )
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


def _count_waiting(shares: CustomerShares, waiting: WaitingRequest) -> None:
    grant_request = waiting.grant_request
    shares.add_waiting(grant_request.customer, grant_request.priority)


def allows(grant_request: GrantRequest, runner: RunnerEntry) -> bool:
    """Return whether a request may be sent to a runner, given its earlier attempts."""
    if not fits_version(grant_request, runner):
        return False
    if grant_request.only:
        return runner.runner_id in grant_request.only
    return runner.runner_id not in grant_request.excluded


def fits_version(grant_request: GrantRequest, runner: RunnerEntry) -> bool:
    """Return whether a runner's software may continue the stream of a request."""
    version = grant_request.software_version
    return not version or version == runner.software_version
