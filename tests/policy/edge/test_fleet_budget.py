"""Tests of the retry budget over a fleet whose counters come and go."""

from itertools import cycle

from mangoway.policy.edge.const import RETRY_BUDGET_USED
from mangoway.policy.edge.retry_budget import RetryBudget

from .repeat_window import RepeatWindows

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0
EDGES = 6
STEP_S = 1 / 60
"""Time between two requests to the service."""

TRIES = 3
"""Repeats that each request would need while runners fail."""


class TestChangesOfScheduler:
    """Schedulers and edges alone that grant one after the other."""

    def test_two_changes_within_a_window_stay_within_one_budget(self) -> None:
        changes = [("leader", 20.5), ("alone", 20.7), ("standby", 23.0)]
        assert play([*changes, ("next leader", 40.0)]).find_excess() == 0

    def test_one_leader_may_use_the_budget(self) -> None:
        seen = play([("leader", 40.0)])
        assert seen.find_excess() == 0
        assert len(seen.repeats) > RATIO * len([at for at in seen.requests if at > 20])


def play(changes: list[tuple[str, float]]) -> RepeatWindows:
    """Let runners fail from second 20 on, while others begin to grant.

    Args:
        changes: Who grants, and until when.
    """
    seen = RepeatWindows(RATIO, SLACK, WINDOW_S)
    counters: dict[str, RetryBudget] = {}
    edges = cycle(range(EDGES))
    now = 0.0
    for granting, until in changes:
        while now < until:
            now += STEP_S
            edge = next(edges)
            alone = granting == "alone"
            name = f"edge {edge}" if alone else granting
            budget = counters.setdefault(name, RetryBudget(RATIO, SLACK, WINDOW_S))
            budget.note_request(now)
            seen.requests.append(now)
            share = RETRY_BUDGET_USED / (EDGES if alone else 1)
            for _ in range(TRIES if now >= 20 else 0):
                if budget.take(now, share):
                    seen.repeats.append(now)
    return seen
