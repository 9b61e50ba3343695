"""How an edge asks for a place at a runner, whoever answers."""

import asyncio
from typing import Protocol

from attrs import define, field

from ..models.runner import RunnerEntry
from ..policy.scheduling.events import EndKind, Grant, GrantRequest, Refuse

Answer = Grant | Refuse


class GrantProvider(Protocol):
    """Finds places for requests."""

    def ask(self, grant_request: GrantRequest) -> "asyncio.Future[Answer]":
        """Ask for a place; the future gets the answer."""
        ...

    def note_first_event(self, request_id: str) -> None:
        """Say that the first event of a granted request came."""
        ...

    def end(self, request_id: str, kind: EndKind) -> None:
        """Say that a request is over at its runner, or waits no more."""
        ...

    def consume_quota(self, customer: str, amount: float) -> float:
        """Take an amount of a customer's quota for a request that needs no place.

        Returns:
            0.0 if it was taken, otherwise the seconds until it can be.
        """
        ...

    def give_back(self, customer: str, amount: float) -> None:
        """Give back what was taken for a request that no runner has run."""
        ...

    async def async_request_permit(self, runner: RunnerEntry) -> float:
        """Ask whether a request that needs no place may go to a limited runner.

        Returns:
            0.0 if it may, otherwise the seconds until it can be asked again.
        """
        ...


@define(eq=False)
class OpenAsks:
    """Requests that wait for an answer."""

    _futures: "dict[str, tuple[GrantRequest, asyncio.Future[Answer]]]" = field(
        factory=dict, init=False
    )

    def __len__(self) -> int:
        return len(self._futures)

    def add(
        self,
        grant_request: GrantRequest,
        future: "asyncio.Future[Answer] | None" = None,
    ) -> "asyncio.Future[Answer]":
        """Add a request; an earlier future of it may be kept."""
        future = future or asyncio.get_running_loop().create_future()
        self._futures[grant_request.request_id] = (grant_request, future)
        return future

    def resolve(self, answer: Answer) -> bool:
        """Hand an answer to who waits for it; False if nobody does any more."""
        entry = self._futures.pop(answer.request_id, None)
        if entry is None or entry[1].done():
            return False
        entry[1].set_result(answer)
        return True

    def drop(self, request_id: str) -> None:
        """Forget a request that waits no more."""
        self._futures.pop(request_id, None)

    def take_all(self) -> "list[tuple[GrantRequest, asyncio.Future[Answer]]]":
        """Return all and forget them."""
        entries = [each for each in self._futures.values() if not each[1].done()]
        self._futures.clear()
        return entries
