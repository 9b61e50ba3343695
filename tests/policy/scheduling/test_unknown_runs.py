"""Tests of orders while runners go on with runs that the scheduler doesn't know of.

A caller may leave, an edge may be killed, or a new scheduler may start, while the
runner goes on. It then accepts an unload, which waits for the run, and keeps the room
until then. A scheduler that took an accepted unload for done ordered more than the
runner holds, and the runner crashed.
"""

import pytest
from attrs import evolve

from mangoway.models.runner import ResidentModel, RunnerReport
from mangoway.policy.scheduling.events import EdgeDisconnected, EndKind, OrderOutcome
from mangoway.policy.scheduling.orders import apply_outcome, create_order
from mangoway.policy.scheduling.runners import FinishedUnload, RunnerState
from mangoway.policy.scheduling.unfinished_runs import MAX_RUN_S, UnfinishedRuns

from ...fakes.fleet import make_grant_request, make_report
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

    def test_adapter_of_an_unknown_run_is_evicted_last(self) -> None:
        """Its unload would wait, and another adapter be evicted as well."""
        world = start_with_unknown_run()
        use_adapters(world, ADAPTER_SLOTS + 1)
        world.run(24.0)
        assert [each.adapter for each in world.orders if not each.load] == ["x1"]

    def test_adapter_is_not_loaded_while_its_unload_waits(self) -> None:
        """It would be gone with the end of the run, and its requests with it."""
        world = make_world(["a", "b", "c"])
        world.runners["r0"].models["a"].add("x0")
        world.runners["r0"].running["q"] = ("a", "x0")
        world.runners["r0"].unloading_adapters.add(("a", "x0"))
        world.run(1.0)
        loaded = world.core.state.runners["r0"].models["a"]
        del loaded.adapters["x0"]
        loaded.unloading["x0"] = world.now
        world.add_request(make_grant_request("q0", "a", adapter="x0"), at=1.1)
        world.run(2.0)
        assert world.orders == []
        assert world.outcomes["q0"].first_at is None
        assert "x0" not in loaded.adapters

    def test_adapters_in_transit_take_slots(self) -> None:
        """An earlier scheduler ordered them."""
        world = make_world(["a", "b", "c"])
        resident = ResidentModel(name="a", version=1, adapters=frozenset())
        runner = world.core.state.runners["r0"]
        runner.update_models((resident,), world.now, frozenset({"a/x1", "a/x2"}))
        assert runner.count_adapters() == 2


class TestAcceptedUnload:
    """The state of a runner between the response to an unload and its end."""

    def start(self) -> RunnerState:
        """Return a runner that has accepted an unload at 1.0 s."""
        world = make_world(["a", "b", "c"])
        runner = world.core.state.runners["r0"]
        runner.models["a"].adapters["x0"] = 0.0
        create_order(
            runner,
            load=False,
            model="a",
            adapter="x0",
            reason="",
            waiting=0,
            now=1.0,
        )
        apply_outcome(runner, OrderOutcome.STARTED, 0.0, 1.0)
        return runner

    def report(
        self, runner: RunnerState, at: float, *adapters: str
    ) -> list[FinishedUnload]:
        """Apply a report that lists adapters; return the unloads that it finishes."""
        resident = ResidentModel(name="a", version=1, adapters=frozenset(adapters))
        return runner.apply_report(make_report((resident,), 1), at, at)

    def test_adapter_keeps_its_slot_and_is_not_used(self) -> None:
        runner = self.start()
        assert runner.count_adapters() == 1
        assert not runner.is_ready("a", "x0", 1.1)

    def test_report_that_lists_it_makes_it_neither_free_nor_usable(self) -> None:
        runner = self.start()
        assert self.report(runner, 2.0, "x0") == []
        assert runner.count_adapters() == 1
        assert not runner.is_ready("a", "x0", 2.1)

    def test_report_of_before_its_load_frees_nothing(self) -> None:
        """Reports describe the runner as it was some hundred milliseconds ago."""
        runner = self.start()
        assert self.report(runner, 1.2) == []
        assert runner.count_adapters() == 1

    def test_later_report_without_it_frees_its_slot(self) -> None:
        runner = self.start()
        [finished] = self.report(runner, 2.0)
        assert finished == FinishedUnload("a", "x0", 1.0)
        assert runner.count_adapters() == 0

    def test_answer_that_it_is_gone_frees_its_slot_at_once(self) -> None:
        runner = self.start()
        runner.models["a"].adapters["x1"] = 0.0
        create_order(
            runner,
            load=False,
            model="a",
            adapter="x1",
            reason="",
            waiting=0,
            now=1.5,
        )
        apply_outcome(runner, OrderOutcome.ALREADY_HOLDS, 0.0, 1.5)
        assert runner.count_adapters() == 1


class TestUnfinishedRuns:
    """Which runs may go on."""

    def make_report(self, *run_ids: str, queued: int = 0) -> RunnerReport:
        return evolve(make_report((), 1), run_ids=frozenset(run_ids), queued=queued)

    def test_listed_run_may_go_on(self) -> None:
        runs = UnfinishedRuns()
        runs.add("q", "a", "x", 1.0)
        runs.update(self.make_report("q"), 2.0)
        assert runs.may_use("a", "x")
        assert not runs.may_use("a", "y")
        assert not runs.may_use("b")

    def test_run_has_ended_once_a_later_report_lacks_it(self) -> None:
        runs = UnfinishedRuns()
        runs.add("q", "a", "x", 1.0)
        runs.update(self.make_report(), 0.9)
        assert runs.may_use("a", "x")
        runs.update(self.make_report(), 1.1)
        assert not runs.may_use("a", "x")

    def test_request_in_the_queue_of_its_runner_may_begin(self) -> None:
        runs = UnfinishedRuns()
        runs.add("q", "a", "x", 1.0)
        runs.update(self.make_report(queued=1), 2.0)
        assert runs.may_use("a")

    def test_run_of_an_earlier_scheduler_may_use_anything(self) -> None:
        runs = UnfinishedRuns()
        runs.add_unknown(frozenset({"q"}), 1.0)
        assert runs.may_use("a", "x")
        runs.discard("q")
        assert not runs.may_use("a", "x")

    def test_run_whose_edge_connects_is_known_again(self) -> None:
        world = make_world(["a"])
        runner = world.core.state.runners["r0"]
        runner.unfinished.add("q1", "", "", world.now + LONG_S)
        world.add_request(make_grant_request("q1", "a"), at=world.now)
        world.run(world.now + 0.01)
        assert not runner.unfinished.may_use("b")

    @pytest.mark.parametrize(("active", "at"), [(0, 2.0), (1, 1.5 + MAX_RUN_S)])
    def test_report_without_a_list_of_runs(self, active: int, at: float) -> None:
        runs = UnfinishedRuns()
        runs.add("q", "a", "x", 1.0)
        report = evolve(make_report((), 1), active=1)
        runs.update(report, 2.0)
        assert runs.may_use("a")
        runs.update(evolve(report, active=active), at)
        assert not runs.may_use("a")


class TestModels:
    """Models that an unknown run uses."""

    @pytest.mark.parametrize("is_replaced", [False, True])
    def test_load_waits_until_a_report_shows_the_free_memory(
        self, *, is_replaced: bool
    ) -> None:
        """The runner rejects it, or crashes if it checks the size first."""
        world = make_world(["a", "b", "c"])
        world.stream_s["q0"] = 6.0
        world.add_request(make_grant_request("q0", "a"), at=1.0)
        if not is_replaced:
            world.leave("q0", at=1.5)
        world.run(1.6)
        if is_replaced:
            world.replace_core()
        for number, model in enumerate("bbbbccccdddd"):
            request = make_grant_request(f"{model}{number}", model, patience_s=9.0)
            world.add_request(request, at=3.0 + number / 10)
        world.run(12.0)
        assert [each.model for each in world.orders if not each.load][:1] == ["a"]
        assert world.runners["r0"].overfilled == 0
        assert "d" in world.runners["r0"].models
