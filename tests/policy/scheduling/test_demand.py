"""Tests of the estimated and predicted demand for a model."""

from mangoway.policy.scheduling.const import REJECTION_MATCH_S
from mangoway.policy.scheduling.demand import Demand, RejectedRequests

from ...fakes.fleet import make_grant_request
from .world import World

HORIZON_S = 3.0


def simulate(rates: list[float]) -> Demand:
    """Return the demand after seconds with these numbers of evenly spaced requests."""
    demand = Demand()
    for second, rate in enumerate(rates):
        for number in range(int(rate)):
            demand.add(1, second + number / rate)
    return demand


class TestTrend:
    """Demand predicted for some seconds ahead."""

    def test_even_rise_is_followed(self) -> None:
        demand = simulate([4, 8, 12, 16, 20])
        assert 20 < demand.predict(5.0, HORIZON_S) < 36

    def test_rate_lags_behind(self) -> None:
        demand = simulate([4, 8, 12, 16, 20])
        assert demand.get_rate(5.0) < 15

    def test_steady_rate_stays(self) -> None:
        demand = simulate([10] * 30)
        assert 9 < demand.predict(30.0, HORIZON_S) < 12

    def test_falling_rate_is_not_extrapolated(self) -> None:
        demand = simulate([20] * 20 + [10, 5, 5, 5])
        assert 5 < demand.predict(24.0, HORIZON_S) < 12


class TestRejectedRequests:
    """Retries of rejected callers."""

    def test_retry_is_recognised_once(self) -> None:
        rejected = RejectedRequests()
        grant_request = make_grant_request("q1")
        rejected.add(grant_request.model, grant_request.prompt, now=1.0)
        assert rejected.pop_recent(grant_request.model, grant_request.prompt, now=2.0)
        assert not rejected.pop_recent(
            grant_request.model, grant_request.prompt, now=2.1
        )

    def test_late_retry_is_new_demand(self) -> None:
        rejected = RejectedRequests()
        grant_request = make_grant_request("q1")
        rejected.add(grant_request.model, grant_request.prompt, now=1.0)
        assert not rejected.pop_recent(
            grant_request.model, grant_request.prompt, now=1.1 + REJECTION_MATCH_S
        )

    def test_other_prompt_is_new_demand(self) -> None:
        rejected = RejectedRequests()
        rejected.add("a", make_grant_request("q1").prompt, now=1.0)
        assert not rejected.pop_recent("a", make_grant_request("q2").prompt, now=2.0)

    def test_demand_counts_a_rejected_caller_once(self) -> None:
        """Counted retries would show 69.9 requests per second instead of 48.6."""
        world = World(models=["a"], runner_models=[["a"]])
        world.run(0.5)
        for number in range(200):
            world.add_request(make_grant_request(f"q{number}"), at=1.0 + number / 100)
        world.run(3.0)
        before = world.core.state.demand.get_request_rate("llm", "a", 3.0)
        rejected = [each for each in world.outcomes.values() if each.rejected_at]
        assert len(rejected) > 20
        for outcome in rejected:
            world.core.handle(outcome.grant_request, 3.0)
        after = world.core.state.demand.get_request_rate("llm", "a", 3.0)
        assert after == before
