"""Tests of the simulation in virtual time."""

from attrs import evolve

from measure.demand import Demand, build_demand
from measure.faults import Fault
from measure.policies import BASELINES, OURS
from measure.simulation import RunResult, Simulation
from measure.sites import build_khangai

LAST_ARRIVAL_S = 170.0


def run_briefly(fault: Fault = Fault.NONE, policy: int | None = None) -> RunResult:
    site = build_khangai()
    demand = build_demand(site, seed=7)
    arrivals = tuple(a for a in demand.arrivals if a.time < LAST_ARRIVAL_S)
    demand = Demand(arrivals=arrivals, surges=demand.surges)
    chosen = OURS if policy is None else BASELINES[policy]
    return Simulation(site, demand, chosen, fault, seed=7).run()


class TestSimulation:
    """Low traffic at the beginning of a day."""

    def test_same_seed_gives_the_same_run(self) -> None:
        first, second = run_briefly(), run_briefly()
        assert evolve(first, outcomes=()) == evolve(second, outcomes=())
        assert [one.finished_at for one in first.outcomes] == [
            one.finished_at for one in second.outcomes
        ]

    def test_low_traffic_meets_targets_without_faults(self) -> None:
        result = run_briefly()
        met = sum(outcome.is_met for outcome in result.outcomes)
        assert met >= 0.95 * len(result.outcomes)
        assert result.over_size == 0
        assert result.doubled_runs == 0
