"""Tests that models which a configuration no longer offers make room for others.

Their copies stay at the runners, and their demand is remembered for a while. A plan
that looked for their profiles failed, and with it each later plan: nothing was loaded
any more. A copy of unknown size that never makes room keeps its runner from any load.
"""

import pytest
from attrs import evolve

from mangoway.policy.scheduling.const import MIN_RETRY_AFTER_S

from ...fakes.fleet import make_grant_request, make_table
from .world import World

POPULAR_RATE = 10.0
"""Requests per second for the popular model, before it is retired."""

PATIENCE_S = 6.0
DISK_MB = 430_000.0
"""Room for six models on the disk of a runner."""

RUNNERS = 4


def make_world(*held: list[str], models: str = "abcdefg") -> World:
    """Return a world in which the model `a` was requested often until just now."""
    world = World(models=list(models), runner_models=list(held))
    world.run(0.5)
    for number in range(int(4 * POPULAR_RATE)):
        at = 1.0 + number / POPULAR_RATE
        world.add_request(make_grant_request(f"a{number}"), at=at)
    world.run(5.5)
    return world


def retire(world: World, *models: str) -> None:
    """Apply a configuration that offers some models no more."""
    service = world.table.services["llm"]
    assert service.engine is not None
    profiles = service.engine.models.items()
    offered = {name: each for name, each in profiles if name not in models}
    engine = evolve(service.engine, models=offered)
    services = {**world.table.services, "llm": evolve(service, engine=engine)}
    world.table = evolve(world.table, version=2, services=services)
    world.update_fleet()


class TestRetiredModels:
    """Loads of other models after a popular one was retired."""

    def test_others_are_loaded_in_its_place(self) -> None:
        world = make_world(*[["b", "c", "a"]] * RUNNERS)
        retire(world, "a")
        for number, model in enumerate("defg"):
            request = make_grant_request(f"q{number}", model, patience_s=12.0)
            world.add_request(request, at=6.0)
        world.run(16.0)
        served = [world.outcomes[f"q{number}"].first_at for number in range(4)]
        assert all(served)
        assert {each.model for each in world.orders if not each.load} == {"a"}
        assert not any(each.overfilled for each in world.runners.values())

    def test_new_scheduler_that_never_knew_its_size_evicts_it(self) -> None:
        world = make_world(*[["a", "b", "c"]] * RUNNERS)
        retire(world, "a")
        world.replace_core()
        world.run(7.0)
        world.add_request(
            make_grant_request("q1", "d", patience_s=PATIENCE_S), at=world.now
        )
        world.run(12.0)
        assert world.outcomes["q1"].first_at is not None
        assert not any(each.overfilled for each in world.runners.values())

    def test_several_retired_models_make_room_together(self) -> None:
        world = make_world(["a", "b", "c"])
        retire(world, "a", "b", "c")
        world.replace_core()
        world.run(7.0)
        for number, model in enumerate("def"):
            request = make_grant_request(f"q{number}", model, patience_s=20.0)
            world.add_request(request, at=world.now)
        world.run(25.0)
        served = [world.outcomes[f"q{number}"].first_at for number in range(3)]
        assert all(served)
        assert not any(each.overfilled for each in world.runners.values())

    def test_copy_in_use_makes_no_room(self) -> None:
        world = make_world(["a", "b", "c"])
        world.stream_s["long"] = 20.0
        world.add_request(make_grant_request("long"), at=world.now)
        world.run(world.now + 0.5)
        retire(world, "a")
        world.add_request(make_grant_request("q1", "d"), at=world.now)
        world.run(world.now + 3.0)
        assert "a" not in {each.model for each in world.orders if not each.load}
        assert not any(each.overfilled for each in world.runners.values())

    def test_idle_runner_prefetches_in_its_place(self) -> None:
        world = World(
            models=list("abcd"), runner_models=[["b", "c", "a"]], disk_mb=DISK_MB
        )
        retire(world, "a")
        world.run(20.0)
        assert {each.model for each in world.orders if not each.load} == {"a"}
        assert "d" in world.runners["r0"].on_disk

    def test_remembered_demand_keeps_no_copy(self) -> None:
        """Callers may ask for it for long; their requests are rejected."""
        world = make_world(*[["a", "b", "c"]] * RUNNERS)
        retire(world, "a")
        for number in range(40):
            request = make_grant_request(f"late{number}")
            world.add_request(request, at=6.0 + number / POPULAR_RATE)
        world.add_request(make_grant_request("q1", "d", patience_s=PATIENCE_S), at=8.0)
        world.run(14.0)
        assert world.outcomes["q1"].first_at is not None
        late = [world.outcomes[f"late{number}"] for number in range(40)]
        assert all(each.rejected_at == each.requested_at for each in late)


class TestWaitingRequests:
    """Requests that wait for a model while a configuration retires it."""

    @pytest.mark.parametrize("restricted", [False, True])
    def test_request_without_a_holder_is_rejected_at_once(
        self, restricted: bool
    ) -> None:
        world = make_world(["a", "b", "c"])
        world.runners["r0"].busy_until = 100.0
        request = make_grant_request("q1", "d", patience_s=30.0)
        excluded = ("r9",) if restricted else ()
        world.add_request(evolve(request, excluded=excluded), at=6.0)
        world.run(6.2)
        assert world.outcomes["q1"].rejected_at is None
        retire(world, "d")
        world.run(6.4)
        outcome = world.outcomes["q1"]
        assert outcome.rejected_at is not None
        assert outcome.rejection is not None
        assert outcome.rejection.retry_after_s >= MIN_RETRY_AFTER_S

    def test_request_of_a_dropped_service_is_rejected_at_once(self) -> None:
        world = make_world(["a", "b", "c"])
        world.runners["r0"].busy_until = 100.0
        world.add_request(make_grant_request("q1", "d", patience_s=30.0), at=6.0)
        world.run(6.2)
        table = make_table(2)
        del table.services["llm"]
        world.table = table
        world.update_fleet()
        world.run(6.4)
        assert world.outcomes["q1"].rejected_at is not None

    def test_request_is_served_by_a_runner_that_still_holds_it(self) -> None:
        world = make_world(["a", "b", "c"])
        for number in range(80):
            request = make_grant_request(f"q{number}", patience_s=30.0)
            world.add_request(request, at=6.0)
        world.run(6.01)
        retire(world, "a")
        world.run(20.0)
        served = [world.outcomes[f"q{number}"].first_at for number in range(80)]
        assert all(served)
