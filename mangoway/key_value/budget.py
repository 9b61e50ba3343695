"""Client-side rate limit of calls with reserves for important calls."""

from .const import BUDGET_BURST_S, BUDGET_RESERVES
from .store import CallRank

MIN_BURST_CALLS = 5.0


class CallBudget:
    """Token bucket in which each rank leaves a reserve to the ranks above it.

    Times are passed to its methods in seconds and must never decrease.
    """

    def __init__(self, calls_per_second: float, now: float) -> None:
        self._rate = calls_per_second
        self._capacity = max(calls_per_second * BUDGET_BURST_S, MIN_BURST_CALLS)
        self._tokens = self._capacity
        self._refilled_at = now

    def consume(self, rank: CallRank, now: float) -> float:
        """Consume one call if the budget allows it.

        Returns:
            0 if the call was consumed and may be made now; otherwise the seconds after
            which to try again.
        """
        self._refill(now)
        reserve = BUDGET_RESERVES[rank] * self._capacity
        missing = reserve + 1 - self._tokens
        if missing > 0:
            return missing / self._rate
        self._tokens -= 1
        return 0.0

    def charge(self, now: float) -> None:
        """Consume a call that is made even if the budget is exhausted."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self._rate
        self._tokens = min(self._capacity, self._tokens + added)
        self._refilled_at = now
