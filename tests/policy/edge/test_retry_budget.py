"""Tests of the budget of repeats."""

from hypothesis import given
from hypothesis import strategies as st

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


class TestWindowCount:
    """Counting in slices."""

    def test_old_events_are_forgotten(self) -> None:
        count = WindowCount(WINDOW_S)
        for second in range(20):
            count.add(float(second))
        assert 10 <= count.total <= 11
