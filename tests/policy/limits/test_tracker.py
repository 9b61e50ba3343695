"""Tests of the tracker of runners' rate limits."""

import math

import pytest

from mangoway.policy.limits.const import (
    BURST_S,
    LIMIT_RETENTION_S,
    MAX_LIMIT_RETRY_AFTER_S,
    MIN_LIMITED_S,
    MIN_REQUESTS_PER_S,
    UNCHARGED_REQUESTS,
    UNCHARGED_S,
)
from mangoway.policy.limits.tracker import LimitReport, LimitTracker

RUNNER = ("r1", 0)


def make_report(
    limit: float | None,
    *,
    request_age_s: float = 0.02,
    response_age_s: float = 0.0,
    started_ms: int = 0,
    recent_requests: int = 0,
) -> LimitReport:
    """Return a report about the runner r1."""
    return LimitReport(
        runner_id="r1",
        started_ms=started_ms,
        limit=limit,
        request_age_s=request_age_s,
        response_age_s=response_age_s,
        recent_requests=recent_requests,
    )


def count_sent(tracker: LimitTracker, began: float, ended: float) -> int:
    """Return how many requests may be sent in a period if some are always waiting."""
    sent, now = 0, began
    while now < ended:
        if tracker.measure_wait(*RUNNER, now) == 0:
            tracker.record_request(*RUNNER, now)
            sent += 1
        now += 0.01
    return sent


class TestReports:
    """Which reports take effect."""

    def test_runner_without_report_is_not_limited(self) -> None:
        tracker = LimitTracker()
        assert not tracker.update(make_report(None), 10.0)
        assert tracker.get_limit("r1") is None
        assert tracker.measure_wait(*RUNNER, 10.0) == 0

    def test_only_different_limit_is_change(self) -> None:
        tracker = LimitTracker()
        limits = (2.0, 2.0, 1.5)
        changes = [
            tracker.update(make_report(each), float(at))
            for at, each in enumerate(limits)
        ]
        assert changes == [True, False, True]
        assert tracker.get_limit("r1") == 1.5

    def test_response_to_later_request_removes_limit(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        assert tracker.update(make_report(None, request_age_s=0.1), 10.2)
        assert tracker.get_limit("r1") is None

    def test_response_to_earlier_request_keeps_limit(self) -> None:
        """The response may have been written before the limit was set."""
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        assert not tracker.update(make_report(None, request_age_s=0.5), 10.2)
        assert tracker.get_limit("r1") == 2.0

    def test_outdated_report_of_removed_limit_is_ignored(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        tracker.update(make_report(None, request_age_s=0.1), 10.2)
        assert not tracker.update(make_report(2.0, response_age_s=0.25), 10.3)
        assert tracker.get_limit("r1") is None

    def test_outdated_report_of_earlier_limit_is_ignored(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        assert not tracker.update(make_report(9.0, response_age_s=5.0), 10.1)
        assert tracker.get_limit("r1") == 2.0

    def test_removal_is_found_for_outdated_report(self) -> None:
        """A process that missed the removal still reports the limit."""
        tracker, outdated_tracker = LimitTracker(), LimitTracker()
        for each in (tracker, outdated_tracker):
            each.update(make_report(2.0), 10.0)
        tracker.update(make_report(None), 12.0)
        removal = tracker.find_removal(outdated_tracker.list_reports(13.0)[0], 13.0)
        assert removal is not None
        assert outdated_tracker.update(removal, 13.0)
        assert outdated_tracker.list_reports(13.0) == []

    def test_no_removal_is_found_for_later_limit(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0, started_ms=5), 10.0)
        tracker.update(make_report(None, started_ms=5), 12.0)
        later = make_report(3.0, response_age_s=0.5, started_ms=5)
        assert tracker.find_removal(later, 13.0) is None
        later_incarnation = make_report(3.0, response_age_s=5.0, started_ms=9)
        assert tracker.find_removal(later_incarnation, 13.0) is None

    def test_restarted_runner_is_not_limited(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0, started_ms=1000), 10.0)
        assert tracker.get_limit("r1", 1000) == 2.0
        assert tracker.get_limit("r1", 2000) is None
        assert tracker.measure_wait("r1", 2000, 10.0) == 0

    def test_report_about_earlier_incarnation_is_ignored(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0, started_ms=2000), 10.0)
        assert not tracker.update(make_report(7.0, started_ms=1000), 10.5)
        assert not tracker.update(make_report(None, started_ms=1000), 10.5)
        assert tracker.get_limit("r1", 2000) == 2.0

    def test_limit_of_new_incarnation_replaces_earlier_one(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0, started_ms=1000), 10.0)
        assert tracker.update(make_report(7.0, started_ms=2000), 10.5)
        assert tracker.get_limit("r1", 2000) == 7.0

    def test_removed_runner_is_dropped(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        tracker.keep_only(set(), 10.0)
        tracker.keep_only(set(), 10.0 + LIMIT_RETENTION_S)
        assert tracker.list_reports(80.0) == []

    def test_limit_is_kept_while_entry_is_missing(self) -> None:
        """Edges that have reported the limit don't report it again."""
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        tracker.keep_only(set(), 10.0)
        tracker.keep_only({"r1"}, 30.0)
        tracker.keep_only(set(), 10.0 + LIMIT_RETENTION_S)
        assert tracker.get_limit("r1") == 2.0


class TestRate:
    """Which requests may be sent."""

    @pytest.mark.parametrize("limit", [1.5, 2.1, 20.0])
    def test_whole_limit_is_used(self, limit: float) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(limit), 0.0)
        assert count_sent(tracker, 0.0, 8.0) >= 8 * limit - 1

    @pytest.mark.parametrize("limit", [1.5, 2.1, 20.0])
    def test_burst_after_idle_time_is_small(self, limit: float) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(limit), 0.0)
        assert count_sent(tracker, 100.0, 100.01) <= 1 + BURST_S * limit

    def test_limit_of_zero_allows_minimum_rate(self) -> None:
        """Only a response can report that the runner accepts requests again."""
        tracker = LimitTracker()
        tracker.update(make_report(0.0), 0.0)
        assert count_sent(tracker, 0.0, 40.0) == pytest.approx(
            40 * MIN_REQUESTS_PER_S, abs=1
        )

    def test_share_of_limit(self) -> None:
        tracker = LimitTracker(get_share=lambda runner_id: 0.5)
        tracker.update(make_report(4.0), 0.0)
        assert count_sent(tracker, 0.0, 10.0) == pytest.approx(20, abs=1)

    def test_share_of_zero(self) -> None:
        tracker = LimitTracker(get_share=lambda runner_id: 0.0)
        tracker.update(make_report(4.0), 0.0)
        assert tracker.measure_wait(*RUNNER, 50.0) == math.inf
        assert tracker.reserve_retry_after(*RUNNER, 50.0) == MAX_LIMIT_RETRY_AFTER_S

    def test_larger_share_is_not_retroactive(self) -> None:
        share = [0.0]
        tracker = LimitTracker(get_share=lambda runner_id: share[0])
        tracker.update(make_report(4.0), 0.0)
        count_sent(tracker, 0.0, 10.0)
        share[0] = 1.0
        assert count_sent(tracker, 10.0, 10.2) == 0

    def test_recent_requests_are_charged(self) -> None:
        tracker = LimitTracker()
        uncharged = 2.0 * UNCHARGED_S + UNCHARGED_REQUESTS
        for requests in (6, 6):
            tracker.update(make_report(2.0, recent_requests=requests), 0.0)
        assert count_sent(tracker, 0.0, 6.0) == pytest.approx(
            12 - (12 - uncharged), abs=1
        )

    def test_usual_number_of_recent_requests_is_not_charged(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0, recent_requests=int(2.0 * UNCHARGED_S)), 0.0)
        assert count_sent(tracker, 0.0, 4.0) >= 7

    def test_removed_limit_has_immediate_effect(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(0.5), 0.0)
        tracker.update(make_report(None), 1.0)
        assert count_sent(tracker, 1.0, 2.0) == 100


class TestRetryAfter:
    """Retry-after times of rejected callers."""

    def test_each_caller_has_its_own_retry_time(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 0.0)
        times = [tracker.reserve_retry_after(*RUNNER, 0.0) for _ in range(4)]
        assert times == pytest.approx([0.5, 1.0, 1.5, 2.0])

    def test_retry_after_is_bounded(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(0.0), 0.0)
        times = [tracker.reserve_retry_after(*RUNNER, 0.0) for _ in range(4)]
        assert max(times) <= MAX_LIMIT_RETRY_AFTER_S


class TestPlacement:
    """Limits that are considered in placement."""

    def test_limit_counts_after_minimum_time(self) -> None:
        tracker = LimitTracker()
        tracker.update(make_report(2.0), 10.0)
        assert tracker.list_long_limited(10.0) == frozenset()
        assert tracker.list_long_limited(10.0 + MIN_LIMITED_S) == {"r1"}
        tracker.update(make_report(None), 12.0)
        assert tracker.list_long_limited(20.0) == frozenset()
