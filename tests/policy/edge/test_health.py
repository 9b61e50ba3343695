"""Tests of the judgement of runners."""

from mangoway.policy.edge.const import AVOID_S, FAILURES_TO_AVOID
from mangoway.policy.edge.health import HealthTracker

RUNNERS = ["r1", "r2", "r3"]


def break_runner(book: HealthTracker, runner_id: str, now: float = 0.0) -> None:
    for _ in range(FAILURES_TO_AVOID):
        book.record_failure(runner_id, now)


class TestHealthBook:
    """Runners that fail in a row are avoided for a while."""

    def test_single_failure_changes_nothing(self) -> None:
        book = HealthTracker()
        assert book.record_failure("r1", 0.0) == 0
        assert book.list_usable(RUNNERS, 0.0) == RUNNERS

    def test_failures_in_a_row_avoid_it(self) -> None:
        book = HealthTracker()
        break_runner(book, "r1")
        assert book.list_usable(RUNNERS, 0.0) == ["r2", "r3"]

    def test_one_failed_connection_is_enough(self) -> None:
        book = HealthTracker()
        assert book.record_failure("r1", 0.0, unreachable=True) > 0
        assert book.list_usable(RUNNERS, 0.0) == ["r2", "r3"]

    def test_success_in_between_counts(self) -> None:
        book = HealthTracker()
        for _ in range(10):
            book.record_failure("r1", 0.0)
            book.record_success("r1")
        assert book.list_usable(RUNNERS, 0.0) == RUNNERS

    def test_it_is_tried_now_and_then(self) -> None:
        book = HealthTracker()
        break_runner(book, "r1")
        assert "r1" in book.list_usable(RUNNERS, AVOID_S)
        book.record_attempt("r1", AVOID_S)
        assert "r1" not in book.list_usable(RUNNERS, AVOID_S + 0.1)

    def test_good_answer_brings_it_back(self) -> None:
        book = HealthTracker()
        break_runner(book, "r1")
        assert book.record_success("r1")
        assert book.list_usable(RUNNERS, 0.0) == RUNNERS

    def test_not_more_than_half_are_avoided(self) -> None:
        book = HealthTracker()
        for runner_id in RUNNERS:
            break_runner(book, runner_id)
        assert book.list_usable(RUNNERS, 0.0) == RUNNERS
