"""Order of waiting requests whose customers share the runners of a service.

Requests are ordered by whether they are late, by the rank of the customer, by its
virtual time, and then by rank of the route and time limit. With the rank of the route
first, a customer with many urgent requests takes the room of the others' patient ones.

Virtual times change with every grant, so requests are kept by customer, and only the
customers of one queue are compared when it is read. The cost doesn't depend on the
number of waiting requests.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final

from attrs import define, field

from ..fairness.shares import CustomerShares
from .requests import WaitingRequest

GROUP_FIELDS: Final = 2
"""Fields of a rank that go before the customers' shares: whether the request is late,
and the rank of its customer."""

Group = tuple[bool, int]
Position = tuple[Any, ...]
"""The leading fields of a rank, and the others."""

CustomerQueue = list[tuple[Position, WaitingRequest]]
"""Requests of one customer and group, by rank of the route and time limit."""


@define(eq=False)
class SharedQueue:
    """Requests that wait for one model with one adapter, in order of service."""

    _shares: CustomerShares
    _groups: dict[Group, dict[str, CustomerQueue]] = field(factory=dict, init=False)
    _length: int = field(default=0, init=False)

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[WaitingRequest]:
        return self.iterate(lambda customer: True)

    def add(self, waiting: WaitingRequest) -> None:
        """Insert a request."""
        customers = self._groups.setdefault(waiting.rank[:GROUP_FIELDS], {})
        requests = customers.setdefault(waiting.grant_request.customer, [])
        insort(requests, (waiting.rank[GROUP_FIELDS:], waiting))
        self._length += 1

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request."""
        group, customer = waiting.rank[:GROUP_FIELDS], waiting.grant_request.customer
        customers = self._groups[group]
        requests = customers[customer]
        position = waiting.rank[GROUP_FIELDS:]
        del requests[bisect_left(requests, position, key=lambda each: each[0])]
        self._length -= 1
        if not requests:
            del customers[customer]
        if not customers:
            del self._groups[group]

    def iterate(self, is_served: Callable[[str], bool]) -> Iterator[WaitingRequest]:
        """Yield the requests as they would be served.

        Args:
            is_served: Returns whether requests of a customer are included; called when
                it is the customer's turn.
        """
        shares, times = self._shares, dict[str, float]()
        for group in sorted(self._groups):
            _, rank = group
            heap: list[tuple[float, Position, int, str, CustomerQueue]] = []
            for customer, requests in self._groups[group].items():
                time = shares.read(customer, rank)
                time = times[customer] = max(time, times.get(customer, time))
                heap.append((time, requests[0][0], 0, customer, requests))
            heapq.heapify(heap)
            while heap:
                _, _, index, customer, requests = heap[0]
                if not index and not is_served(customer):
                    heapq.heappop(heap)
                    continue
                waiting = requests[index][1]
                yield waiting
                times[customer] += shares.scale(customer, waiting.service_s)
                index += 1
                if index == len(requests):
                    heapq.heappop(heap)
                    continue
                item = (times[customer], requests[index][0], index, customer, requests)
                heapq.heapreplace(heap, item)


def sort_by_shares(
    requests: Iterable[WaitingRequest], shares: CustomerShares
) -> list[WaitingRequest]:
    """Return requests in the order in which they would be served."""
    queue = SharedQueue(shares)
    for waiting in requests:
        queue.add(waiting)
    return list(queue)
