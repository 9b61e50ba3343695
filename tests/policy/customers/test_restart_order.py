"""Tests of quotas while edges and schedulers restart one after the other."""

from random import Random

import pytest

from .restarts import RestartedFleet
from .test_quota import RATE

HOSTS = 12
HIGH_DEMAND = 3.3 * RATE
USUAL_DEMAND = 0.55 * RATE

BURST_REFILL_S = 5.0
"""Time in which the largest burst is refilled."""


class TestOverdrafts:
    """Edges that lose their scheduler twice within a window."""

    def test_overdraft_after_a_spent_burst_stays_within_the_quota(self) -> None:
        """The balance had recovered a little, so that an overdraft was allowed."""
        fleet = RestartedFleet(Random(2), HOSTS, has_overdrafts=True)
        fleet.used_hosts = (0,)
        fleet.run(BURST_REFILL_S, 0.0)
        fleet.run(3.0, HIGH_DEMAND)
        for _ in range(2):
            fleet.kill_scheduler(
                grants_again_after_s=1.5, to_standby=True, spread_s=0.5
            )
            fleet.run(3.0, HIGH_DEMAND)
        assert fleet.find_max_in_window() <= fleet.allowed


class TestUsualDemand:
    """A customer that stays below its quota."""

    @pytest.mark.parametrize("to_standby", [True, False])
    @pytest.mark.parametrize("hosts", [HOSTS, 73])
    def test_change_of_scheduler_rejects_nothing(
        self, hosts: int, to_standby: bool
    ) -> None:
        """The reports of running edges are complete, though they arrive in turn."""
        for seed in range(10):
            fleet = RestartedFleet(Random(seed), hosts, has_overdrafts=True)
            fleet.run(12.0, USUAL_DEMAND)
            fleet.rejected = 0
            fleet.kill_scheduler(
                grants_again_after_s=0.2, to_standby=to_standby, spread_s=0.5
            )
            fleet.run(10.0, USUAL_DEMAND)
            assert fleet.rejected == 0

    @pytest.mark.parametrize("share", [0.55, 0.8])
    def test_restarts_in_turn_reject_nothing(self, share: float) -> None:
        """A scheduler that restored only part of a burst rejected such a customer."""
        for seed in range(10):
            fleet = RestartedFleet(Random(seed), HOSTS, has_overdrafts=True)
            fleet.run(12.0, share * RATE)
            fleet.rejected = 0
            for host in range(HOSTS):
                fleet.kill_edges([host], return_after_s=1.0)
                if host % 4 == 1:
                    fleet.kill_scheduler(
                        grants_again_after_s=0.2, to_standby=True, spread_s=0.5
                    )
                fleet.run(1.5, share * RATE)
            assert fleet.rejected == 0
