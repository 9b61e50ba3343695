"""Tests of the placement core against the small fakes."""

from random import Random

import pytest
from attrs import evolve

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import AdapterName, HostId, IncarnationId, ModelName
from mangoway.models.offer import AdapterOffer
from mangoway.models.order import OrderKind
from mangoway.policy.placement import events
from mangoway.policy.placement.const import ORDER_SEND_WINDOW_S
from mangoway.policy.placement.core import PlacementCore
from mangoway.policy.placement.options import PlacementOptions
from mangoway.policy.placement.registry import (
    find_placement,
    list_placements,
    register_placement,
)

from .world import BOUND_S, World, offer_models


def send_demand(world: World, name: str, rate: int, tokens_each: int = 50) -> None:
    event = events.DemandReported(
        gateway=HostId("g"),
        incarnation=IncarnationId("g.1"),
        period_s=1.0,
        rates=(
            events.ArtifactRate(
                artifact=Artifact.parse(name),
                arrived=rate,
                queued=0,
                tokens=rate * tokens_each,
                refused=0,
            ),
        ),
    )
    for controller in world.controllers:
        world.give(controller, event)


def list_orders(world: World, kind: OrderKind) -> list[str]:
    return [str(order.artifact) for _, order in world.sent if order.kind is kind]


class TestFloors:
    """Every offered artifact gets its ready copies and keeps them."""

    @pytest.mark.parametrize("checks", [True, False])
    def test_all_floors_get_ready(self, checks: bool) -> None:
        world = World(configuration=offer_models(a=40, b=40, c=30, floor=2))
        world.start(150, 150, checks=checks)
        world.run(30.0)
        assert world.list_missing() == []
        assert world.count_moves() == 6
        world.check()

    def test_copies_are_spread_over_data_centres(self) -> None:
        world = World(configuration=offer_models(a=40, floor=2, data_centres=2))
        world.start(150, 60, 150, 60)
        world.run(20.0)
        holders = world.list_ready("a@1")
        assert {world.engines[one].data_centre for one in holders} == {"dc1", "dc2"}

    def test_leaving_runner_is_rebuilt_elsewhere_and_not_emptied(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.start(100, 100)
        world.run(20.0)
        [holder] = world.list_ready("a@1")
        world.engines[holder].leaving = True
        world.list_runners()
        world.run(20.0)
        assert len(world.list_ready("a@1")) == 2
        assert list_orders(world, OrderKind.UNLOAD) == []

    def test_version_change_loads_before_it_unloads(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.start(100)
        world.run(20.0)
        world.configure(offer_models(2, ("2",), a=40))
        for _ in range(300):
            world.run(0.1)
            assert world.list_ready("a@1") or world.list_ready("a@2")
        assert world.list_ready("a@2")
        assert not world.list_ready("a@1")

    def test_lost_last_copy_goes_before_other_loads(self) -> None:
        world = World(configuration=offer_models(a=20, b=20, floor=2))
        world.start(60, 60, 60)
        world.run(30.0)
        world.engines[world.list_ready("a@1")[0]].up = False
        world.run(2.0)
        reasons = [one.reason for one in world.reasons]
        assert "engine_silent" in reasons
        world.run(20.0)
        assert world.list_missing() == []

    def test_restarted_engine_gets_its_artifacts_again(self) -> None:
        world = World(configuration=offer_models(a=40, b=40))
        world.start(100)
        world.run(20.0)
        world.engines[next(iter(world.engines))].restart(world.now)
        world.run(20.0)
        assert world.list_missing() == []
        world.check()


class TestMemory:
    """Memory is freed on evidence only."""

    def swap(self, checks: bool, faults: list[str], seed: int) -> World:
        """Replace a model by one that only fits once the old one is gone."""
        world = World(configuration=offer_models(a=60))
        world.rng.seed(seed)
        world.order_faults = faults
        world.start(100, checks=checks)
        world.run(8.0)
        world.configure(offer_models(2, b=60))
        world.run(8 * BOUND_S)
        return world

    @pytest.mark.parametrize("checks", [True, False])
    @pytest.mark.parametrize("fault", ["lose", "late", "double", "drop_answer"])
    @pytest.mark.parametrize("seed", range(4))
    def test_swap_under_order_faults(self, checks: bool, fault: str, seed: int) -> None:
        world = self.swap(checks, [fault, fault], seed)
        world.check()
        assert world.list_missing() == []

    def test_engine_that_ignores_fences_is_waited_for(self) -> None:
        world = self.swap(False, ["double"], 1)
        loads = [(at, o) for at, o in world.sent if o.kind is OrderKind.LOAD]
        assert str(loads[-1][1].artifact) == "b@1"
        assert loads[-1][0] - loads[0][0] > BOUND_S

    def test_engine_that_checks_fences_is_not_waited_for(self) -> None:
        world = self.swap(True, ["double"], 1)
        loads = [at for at, order in world.sent if order.kind is OrderKind.LOAD]
        assert loads[-1] - loads[0] < BOUND_S

    def test_unknown_resident_is_adopted_before_anything_is_loaded(self) -> None:
        world = World(configuration=offer_models(a=60))
        world.add_engine("r9", size_mb=100)
        stranger = Artifact.parse("x@1")
        world.engines[next(iter(world.engines))].memory[stranger] = 50
        world.start()
        world.run(20.0)
        world.check()
        assert world.list_missing() == []

    def test_no_load_without_the_store(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.store_up = False
        world.start(100)
        world.run(20.0)
        assert world.sent == []
        world.store_up = True
        world.run(20.0)
        assert world.list_missing() == []

    def test_lost_write_answer_sends_no_order_unseen(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.lose_answers = 2
        world.start(100, checks=False)
        world.run(60.0)
        assert world.list_missing() == []
        assert world.ledgers[next(iter(world.ledgers))].committed_mb == 50


class TestTwoControllers:
    """Two controllers that both believe they are active are safe."""

    def test_order_is_dropped_after_a_pause(self) -> None:
        world = World(configuration=offer_models(a=40))
        first = world.start(100, checks=False)
        while not any(ledger.reserved for ledger in world.ledgers.values()):
            world.run(0.005)
        first.paused = True
        assert world.sent == []
        world.run(ORDER_SEND_WINDOW_S + 1.0)
        # Only the confirmation of the write is handled, late, by the first one.
        mailbox, first.mailbox = first.mailbox, []
        first.paused = False
        world.give(first, mailbox[0])
        assert any(one.reason == "order_dropped" for one in world.reasons)
        assert world.sent == []

    def test_no_two_controllers_unload_each_others_guard(self) -> None:
        world = World(configuration=offer_models(a=40, b=40))
        first = world.start(100, 100)
        second = world.add_controller()
        world.run(20.0)
        artifact = Artifact.parse("a@1")
        [holder] = world.list_ready("a@1")
        [other] = [one for one in world.engines.values() if one.id != holder]
        order = next(o for _, o in world.sent if o.artifact == artifact)
        other.memory[artifact] = order.memory_mb
        other.ready.add(artifact)
        world.run(5.0)
        for controller, name in ((first, holder), (second, other.id)):
            runner = controller.core.state.runners[name]
            assert controller.core.reservations.mark(runner, artifact, world.now)
            for action in controller.core.reservations.actions:
                world._act(controller, action)
            controller.core.reservations.actions.clear()
        world.run(20.0)
        assert world.list_ready("a@1")
        world.check()

    def test_takeover_waits_for_foreign_orders(self) -> None:
        world = World(configuration=offer_models(a=60))
        first = world.start(100, checks=False)
        world.order_faults = ["late"]
        world.run(2.0)
        first.alive = False
        world.configure(offer_models(2, b=60))
        world.add_controller()
        for _ in range(20):
            world.run(BOUND_S / 2)
            world.check()
        assert world.list_missing() == []


class TestDemand:
    """Copies above the floors follow demand when it pays."""

    def burst(self, price: float, options: PlacementOptions | None = None) -> World:
        world = World(configuration=offer_models(a=40, b=40, price=price))
        world.start(100, 100, 100, options=options)
        world.run(20.0)
        for _ in range(20):
            send_demand(world, "a@1", 40)
            world.run(1.0)
        return world

    def test_burst_adds_copies_within_seconds(self) -> None:
        world = self.burst(price=1.0)
        assert len(world.list_ready("a@1")) >= 2
        orders = [at for at, o in world.sent if str(o.artifact) == "a@1"]
        assert orders[1] - 20.0 < 5.0

    def test_high_price_forbids_moves(self) -> None:
        world = self.burst(price=1e12)
        assert len(world.list_ready("a@1")) == 1

    def test_copies_can_be_switched_off(self) -> None:
        world = self.burst(1.0, PlacementOptions(demand_copies=False))
        assert len(world.list_ready("a@1")) == 1

    def test_alternating_demand_does_not_thrash(self) -> None:
        world = World(configuration=offer_models(a=50, b=50, c=50))
        world.start(115, 115)
        world.run(20.0)
        for second in range(240):
            send_demand(world, "a@1" if second // 10 % 2 else "b@1", 40)
            world.run(1.0)
        assert world.list_missing() == []
        assert world.count_moves() <= 3 + 4

    def test_floor_evicts_surplus_copies(self) -> None:
        world = self.burst(price=1.0)
        world.configure(offer_models(2, a=40, b=40, c=80))
        world.run(40.0)
        assert world.list_missing() == []
        world.check()


class TestCost:
    """Plans stay cheap and loads go to many runners side by side."""

    def test_empty_runners_fill_at_the_limit_of_the_weight_store(self) -> None:
        configuration = offer_models(**{f"m{one}": 10 for one in range(60)})
        site = evolve(
            configuration.site, loads_per_second=50.0, loads_at_full_speed=100
        )
        world = World(configuration=evolve(configuration, site=site))
        world.start(*[200] * 12)
        world.run(8.0)
        assert world.list_missing() == []


class TestWeightStore:
    """The limits of the weight store hold."""

    def test_rate_and_loads_in_flight(self) -> None:
        configuration = offer_models(**{f"m{one}": 10 for one in range(8)})
        world = World(configuration=configuration)
        world.start(200)
        world.run(0.2)
        world.run(60.0)
        assert world.list_missing() == []
        starts = [at for at, _ in world.sent]
        for at in starts:
            assert sum(at <= one < at + 3.0 for one in starts) <= 8


class TestAdapters:
    """Adapters sit beside their base and keep it there."""

    def make(self, *sizes: int) -> World:
        configuration = offer_models(a=40, b=40)
        name = ModelName("a")
        adapters = {
            AdapterName(one): AdapterOffer(memory_mb=10) for one in ("x", "y", "z")
        }
        models = dict(configuration.models)
        models[name] = evolve(models[name], adapters=adapters)
        world = World(configuration=evolve(configuration, models=models))
        world.start(*sizes)
        return world

    def test_adapters_get_ready_beside_their_base(self) -> None:
        world = self.make(90, 90)
        world.run(40.0)
        assert world.list_missing() == []
        world.check()

    def test_withdrawn_model_goes_adapters_first(self) -> None:
        world = self.make(90, 90)
        world.run(40.0)
        world.configure(offer_models(2, b=40))
        world.run(40.0)
        unloads = list_orders(world, OrderKind.UNLOAD)
        assert sorted(unloads[:3]) == ["a@1+x", "a@1+y", "a@1+z"]
        assert unloads[3:] == ["a@1"]

    def test_further_base_is_loaded_where_adapters_have_room(self) -> None:
        world = self.make(65, 65, 65, 65)
        world.run(90.0)
        assert world.list_missing() == []
        world.check()


class TestStatus:
    """The snapshot says what is where, what waits and why."""

    def test_status_after_start(self) -> None:
        world = World(configuration=offer_models(a=40, b=200))
        first = world.start(100)
        world.run(20.0)
        status = first.core.take_status(world.now)
        [runner] = status.runners
        assert runner.ledger is not None
        assert runner.ledger.committed_mb == 50
        assert [str(one.artifact) for one in status.queue] == ["b@1"]
        assert status.queue[0].blocked_s > 0.0
        codes = {one.code for one in status.find_reasons(Artifact.parse("b@1"))}
        assert codes == {"no_room"}


class TestRegistry:
    """Policies are found by name."""

    def test_own_policy_is_registered(self) -> None:
        make = find_placement("marginal_gain")
        assert "marginal_gain" in list_placements()
        policy = make(IncarnationId("c"), PlacementOptions(), Random(1))
        assert isinstance(policy, PlacementCore)

    def test_name_is_taken_once(self) -> None:
        with pytest.raises(ValueError, match="registered already"):
            register_placement("marginal_gain")(find_placement("marginal_gain"))
