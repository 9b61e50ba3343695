"""Tests that each broken promise about runners' statements is noticed."""

from typing import Any

import pytest

from . import signals
from .signals import SignalRecords


class FakeTime:
    """A clock that tests move."""

    now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture(name="clock")
def make_clock(monkeypatch: pytest.MonkeyPatch) -> FakeTime:
    clock = FakeTime()
    monkeypatch.setattr(signals, "time", clock)
    return clock


def arrive(records: SignalRecords, clock: FakeTime, times: list[float]) -> None:
    """Let requests of one edge reach a runner at times from now on."""
    began = clock.now
    for at in times:
        clock.now = began + at
        records.note_arrival("i-1", "e1")


def spread(count: int, began: float, ended: float) -> list[float]:
    return [began + (ended - began) * each / count for each in range(count)]


class TestLeaving:
    """Requests to a runner whose answer has told an edge that it leaves."""

    def play(self, clock: FakeTime, sent_after_s: float, **fault: bool) -> list[str]:
        records = SignalRecords()
        leaving = records.begin_leaving("i-1")
        records.note_answer(leaving, "e1")
        if fault:
            records.disturb("e1", **fault)
        clock.now += sent_after_s
        records.note_arrival("i-1", "e1", clock.now)
        records.note_arrival("i-1", "e2", clock.now)
        return records.check()

    def test_request_of_the_first_seconds_breaks_nothing(self, clock: FakeTime) -> None:
        assert self.play(clock, 1.9) == []

    def test_later_one(self, clock: FakeTime) -> None:
        assert len(self.play(clock, 2.1)) == 1

    def test_edge_that_is_cut_off_is_bound(self, clock: FakeTime) -> None:
        assert len(self.play(clock, 2.1, cut=True)) == 1

    def test_edge_that_is_paused_is_excused(self, clock: FakeTime) -> None:
        assert self.play(clock, 2.1, cut=False) == []


class TestRest:
    """Requests to a runner that has asked an edge for 3 s of rest."""

    def play(self, clock: FakeTime, times: list[float], rest_s: float = 3.0) -> int:
        records = SignalRecords()
        records.note_refusal("i-1", "e1", rest_s)
        arrive(records, clock, times)
        return len(records.check())

    def test_two_requests_break_nothing(self, clock: FakeTime) -> None:
        assert self.play(clock, [0.6, 2.9]) == 0

    def test_third_one(self, clock: FakeTime) -> None:
        assert self.play(clock, [0.6, 1.5, 2.9]) == 1

    def test_requests_on_their_way_and_after_the_end_count_not(
        self, clock: FakeTime
    ) -> None:
        assert self.play(clock, [0.1, 0.2, 0.4, 3.1, 3.2, 3.3]) == 0

    def test_refusal_without_rest(self, clock: FakeTime) -> None:
        assert self.play(clock, [0.6, 0.7, 0.8, 0.9], rest_s=0.0) == 0

    def test_other_edges_are_not_bound(self, clock: FakeTime) -> None:
        records = SignalRecords()
        records.note_refusal("i-1", "e2", 3.0)
        arrive(records, clock, [0.6, 0.7, 0.8, 0.9])
        assert records.check() == []


class TestLimit:
    """Windows of a runner that names 2 requests a second; 17 are allowed."""

    def play(self, clock: Any, times: list[float], *, told: bool = True) -> list[str]:
        records = SignalRecords()
        spell = records.begin_limit("i-1", 2.0)
        if told:
            records.note_answer(spell, "e1")
        arrive(records, clock, times)
        return records.check()

    def test_what_is_allowed_breaks_nothing(self, clock: FakeTime) -> None:
        assert self.play(clock, spread(17, 2.0, 5.0)) == []

    def test_one_more(self, clock: FakeTime) -> None:
        assert len(self.play(clock, spread(18, 2.0, 5.0))) == 1

    def test_first_seconds_are_not_held(self, clock: FakeTime) -> None:
        assert self.play(clock, spread(40, 0.0, 2.9)) == []

    def test_edge_that_was_not_told_is_not_bound(self, clock: FakeTime) -> None:
        assert self.play(clock, spread(40, 2.0, 5.0), told=False) == []

    def test_end_of_the_limit_ends_the_bound(self, clock: FakeTime) -> None:
        records = SignalRecords()
        spell = records.begin_limit("i-1", 2.0)
        records.note_answer(spell, "e1")
        spell.ended = clock.now + 3.0
        arrive(records, clock, spread(40, 3.1, 5.0))
        assert records.check() == []

    def test_disturbed_edge_is_excused(self, clock: FakeTime) -> None:
        records = SignalRecords()
        spell = records.begin_limit("i-1", 2.0)
        records.note_answer(spell, "e1")
        records.disturb("e1")
        arrive(records, clock, spread(40, 2.0, 5.0))
        assert records.check() == []
