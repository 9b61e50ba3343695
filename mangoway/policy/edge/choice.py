"""Chooses a runner from what this process alone knows."""

from collections.abc import Sequence
from random import Random

from attrs import define, field

from ...models.runner import RunnerEntry

OTHER_ZONE_LOAD = 0.34
"""Load, as a part of a runner's slots, that a runner of another data centre must have
less to be chosen: two of six slots. Traffic between data centres is priced, but a wait
for a slot is dearer."""


@define(eq=False)
class InFlight:
    """Requests of this process at each runner."""

    counts: dict[str, int] = field(factory=dict, init=False)

    def add(self, runner_id: str) -> None:
        """Count a request that goes out."""
        self.counts[runner_id] = self.counts.get(runner_id, 0) + 1

    def remove(self, runner_id: str) -> None:
        """Count a request that has ended."""
        left = self.counts.get(runner_id, 0) - 1
        if left > 0:
            self.counts[runner_id] = left
        else:
            self.counts.pop(runner_id, None)

    def get(self, runner_id: str) -> int:
        """Return the requests at a runner."""
        return self.counts.get(runner_id, 0)


def choose_runner(
    runners: Sequence[RunnerEntry],
    in_flight: InFlight,
    data_centre: str,
    random: Random,
) -> RunnerEntry | None:
    """Return the runner with the least own load, near ones first; None without any."""

    def rate(entry: RunnerEntry) -> tuple[float, float]:
        load = in_flight.get(entry.runner_id) / entry.slots
        far = 0.0 if entry.data_centre == data_centre else OTHER_ZONE_LOAD
        return (load + far, random.random())

    return min(runners, key=rate, default=None)
