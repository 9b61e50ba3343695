"""Tests of how much spending is known: killed edges must not count as reported."""

from mangoway.policy.customers.const import SCHEDULER_STARTUP_S, SPENDING_RETENTION_S
from mangoway.policy.customers.coverage import EdgeReport, SpendingCoverage
from mangoway.policy.customers.fleet_size import FleetSize

EDGES = 4
OLD = EdgeReport(counted_s=SPENDING_RETENTION_S, edges=EDGES)
NEW = EdgeReport(counted_s=SPENDING_RETENTION_S - 0.1, edges=EDGES)
STARTED_S = SCHEDULER_STARTUP_S


def make_coverage(*reports: EdgeReport) -> SpendingCoverage:
    coverage = SpendingCoverage(granting_since=0.0)
    for number, report in enumerate(reports):
        coverage.record(f"e{number}", report, 0.1)
    return coverage


class TestCoverage:
    """Reports of the edges of a fleet."""

    def test_nothing_is_known_without_a_report(self) -> None:
        coverage = make_coverage()
        assert coverage.measure(0.1) == 0.0
        assert not coverage.is_complete(0.1)

    def test_all_is_known_when_all_edges_have_counted_long_enough(self) -> None:
        coverage = make_coverage(OLD, OLD, OLD, OLD)
        assert coverage.measure(0.1) == 1.0
        assert coverage.is_complete(0.1)

    def test_spending_before_the_start_of_an_edge_is_unknown(self) -> None:
        coverage = make_coverage(OLD, NEW, NEW, NEW)
        assert coverage.measure(0.1) == 0.25
        assert coverage.measure(STARTED_S) == 0.25
        assert not coverage.is_complete(STARTED_S)

    def test_edge_without_a_report_counts_as_known_during_startup_only(self) -> None:
        coverage = make_coverage(OLD, OLD, NEW)
        assert coverage.measure(STARTED_S - 0.01) == 0.75
        assert coverage.measure(STARTED_S) == 0.5
        assert not coverage.is_complete(STARTED_S - 0.01)

    def test_reports_of_new_edges_alone_leave_nothing_known(self) -> None:
        assert make_coverage(NEW).measure(0.1) == 0.0

    def test_edge_of_an_earlier_release_counts_as_new(self) -> None:
        coverage = make_coverage(OLD, OLD, OLD, EdgeReport(counted_s=0.0, edges=0))
        assert coverage.measure(STARTED_S) == 0.75

    def test_edge_that_reports_again_counts_once(self) -> None:
        coverage = make_coverage(NEW, NEW)
        coverage.record("e0", OLD, STARTED_S)
        coverage.record("e0", OLD, STARTED_S)
        assert coverage.measure(STARTED_S) == 0.25

    def test_all_is_known_after_the_retention_period(self) -> None:
        coverage = make_coverage(OLD, NEW)
        assert not coverage.is_complete(SPENDING_RETENTION_S - 0.1)
        assert coverage.is_complete(SPENDING_RETENTION_S)
        assert coverage.measure(SPENDING_RETENTION_S) == 1.0

    def test_change_is_reported(self) -> None:
        coverage = SpendingCoverage(granting_since=0.0)
        assert not coverage.record("e0", NEW, 0.1)
        assert coverage.record("e1", OLD, 0.1)
        assert not coverage.record("e1", OLD, 0.2)


class TestRestart:
    """A standby that starts to grant long after it was started."""

    def test_earlier_period_no_longer_counts(self) -> None:
        coverage = make_coverage(OLD, OLD, OLD, OLD)
        coverage.restart([], 100.0)
        assert coverage.measure(100.0) == 0.0

    def test_report_that_arrived_before_counts_with_the_size_of_its_fleet(self) -> None:
        coverage = make_coverage(OLD, OLD)
        coverage.restart(["e1"], 100.0)
        assert coverage.measure(100.0 + STARTED_S) == 0.25

    def test_ended_edge_is_forgotten_when_its_report_no_longer_matters(self) -> None:
        coverage = make_coverage(OLD, OLD, OLD, OLD)
        coverage.forget("e0", 1.0)
        assert coverage.is_complete(1.0)
        coverage.forget("e0", SPENDING_RETENTION_S)
        assert "e0" not in coverage._reports


class TestFleetSize:
    """Edges that ended: a scheduler that starts can't see them in the store."""

    def test_ended_edges_count_for_the_retention_period(self) -> None:
        size = FleetSize()
        size.record(12, 0.0)
        size.record(1, 3.0)
        size.record(1, SPENDING_RETENTION_S)
        assert size.measure() == 12
        size.record(1, SPENDING_RETENTION_S + 0.1)
        assert size.measure() == 1

    def test_nothing_is_counted_before_the_first_record(self) -> None:
        assert FleetSize().measure() == 0
