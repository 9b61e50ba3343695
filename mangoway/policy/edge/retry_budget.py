"""Bounds the repeats of a service, so that a failure is not multiplied by retries.

The bound holds over the whole fleet and in each window. Each edge counts what it sends,
and nobody counts for another: requests earn credits where they arrive, a repeat takes
one where it is sent. What an edge may save up is its part of the fixed allowance. So
all edges together send in a window no more than they had saved, what the window's
requests earn, and what is added over the window, however edges come and go.
"""

from collections import deque
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from .const import ADDED_PART, BASE_PART, SHARED_PART
from .shares import NO_SHARES, Shares

WHOLE_CREDIT: Final = 1 - 1e-9
"""One credit, as it is where fractions were added up."""


@frozen(kw_only=True)
class RetryLimits:
    """Bounds of the repeats of a service over the whole fleet."""

    ratio: float
    """Repeats for each request."""

    slack: float
    """Repeats beyond those in a window."""

    window_s: float


class Pay(Enum):
    """What became of a credit that was taken."""

    HELD = "held"
    """The repeat is not sent, or may not have reached its runner yet."""

    SPENT = "spent"
    RETURNED = "returned"


@define(eq=False)
class RetryCredit:
    """The payment for one repeat."""

    budget: "RetryBudget"
    was_saved: bool
    """Whether it was taken off the balance, and not of the base part."""

    state: Pay = field(default=Pay.HELD, init=False)

    def spend(self, now: float) -> None:
        """Note that the repeat has reached its runner, or never will."""
        if self.state is Pay.HELD:
            self.state = Pay.SPENT
            self.budget.held -= 1
            self.budget.note_spent(now)

    def give_back(self) -> None:
        """Return the credit, as nothing was sent."""
        if self.state is Pay.HELD:
            self.state = Pay.RETURNED
            self.budget.held -= 1
            self.budget.balance += 1 if self.was_saved else 0


@define(eq=False)
class RetryBudget:
    """The credits of one edge for the repeats of one service."""

    limits: RetryLimits
    began_at: float
    """When the edge started."""

    balance: float = field(default=0.0, init=False)
    held: int = field(default=0, init=False)
    """Credits of repeats that may still be on their way. They are kept as saved, so
    that repeats which reach their runners late add nothing to what is sent then."""

    requests: int = field(default=0, init=False)
    repeats: int = field(default=0, init=False)
    refused: int = field(default=0, init=False)
    """Requests, repeats paid for, and repeats refused, since the start."""

    spent_at: deque[float] = field(factory=deque, init=False)
    """Times of the repeats of the last window, or a little more."""

    _filled_at: float | None = field(default=None, init=False)
    _shares: Shares = field(default=NO_SHARES, init=False)

    def note_request(self, now: float, shares: Shares) -> None:
        """Count a request of a caller, once."""
        self._fill(now, shares)
        self.requests += 1
        self._add(self.limits.ratio)

    def take(self, now: float, shares: Shares) -> RetryCredit | None:
        """Take the credit for one repeat; None if there is none.

        Args:
            now: Time in seconds.
            shares: Parts of the fixed allowance that this edge has now.
        """
        self._fill(now, shares)
        was_saved = self.balance >= WHOLE_CREDIT
        if was_saved:
            self.balance -= 1
        elif self._has_base_left(now):
            # Taken on top, what is left of a credit would be one too many.
            self.balance = min(self.balance, 0.0)
        else:
            self.refused += 1
            return None
        self.held += 1
        self.repeats += 1
        return RetryCredit(self, was_saved)

    def _has_base_left(self, now: float) -> bool:
        """Return whether less than the base part was spent in the last window.

        An edge that has just started doesn't know what its earlier life has spent.
        """
        window_s = self.limits.window_s
        if now - self.began_at < window_s:
            return False
        self._forget(now)
        spent = len(self.spent_at) + self.held
        return spent + 1 <= BASE_PART * self.limits.slack * self._shares.base

    def note_spent(self, now: float) -> None:
        """Note that a repeat has reached its runner."""
        self.spent_at.append(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        while self.spent_at and self.spent_at[0] < now - self.limits.window_s:
            self.spent_at.popleft()

    def measure_most(self) -> float:
        """Return the most credits that the edge may save up."""
        base = BASE_PART * self._shares.base
        return self.limits.slack * (base + SHARED_PART * self._shares.shared)

    def _fill(self, now: float, shares: Shares) -> None:
        """Add what time brings, and drop what a smaller part can't hold."""
        if self._filled_at is None:
            self._filled_at = now
        # The part may have changed at any time since.
        shared = min(self._shares.shared, shares.shared)
        added_per_s = ADDED_PART * self.limits.slack / self.limits.window_s
        self._shares = shares
        self._add(shared * added_per_s * max(0.0, now - self._filled_at))
        self._filled_at = max(self._filled_at, now)

    def _add(self, credits: float) -> None:
        self.balance = min(self.balance + credits, self.measure_most() - self.held)
