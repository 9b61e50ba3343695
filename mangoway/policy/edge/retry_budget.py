"""Bounds the repeats of a service, so that a failure is not multiplied by retries.

The bound holds over the whole fleet and in each window. Each edge counts what it sends,
and nobody counts for another, so that it makes no difference who else comes and goes.
Requests earn credits where they arrive, and an edge saves up a part of the fixed
allowance at most. Besides, it may send another part of it in each window. So all edges
together send in a window no more than they had saved, what the window's requests earn,
and what they may send in each.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from .const import ADDED_PART, SAVED_SHARE, WINDOW_PART

WHOLE_CREDIT: Final = 1 - 1e-9
"""One credit, as it is where fractions were added up."""


Divider = Callable[[str, float, float], float]
"""Returns one edge's part of an allowance, given its name, its size in credits, and the
edge's share of the fleet."""


def multiply(allowance: str, credits: float, share: float) -> float:
    """Return a part of an allowance that may be less than one credit."""
    return credits * share


@frozen(kw_only=True)
class RetryLimits:
    """Bounds of the repeats of a service over the whole fleet."""

    ratio: float
    """Repeats for each request."""

    slack: float
    """Repeats beyond those in a window: the fixed allowance."""

    window_s: float


class CreditState(Enum):
    """What became of a credit that was taken."""

    HELD = "held"
    """The repeat is not sent, or may not have reached its runner yet."""

    SPENT = "spent"
    RETURNED = "returned"


@define(eq=False)
class RetryCredit:
    """The payment for one repeat, from what was saved and from the window's part."""

    budget: "RetryBudget"
    saved: float
    state: CreditState = field(default=CreditState.HELD, init=False)

    @property
    def from_window(self) -> float:
        """Return what was taken from the window's part."""
        return 1.0 - self.saved

    def spend(self, now: float) -> None:
        """Note that the repeat has reached its runner, or never will."""
        if self.state is CreditState.HELD:
            self.state = CreditState.SPENT
            self.budget.settle(self, now)

    def refund(self) -> None:
        """Return the credit, as nothing was sent."""
        if self.state is CreditState.HELD:
            self.state = CreditState.RETURNED
            self.budget.take_back(self)


@define(eq=False)
class RetryBudget:
    """The credits of one edge for the repeats of one service.

    A credit counts as saved, or as sent in the window, for as long as its repeat may
    be on its way: one that reaches its runner late adds nothing to what is sent then.
    """

    limits: RetryLimits
    began_at: float
    """When the edge started."""

    divide: Divider = multiply
    """Returns this edge's part of an allowance."""

    balance: float = field(default=0.0, init=False)
    """Credits that are saved."""

    requests: int = field(default=0, init=False)
    repeats: int = field(default=0, init=False)
    refused: int = field(default=0, init=False)
    """Requests, repeats paid for, and repeats refused, since the start."""

    _held_saved: float = field(default=0.0, init=False)
    _held_from_window: float = field(default=0.0, init=False)
    _spent: deque[tuple[float, float]] = field(factory=deque, init=False)
    """Time and amount of what was spent of the last window's part."""

    _filled_at: float | None = field(default=None, init=False)
    _share: float = field(default=0.0, init=False)

    @property
    def held(self) -> float:
        """Return the credits of repeats that may be on their way."""
        return self._held_saved + self._held_from_window

    def record_request(self, now: float, share: float) -> None:
        """Count a request of a caller, once."""
        self._fill(now, share)
        self.requests += 1
        self._add(self.limits.ratio)

    def try_acquire(self, now: float, share: float) -> RetryCredit | None:
        """Take the credit for one repeat; None if there is none.

        Args:
            now: Time in seconds.
            share: Part of the fleet's fixed allowance that this edge has now.
        """
        self._fill(now, share)
        balance = max(0.0, self.balance)
        if balance + self._measure_window(now) < WHOLE_CREDIT:
            self.refused += 1
            return None
        credit = RetryCredit(self, min(1.0, balance))
        self.balance -= credit.saved
        self._held_saved += credit.saved
        self._held_from_window += credit.from_window
        self.repeats += 1
        return credit

    def settle(self, credit: RetryCredit, now: float) -> None:
        """Take what is held for a repeat as spent."""
        self._release(credit)
        if credit.from_window:
            self._spent.append((now, credit.from_window))
            self._forget(now)

    def take_back(self, credit: RetryCredit) -> None:
        """Take what is held for a repeat that was not sent as never taken."""
        self._release(credit)
        self.balance += credit.saved

    def measure_available(self, now: float, share: float) -> float:
        """Return the repeats that may be sent now."""
        self._fill(now, share)
        return max(0.0, self.balance) + self._measure_window(now)

    def _measure_window(self, now: float) -> float:
        """Return what is left of the window's part.

        An edge that has just started doesn't know what its earlier life has spent.
        """
        if now - self.began_at < self.limits.window_s:
            return 0.0
        self._forget(now)
        spent = sum(amount for _, amount in self._spent) + self._held_from_window
        part = self.divide("window", WINDOW_PART * self.limits.slack, self._share)
        return max(0.0, part - spent)

    def _release(self, credit: RetryCredit) -> None:
        self._held_saved -= credit.saved
        self._held_from_window -= credit.from_window

    def _forget(self, now: float) -> None:
        while self._spent and self._spent[0][0] < now - self.limits.window_s:
            self._spent.popleft()

    def _fill(self, now: float, share: float) -> None:
        """Add what time brings, and drop what a smaller share can't hold."""
        if self._filled_at is None:
            self._filled_at = now
        # The share may have changed at any time since.
        added = ADDED_PART * self.limits.slack * min(self._share, share)
        self._share = share
        self._add(added * max(0.0, now - self._filled_at) / self.limits.window_s)
        self._filled_at = max(self._filled_at, now)

    def _add(self, credits: float) -> None:
        part = self.divide("saved", SAVED_SHARE * self.limits.slack, self._share)
        self.balance = min(self.balance + credits, part - self._held_saved)
