"""Tests of the history of a request's runs."""

from mangoway.models.verdict import Verdict
from mangoway.policy.edge.run_history import RunHistory


class TestRunHistory:
    """What the attempts of a request prove about its runs."""

    def test_unsent_request_has_not_run(self) -> None:
        assert not RunHistory().may_have_run

    def test_open_attempt_may_have_run(self) -> None:
        history = RunHistory()
        history.record_sent()
        assert history.may_have_run

    def test_rejected_request_has_not_run(self) -> None:
        history = RunHistory()
        history.record_sent()
        history.record_verdict(Verdict.NOT_RUN, "r1")
        assert not history.may_have_run
        assert history.rejected_by == ["r1"]

    def test_rejection_proves_nothing_about_an_earlier_attempt(self) -> None:
        history = RunHistory()
        for verdict in (Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN):
            history.record_sent()
            history.record_verdict(verdict, "r1")
        assert history.may_have_run

    def test_rejection_proves_nothing_about_an_open_attempt(self) -> None:
        history = RunHistory()
        history.record_sent()
        history.record_sent()
        history.record_verdict(Verdict.NOT_RUN, "r1")
        assert history.may_have_run
