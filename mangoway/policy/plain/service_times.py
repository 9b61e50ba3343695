"""Times that the runners of one service take for its requests."""

from attrs import define, field

from .const import INITIAL_SERVICE_S, LATE_DEVIATIONS, SERVICE_TIME_WEIGHT


@define(eq=False)
class ServiceTimes:
    """Mean and mean deviation of the time from a grant to the end of its request."""

    mean_s: float = field(default=INITIAL_SERVICE_S, init=False)
    deviation_s: float = field(default=0.0, init=False)

    @property
    def safe_s(self) -> float:
        """Return the time within which most requests are served."""
        return self.mean_s + LATE_DEVIATIONS * self.deviation_s

    def add(self, seconds: float) -> None:
        """Learn from a request that was served."""
        error_s = seconds - self.mean_s
        self.mean_s += SERVICE_TIME_WEIGHT * error_s
        self.deviation_s += SERVICE_TIME_WEIGHT * (abs(error_s) - self.deviation_s)
