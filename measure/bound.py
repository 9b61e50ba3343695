"""An upper bound of attainment, from an ideal schedule of the token capacity.

All engines form one pool that serves any model immediately, without prefill, model
loads or latency. The length of each response is known in advance, and preemption is
free. Jobs run by earliest deadline first; when a deadline cannot be met, the longest
response due by then is dropped. Plain service calls always meet their targets.
"""

from bisect import insort

from attrs import define, frozen

from .demand import Arrival


@frozen(kw_only=True)
class Loss:
    """Capacity that is unavailable for some time."""

    start: float
    end: float
    tokens_per_second: float


@frozen
class Capacity:
    """Token rate of all engines together, and its losses."""

    tokens_per_second: float
    losses: tuple[Loss, ...] = ()

    def count_tokens(self, start: float, end: float) -> float:
        """Return the number of tokens that can be generated between two times."""
        tokens = (end - start) * self.tokens_per_second
        for loss in self.losses:
            overlap = min(end, loss.end) - max(start, loss.start)
            tokens -= max(0.0, overlap) * loss.tokens_per_second
        return tokens


@define(order=True)
class _Job:
    """Tokens still to generate for one response; sorted by deadline."""

    deadline: float
    number: int
    remaining_tokens: float


def find_bound(arrivals: tuple[Arrival, ...], capacity: Capacity) -> float:
    """Return the share of requests that the ideal pool serves by their deadlines."""
    jobs: list[_Job] = []
    dropped = 0
    now = 0.0
    for arrival in arrivals:
        if arrival.output_tokens == 0:
            continue
        _spend_tokens(jobs, capacity.count_tokens(now, arrival.time))
        now = arrival.time
        insort(jobs, _Job(arrival.deadline, arrival.number, arrival.output_tokens))
        dropped += _drop_jobs(jobs, now, capacity)
    return 1.0 - dropped / max(1, len(arrivals))


def _spend_tokens(jobs: list[_Job], tokens: float) -> None:
    """Spend tokens on the jobs with the earliest deadlines."""
    completed = 0
    for job in jobs:
        spent = min(job.remaining_tokens, tokens)
        job.remaining_tokens -= spent
        tokens -= spent
        if job.remaining_tokens > 0:
            break
        completed += 1
    del jobs[:completed]


def _drop_jobs(jobs: list[_Job], now: float, capacity: Capacity) -> int:
    """Drop the longest jobs until all others can meet their deadlines."""
    dropped = 0
    needed_tokens = 0.0
    position = 0
    while position < len(jobs):
        needed_tokens += jobs[position].remaining_tokens
        if needed_tokens <= capacity.count_tokens(now, jobs[position].deadline) + 1e-6:
            position += 1
            continue
        longest = max(
            range(position + 1), key=lambda index: jobs[index].remaining_tokens
        )
        needed_tokens -= jobs[longest].remaining_tokens
        del jobs[longest]
        dropped += 1
    return dropped
