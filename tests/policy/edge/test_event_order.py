"""Tests of the order of a stream's events over several runners."""

import pytest

from mangoway.policy.edge.event_order import EventOrder, Placement

NEW, DUPLICATE = Placement.NEW, Placement.DUPLICATE
GAP, CONFLICT = Placement.GAP, Placement.CONFLICT


def place(order: EventOrder, event_id: str | None, text: str) -> Placement:
    number = int(event_id) if event_id is not None and event_id.isdigit() else None
    return order.place(event_id, number, text.encode())


class TestNumbers:
    """Ids that are numbers."""

    @pytest.mark.parametrize(
        ("event_id", "text", "expected"),
        [
            ("4", "x", NEW),
            ("5", "x", GAP),
            ("3", "three", DUPLICATE),
            ("3", "x", CONFLICT),
            ("2", "x", CONFLICT),
            ("1", "x", DUPLICATE),
        ],
    )
    def test_place_after_two_events(
        self, event_id: str, text: str, expected: Placement
    ) -> None:
        order = EventOrder()
        assert [place(order, "2", "two"), place(order, "3", "three")] == [NEW, NEW]
        order.begin_attempt()
        assert place(order, event_id, text) is expected

    def test_what_the_caller_had_before_is_dropped_unseen(self) -> None:
        order = EventOrder(2)
        events = (("1", "x"), ("2", "y"), ("3", "z"), ("3", "other"))
        found = [place(order, *each) for each in events]
        assert found == [DUPLICATE, DUPLICATE, NEW, CONFLICT]


class TestOtherIds:
    """Ids that are not numbers, and events without one."""

    def test_repeated_id_within_one_attempt_is_passed_on_and_not_resumed(self) -> None:
        order = EventOrder()
        assert [place(order, "a", "1"), place(order, "a", "1")] == [NEW, NEW]
        assert not order.is_resumable

    def test_events_without_any_id_are_not_resumed(self) -> None:
        order = EventOrder()
        assert place(order, None, "1") is NEW
        assert not order.is_resumable

    def test_followers_of_an_id_are_told_apart_by_their_place(self) -> None:
        order = EventOrder()
        for event_id, text in (("1", "a"), (None, "x"), (None, "y")):
            place(order, event_id, text)
        order.begin_attempt()
        found = [place(order, None, each) for each in "xyz"]
        assert found == [DUPLICATE, DUPLICATE, NEW]
        order.begin_attempt()
        assert place(order, None, "y") is CONFLICT
