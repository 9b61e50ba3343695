"""Pays for the repeats of one request."""

from collections.abc import Callable

from attrs import define, field

from ..policy.edge.retry_budget import RetryCredit
from .retry_budgets import RetryBudgets


@define(eq=False)
class RepeatPayment:
    """The credits of one request: each arrival at a runner but the first takes one."""

    budgets: RetryBudgets
    service: str
    clock: Callable[[], float]
    _next: RetryCredit | None = field(default=None, init=False)
    """What is paid for the next try, if that is a repeat."""

    _present: RetryCredit | None = field(default=None, init=False)
    """What was paid for the present try, until it has surely arrived."""

    def pay(self) -> bool:
        """Pay for the next repeat, unless that is done; False without a credit."""
        if self._next is None:
            self._next = self.budgets.take(self.service)
        return self._next is not None

    def begin_try(self) -> None:
        """Note that the request is sent, with what was paid for it."""
        self._present, self._next = self._next, None

    def settle_try(self, *, was_sent: bool) -> None:
        """Spend what was paid for the present try, or keep it for the next one."""
        credit, self._present = self._present, None
        if credit is None:
            return
        if was_sent:
            credit.spend(self.clock())
        else:
            self._next = credit

    def give_back(self) -> None:
        """Return what was paid for a repeat that is not sent."""
        credit, self._next = self._next, None
        if credit is not None:
            credit.refund()

    def end(self) -> None:
        """Keep nothing: the request is over."""
        self.settle_try(was_sent=True)
        self.give_back()
