"""Tests of a runner's limit when all processes that know it are killed at once.

The limit is known from the runner's responses only, so that a fleet that restarts
treats the runner as one without until its next response.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from .test_fleet_limits import EDGES, FleetLimits, start_fleet

ROLLING_S = 0.9
"""Time between two restarts of a release."""


def restart(fleet: FleetLimits, *, schedulers: bool, connected: bool) -> None:
    """Restart all edges at once, and the schedulers as well if chosen."""
    if schedulers:
        fleet.elect()
    for key in sorted(fleet.edges):
        target = fleet.schedulers[-1] if connected else None
        fleet.connect(fleet.edges[key], None)
        fleet.start_edge(key)
        fleet.connect(fleet.edges[key], target)


class RestartedLimits(FleetLimits):
    """The fleet of the limits, of which all processes may be killed at once."""

    @rule(schedulers=st.booleans(), connected=st.booleans())
    def restart_all(self, schedulers: bool, connected: bool) -> None:
        restart(self, schedulers=schedulers, connected=connected)

    @rule()
    def restart_in_turn(self) -> None:
        for key in sorted(self.edges):
            self.connect(self.edges[key], None)
            self.start_edge(key)
            self.connect(self.edges[key], self.schedulers[-1])
            self.call(ROLLING_S, set(range(EDGES)))


TestRestartedLimits = RestartedLimits.TestCase
TestRestartedLimits.settings = settings(
    max_examples=40, stateful_step_count=15, deadline=None
)


class TestRestarts:
    """Cases that the state machine seldom reaches."""

    @pytest.mark.parametrize("connected", [False, True])
    @pytest.mark.parametrize("limit", [1.0, 8.0])
    def test_restart_of_all_doubles_no_window(
        self, limit: float, connected: bool
    ) -> None:
        fleet = start_fleet(limit)
        fleet.call_all(5.0)
        for _ in range(2):
            restart(fleet, schedulers=True, connected=connected)
            fleet.call_all(2.0)
        fleet.call_all(6.0)
