"""Tests of the runner health tracker."""

from mangoway.policy.edge.const import AVOIDED_RETRY_INTERVAL_S, FAILURES_TO_AVOID
from mangoway.policy.edge.health import HealthTracker

RUNNERS = ["r1", "r2", "r3"]


def break_runner(tracker: HealthTracker, runner_id: str, now: float = 0.0) -> None:
    for _ in range(FAILURES_TO_AVOID):
        tracker.record_failure(runner_id, now)


class TestHealthTracker:
    """Runners that fail several times in a row are avoided for a while."""

    def test_single_failure_changes_nothing(self) -> None:
        tracker = HealthTracker()
        assert tracker.record_failure("r1", 0.0) == 0
        assert tracker.list_usable(RUNNERS, 0.0) == RUNNERS

    def test_consecutive_failures_avoid_runner(self) -> None:
        tracker = HealthTracker()
        break_runner(tracker, "r1")
        assert tracker.list_usable(RUNNERS, 0.0) == ["r2", "r3"]

    def test_one_failed_connection_is_enough(self) -> None:
        tracker = HealthTracker()
        assert tracker.record_failure("r1", 0.0, unreachable=True) > 0
        assert tracker.list_usable(RUNNERS, 0.0) == ["r2", "r3"]

    def test_success_resets_failures(self) -> None:
        tracker = HealthTracker()
        for _ in range(10):
            tracker.record_failure("r1", 0.0)
            tracker.record_success("r1")
        assert tracker.list_usable(RUNNERS, 0.0) == RUNNERS

    def test_avoided_runner_is_retried_at_intervals(self) -> None:
        tracker = HealthTracker()
        break_runner(tracker, "r1")
        assert "r1" in tracker.list_usable(RUNNERS, AVOIDED_RETRY_INTERVAL_S)
        tracker.record_attempt("r1", AVOIDED_RETRY_INTERVAL_S)
        assert "r1" not in tracker.list_usable(RUNNERS, AVOIDED_RETRY_INTERVAL_S + 0.1)

    def test_success_ends_avoidance(self) -> None:
        tracker = HealthTracker()
        break_runner(tracker, "r1")
        assert tracker.record_success("r1")
        assert tracker.list_usable(RUNNERS, 0.0) == RUNNERS

    def test_at_most_half_are_avoided(self) -> None:
        tracker = HealthTracker()
        for runner_id in RUNNERS:
            break_runner(tracker, runner_id)
        assert tracker.list_usable(RUNNERS, 0.0) == RUNNERS
