"""Tests that the scheduling core respects rate limits of runners."""

import pytest
from attrs import evolve

from mangoway.policy.limits.const import MIN_LIMITED_S
from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.core import RATE_LIMITED_REASON
from mangoway.policy.scheduling.events import FleetUpdated, Grant, PermitRequest, Reject

from ...fakes.fleet import make_grant_request
from .world import World

LIMIT = 2.0


def make_limit_report(limit: float | None, runner_id: str = "r0") -> LimitReport:
    """Return a runner's limit as reported in the response to a new request."""
    return LimitReport(
        runner_id=runner_id,
        started_ms=0,
        limit=limit,
        request_age_s=0.0,
        response_age_s=0.0,
    )


def simulate(runner_models: list[list[str]], models: str = "abcdef") -> World:
    """Return a world in which r0 is limited from 1 s on."""
    world = World(models=list(models), runner_models=runner_models)
    world.run(1.0)
    world.send_event(make_limit_report(LIMIT))
    return world


def add_requests(
    world: World, model: str, per_s: float, began: float, ended: float
) -> None:
    for number in range(int((ended - began) * per_s)):
        grant_request = make_grant_request(f"{model}{number}", model)
        world.add_request(grant_request, at=began + number / per_s)


def count_at(world: World, runner_id: str, began: float = 0.0) -> int:
    """Return the number of requests that a runner received."""
    return sum(
        1
        for each in world.outcomes.values()
        if each.runner_id == runner_id and each.requested_at >= began
    )


class TestRate:
    """Requests at a limited runner."""

    def test_runner_receives_its_limit(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        add_requests(world, "a", 20.0, 1.0, 9.0)
        world.run(9.0)
        assert 8 * LIMIT - 2 <= count_at(world, "r0") <= 8 * LIMIT + 2

    def test_other_runners_receive_the_remaining_requests(self) -> None:
        world = simulate([["a", "b"], ["a", "c"]])
        add_requests(world, "a", 12.0, 1.0, 5.0)
        world.run(8.0)
        assert count_at(world, "r0") <= 4 * LIMIT + 2
        assert world.count_first_events_within(0.4) >= 45

    def test_end_of_the_limit_releases_the_queue(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        add_requests(world, "a", 8.0, 1.0, 1.5)
        world.run(1.5)
        world.send_event(make_limit_report(None))
        world.run(2.5)
        assert world.count_first_events_within(1.0) == 4

    def test_retries_count_as_well(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        for number in range(40):
            grant_request = make_grant_request(
                f"q{number}", "a", repeat=True, only=("r0",)
            )
            world.add_request(grant_request, at=1.0 + number / 10)
        world.run(5.0)
        assert count_at(world, "r0") <= 4 * LIMIT + 2

    def test_new_scheduler_respects_a_reported_limit(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        add_requests(world, "a", 20.0, 1.0, 9.0)
        world.run(5.0)
        world.replace_core()
        world.send_event(make_limit_report(LIMIT))
        world.run(9.0)
        assert count_at(world, "r0") <= 8 * LIMIT + 3

    def test_limit_outlasts_a_missing_entry(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        world.send_event(FleetUpdated(table=world.table, runners=()))
        world.update_fleet()
        add_requests(world, "a", 20.0, 1.0, 5.0)
        world.run(5.0)
        assert count_at(world, "r0") <= 4 * LIMIT + 2


class TestRejection:
    """Requests that a limited runner can't serve in time."""

    def simulate(self) -> list[Reject]:
        world = simulate([["a", "b", "c"]], models="abc")
        for number in range(30):
            world.add_request(make_grant_request(f"q{number}", "a"), at=1.0)
        world.run(1.2)
        return [each.rejection for each in world.outcomes.values() if each.rejection]

    def test_requests_are_rejected_at_once(self) -> None:
        # The runner accepts 5 within the callers' patience of 2.4 s.
        assert len(self.simulate()) >= 24

    def test_retry_times_follow_the_limit(self) -> None:
        times = sorted(each.retry_after_s for each in self.simulate())
        assert times[0] > 1.0
        assert times[-1] > times[0] + 1.0


class TestPlacement:
    """Models whose only runner is limited."""

    def test_popular_model_gets_a_copy_elsewhere(self) -> None:
        world = simulate([["a", "b", "c"], ["d", "e", "f"]])
        add_requests(world, "a", 10.0, 1.0, 8.0)
        world.run(8.0)
        loads = [each for each in world.orders if each.load and each.model == "a"]
        assert [each.runner_id for each in loads] == ["r1"]
        assert count_at(world, "r1", began=5.0) >= 20

    def test_short_limit_causes_no_loads(self) -> None:
        world = simulate([["a", "b", "c"], ["d", "e", "f"]])
        add_requests(world, "a", 1.0, 1.0, 5.0)
        world.run(1.0 + MIN_LIMITED_S / 2)
        world.send_event(make_limit_report(None))
        world.run(5.0)
        assert not any(each.load for each in world.orders)

    def test_no_model_is_loaded_on_a_limited_runner(self) -> None:
        world = simulate([["a", "b", "c"], ["d", "e", "f"], ["a", "d", "e"]])
        world.run(1.0 + MIN_LIMITED_S)
        add_requests(world, "f", 20.0, 2.0, 8.0)
        world.run(8.0)
        assert "r0" not in [each.runner_id for each in world.orders if each.load]

    def test_models_stay_where_all_runners_are_limited(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        world.run(1.0 + MIN_LIMITED_S)
        add_requests(world, "a", 1.0, 2.0, 6.0)
        world.run(6.0)
        assert world.count_first_events_within(1.0) == 4


class TestPermits:
    """Requests for plain services, whose runners the edges choose."""

    PERMIT_REQUEST = PermitRequest(
        request_id="p1", edge="e1", runner_id="r0", started_ms=0
    )

    def test_runner_without_a_limit_gets_every_permit(self) -> None:
        world = World(models=["a"], runner_models=[["a"]])
        actions = world.core.handle(self.PERMIT_REQUEST, 1.0)
        assert [type(each) for each in actions] == [Grant]

    def test_permits_keep_to_the_limit(self) -> None:
        world = simulate([["a"]], models="a")
        granted = 0
        for tick in range(800):
            [action] = world.core.handle(self.PERMIT_REQUEST, 1.0 + tick / 100)
            granted += isinstance(action, Grant)
        assert granted == pytest.approx(8 * LIMIT, abs=2)

    def test_rejected_permits_have_distinct_retry_times(self) -> None:
        world = simulate([["a"]], models="a")
        rejections = [world.core.handle(self.PERMIT_REQUEST, 1.0)[0] for _ in range(3)]
        assert all(isinstance(each, Reject) for each in rejections)
        times = [each.retry_after_s for each in rejections if isinstance(each, Reject)]
        assert times == pytest.approx([0.5, 1.0, 1.5])
        assert {each.reason for each in rejections if isinstance(each, Reject)} == {
            RATE_LIMITED_REASON
        }

    def test_new_incarnation_has_no_limit(self) -> None:
        world = simulate([["a"]], models="a")
        world.send_event(evolve(make_limit_report(LIMIT), started_ms=1000))
        [action] = world.core.handle(evolve(self.PERMIT_REQUEST, started_ms=2000), 1.0)
        assert isinstance(action, Grant)
