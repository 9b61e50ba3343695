"""Checks that all hosts together send no more retries in a window than allowed."""

from bisect import bisect_left

from attrs import define, field


@define(eq=False)
class RetryWindows:
    """Times of the requests to a service and of their retries, over all hosts."""

    ratio: float
    slack: float
    window_s: float
    requests: list[float] = field(factory=list, init=False)
    retries: list[float] = field(factory=list, init=False)

    def find_excess(self) -> float:
        """Return by how many retries the worst window exceeds the limit, or 0."""
        requests, retries = sorted(self.requests), sorted(self.retries)
        return max((self._measure(requests, retries, at) for at in retries), default=0)

    def _measure(
        self, requests: list[float], retries: list[float], start: float
    ) -> float:
        """Return by how many retries the window from `start` on exceeds the limit.

        The limit counts the requests of this window, or of the window that starts half
        a window or a whole one earlier, whichever has the most.
        """
        count = self._count(retries, start)
        max_requests = max(
            self._count(requests, start - back_s)
            for back_s in (0.0, self.window_s / 2, self.window_s)
        )
        return max(0.0, count - self.ratio * max_requests - self.slack)

    def _count(self, times: list[float], start: float) -> int:
        return bisect_left(times, start + self.window_s) - bisect_left(times, start)
