"""Retry budget of a service, so that retries don't amplify a failure.

The budget applies to the whole fleet and to each window. Each edge counts only the
retries that it sends itself, so it doesn't matter which other edges start and stop.
Requests earn credits at the edge where they arrive, and an edge saves up at most a
share of the fixed allowance. In addition, it may send another share of the allowance in
each window. In a window, all edges together therefore send at most the saved credits,
the credits that the window's requests earn, and the window's share.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from .const import REFILL_SHARE, SAVED_SHARE, WINDOW_SHARE

MIN_WHOLE_CREDIT: Final = 1 - 1e-9
"""One credit, less a tolerance for the rounding errors of added fractions."""


AllowanceDivider = Callable[[str, float, float], float]
"""Returns one edge's part of an allowance, given the name of the allowance, its size in
credits, and the edge's share of the fleet."""


def divide_proportionally(allowance: str, credits: float, share: float) -> float:
    """Return the proportional part of an allowance, possibly less than one credit."""
    return credits * share


@frozen(kw_only=True)
class RetryLimits:
    """Limits of the retries of a service over the whole fleet."""

    ratio: float
    """Retries per request."""

    slack: float
    """Additional retries per window: the fixed allowance."""

    window_s: float


class CreditState(Enum):
    """State of a credit that was acquired."""

    HELD = "held"
    """The retry has not been sent, or may not have reached its runner yet."""

    SPENT = "spent"
    RETURNED = "returned"


@define(eq=False)
class RetryCredit:
    """The credit for one retry, from the savings and from the window's share."""

    budget: "RetryBudget"
    from_savings: float
    state: CreditState = field(default=CreditState.HELD, init=False)

    @property
    def from_window(self) -> float:
        """Return the fraction that comes from the window's share."""
        return 1.0 - self.from_savings

    def spend(self, now: float) -> None:
        """Mark the credit as spent: the retry has reached its runner, or never will."""
        if self.state is CreditState.HELD:
            self.state = CreditState.SPENT
            self.budget.settle(self, now)

    def refund(self) -> None:
        """Refund the credit, since nothing was sent."""
        if self.state is CreditState.HELD:
            self.state = CreditState.RETURNED
            self.budget.restore(self)


@define(eq=False)
class RetryBudget:
    """The credits of one edge for the retries of one service.

    A held credit counts against the savings, or against the window's share, for as
    long as its retry may be in transit: a retry that reaches its runner late must not
    add to those that are sent then.
    """

    limits: RetryLimits
    started_at: float
    """When the edge started."""

    divide: AllowanceDivider = divide_proportionally
    """Returns this edge's part of an allowance."""

    balance: float = field(default=0.0, init=False)
    """Saved credits."""

    requests: int = field(default=0, init=False)
    repeats: int = field(default=0, init=False)
    refused: int = field(default=0, init=False)
    """Requests, retries granted, and retries rejected, since the start."""

    _held_savings: float = field(default=0.0, init=False)
    _held_from_window: float = field(default=0.0, init=False)
    _window_spending: deque[tuple[float, float]] = field(factory=deque, init=False)
    """Time and amount of the credits spent from the share of the last window."""

    _refilled_at: float | None = field(default=None, init=False)
    _share: float = field(default=0.0, init=False)

    @property
    def held(self) -> float:
        """Return the credits of retries that may be in transit."""
        return self._held_savings + self._held_from_window

    def record_request(self, now: float, share: float) -> None:
        """Count a request of a caller; retries are not counted again."""
        self._refill(now, share)
        self.requests += 1
        self._add_savings(self.limits.ratio)

    def try_acquire(self, now: float, share: float) -> RetryCredit | None:
        """Acquire the credit for one retry; return None if the budget is exhausted.

        Args:
            now: Time in seconds.
            share: Current share of this edge in the fleet's fixed allowance, 0 to 1.
        """
        self._refill(now, share)
        balance = max(0.0, self.balance)
        if balance + self._measure_window_share(now) < MIN_WHOLE_CREDIT:
            self.refused += 1
            return None
        credit = RetryCredit(self, min(1.0, balance))
        self.balance -= credit.from_savings
        self._held_savings += credit.from_savings
        self._held_from_window += credit.from_window
        self.repeats += 1
        return credit

    def settle(self, credit: RetryCredit, now: float) -> None:
        """Turn a held credit into a spent one."""
        self._release(credit)
        if credit.from_window:
            self._window_spending.append((now, credit.from_window))
            self._expire_spending(now)

    def restore(self, credit: RetryCredit) -> None:
        """Return a held credit to the budget, since its retry was not sent."""
        self._release(credit)
        self.balance += credit.from_savings

    def measure_available(self, now: float, share: float) -> float:
        """Return the number of retries that may be sent now."""
        self._refill(now, share)
        return max(0.0, self.balance) + self._measure_window_share(now)

    def _measure_window_share(self, now: float) -> float:
        """Return the unspent credits of the window's share.

        An edge that has just started has none, since its previous incarnation may have
        spent them.
        """
        if now - self.started_at < self.limits.window_s:
            return 0.0
        self._expire_spending(now)
        spent = (
            sum(amount for _, amount in self._window_spending) + self._held_from_window
        )
        share_of_allowance = self.divide(
            "window", WINDOW_SHARE * self.limits.slack, self._share
        )
        return max(0.0, share_of_allowance - spent)

    def _release(self, credit: RetryCredit) -> None:
        self._held_savings -= credit.from_savings
        self._held_from_window -= credit.from_window

    def _expire_spending(self, now: float) -> None:
        while (
            self._window_spending
            and self._window_spending[0][0] < now - self.limits.window_s
        ):
            self._window_spending.popleft()

    def _refill(self, now: float, share: float) -> None:
        """Refill the savings for the elapsed time, up to what the share allows."""
        if self._refilled_at is None:
            self._refilled_at = now
        # The share may have changed at any time since the last call, so the smaller of
        # the old and the new one applies.
        refill_per_window = REFILL_SHARE * self.limits.slack * min(self._share, share)
        self._share = share
        self._add_savings(
            refill_per_window * max(0.0, now - self._refilled_at) / self.limits.window_s
        )
        self._refilled_at = max(self._refilled_at, now)

    def _add_savings(self, credits: float) -> None:
        share_of_allowance = self.divide(
            "saved", SAVED_SHARE * self.limits.slack, self._share
        )
        self.balance = min(
            self.balance + credits, share_of_allowance - self._held_savings
        )
