"""Retry credits of one request."""

from collections.abc import Callable

from attrs import define, field

from ..policy.edge.retry_budget import RetryCredit
from .retry_budgets import RetryBudgets


@define(eq=False)
class RetryPayment:
    """Holds the retry credits of one request.

    Each time that the request is sent to a runner, except the first, uses one credit.
    """

    budgets: RetryBudgets
    service: str
    clock: Callable[[], float]
    _next: RetryCredit | None = field(default=None, init=False)
    """Credit for the next attempt, if that is a retry."""

    _current: RetryCredit | None = field(default=None, init=False)
    """Credit for the current attempt, until it has certainly reached a runner."""

    def try_acquire(self) -> bool:
        """Acquire a credit for the next retry if needed; return whether one is held."""
        if self._next is None:
            self._next = self.budgets.try_acquire(self.service)
        return self._next is not None

    def begin_attempt(self) -> None:
        """Assign the credit for the next attempt to the attempt that starts."""
        self._current, self._next = self._next, None

    def settle_attempt(self, *, was_sent: bool) -> None:
        """Spend the credit of the current attempt, or keep it if nothing was sent."""
        credit, self._current = self._current, None
        if credit is None:
            return
        if was_sent:
            credit.spend(self.clock())
        else:
            self._next = credit

    def refund(self) -> None:
        """Return an unused credit to the budget."""
        credit, self._next = self._next, None
        if credit is not None:
            credit.refund()

    def settle(self) -> None:
        """Settle all credits at the end of the request."""
        self.settle_attempt(was_sent=True)
        self.refund()
