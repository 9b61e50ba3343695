"""Tests of the rate budget of calls."""

import pytest

from mangoway.key_value.budget import CallBudget
from mangoway.key_value.store import CallRank


def spend(budget: CallBudget, rank: CallRank, now: float) -> int:
    """Consume calls until one is rejected; return the number of consumed calls."""
    consumed = 0
    while budget.consume(rank, now) == 0:
        consumed += 1
    return consumed


class TestCallBudget:
    """Tests of the calls that each rank receives from a limited budget."""

    def test_each_rank_leaves_a_reserve_to_those_above(self) -> None:
        budget = CallBudget(50.0, now=0.0)
        consumed = [spend(budget, rank, 0.0) for rank in reversed(CallRank)]
        assert consumed == [40, 20, 20, 20]

    def test_background_calls_cannot_use_the_reserve_of_safety(self) -> None:
        budget = CallBudget(50.0, now=0.0)
        for tick in range(100):
            spend(budget, CallRank.BACKGROUND, tick / 10)
        assert spend(budget, CallRank.SAFETY, 9.9) == 60

    def test_rate_holds_over_time(self) -> None:
        budget = CallBudget(10.0, now=0.0)
        consumed = sum(spend(budget, CallRank.SAFETY, tick / 4) for tick in range(401))
        assert consumed == 10 * 100 + 20

    def test_rejected_call_returns_the_wait_time(self) -> None:
        budget = CallBudget(10.0, now=0.0)
        spend(budget, CallRank.SAFETY, 0.0)
        wait_s = budget.consume(CallRank.SAFETY, 0.0)
        assert wait_s == pytest.approx(0.1)
        assert budget.consume(CallRank.SAFETY, wait_s + 1e-9) == 0

    def test_charged_call_is_consumed(self) -> None:
        budget = CallBudget(10.0, now=0.0)
        budget.charge(0.0)
        assert spend(budget, CallRank.SAFETY, 0.0) == 19
