"""Tests of the rate budget."""

import pytest

from mangoway.key_value.budget import CallBudget
from mangoway.key_value.store import CallRank


def spend(budget: CallBudget, rank: CallRank, now: float) -> int:
    """Take calls until one is refused; returns how many were had."""
    taken = 0
    while budget.take(rank, now) == 0:
        taken += 1
    return taken


class TestCallBudget:
    """Which ranks get calls when they are short."""

    def test_each_rank_leaves_a_reserve_to_those_above(self) -> None:
        budget = CallBudget(50.0, now=0.0)
        taken = [spend(budget, rank, 0.0) for rank in reversed(CallRank)]
        assert taken == [40, 20, 20, 20]

    def test_background_calls_cannot_use_the_reserve_of_safety(self) -> None:
        budget = CallBudget(50.0, now=0.0)
        for tick in range(100):
            spend(budget, CallRank.BACKGROUND, tick / 10)
        assert spend(budget, CallRank.SAFETY, 9.9) == 60

    def test_rate_holds_over_time(self) -> None:
        budget = CallBudget(10.0, now=0.0)
        taken = sum(spend(budget, CallRank.SAFETY, tick / 4) for tick in range(401))
        assert taken == 10 * 100 + 20

    def test_refusal_says_when_a_call_is_free(self) -> None:
        budget = CallBudget(10.0, now=0.0)
        spend(budget, CallRank.SAFETY, 0.0)
        wait_s = budget.take(CallRank.SAFETY, 0.0)
        assert wait_s == pytest.approx(0.1)
        assert budget.take(CallRank.SAFETY, wait_s + 1e-9) == 0

    def test_charged_call_counts(self) -> None:
        budget = CallBudget(10.0, now=0.0)
        budget.charge(0.0)
        assert spend(budget, CallRank.SAFETY, 0.0) == 19
