"""The client-side rate budget of calls, which serves important calls first."""

from .const import BUDGET_BURST_S, BUDGET_RESERVES
from .store import CallRank

MINIMUM_BURST = 5.0


class CallBudget:
    """A token bucket in which each rank leaves a reserve to those above it.

    It holds no clock: callers pass the time in seconds, never decreasing.
    """

    def __init__(self, calls_per_second: float, now: float) -> None:
        self._rate = calls_per_second
        self._capacity = max(calls_per_second * BUDGET_BURST_S, MINIMUM_BURST)
        self._tokens = self._capacity
        self._filled_at = now

    def take(self, rank: CallRank, now: float) -> float:
        """Take one call, or return the seconds after which it may be had.

        Returns:
            0 if the call may be made now.
        """
        self._fill(now)
        reserve = BUDGET_RESERVES[rank] * self._capacity
        missing = reserve + 1 - self._tokens
        if missing > 0:
            return missing / self._rate
        self._tokens -= 1
        return 0.0

    def charge(self, now: float) -> None:
        """Count a call that is made in any case."""
        self._fill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def _fill(self, now: float) -> None:
        added = (now - self._filled_at) * self._rate
        self._tokens = min(self._capacity, self._tokens + added)
        self._filled_at = now
