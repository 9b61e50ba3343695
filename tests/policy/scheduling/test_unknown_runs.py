"""Tests of orders while runners go on with runs that the scheduler doesn't know of.

A caller may leave, an edge may be killed, or a new scheduler may start, while the
runner goes on. It then accepts an unload, which waits for the run, and keeps the room
until then. A scheduler that took an accepted unload for done ordered more than the
runner holds, and the runner crashed.
"""

import pytest

from mangoway.models.runner import ResidentModel
from mangoway.policy.scheduling.events import (
    EdgeDisconnected,
    EndKind,
)

from ...fakes.fleet import make_grant_request
from .test_placement import make_world
from .world import World

ADAPTER_SLOTS = 8
LONG_S = 30.0


def use_adapters(world: World, count: int, *, first_at: float = 1.0) -> None:
    """Add a request for each of several adapters, two seconds apart."""
    for number in range(count):
        grant_request = make_grant_request(f"q{number}", "a", adapter=f"x{number}")
        world.add_request(grant_request, at=first_at + 2 * number)


def start_with_unknown_run(kind: EndKind = EndKind.LEFT) -> World:
    """Return a world whose first request has ended for the scheduler only."""
    world = make_world(["a", "b", "c"])
    world.stream_s["q0"] = LONG_S
    world.leave("q0", at=1.5, kind=kind)
    return world


class TestAdapters:
    """Adapters that an unknown run uses."""

    @pytest.mark.parametrize("kind", [EndKind.LEFT, EndKind.FAILED])
    def test_slot_of_a_waiting_unload_stays_taken(self, kind: EndKind) -> None:
        """A ninth adapter was ordered for eight slots."""
        world = start_with_unknown_run(kind)
        use_adapters(world, ADAPTER_SLOTS + 3)
        world.run(24.0)
        assert world.runners["r0"].overfilled == 0
        assert all(each.first_at is not None for each in world.outcomes.values())

    def test_edge_that_is_lost_leaves_its_runs(self) -> None:
        world = make_world(["a", "b", "c"])
        world.stream_s["q0"] = LONG_S
        use_adapters(world, ADAPTER_SLOTS + 3)
        world.run(1.5)
        world.send_event(EdgeDisconnected(edge="e1"))
        world.run(24.0)
        assert world.runners["r0"].overfilled == 0

    def test_new_scheduler_does_not_know_the_runs(self) -> None:
        world = make_world(["a", "b", "c"])
        world.stream_s["q0"] = LONG_S
        use_adapters(world, ADAPTER_SLOTS + 3)
        world.run(15.9)
        world.replace_core()
        world.run(24.0)
        assert world.runners["r0"].overfilled == 0

    def test_slot_is_used_again_after_the_unload(self) -> None:
        world = start_with_unknown_run()
        world.stream_s["q0"] = 20.0
        use_adapters(world, ADAPTER_SLOTS + 6)
        world.run(30.0)
        runner = world.runners["r0"]
        assert runner.overfilled == 0
        assert sum(map(len, runner.models.values())) == ADAPTER_SLOTS
        assert not world.core.state.runners["r0"].models["a"].unloading

    def test_adapter_is_not_loaded_while_its_unload_waits(self) -> None:
        """Its run ends, and it is gone with the requests that were sent for it."""
        world = start_with_unknown_run()
        use_adapters(world, ADAPTER_SLOTS + 1)
        world.add_request(make_grant_request("again", "a", adapter="x0"), at=19.0)
        world.run(24.0)
        loads = [each.adapter for each in world.orders if each.load]
        assert loads.count("x0") == 1

    def test_adapters_in_transit_take_slots(self) -> None:
        """An earlier scheduler ordered them."""
        world = make_world(["a", "b", "c"])
        resident = ResidentModel(name="a", version=1, adapters=frozenset())
        runner = world.core.state.runners["r0"]
        runner.update_models((resident,), world.now, frozenset({"a/x1", "a/x2"}))
        assert runner.count_adapters() == 2


class TestModels:
    """Models that an unknown run uses."""

    def test_load_waits_until_a_report_shows_the_free_memory(self) -> None:
        """The runner rejects it, or crashes if it checks the size first."""
        world = start_with_unknown_run()
        world.stream_s["q0"] = 6.0
        world.add_request(make_grant_request("q0", "a"), at=1.0)
        for number, model in enumerate("bbbbccccdddd"):
            request = make_grant_request(f"{model}{number}", model, patience_s=9.0)
            world.add_request(request, at=3.0 + number / 10)
        world.run(12.0)
        assert [each.model for each in world.orders if not each.load][:1] == ["a"]
        assert world.runners["r0"].overfilled == 0
        assert "d" in world.runners["r0"].models
