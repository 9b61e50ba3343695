"""Tests that the scheduling core respects cooldowns of runners."""

from mangoway.policy.limits.cooldowns import CooldownReport
from mangoway.policy.scheduling.events import EdgeDisconnected

from ...fakes.fleet import make_grant_request
from .test_limits import add_requests, count_at
from .world import World

COOLDOWN_S = 3.0


def simulate(
    runner_models: list[list[str]], models: str = "abcdef", edge: str = "e1"
) -> World:
    """Return a world in which r0 has a cooldown for an edge from 1 s on."""
    world = World(models=list(models), runner_models=runner_models)
    world.run(1.0)
    world.send_event(make_cooldown_report(edge))
    return world


def make_cooldown_report(
    edge: str = "e1", rest_s: float = COOLDOWN_S
) -> CooldownReport:
    return CooldownReport(edge=edge, runner_id="r0", started_ms=0, rest_s=rest_s)


class TestGrants:
    """Grants for requests of the edge that the cooldown is for."""

    def test_patient_request_waits_for_the_end(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        world.add_request(
            make_grant_request("q1", "a", objective_s=4.0, patience_s=16.0), at=1.1
        )
        world.run(1.0 + COOLDOWN_S - 0.1)
        assert world.outcomes["q1"].runner_id == ""
        world.run(1.0 + COOLDOWN_S + 0.2)
        assert world.outcomes["q1"].runner_id == "r0"

    def test_impatient_request_is_rejected_at_once(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        world.add_request(make_grant_request("q1", "a", patience_s=2.0), at=1.1)
        world.run(1.2)
        rejection = world.outcomes["q1"].rejection
        assert rejection is not None
        assert rejection.retry_after_s >= COOLDOWN_S - 0.2

    def test_request_goes_to_another_runner(self) -> None:
        world = simulate([["a", "b"], ["a", "c"]])
        add_requests(world, "a", 10.0, 1.0, 3.0)
        world.run(4.0)
        assert count_at(world, "r0") == 0
        assert world.count_first_events_within(0.4) == 20

    def test_other_edges_use_it(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc", edge="e2")
        add_requests(world, "a", 10.0, 1.0, 2.0)
        world.run(3.0)
        assert count_at(world, "r0") == 10

    def test_retry_waits_as_well(self) -> None:
        world = simulate([["a", "b"], ["a", "c"]])
        grant_request = make_grant_request(
            "q1", "a", repeat=True, only=("r0",), patience_s=16.0
        )
        world.add_request(grant_request, at=1.1)
        world.run(1.0 + COOLDOWN_S - 0.1)
        assert world.outcomes["q1"].runner_id == ""

    def test_queued_request_waits_for_the_end(self) -> None:
        world = World(models=list("abc"), runner_models=[["a", "b", "c"]])
        world.run(1.0)
        for number in range(8):
            grant_request = make_grant_request(f"q{number}", "a", patience_s=16.0)
            world.add_request(grant_request, at=1.0)
        world.run(1.02)
        before = count_at(world, "r0")
        world.send_event(make_cooldown_report())
        world.run(1.0 + COOLDOWN_S - 0.1)
        assert count_at(world, "r0") <= before + 1

    def test_end_causes_no_burst(self) -> None:
        """Each prompt is sent only after the prefill of the one before."""
        world = simulate([["a", "b", "c"]], models="abc")
        for number in range(20):
            world.add_request(
                make_grant_request(f"q{number}", "a", patience_s=16.0), at=1.1
            )
        world.run(1.0 + COOLDOWN_S + 0.06)
        assert count_at(world, "r0") <= 3

    def test_disconnected_edge_has_no_cooldown(self) -> None:
        world = simulate([["a", "b", "c"]], models="abc")
        world.send_event(EdgeDisconnected(edge="e1"))
        world.add_request(make_grant_request("q1", "a"), at=1.1)
        world.run(1.3)
        assert world.outcomes["q1"].runner_id == "r0"


class TestPlacement:
    """Models and adapters of a runner in cooldown."""

    def test_adapter_is_loaded_on_another_runner(self) -> None:
        world = simulate([["a", "b"], ["a", "c"]])
        world.run(2.0)
        world.add_request(make_grant_request("q1", "a", adapter="x"), at=2.0)
        world.run(2.5)
        orders = [each.runner_id for each in world.orders if each.adapter == "x"]
        assert orders == ["r1"]
        assert world.outcomes["q1"].runner_id == "r1"

    def test_long_cooldown_loads_a_popular_model_elsewhere(self) -> None:
        world = simulate([["a", "b", "c"], ["d", "e", "f"]])
        add_requests(world, "a", 10.0, 1.0, 8.0)
        for number in range(1, 5):
            world.run(1.0 + number)
            world.send_event(make_cooldown_report())
        world.run(8.0)
        loads = [each.runner_id for each in world.orders if each.load]
        assert loads[:1] == ["r1"]
        assert count_at(world, "r1", began=5.0) >= 20
