"""Runner selection by the load of this process alone."""

from collections.abc import Sequence
from random import Random

from attrs import define, field

from ...models.runner import RunnerEntry

OTHER_DATA_CENTRE_LOAD = 0.34
"""Load, as a fraction of the slots, that is added to a runner of another data centre
before the comparison: two of six slots. Traffic between data centres costs money, but
waiting for a slot costs more."""


@define(eq=False)
class InFlight:
    """Number of requests in flight from this process to each runner."""

    counts: dict[str, int] = field(factory=dict, init=False)

    def add(self, runner_id: str) -> None:
        """Count a request that is sent."""
        self.counts[runner_id] = self.counts.get(runner_id, 0) + 1

    def remove(self, runner_id: str) -> None:
        """Remove a request that has ended."""
        left = self.counts.get(runner_id, 0) - 1
        if left > 0:
            self.counts[runner_id] = left
        else:
            self.counts.pop(runner_id, None)

    def get(self, runner_id: str) -> int:
        """Return the number of requests in flight to a runner."""
        return self.counts.get(runner_id, 0)


def choose_runner(
    runners: Sequence[RunnerEntry],
    in_flight: InFlight,
    data_centre: str,
    random: Random,
) -> RunnerEntry | None:
    """Return the runner with the least load from this process; None if there is none.

    `OTHER_DATA_CENTRE_LOAD` is added to the load of runners of other data centres.
    """

    def compute_load(entry: RunnerEntry) -> tuple[float, float]:
        load = in_flight.get(entry.runner_id) / entry.slots
        distance_load = (
            0.0 if entry.data_centre == data_centre else OTHER_DATA_CENTRE_LOAD
        )
        return (load + distance_load, random.random())

    return min(runners, key=compute_load, default=None)
