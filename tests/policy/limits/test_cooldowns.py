"""Tests of the cooldowns that runners request."""

from mangoway.policy.limits.cooldowns import CooldownReport, CooldownTracker


def make_report(rest_s: float, edge: str = "e1", started_ms: int = 0) -> CooldownReport:
    """Return a report that the runner r1 requested a cooldown from an edge."""
    return CooldownReport(
        edge=edge, runner_id="r1", started_ms=started_ms, rest_s=rest_s
    )


def measure(
    tracker: CooldownTracker, now: float, edge: str = "e1", started_ms: int = 0
) -> float:
    return tracker.measure_wait(edge, "r1", started_ms, now)


class TestCooldowns:
    """How long an edge must send no requests to a runner."""

    def test_cooldown_lasts_until_its_end(self) -> None:
        tracker = CooldownTracker()
        assert tracker.update(make_report(3.0), 10.0)
        assert [measure(tracker, now) for now in (10.0, 12.0, 13.0)] == [3.0, 1.0, 0.0]

    def test_other_edges_are_not_affected(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(3.0), 10.0)
        assert measure(tracker, 10.0, "e2") == 0.0

    def test_second_rejection_extends_cooldown(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(3.0), 10.0)
        assert tracker.update(make_report(3.0), 11.0)
        assert measure(tracker, 11.0) == 3.0

    def test_shorter_cooldown_does_not_end_longer_one(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(3.0), 10.0)
        assert not tracker.update(make_report(0.5), 11.0)
        assert measure(tracker, 12.0) == 1.0

    def test_restarted_runner_has_no_cooldown(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(60.0, started_ms=1000), 10.0)
        assert measure(tracker, 11.0, started_ms=1000) == 59.0
        assert measure(tracker, 11.0, started_ms=2000) == 0.0

    def test_report_about_earlier_incarnation_is_ignored(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(3.0, started_ms=2000), 10.0)
        assert not tracker.update(make_report(60.0, started_ms=1000), 10.5)
        assert measure(tracker, 11.0, started_ms=2000) == 2.0

    def test_remaining_time_is_reported(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(3.0), 10.0)
        tracker.update(make_report(1.0, "e2"), 10.0)
        assert tracker.list_reports("e1", 12.0) == [make_report(1.0)]
        assert tracker.list_reports("e2", 12.0) == []

    def test_cooldowns_of_removed_edge_are_dropped(self) -> None:
        tracker = CooldownTracker()
        tracker.update(make_report(3.0), 10.0)
        tracker.remove_edge("e1")
        assert measure(tracker, 10.0) == 0.0

    def test_long_cooldowns_of_several_edges_are_listed(self) -> None:
        tracker = CooldownTracker()
        for now in (10.0, 11.0, 12.0):
            tracker.update(make_report(3.0), now)
            tracker.update(make_report(3.0, "e2"), now)
        assert tracker.list_long_cooldowns(1.0, 2.0, 12.0) == {"r1"}
        assert tracker.list_long_cooldowns(1.0, 3.0, 12.0) == set()
        assert tracker.list_long_cooldowns(5.0, 2.0, 12.0) == set()
        assert tracker.list_long_cooldowns(1.0, 2.0, 16.0) == set()
