"""Tests that each way in which a stream can be out of order is found, and only it."""

import pytest

from .order import (
    EVENT_COUNT,
    Disorder,
    Event,
    EventIds,
    OrderReport,
    Response,
    judge,
    parse_events,
)

ALL = range(1, EVENT_COUNT + 1)
STARTS = {"1": {0}, "2": {5}, "3": {0}}
"""Run 2 went on after event 5; the others are new."""


def make_events(
    numbers: range | list[int], run: str = "1", version: str = "v1"
) -> tuple[Event, ...]:
    return tuple(Event(each, run, version) for each in numbers)


def find(*events: Event, may_resume: bool = True, after: int = 0) -> set[Disorder]:
    """Return what is found in a response that ends as if complete."""
    response = Response(
        events=events, has_ended=True, may_resume=may_resume, after=after
    )
    return judge(response, STARTS)


class TestResponses:
    """The order of the events of one response."""

    def test_complete_stream_is_in_order(self) -> None:
        assert find(*make_events(ALL), may_resume=False) == set()

    def test_missing_event(self) -> None:
        events = [each for each in ALL if each != 5]
        assert find(*make_events(events)) == {Disorder.MISSING}

    def test_missing_first_event(self) -> None:
        assert find(*make_events(ALL[1:])) == {Disorder.MISSING}

    def test_repeated_event(self) -> None:
        assert find(*make_events([1, 2, 3, 3, *ALL[3:]])) == {Disorder.REPEATED}

    def test_repeated_part(self) -> None:
        assert find(*make_events([*ALL[:6], *ALL[4:]])) == {Disorder.REPEATED}

    def test_event_that_the_caller_had(self) -> None:
        events = make_events(ALL[4:], run="2")
        assert find(*events, after=5) == {Disorder.REPEATED}

    def test_run_that_began_anew_is_joined(self) -> None:
        events = make_events(ALL[:5]) + make_events(ALL[5:], run="3")
        assert find(*events) == {Disorder.JOINED}

    def test_run_that_went_on_elsewhere_is_joined(self) -> None:
        events = make_events(ALL[:7]) + make_events(ALL[7:], run="2")
        assert find(*events) == {Disorder.JOINED}

    def test_runs_that_take_turns_are_joined(self) -> None:
        events = make_events(ALL[:5]) + make_events(ALL[5:7], run="2")
        assert find(*events, *make_events(ALL[7:])) == {Disorder.JOINED}

    def test_second_run_of_a_stream_that_may_not_be_resumed_is_joined(self) -> None:
        events = make_events(ALL[:5]) + make_events(ALL[5:], run="2")
        assert find(*events, may_resume=False) == {Disorder.JOINED}

    def test_two_versions_are_joined(self) -> None:
        events = make_events(ALL[:5]) + make_events(ALL[5:], run="2", version="v2")
        assert find(*events) == {Disorder.JOINED}

    def test_run_that_goes_on_at_the_last_event_is_in_order(self) -> None:
        events = make_events(ALL[:5]) + make_events(ALL[5:], run="2")
        assert find(*events) == set()

    def test_run_that_a_runner_went_on_with_is_in_order(self) -> None:
        """A moved run keeps its signature."""
        response = Response(events=make_events(ALL), has_ended=True, may_resume=False)
        assert judge(response, {"1": {0, 6}}) == set()

    @pytest.mark.parametrize("count", [0, 1, EVENT_COUNT - 1])
    def test_early_end(self, count: int) -> None:
        assert find(*make_events(ALL[:count])) == {Disorder.SHORT}

    def test_response_that_breaks_off_is_in_order(self) -> None:
        response = Response(events=make_events(ALL[:5]))
        assert judge(response, STARTS) == set()

    def test_rest_of_a_complete_stream_is_empty(self) -> None:
        assert find(after=EVENT_COUNT) == set()


class TestTries:
    """The order of streams that callers resume."""

    def find(self, second: Response, count: int = 5) -> set[Disorder]:
        """Return what is found in a stream whose first response breaks off."""
        first = Response(events=make_events(ALL[:count]))
        report = OrderReport()
        report.add("a", [first, second], STARTS)
        return {each for each in Disorder if report.count()[each.value]}

    def test_rest_that_goes_on_at_the_last_event_is_in_order(self) -> None:
        events = make_events(ALL[5:], run="2")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest) == set()

    def test_rest_after_the_last_event_with_an_id_is_in_order(self) -> None:
        events = make_events(ALL[5:], run="2")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest, count=6) == set()

    def test_missing_event_between_tries(self) -> None:
        events = make_events(ALL[6:], run="2")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest) == {Disorder.MISSING}

    def test_event_of_the_try_before(self) -> None:
        events = make_events(ALL[4:], run="2")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest) == {Disorder.REPEATED}

    def test_rest_of_a_run_that_began_anew_is_joined(self) -> None:
        events = make_events(ALL[5:], run="3")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest) == {Disorder.JOINED}

    def test_rest_of_another_version_is_joined(self) -> None:
        events = make_events(ALL[5:], run="2", version="v2")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest) == {Disorder.JOINED}

    def test_early_end_of_the_rest(self) -> None:
        events = make_events(ALL[5:8], run="2")
        rest = Response(events=events, after=5, has_ended=True)
        assert self.find(rest) == {Disorder.SHORT}


class TestReports:
    """Counts of streams, and what callers read."""

    def test_each_form_has_a_count(self) -> None:
        report = OrderReport()
        for name, numbers in (("a", [1, 3]), ("b", [1, 2]), ("c", ALL)):
            events = make_events(numbers)
            report.add(name, [Response(events=events, has_ended=True)], STARTS)
        assert report.count() == {"missing": 1, "repeated": 0, "joined": 0, "short": 2}
        assert report.list_violations() == [
            "order-missing: 1 of 3 streams, such as a",
            "order-short: 2 of 3 streams, such as a, b",
        ]

    def test_streams_that_callers_join_are_allowed_up_to_a_number(self) -> None:
        report = OrderReport()
        first = Response(events=make_events(ALL[:5]))
        rest = Response(events=make_events(ALL[5:], "2", "v2"), after=5)
        report.add("a", [first, rest], STARTS)
        assert report.list_violations(1) == []
        assert report.list_violations() == ["order-joined: 1 of 1 streams, such as a"]

    def test_text_that_is_no_event_remains(self) -> None:
        text = "id: 1\ndata: q 1 r7 v2\n\nid: 2\nda"
        assert parse_events(text) == ((Event(1, "7", "v2", "1"),), "id: 2\nda")

    @pytest.mark.parametrize("ids", EventIds)
    def test_last_id_leads_back_to_its_event(self, ids: EventIds) -> None:
        for number in ALL:
            assert ids.find(ids.make(number)) == (number if ids.make(number) else 0)
        assert ids.find(ids.make(1)) == 1
