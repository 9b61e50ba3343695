"""The interface through which an edge requests grants."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from ..models.runner import RunnerEntry
from ..policy.scheduling.events import (
    EndKind,
    Grant,
    GrantRequest,
    Reject,
    TransferStream,
)

GrantResponse = Grant | Reject
TransferHandler = Callable[[TransferStream], None]


class GrantProvider(Protocol):
    """Grants requests the right to be sent to a runner."""

    def request_grant(
        self, grant_request: GrantRequest
    ) -> "asyncio.Future[GrantResponse]":
        """Request a grant; the future receives the response."""
        ...

    def report_first_event(self, request_id: str) -> None:
        """Report that the first event of a granted request arrived."""
        ...

    def end_request(
        self, request_id: str, kind: EndKind, events: int = 0, event_s: float = 0.0
    ) -> None:
        """Report that a request has ended at its runner or no longer waits.

        Args:
            request_id: The request.
            kind: How it ended.
            events: Events of its stream at the runner; 0 if unknown.
            event_s: Median seconds between two of them; 0 if unknown.
        """
        ...

    def accept_transfers(self, request_id: str, handler: TransferHandler) -> None:
        """Call a handler with each order to transfer a granted request's stream.

        Each order is answered by `report_moved` or `report_transfer_failed`. Orders for
        requests without a handler are answered by the provider.
        """
        ...

    def report_moved(self, request_id: str, runner_id: str) -> None:
        """Report that the stream of a granted request now runs at another runner."""
        ...

    def report_transfer_failed(self, request_id: str, target_runner_id: str) -> None:
        """Report that a stream doesn't move to the target of its transfer."""
        ...

    def consume_quota(self, customer: str, amount: float) -> float:
        """Consume an amount of a customer's quota for a request that needs no grant.

        Returns:
            0.0 if the amount was consumed, otherwise the seconds until it can be.
        """
        ...

    def refund_quota(self, customer: str, amount: float) -> None:
        """Refund the quota consumed for a request that no runner has run."""
        ...

    async def async_request_permit(self, runner: RunnerEntry) -> float:
        """Request a permit to send a request that needs no grant to a limited runner.

        Returns:
            0.0 if it was granted, otherwise the seconds until the next permit request.
        """
        ...


@define(eq=False)
class PendingRequests:
    """Grant requests that wait for a response."""

    _futures: "dict[str, tuple[GrantRequest, asyncio.Future[GrantResponse]]]" = field(
        factory=dict, init=False
    )

    def __len__(self) -> int:
        return len(self._futures)

    def add(
        self,
        grant_request: GrantRequest,
        future: "asyncio.Future[GrantResponse] | None" = None,
    ) -> "asyncio.Future[GrantResponse]":
        """Add a request, with its earlier future if it has one."""
        future = future or asyncio.get_running_loop().create_future()
        self._futures[grant_request.request_id] = (grant_request, future)
        return future

    def resolve(self, response: GrantResponse) -> bool:
        """Resolve a request's future; return False if the request no longer waits."""
        entry = self._futures.pop(response.request_id, None)
        if entry is None or entry[1].done():
            return False
        entry[1].set_result(response)
        return True

    def remove(self, request_id: str) -> None:
        """Remove a request that no longer waits."""
        self._futures.pop(request_id, None)

    def pop_all(self) -> "list[tuple[GrantRequest, asyncio.Future[GrantResponse]]]":
        """Remove and return all requests that still wait."""
        entries = [each for each in self._futures.values() if not each[1].done()]
        self._futures.clear()
        return entries
