"""Tests of the simulated cell."""

from measure.capacity.cell import CellSimulation
from measure.capacity.spread import DataCentre


class TestCellSimulation:
    """Heartbeats of a small cell."""

    def test_reports_of_all_runners_reach_all_nodes(self) -> None:
        cost = CellSimulation(nodes=5, runners=8).run(15.0, 5.0)
        assert 0.0 < cost.mean_age_s < 3.0
        assert cost.lasting_bytes <= cost.bytes_sent
        assert 1.5 < cost.exchanges < 2.5


class TestDataCentre:
    """The spread of edits."""

    def test_each_edit_gets_in_force_and_is_read_by_relays_only(self) -> None:
        cost = DataCentre(nodes=10).run()
        assert cost.watches == 2
        assert 0.0 < cost.slowest_s < 8.0
        assert cost.edit_reads < 4.0
