"""Tests of what follows a failed try."""

import pytest

from mangoway.models.routing import RouteKind
from mangoway.models.verdict import Verdict
from mangoway.policy.edge.retries import FailedAttempt, RetryDecision, decide_retry

from ...fakes.fleet import make_route

ONCE = make_route(RouteKind.NON_IDEMPOTENT, max_attempts=2)
SAFE = make_route(RouteKind.SAFE, max_attempts=2)


def fail(verdict: Verdict, **changes: object) -> FailedAttempt:
    fields = {
        "verdict": verdict,
        "ran_before": False,
        "runners_tried": 1,
        "was_sent": True,
        "time_left_s": 2.0,
        **changes,
    }
    return FailedAttempt(**fields)  # type: ignore[arg-type]


class TestDecideNext:
    """Repeats follow from what may have run."""

    def test_not_run_goes_out_again(self) -> None:
        failed = fail(Verdict.NOT_RUN)
        assert decide_retry(ONCE, failed, budget_left=True) is RetryDecision.RETRY

    @pytest.mark.parametrize("verdict", [Verdict.MAY_HAVE_RUN, Verdict.RAN])
    def test_what_may_have_run_goes_out_once(self, verdict: Verdict) -> None:
        assert decide_retry(ONCE, fail(verdict), budget_left=True) is RetryDecision.FAIL

    def test_earlier_run_is_not_forgotten(self) -> None:
        failed = fail(Verdict.NOT_RUN, ran_before=True)
        assert decide_retry(ONCE, failed, budget_left=True) is RetryDecision.FAIL

    def test_safe_request_goes_out_again(self) -> None:
        failed = fail(Verdict.MAY_HAVE_RUN)
        assert decide_retry(SAFE, failed, budget_left=True) is RetryDecision.RETRY

    def test_runners_are_bounded(self) -> None:
        failed = fail(Verdict.MAY_HAVE_RUN, runners_tried=2)
        assert decide_retry(SAFE, failed, budget_left=True) is RetryDecision.FAIL

    def test_spent_budget_refuses_what_did_not_run(self) -> None:
        failed = fail(Verdict.NOT_RUN)
        assert decide_retry(ONCE, failed, budget_left=False) is RetryDecision.REFUSE

    def test_what_was_not_sent_needs_no_budget(self) -> None:
        failed = fail(Verdict.NOT_RUN, was_sent=False)
        assert decide_retry(ONCE, failed, budget_left=False) is RetryDecision.RETRY

    def test_no_time_is_left(self) -> None:
        failed = fail(Verdict.NOT_RUN, time_left_s=0.01)
        assert decide_retry(SAFE, failed, budget_left=True) is RetryDecision.REFUSE
