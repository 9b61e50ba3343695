"""Tests of the decision after a failed attempt."""

import pytest

from mangoway.models.routing import RouteKind
from mangoway.models.verdict import Verdict
from mangoway.policy.edge.retries import FailedAttempt, RetryDecision, decide_retry

from ...fakes.fleet import make_route

NON_IDEMPOTENT_ROUTE = make_route(RouteKind.NON_IDEMPOTENT, max_attempts=2)
SAFE_ROUTE = make_route(RouteKind.SAFE, max_attempts=2)


def make_failed_attempt(verdict: Verdict, **changes: object) -> FailedAttempt:
    fields = {
        "verdict": verdict,
        "may_have_run": verdict is not Verdict.NOT_RUN,
        "runners_tried": 1,
        "was_sent": True,
        "time_left_s": 2.0,
        **changes,
    }
    return FailedAttempt(**fields)  # type: ignore[arg-type]


class TestDecideRetry:
    """A request is retried if it has not run, or if it is safe to run it twice."""

    def test_request_not_run_is_retried(self) -> None:
        failed = make_failed_attempt(Verdict.NOT_RUN)
        assert (
            decide_retry(NON_IDEMPOTENT_ROUTE, failed, budget_left=True)
            is RetryDecision.RETRY
        )

    @pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
    def test_request_that_may_have_run_is_not_retried(self, verdict: Verdict) -> None:
        assert (
            decide_retry(
                NON_IDEMPOTENT_ROUTE, make_failed_attempt(verdict), budget_left=True
            )
            is RetryDecision.FAIL
        )

    def test_earlier_attempt_counts(self) -> None:
        failed = make_failed_attempt(Verdict.NOT_RUN, may_have_run=True)
        assert (
            decide_retry(NON_IDEMPOTENT_ROUTE, failed, budget_left=True)
            is RetryDecision.FAIL
        )

    def test_safe_request_is_retried(self) -> None:
        failed = make_failed_attempt(Verdict.MAY_HAVE_RUN)
        assert decide_retry(SAFE_ROUTE, failed, budget_left=True) is RetryDecision.RETRY

    def test_attempts_are_bounded(self) -> None:
        failed = make_failed_attempt(Verdict.MAY_HAVE_RUN, runners_tried=2)
        assert decide_retry(SAFE_ROUTE, failed, budget_left=True) is RetryDecision.FAIL

    def test_runner_that_only_rejected_may_get_the_request_again(self) -> None:
        failed = make_failed_attempt(
            Verdict.MAY_HAVE_RUN, runners_tried=2, may_repeat_rejected=True
        )
        assert decide_retry(SAFE_ROUTE, failed, budget_left=True) is RetryDecision.RETRY
        assert decide_retry(SAFE_ROUTE, failed, budget_left=False) is RetryDecision.FAIL

    def test_exhausted_budget_rejects_request_not_run(self) -> None:
        failed = make_failed_attempt(Verdict.NOT_RUN)
        assert (
            decide_retry(NON_IDEMPOTENT_ROUTE, failed, budget_left=False)
            is RetryDecision.REJECT
        )

    def test_unsent_attempt_needs_no_budget(self) -> None:
        failed = make_failed_attempt(Verdict.NOT_RUN, was_sent=False)
        assert (
            decide_retry(NON_IDEMPOTENT_ROUTE, failed, budget_left=False)
            is RetryDecision.RETRY
        )

    def test_no_retry_without_time_left(self) -> None:
        failed = make_failed_attempt(Verdict.NOT_RUN, time_left_s=0.01)
        assert (
            decide_retry(SAFE_ROUTE, failed, budget_left=True) is RetryDecision.REJECT
        )


class TestKeptRunner:
    """Attempts beside a silent runner whose connection is kept."""

    def test_rejected_request_returns_though_it_could_be_retried(self) -> None:
        failed = make_failed_attempt(
            Verdict.NOT_RUN, may_have_run=True, is_runner_kept=True
        )
        decision = decide_retry(SAFE_ROUTE, failed, budget_left=True)
        assert decision is RetryDecision.RETURN

    def test_silent_runner_is_left_for_the_last_allowed_one(self) -> None:
        """The search for another runner has applied the limit."""
        failed = make_failed_attempt(
            Verdict.MAY_HAVE_RUN, runners_tried=2, is_runner_kept=True
        )
        decision = decide_retry(SAFE_ROUTE, failed, budget_left=True)
        assert decision is RetryDecision.RETRY

    @pytest.mark.parametrize(
        ("budget_left", "time_left_s"), [(False, 2.0), (True, 0.01)]
    )
    def test_silent_runner_is_not_left_without_another_attempt(
        self, budget_left: bool, time_left_s: float
    ) -> None:
        failed = make_failed_attempt(
            Verdict.MAY_HAVE_RUN, time_left_s=time_left_s, is_runner_kept=True
        )
        decision = decide_retry(SAFE_ROUTE, failed, budget_left=budget_left)
        assert decision is RetryDecision.RETURN
