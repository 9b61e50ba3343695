"""The promise on repeats, as it is judged: over all hosts, in each window."""

from bisect import bisect_left

from attrs import define, field


@define(eq=False)
class RepeatWindows:
    """Requests to a service and their repeats, whoever sent them."""

    ratio: float
    slack: float
    window_s: float
    requests: list[float] = field(factory=list, init=False)
    repeats: list[float] = field(factory=list, init=False)

    def find_excess(self) -> float:
        """Return the most repeats of a window beyond those allowed; 0 if none are."""
        requests, repeats = sorted(self.requests), sorted(self.repeats)
        return max((self._measure(requests, repeats, at) for at in repeats), default=0)

    def _measure(
        self, requests: list[float], repeats: list[float], began: float
    ) -> float:
        count = self._count(repeats, began)
        most = max(
            self._count(requests, began - back_s)
            for back_s in (0.0, self.window_s / 2, self.window_s)
        )
        return max(0.0, count - self.ratio * most - self.slack)

    def _count(self, times: list[float], began: float) -> int:
        return bisect_left(times, began + self.window_s) - bisect_left(times, began)
