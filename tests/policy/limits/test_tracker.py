"""Tests of the limits that runners name."""

import math

import pytest

from mangoway.policy.limits.const import (
    BURST_S,
    FORGET_S,
    FREE_REQUESTS,
    FREE_S,
    LEAST_RATE,
    MAX_LIMIT_RETRY_AFTER_S,
    MIN_LIMITED_S,
)
from mangoway.policy.limits.tracker import LimitReport, LimitTracker

LIFE = ("r1", 0)


def say(
    limit: float | None,
    *,
    request_age_s: float = 0.02,
    response_age_s: float = 0.0,
    started_ms: int = 0,
    recent_requests: int = 0,
) -> LimitReport:
    """Return a statement of the runner r1."""
    return LimitReport(
        runner_id="r1",
        started_ms=started_ms,
        limit=limit,
        request_age_s=request_age_s,
        response_age_s=response_age_s,
        recent_requests=recent_requests,
    )


def count_sent(book: LimitTracker, began: float, ended: float) -> int:
    """Return the requests that may be sent in a time in which many wait."""
    sent, now = 0, began
    while now < ended:
        if book.measure_wait(*LIFE, now) == 0:
            book.record_request(*LIFE, now)
            sent += 1
        now += 0.01
    return sent


class TestStatements:
    """Which statement is believed."""

    def test_runner_that_said_nothing_is_not_limited(self) -> None:
        book = LimitTracker()
        assert not book.update(say(None), 10.0)
        assert book.get_limit("r1") is None
        assert book.measure_wait(*LIFE, 10.0) == 0

    def test_only_another_limit_is_news(self) -> None:
        book = LimitTracker()
        limits = (2.0, 2.0, 1.5)
        changes = [book.update(say(each), float(at)) for at, each in enumerate(limits)]
        assert changes == [True, False, True]
        assert book.get_limit("r1") == 1.5

    def test_answer_to_a_later_request_ends_it(self) -> None:
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        assert book.update(say(None, request_age_s=0.1), 10.2)
        assert book.get_limit("r1") is None

    def test_answer_to_a_request_of_before_does_not_end_it(self) -> None:
        """It may have been written before the limit was named."""
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        assert not book.update(say(None, request_age_s=0.5), 10.2)
        assert book.get_limit("r1") == 2.0

    def test_late_word_of_a_limit_that_has_ended_is_not_believed(self) -> None:
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        book.update(say(None, request_age_s=0.1), 10.2)
        assert not book.update(say(2.0, response_age_s=0.25), 10.3)
        assert book.get_limit("r1") is None

    def test_late_word_of_an_earlier_limit_is_not_believed(self) -> None:
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        assert not book.update(say(9.0, response_age_s=5.0), 10.1)
        assert book.get_limit("r1") == 2.0

    def test_end_is_found_for_who_does_not_know_it(self) -> None:
        book, other = LimitTracker(), LimitTracker()
        for each in (book, other):
            each.update(say(2.0), 10.0)
        book.update(say(None), 12.0)
        end = book.find_removal(other.list_reports(13.0)[0], 13.0)
        assert end is not None
        assert other.update(end, 13.0)
        assert other.list_reports(13.0) == []

    def test_no_end_is_found_for_a_later_limit(self) -> None:
        book = LimitTracker()
        book.update(say(2.0, started_ms=5), 10.0)
        book.update(say(None, started_ms=5), 12.0)
        later = say(3.0, response_age_s=0.5, started_ms=5)
        assert book.find_removal(later, 13.0) is None
        later_life = say(3.0, response_age_s=5.0, started_ms=9)
        assert book.find_removal(later_life, 13.0) is None

    def test_new_life_owes_nothing(self) -> None:
        book = LimitTracker()
        book.update(say(2.0, started_ms=1000), 10.0)
        assert book.get_limit("r1", 1000) == 2.0
        assert book.get_limit("r1", 2000) is None
        assert book.measure_wait("r1", 2000, 10.0) == 0

    def test_word_of_an_earlier_life_is_not_believed(self) -> None:
        book = LimitTracker()
        book.update(say(2.0, started_ms=2000), 10.0)
        assert not book.update(say(7.0, started_ms=1000), 10.5)
        assert not book.update(say(None, started_ms=1000), 10.5)
        assert book.get_limit("r1", 2000) == 2.0

    def test_limit_of_a_new_life_replaces_that_of_the_one_before(self) -> None:
        book = LimitTracker()
        book.update(say(2.0, started_ms=1000), 10.0)
        assert book.update(say(7.0, started_ms=2000), 10.5)
        assert book.get_limit("r1", 2000) == 7.0

    def test_runner_that_is_gone_is_forgotten(self) -> None:
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        book.keep_only(set(), 10.0)
        book.keep_only(set(), 10.0 + FORGET_S)
        assert book.list_reports(80.0) == []

    def test_limit_outlasts_an_entry_that_vanishes_and_comes_back(self) -> None:
        """Edges that have told it don't tell it again."""
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        book.keep_only(set(), 10.0)
        book.keep_only({"r1"}, 30.0)
        book.keep_only(set(), 10.0 + FORGET_S)
        assert book.get_limit("r1") == 2.0


class TestPace:
    """What may be sent."""

    @pytest.mark.parametrize("limit", [1.5, 2.1, 20.0])
    def test_limit_is_used_up(self, limit: float) -> None:
        book = LimitTracker()
        book.update(say(limit), 0.0)
        assert count_sent(book, 0.0, 8.0) >= 8 * limit - 1

    @pytest.mark.parametrize("limit", [1.5, 2.1, 20.0])
    def test_burst_after_silence_is_small(self, limit: float) -> None:
        book = LimitTracker()
        book.update(say(limit), 0.0)
        assert count_sent(book, 100.0, 100.01) <= 1 + BURST_S * limit

    def test_runner_that_takes_nothing_is_asked_now_and_then(self) -> None:
        """Only an answer can say that it takes requests again."""
        book = LimitTracker()
        book.update(say(0.0), 0.0)
        assert count_sent(book, 0.0, 40.0) == pytest.approx(40 * LEAST_RATE, abs=1)

    def test_part_of_a_limit(self) -> None:
        book = LimitTracker(get_share=lambda runner_id: 0.5)
        book.update(say(4.0), 0.0)
        assert count_sent(book, 0.0, 10.0) == pytest.approx(20, abs=1)

    def test_no_part_of_a_limit(self) -> None:
        book = LimitTracker(get_share=lambda runner_id: 0.0)
        book.update(say(4.0), 0.0)
        assert book.measure_wait(*LIFE, 50.0) == math.inf
        assert book.reserve_retry_after(*LIFE, 50.0) == MAX_LIMIT_RETRY_AFTER_S

    def test_larger_part_counts_from_now_on(self) -> None:
        share = [0.0]
        book = LimitTracker(get_share=lambda runner_id: share[0])
        book.update(say(4.0), 0.0)
        count_sent(book, 0.0, 10.0)
        share[0] = 1.0
        assert count_sent(book, 10.0, 10.2) == 0

    def test_what_was_sent_just_before_counts(self) -> None:
        book = LimitTracker()
        free = 2.0 * FREE_S + FREE_REQUESTS
        for edge_sent in (6, 6):
            book.update(say(2.0, recent_requests=edge_sent), 0.0)
        assert count_sent(book, 0.0, 6.0) == pytest.approx(12 - (12 - free), abs=1)

    def test_usual_work_is_not_held_against_a_runner(self) -> None:
        book = LimitTracker()
        book.update(say(2.0, recent_requests=int(2.0 * FREE_S)), 0.0)
        assert count_sent(book, 0.0, 4.0) >= 7

    def test_limit_that_ends_frees_at_once(self) -> None:
        book = LimitTracker()
        book.update(say(0.5), 0.0)
        book.update(say(None), 1.0)
        assert count_sent(book, 1.0, 2.0) == 100


class TestTimes:
    """When refused callers are to come back."""

    def test_each_has_a_turn_of_its_own(self) -> None:
        book = LimitTracker()
        book.update(say(2.0), 0.0)
        times = [book.reserve_retry_after(*LIFE, 0.0) for _ in range(4)]
        assert times == pytest.approx([0.5, 1.0, 1.5, 2.0])

    def test_nobody_is_told_to_stay_away_for_long(self) -> None:
        book = LimitTracker()
        book.update(say(0.0), 0.0)
        times = [book.reserve_retry_after(*LIFE, 0.0) for _ in range(4)]
        assert max(times) <= MAX_LIMIT_RETRY_AFTER_S


class TestPlacement:
    """What placement hears of limits."""

    def test_limit_counts_after_a_while(self) -> None:
        book = LimitTracker()
        book.update(say(2.0), 10.0)
        assert book.list_long_limited(10.0) == frozenset()
        assert book.list_long_limited(10.0 + MIN_LIMITED_S) == {"r1"}
        book.update(say(None), 12.0)
        assert book.list_long_limited(20.0) == frozenset()
