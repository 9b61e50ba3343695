"""Tests of which requests a stopping host takes."""

import pytest

from mangoway.models.routing import RouteKind
from mangoway.policy.edge.stopping import StopSchedule

SCHEDULE = StopSchedule(began_at=100.0, finish_by=107.4)
CALLS = (RouteKind.SAFE, RouteKind.NON_IDEMPOTENT)


class TestAccepts:
    """Requests that come while the host stops.

    Long calls that came late were passed on, and cut off without an answer at the end
    of the grace period.
    """

    @pytest.mark.parametrize("kind", RouteKind)
    def test_early_requests_of_any_length_are_taken(self, kind: RouteKind) -> None:
        assert SCHEDULE.accepts(kind, 15.0, 102.7)

    @pytest.mark.parametrize("kind", CALLS)
    def test_late_call_is_taken_if_it_ends_in_time(self, kind: RouteKind) -> None:
        assert SCHEDULE.accepts(kind, 4.1, 103.0)
        assert not SCHEDULE.accepts(kind, 4.3, 103.0)

    def test_late_stream_is_not_taken(self) -> None:
        """Its events may be read slowly, whatever its route allows."""
        assert not SCHEDULE.accepts(RouteKind.STREAMING, 1.0, 103.0)

    @pytest.mark.parametrize("kind", CALLS)
    def test_all_taken_late_end_before_the_answers(self, kind: RouteKind) -> None:
        """What is in progress then gets a failure, since it may have run."""
        for tenths in range(29, 75):
            now = 100.0 + tenths / 10
            for limit_s in (0.5, 1.0, 3.0, 9.0):
                if SCHEDULE.accepts(kind, limit_s, now):
                    assert now + limit_s <= SCHEDULE.answer_at < SCHEDULE.finish_by
