"""Tests that each violated guarantee about runners' signals is reported."""

from typing import Any

import pytest

from . import signals
from .signals import SignalRecords


class FakeTime:
    """A clock that tests advance."""

    now = 100.0

    def monotonic(self) -> float:
        return self.now


@pytest.fixture(name="clock")
def make_clock(monkeypatch: pytest.MonkeyPatch) -> FakeTime:
    clock = FakeTime()
    monkeypatch.setattr(signals, "time", clock)
    return clock


def arrive(records: SignalRecords, clock: FakeTime, times: list[float]) -> None:
    """Record arrivals of one edge's requests at a runner, at times relative to now."""
    began = clock.now
    for at in times:
        clock.now = began + at
        records.record_arrival("i-1", "e1")


def spread(count: int, began: float, ended: float) -> list[float]:
    return [began + (ended - began) * each / count for each in range(count)]


class TestLeaving:
    """Requests of an edge that received the leaving signal of the runner."""

    def run(self, clock: FakeTime, sent_after_s: float, **fault: bool) -> list[str]:
        records = SignalRecords()
        leaving = records.begin_leaving("i-1")
        records.record_response(leaving, "e1")
        if fault:
            records.disturb("e1", **fault)
        clock.now += sent_after_s
        records.record_arrival("i-1", "e1", clock.now)
        records.record_arrival("i-1", "e2", clock.now)
        return records.check()

    def test_request_within_the_drain_time_is_no_violation(
        self, clock: FakeTime
    ) -> None:
        assert self.run(clock, 1.9) == []

    def test_request_after_the_drain_time(self, clock: FakeTime) -> None:
        assert len(self.run(clock, 2.1)) == 1

    def test_edge_that_is_cut_off_must_stop_sending(self, clock: FakeTime) -> None:
        assert len(self.run(clock, 2.1, cut=True)) == 1

    def test_edge_that_is_paused_is_excused(self, clock: FakeTime) -> None:
        assert self.run(clock, 2.1, cut=False) == []


class TestCooldown:
    """Requests of an edge to a runner that sent it a cooldown of 3 s."""

    def run(self, clock: FakeTime, times: list[float], cooldown_s: float = 3.0) -> int:
        records = SignalRecords()
        records.record_rejection("i-1", "e1", cooldown_s)
        arrive(records, clock, times)
        return len(records.check())

    def test_two_requests_are_no_violation(self, clock: FakeTime) -> None:
        assert self.run(clock, [0.6, 2.9]) == 0

    def test_third_request(self, clock: FakeTime) -> None:
        assert self.run(clock, [0.6, 1.5, 2.9]) == 1

    def test_requests_outside_the_checked_part_of_the_cooldown_are_ignored(
        self, clock: FakeTime
    ) -> None:
        assert self.run(clock, [0.1, 0.2, 0.4, 3.1, 3.2, 3.3]) == 0

    def test_rejection_without_a_cooldown(self, clock: FakeTime) -> None:
        assert self.run(clock, [0.6, 0.7, 0.8, 0.9], cooldown_s=0.0) == 0

    def test_other_edges_may_send(self, clock: FakeTime) -> None:
        records = SignalRecords()
        records.record_rejection("i-1", "e2", 3.0)
        arrive(records, clock, [0.6, 0.7, 0.8, 0.9])
        assert records.check() == []


class TestLimit:
    """Windows of a runner with a limit of 2 requests a second; 17 are allowed."""

    def run(
        self, clock: Any, times: list[float], *, received: bool = True
    ) -> list[str]:
        records = SignalRecords()
        period = records.begin_limit("i-1", 2.0)
        if received:
            records.record_response(period, "e1")
        arrive(records, clock, times)
        return records.check()

    def test_requests_at_the_limit_are_no_violation(self, clock: FakeTime) -> None:
        assert self.run(clock, spread(17, 2.0, 5.0)) == []

    def test_one_request_over_the_limit(self, clock: FakeTime) -> None:
        assert len(self.run(clock, spread(18, 2.0, 5.0))) == 1

    def test_first_seconds_are_not_checked(self, clock: FakeTime) -> None:
        assert self.run(clock, spread(40, 0.0, 2.9)) == []

    def test_edge_without_the_limit_may_send(self, clock: FakeTime) -> None:
        assert self.run(clock, spread(40, 2.0, 5.0), received=False) == []

    def test_limit_that_has_ended_is_not_checked(self, clock: FakeTime) -> None:
        records = SignalRecords()
        period = records.begin_limit("i-1", 2.0)
        records.record_response(period, "e1")
        period.ended = clock.now + 3.0
        arrive(records, clock, spread(40, 3.1, 5.0))
        assert records.check() == []

    def test_disturbed_edge_is_excused(self, clock: FakeTime) -> None:
        records = SignalRecords()
        period = records.begin_limit("i-1", 2.0)
        records.record_response(period, "e1")
        records.disturb("e1")
        arrive(records, clock, spread(40, 2.0, 5.0))
        assert records.check() == []
