"""Bounds the repeats of a service, so that a failure is not multiplied by retries."""

import math
from collections import deque
from typing import Final

from attrs import define, field, frozen

from .const import BEGINNER_PART

PARTS: Final = 20
"""Slices into which a window is cut; its edge is right to a twentieth."""


@define(eq=False)
class WindowCount:
    """Counts events of the last `window_s` seconds in slices."""

    window_s: float
    _slices: deque[tuple[float, int]] = field(factory=deque, init=False)
    total: int = field(default=0, init=False)

    def add(self, now: float) -> None:
        """Count one event."""
        self.forget(now)
        slice_s = self.window_s / PARTS
        if self._slices and now - self._slices[-1][0] < slice_s:
            start, count = self._slices[-1]
            self._slices[-1] = (start, count + 1)
        else:
            self._slices.append((now, 1))
        self.total += 1

    def forget(self, now: float) -> None:
        """Drop what lies before the window."""
        while self._slices and self._slices[0][0] <= now - self.window_s:
            self.total -= self._slices.popleft()[1]


@frozen
class BudgetLevels:
    """Counts of one window, and the repeats that are allowed in it."""

    requests: int
    repeats: int
    allowed: float


@define(eq=False)
class RetryBudget:
    """Allows repeats up to a share of the requests, and a few beyond.

    The bound holds for the whole fleet. A process that sees all requests of a service
    uses the whole of it; one of several uses its part of the fixed allowance.
    """

    ratio: float
    slack: float
    window_s: float
    _requests: WindowCount = field(init=False)
    _repeats: WindowCount = field(init=False)
    _began_at: float = field(default=-math.inf, init=False)
    """Since when it has seen the requests without a gap of a window."""

    _seen_at: float = field(default=-math.inf, init=False)
    """When it saw the last request."""

    def __attrs_post_init__(self) -> None:
        self._requests = WindowCount(self.window_s)
        self._repeats = WindowCount(self.window_s)

    def note_request(self, now: float) -> None:
        """Count a request."""
        if now - self._seen_at >= self.window_s:
            self._began_at = now
        self._seen_at = now
        self._requests.add(now)

    def take(self, now: float, share: float) -> bool:
        """Take one repeat, if the budget has one.

        Args:
            now: Time in seconds.
            share: Part of the fixed allowance that this process may use, 0 to 1.
        """
        levels = self.measure(now, share)
        if levels.repeats + 1 > levels.allowed:
            return False
        self._repeats.add(now)
        return True

    def measure(self, now: float, share: float) -> BudgetLevels:
        """Return what was counted in the window that ends now."""
        self._requests.forget(now)
        self._repeats.forget(now)
        if now - self._began_at < self.window_s:
            share *= BEGINNER_PART
        allowed = self.ratio * self._requests.total + self.slack * share
        return BudgetLevels(self._requests.total, self._repeats.total, allowed)
