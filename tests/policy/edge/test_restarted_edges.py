"""Tests of the retry budget while all edges restart, at once or one after the other.

What an edge has sent is known to its own process only, so that nobody knows what the
fleet has sent once all of them are killed.
"""

import pytest
from hypothesis import settings
from hypothesis.stateful import rule

from .test_fleet_budget import (
    EDGES,
    FILL_REQUESTS,
    RATIO,
    FleetBudget,
    LargeFleetBudget,
)

ROLLING_S = 0.9
"""Time between two restarts of a release."""


class RestartedFleet(FleetBudget):
    """The fleet of the budget, of which all edges may be killed at once."""

    @rule()
    def kill_all(self) -> None:
        """Restart all edges at once; what they have sent arrives."""
        for key in list(self.edges):
            self.deliver_retries(self.edges[key])
            self.start_edge(key)

    @rule()
    def retry_and_kill_all(self) -> None:
        self.fill_savings()
        self.retry_all()
        self.kill_all()
        self.advance(0.3)

    @rule()
    def restart_in_turn(self) -> None:
        """Restart one edge after the other while all retry what they may."""
        for key in list(self.edges):
            self.fill_savings()
            self.retry_all()
            self.start_edge(key)
            self.advance(ROLLING_S)


class LargeRestartedFleet(RestartedFleet, LargeFleetBudget):
    """The same with a share of less than one credit for each edge."""


TestRestartedFleet = RestartedFleet.TestCase
TestRestartedFleet.settings = settings(
    max_examples=40, stateful_step_count=20, deadline=None
)
TestLargeRestartedFleet = LargeRestartedFleet.TestCase
TestLargeRestartedFleet.settings = settings(
    max_examples=10, stateful_step_count=12, deadline=None
)


class TestRestarts:
    """Cases that the state machine seldom reaches."""

    @pytest.mark.parametrize("restarts", [1, 2, 4])
    @pytest.mark.parametrize("pause_s", [0.3, 2.0, 9.0])
    def test_window_stays_within_budget_when_all_restart(
        self, restarts: int, pause_s: float
    ) -> None:
        fleet = RestartedFleet()
        fleet.start()
        fleet.advance(30.0)
        fleet.fill_savings()
        for _ in range(restarts):
            fleet.retry_all()
            fleet.kill_all()
            fleet.advance(pause_s)
        for _ in range(60):
            fleet.advance(0.5)
            fleet.retry_all()
        assert len(fleet.windows.retries) > RATIO * EDGES * FILL_REQUESTS / 2 / EDGES
        assert fleet.windows.find_excess() == 0

    def test_few_edges_of_a_restarted_fleet_use_no_more_than_the_budget(self) -> None:
        fleet = RestartedFleet()
        fleet.start()
        fleet.advance(30.0)
        fleet.fill_savings()
        fleet.retry_all()
        keys = list(fleet.edges)
        fleet.edges.clear()
        fleet.start_edge(keys[0])
        for _ in range(30):
            fleet.advance(0.5)
            fleet.retry_all()
        for key in keys[1:]:
            fleet.start_edge(key)
        for _ in range(60):
            fleet.advance(0.5)
            fleet.retry_all()
        assert fleet.windows.find_excess() == 0
