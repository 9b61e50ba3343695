"""Tests of the budget of repeats."""

from hypothesis import given
from hypothesis import strategies as st

from mangoway.policy.edge.const import RETRY_BUDGET_USED
from mangoway.policy.edge.retry_budget import RetryBudget, WindowCount

WINDOW_S = 10.0


class TestRetryBudget:
    """Repeats up to a share of the requests, and a few."""

    def test_slack_is_shared(self) -> None:
        budget = RetryBudget(0.2, 50.0, WINDOW_S)
        taken = sum(budget.take(0.0, share=0.1) for _ in range(100))
        assert taken == 5

    def test_requests_earn_repeats(self) -> None:
        budget = RetryBudget(0.2, 0.0, WINDOW_S)
        for _ in range(50):
            budget.note_request(0.0)
        assert sum(budget.take(0.0, share=1.0) for _ in range(100)) == 10

    def test_window_slides(self) -> None:
        budget = RetryBudget(0.2, 10.0, WINDOW_S)
        assert sum(budget.take(0.0, share=1.0) for _ in range(100)) == 10
        assert not budget.take(WINDOW_S - 1, share=1.0)
        assert budget.take(WINDOW_S + 1, share=1.0)

    @given(times=st.lists(st.floats(0, 100), min_size=1, max_size=60))
    def test_no_window_holds_more_than_the_slack(self, times: list[float]) -> None:
        budget = RetryBudget(0.2, 5.0, WINDOW_S)
        taken = [time for time in sorted(times) if budget.take(time, share=1.0)]
        for start in taken:
            inside = [each for each in taken if start <= each < start + WINDOW_S * 0.9]
            assert len(inside) <= 5


class TestSuccession:
    """Processes that choose one after the other."""

    def test_successors_and_predecessor_keep_to_one_budget(self) -> None:
        """Two schedulers in one window made 182 repeats, where 176 were allowed."""
        ratio, slack = 0.2, 58.0
        first, alone, second = (RetryBudget(ratio, slack, WINDOW_S) for _ in range(3))
        for number in range(600):
            first.note_request(number / 30)
        repeats = _use_up(first, 20.0, RETRY_BUDGET_USED)
        for number in range(30):
            alone.note_request(20.0 + number / 30)
        repeats += _use_up(alone, 21.0, RETRY_BUDGET_USED)
        for number in range(200):
            second.note_request(21.0 + number / 30)
        repeats += _use_up(second, 27.0, RETRY_BUDGET_USED)
        # The requests of the ten seconds up to 27.
        assert repeats <= ratio * (300 + 30 + 200) + slack

    def test_full_allowance_is_used_after_a_window(self) -> None:
        budget = RetryBudget(0.0, 50.0, WINDOW_S)
        for second in range(12):
            budget.note_request(float(second))
        assert _use_up(budget, 12.0, 1.0) == 50

    def test_pause_of_a_window_begins_anew(self) -> None:
        budget = RetryBudget(0.0, 50.0, WINDOW_S)
        budget.note_request(0.0)
        budget.note_request(30.0)
        assert _use_up(budget, 31.0, 1.0) < 50


def _use_up(budget: RetryBudget, now: float, share: float) -> int:
    return sum(budget.take(now, share) for _ in range(1000))


class TestWindowCount:
    """Counting in slices."""

    def test_old_events_are_forgotten(self) -> None:
        count = WindowCount(WINDOW_S)
        for second in range(20):
            count.add(float(second))
        assert 10 <= count.total <= 11
