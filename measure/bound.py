"""An upper mark: every token of capacity used perfectly.

All engines are one pool that serves any model at once, needs no prompt reading,
no loads and no latency, knows each answer's length, and preempts freely. It works
by earliest deadline and, when a deadline cannot be met, gives up the longest
answer that is due by then. Plain service calls always meet their targets in it.
"""

from bisect import insort

from attrs import define, frozen

from .demand import Arrival


@frozen(kw_only=True)
class Loss:
    """Capacity that is missing for some time."""

    start: float
    end: float
    tokens_per_second: float


@frozen
class Capacity:
    """Tokens that all engines together can make."""

    tokens_per_second: float
    losses: tuple[Loss, ...] = ()

    def count_tokens(self, start: float, end: float) -> float:
        """Return the tokens that can be made between two times."""
        tokens = (end - start) * self.tokens_per_second
        for loss in self.losses:
            overlap = min(end, loss.end) - max(start, loss.start)
            tokens -= max(0.0, overlap) * loss.tokens_per_second
        return tokens


@define(order=True)
class _Job:
    """Tokens that one answer still needs, by deadline."""

    deadline: float
    number: int
    left: float


def find_bound(arrivals: tuple[Arrival, ...], capacity: Capacity) -> float:
    """Return the share of requests that a perfect pool serves by their deadlines."""
    jobs: list[_Job] = []
    given_up = 0
    now = 0.0
    for arrival in arrivals:
        if arrival.output_tokens == 0:
            continue
        _work(jobs, capacity.count_tokens(now, arrival.time))
        now = arrival.time
        insort(jobs, _Job(arrival.deadline, arrival.number, arrival.output_tokens))
        given_up += _give_up(jobs, now, capacity)
    return 1.0 - given_up / max(1, len(arrivals))


def _work(jobs: list[_Job], tokens: float) -> None:
    """Spend tokens on the jobs that are due first."""
    ended = 0
    for job in jobs:
        spent = min(job.left, tokens)
        job.left -= spent
        tokens -= spent
        if job.left > 0:
            break
        ended += 1
    del jobs[:ended]


def _give_up(jobs: list[_Job], now: float, capacity: Capacity) -> int:
    """Drop the longest jobs until all the others can end in time."""
    given_up = 0
    needed = 0.0
    place = 0
    while place < len(jobs):
        needed += jobs[place].left
        if needed <= capacity.count_tokens(now, jobs[place].deadline) + 1e-6:
            place += 1
            continue
        longest = max(range(place + 1), key=lambda index: jobs[index].left)
        needed -= jobs[longest].left
        del jobs[longest]
        given_up += 1
    return given_up
