"""Tests of the retry budget of one edge."""

from hypothesis import given
from hypothesis import strategies as st

from mangoway.policy.edge.const import ADDED_PART, BASE_PART, SHARED_PART
from mangoway.policy.edge.retry_budget import RetryBudget, RetryLimits
from mangoway.policy.edge.shares import NO_SHARES, Shares

from .repeat_window import RepeatWindows

LIMITS = RetryLimits(ratio=0.2, slack=50.0, window_s=10.0)
WHOLE = Shares(base=1.0, shared=1.0)
SHARED_ALONE = Shares(base=0.0, shared=1.0)
BASE_ALONE = Shares(base=1.0, shared=0.0)
MOST = LIMITS.slack * (BASE_PART + SHARED_PART)


def save_up(budget: RetryBudget, now: float = 0.0, shares: Shares = WHOLE) -> None:
    """Let requests earn all that may be saved up."""
    for _ in range(1000):
        budget.note_request(now, shares)


def use_up(budget: RetryBudget, now: float, shares: Shares = WHOLE) -> int:
    """Return how many repeats the budget pays for at a time."""
    credits = [budget.take(now, shares) for _ in range(1000)]
    taken = [each for each in credits if each is not None]
    for each in taken:
        each.spend(now)
    return len(taken)


class TestRetryBudget:
    """Repeats up to a share of the requests, and a few."""

    def test_edge_that_starts_has_nothing_saved(self) -> None:
        assert use_up(RetryBudget(LIMITS, began_at=0.0), 0.0) == 0

    def test_requests_earn_repeats(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        for _ in range(50):
            budget.note_request(0.0, WHOLE)
        assert use_up(budget, 0.0) == 10

    def test_no_more_is_saved_up_than_the_part(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        save_up(budget)
        assert use_up(budget, 0.0) == int(MOST)

    def test_part_of_a_fleet_is_smaller(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        tenth = Shares(0.1, 0.1)
        save_up(budget, shares=tenth)
        assert use_up(budget, 0.0, tenth) == int(MOST / 10)

    def test_part_that_shrinks_keeps_nothing_beyond(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        save_up(budget)
        assert use_up(budget, 1.0, Shares(0.1, 0.0)) == int(50 * BASE_PART / 10)

    def test_time_adds_a_part_over_a_window(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        budget.take(0.0, SHARED_ALONE)
        added = LIMITS.slack * ADDED_PART
        first = use_up(budget, LIMITS.window_s, SHARED_ALONE)
        assert first == int(added)
        later = use_up(budget, 3 * LIMITS.window_s, SHARED_ALONE)
        assert first + later == int(3 * added)

    def test_time_adds_nothing_to_an_edge_without_a_part(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        budget.take(0.0, NO_SHARES)
        assert use_up(budget, 100.0, NO_SHARES) == 0

    @given(
        steps=st.lists(
            st.tuples(st.floats(0, 4), st.integers(0, 40), st.integers(0, 40)),
            max_size=40,
        )
    )
    def test_no_window_gets_more_than_is_allowed(
        self, steps: list[tuple[float, int, int]]
    ) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        seen = RepeatWindows(LIMITS.ratio, LIMITS.slack, LIMITS.window_s)
        now = 0.0
        for pause_s, requests, wanted in steps:
            now += pause_s
            for _ in range(requests):
                budget.note_request(now, WHOLE)
            seen.requests += [now] * requests
            taken = [budget.take(now, WHOLE) for _ in range(wanted)]
            seen.repeats += [now for each in taken if each is not None]
        assert seen.find_excess() == 0


class TestBasePart:
    """What each edge may send in each window, whatever its requests have earned."""

    def test_it_comes_back_after_a_window(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        base = int(BASE_PART * LIMITS.slack)
        assert use_up(budget, 10.0, BASE_ALONE) == base
        assert use_up(budget, 19.9, BASE_ALONE) == 0
        assert use_up(budget, 20.1, BASE_ALONE) == base

    def test_what_was_earned_and_sent_counts_against_it(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        save_up(budget, 10.0, BASE_ALONE)
        assert use_up(budget, 10.0, BASE_ALONE) == int(BASE_PART * LIMITS.slack)

    def test_edge_that_has_just_started_has_none(self) -> None:
        budget = RetryBudget(LIMITS, began_at=5.0)
        assert use_up(budget, 14.9, BASE_ALONE) == 0
        assert use_up(budget, 15.1, BASE_ALONE) > 0

    def test_repeats_on_their_way_count(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        credits = [budget.take(10.0, BASE_ALONE) for _ in range(100)]
        assert sum(each is not None for each in credits) == int(50 * BASE_PART)
        assert use_up(budget, 30.0, BASE_ALONE) == 0

    def test_credit_of_it_that_is_given_back_is_not_saved(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        credit = budget.take(10.0, BASE_ALONE)
        assert credit is not None
        credit.give_back()
        assert (budget.balance, budget.held) == (0.0, 0)

    def test_rest_of_a_credit_is_not_kept_beside_it(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        for _ in range(4):
            budget.note_request(10.0, BASE_ALONE)
        assert budget.take(10.0, BASE_ALONE) is not None
        assert budget.balance == 0.0

    def test_memory_is_bounded(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        for second in range(200):
            save_up(budget, float(second))
            use_up(budget, float(second))
        assert len(budget.spent_at) <= 12 * (MOST + 1)


class TestRetryCredit:
    """The payment for one repeat."""

    def test_it_counts_once(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        save_up(budget)
        credit = budget.take(0.0, WHOLE)
        assert credit is not None
        credit.spend(0.0)
        credit.give_back()
        credit.spend(0.0)
        assert (budget.balance, budget.held) == (MOST - 1, 0)

    def test_what_is_not_sent_is_given_back_once(self) -> None:
        budget = RetryBudget(LIMITS, began_at=0.0)
        save_up(budget)
        credit = budget.take(0.0, WHOLE)
        assert credit is not None
        credit.give_back()
        credit.give_back()
        assert (budget.balance, budget.held) == (MOST, 0)

    def test_repeat_on_its_way_counts_as_saved(self) -> None:
        """Else those that arrive late add to what was saved up meanwhile."""
        budget = RetryBudget(LIMITS, began_at=0.0)
        save_up(budget)
        credits = [budget.take(0.0, WHOLE) for _ in range(20)]
        save_up(budget)
        assert use_up(budget, 0.0) == int(MOST) - 20
        for credit in credits:
            assert credit is not None
            credit.spend(0.0)
        save_up(budget)
        assert use_up(budget, 0.0) == int(MOST)
