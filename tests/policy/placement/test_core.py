"""Tests of the placement core in the simulated world."""

from random import Random

import pytest
from attrs import evolve

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    AdapterName,
    HostId,
    IncarnationId,
    ModelName,
    Revision,
    UpstreamId,
)
from mangoway.models.offer import AdapterOffer, Configuration
from mangoway.models.order import OrderKind
from mangoway.models.upstream import UpstreamAddress, UpstreamKind
from mangoway.policy.placement import events
from mangoway.policy.placement.actions import ReadLedger
from mangoway.policy.placement.const import (
    ORDER_SEND_WINDOW_S,
    UNLOAD_FIRST_AFTER_S,
)
from mangoway.policy.placement.core import PlacementCore
from mangoway.policy.placement.ledgers import find_entry, is_marked
from mangoway.policy.placement.options import PlacementOptions
from mangoway.policy.placement.registry import (
    find_placement,
    list_placements,
    register_placement,
)

from .world import BOUND_S, DC1, LOAD_S, World, offer_models


def send_demand(
    world: World, name: str, rate: int, tokens_per_request: int = 50
) -> None:
    event = events.DemandReported(
        gateway=HostId("g"),
        incarnation=IncarnationId("g.1"),
        period_s=1.0,
        rates=(
            events.ArtifactRate(
                artifact=Artifact.parse(name),
                arrived=rate,
                queued=0,
                tokens=rate * tokens_per_request,
                refused=0,
            ),
        ),
    )
    for controller in world.controllers:
        world.send_event(controller, event)


def limit_loads(limit: int, rate: float = 10.0, **models: int) -> Configuration:
    """Return a configuration with limits of the weight store."""
    offer = offer_models(**models)
    site = evolve(offer.site, loads_per_second=rate, loads_at_full_speed=limit)
    return evolve(offer, site=site)


def list_orders(world: World, kind: OrderKind) -> list[str]:
    return [str(order.artifact) for _, order in world.sent if order.kind is kind]


class TestFloors:
    """Every offered artifact gets and keeps its floor of ready copies."""

    @pytest.mark.parametrize("checks", [True, False])
    def test_all_floors_become_ready(self, checks: bool) -> None:
        world = World(configuration=offer_models(a=40, b=40, c=30, floor=2))
        world.start(150, 150, checks=checks)
        world.run(30.0)
        assert world.list_unmet_floors() == []
        assert world.count_moves() == 6
        world.check_invariants()

    def test_copies_are_spread_over_data_centres(self) -> None:
        world = World(configuration=offer_models(a=40, floor=2, data_centres=2))
        world.start(150, 60, 150, 60)
        world.run(20.0)
        holders = world.list_ready("a@1")
        assert {world.engines[each].data_centre for each in holders} == {"dc1", "dc2"}

    def test_copies_on_a_leaving_runner_are_replaced_but_not_unloaded(self) -> None:
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

    def test_lost_last_copy_is_loaded_first(self) -> None:
        world = World(configuration=limit_loads(1, a=20, b=20, c=20, z=10, floor=2))
        first = world.start(100, 100, 100, 100)
        world.run(40.0)
        for holder in world.list_ready("z@1"):
            world.engines[UpstreamId(holder)].up = False
        world.sent.clear()
        # The pause makes one plan handle both losses.
        first.paused = True
        world.run(1.5)
        world.resume(first)
        world.run(40.0)
        loads = list_orders(world, OrderKind.LOAD)
        assert loads[0] == "z@1"
        assert len(set(loads)) > 1
        assert world.list_unmet_floors() == []

    def test_version_without_room_replaces_the_old_one_after_a_delay(self) -> None:
        world = World(configuration=offer_models(a=60))
        world.start(100)
        world.run(20.0)
        world.configure(offer_models(2, ("2",), a=60))
        world.run(UNLOAD_FIRST_AFTER_S - 2.0)
        assert world.list_ready("a@1")
        world.run(20.0)
        assert "break_before_make" in world.list_reasons()
        assert world.list_unmet_floors() == []

    def test_copy_is_relocated_so_that_another_fits(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.start(100, 55)
        world.run(20.0)
        world.configure(offer_models(2, a=40, c=60))
        for _ in range(150):
            world.run(0.2)
            assert world.list_ready("a@1")
        assert "relocate_for_room" in world.list_reasons()
        assert world.list_unmet_floors() == []

    def test_lost_withdrawn_version_frees_its_memory(self) -> None:
        world = World(configuration=offer_models(a=50))
        world.start(110)
        world.run(20.0)
        world.configure(offer_models(2, ("2",), a=50))
        while list_orders(world, OrderKind.LOAD)[-1] != "a@2":
            world.run(0.01)
        next(iter(world.engines.values())).restart(world.now)
        world.configure(offer_models(3, ("3",), a=50))
        world.run(UNLOAD_FIRST_AFTER_S)
        assert world.list_unmet_floors() == []

    def test_floors_are_not_evicted_for_floors(self) -> None:
        world = World(configuration=offer_models(a=80, b=80, c=80))
        world.start(100, 100)
        world.run(60.0)
        assert "no_room" in world.list_reasons()
        assert "make_room" not in world.list_reasons()

    def test_artifacts_are_loaded_again_after_a_restart(self) -> None:
        world = World(configuration=limit_loads(1, a=40, b=40))
        world.start(100)
        world.run(20.0)
        world.engines[next(iter(world.engines))].restart(world.now)
        world.run(20.0)
        assert world.list_unmet_floors() == []
        assert "unload_abandoned_last_copy" not in world.list_reasons()
        world.check_invariants()


class TestRestoredStore:
    """Ledgers of before, in a store that was restored from a backup.

    They lack the latest reservations. A load that is still under way would then be
    forgotten, and its memory given to another one.
    """

    def start_lost_load(self, checks: bool) -> World:
        """Restore the ledgers of before a load whose order arrives late."""
        world = World(configuration=offer_models(x=20))
        world.start(100, checks=checks)
        world.run(8.0)
        ledgers, revisions = dict(world.ledgers), dict(world.revisions)
        world.order_faults = ["late"]
        world.configure(offer_models(2, x=20, a=60))
        world.run(2.0)
        assert str(world.sent[-1][1].artifact) == "a@1"
        world.ledgers, world.revisions = ledgers, revisions
        return world

    @pytest.mark.parametrize("checks", [True, False])
    @pytest.mark.parametrize("seed", range(4))
    def test_load_under_way_stays_reserved(self, checks: bool, seed: int) -> None:
        world = self.start_lost_load(checks)
        world.rng.seed(seed)
        world.configure(offer_models(3, x=20, b=60))
        world.run(8 * BOUND_S)
        world.check_invariants()
        assert world.list_unmet_floors() == []

    @pytest.mark.parametrize("checks", [True, False])
    def test_no_fence_is_used_twice(self, checks: bool) -> None:
        world = self.start_lost_load(checks)
        world.configure(offer_models(3, x=20, b=60))
        world.run(8 * BOUND_S)
        fences = [order.fence for _, order in world.sent]
        assert len(set(fences)) == len(fences)

    def test_known_ledger_is_written_again(self) -> None:
        world = self.start_lost_load(checks=True)
        world.configure(offer_models(3, x=20, b=60))
        world.run(2.0)
        (ledger,) = world.ledgers.values()
        artifacts = {
            str(each.artifact) for each in (*ledger.resident, *ledger.reserved)
        }
        assert {"x@1", "a@1"} <= artifacts


class TestMemory:
    """Reserved memory is released only after proof that it is free."""

    def replace_model(self, checks: bool, faults: list[str], seed: int) -> World:
        """Replace a model by one that only fits after the old one was unloaded."""
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
    def test_replacement_with_order_faults(
        self, checks: bool, fault: str, seed: int
    ) -> None:
        world = self.replace_model(checks, [fault, fault], seed)
        world.check_invariants()
        assert world.list_unmet_floors() == []

    def test_engine_that_ignores_fences_delays_loads_by_the_bound(self) -> None:
        world = self.replace_model(False, ["double"], 1)
        loads = [(at, o) for at, o in world.sent if o.kind is OrderKind.LOAD]
        assert str(loads[-1][1].artifact) == "b@1"
        assert loads[-1][0] - loads[0][0] > BOUND_S

    def test_engine_that_checks_fences_delays_no_load(self) -> None:
        world = self.replace_model(True, ["double"], 1)
        loads = [at for at, order in world.sent if order.kind is OrderKind.LOAD]
        assert loads[-1] - loads[0] < BOUND_S

    def test_unknown_resident_is_entered_before_any_load(self) -> None:
        world = World(configuration=offer_models(a=60))
        world.add_engine("r9", size_mb=100)
        unknown = Artifact.parse("x@1")
        world.engines[next(iter(world.engines))].memory[unknown] = 50
        world.start()
        world.run(20.0)
        world.check_invariants()
        assert world.list_unmet_floors() == []

    def test_order_planned_before_a_restart_is_not_sent_after_it(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.start(100)
        while not any(ledger.reserved for ledger in world.ledgers.values()):
            world.run(0.005)
        [engine] = world.engines.values()
        engine.restart(world.now)
        engine.memory[Artifact.parse("x@1")] = 60
        described = events.EngineDescribed(description=engine.describe())
        world.send_event(world.controllers[0], described)
        reported = events.EngineReported(report=engine.report(world.now))
        world.send_event(world.controllers[0], reported)
        world.run(20.0)
        world.check_invariants()
        assert world.list_unmet_floors() == []

    def test_no_load_without_the_store(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.store_up = False
        world.start(100)
        world.run(20.0)
        assert world.sent == []
        world.store_up = True
        world.run(20.0)
        assert world.list_unmet_floors() == []

    def test_orders_of_a_deleted_ledger_still_count(self) -> None:
        world = World(configuration=offer_models(a=60))
        world.order_faults = ["late"]
        world.start(100, checks=False)
        while not world.sent:
            world.run(0.01)
        world.ledgers.clear()
        world.revisions.clear()
        world.configure(offer_models(2, b=60))
        for _ in range(10):
            world.run(BOUND_S / 2)
            world.check_invariants()
        assert world.list_unmet_floors() == []

    def test_lost_write_answers_reserve_memory_once(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.lose_answers = 2
        world.start(100, checks=False)
        world.run(60.0)
        assert world.list_unmet_floors() == []
        assert world.ledgers[next(iter(world.ledgers))].committed_mb == 50


class TestUnloadInFlight:
    """A copy that a pending unload may still remove does not count."""

    def offer_again(self, fault: str, engines: int = 2) -> World:
        """Withdraw a model and offer it again before its faulty unload arrives."""
        world = World(configuration=offer_models(a=40, b=40))
        world.start(*[100] * engines, checks=False)
        world.run(10.0)
        world.order_faults = [fault]
        world.configure(offer_models(2, b=40))
        while not list_orders(world, OrderKind.UNLOAD):
            world.run(0.1)
        world.configure(offer_models(3, a=40, b=40))
        return world

    @pytest.mark.parametrize("engines", [1, 2])
    def test_artifact_offered_again_is_loaded_elsewhere(self, engines: int) -> None:
        world = self.offer_again("late", engines)
        world.run(6.0)
        orders = [o for _, o in world.sent if str(o.artifact) == "a@1"]
        loads = [o.upstream for o in orders if o.kind is OrderKind.LOAD]
        assert len(loads) == len(set(loads)) == engines
        world.run(3 * BOUND_S)
        world.check_invariants()
        assert world.list_unmet_floors() == []

    def test_unload_is_not_sent_again_while_the_copy_is_the_last(self) -> None:
        world = self.offer_again("lose")
        world.run(2.0)
        assert "unload_abandoned_last_copy" not in world.list_reasons()

    def test_abandoned_second_unload_leaves_the_mark_of_the_first(self) -> None:
        world = self.offer_again("lose")
        [name] = world.list_ready("a@1")
        holder = UpstreamId(name)
        artifact = Artifact.parse("a@1")
        before = find_entry(world.ledgers[holder], artifact)
        while find_entry(world.ledgers[holder], artifact) == before:
            world.run(0.005)
        world.store_up = False
        world.run(1.0)
        assert "unload_abandoned_no_ledger" in world.list_reasons()
        world.store_up = True
        for _ in range(40):
            world.run(0.1)
            ledger = world.ledgers[holder]
            assert is_marked(ledger, artifact) or not find_entry(ledger, artifact)


class TestTwoControllers:
    """Two controllers that are active at once keep memory and last copies safe."""

    def test_order_is_dropped_after_a_pause(self) -> None:
        world = World(configuration=offer_models(a=40))
        first = world.start(100, checks=False)
        while not any(ledger.reserved for ledger in world.ledgers.values()):
            world.run(0.005)
        first.paused = True
        assert world.sent == []
        world.run(ORDER_SEND_WINDOW_S + 1.0)
        # The controller handles only the late confirmation of its write.
        inbox, first.inbox = first.inbox, []
        first.paused = False
        world.send_event(first, inbox[0])
        assert any(each.reason == "order_dropped" for each in world.reasons)
        assert world.sent == []

    def copy_to_other(self, world: World) -> list[UpstreamId]:
        """Add a second ready copy on the other engine; return both holders."""
        world.run(20.0)
        artifact = Artifact.parse("a@1")
        [holder] = world.list_ready("a@1")
        [other] = [each for each in world.engines.values() if each.id != holder]
        order = next(o for _, o in world.sent if o.artifact == artifact)
        other.memory[artifact] = order.memory_mb
        other.ready.add(artifact)
        world.run(5.0)
        return [UpstreamId(holder), other.id]

    def test_two_controllers_do_not_unload_both_copies(self) -> None:
        world = World(configuration=offer_models(a=40, b=40))
        controllers = [world.start(100, 100), world.add_controller()]
        holders = self.copy_to_other(world)
        for controller, name in zip(controllers, holders, strict=True):
            world.request_unload(controller, name, "a@1")
        world.run(20.0)
        assert world.list_ready("a@1")
        world.check_invariants()

    @pytest.mark.parametrize("checks", [True, False])
    def test_mark_stays_while_the_other_ledger_is_read(self, checks: bool) -> None:
        world = World(configuration=offer_models(a=40, b=40))
        first = world.start(100, 100, checks=checks)
        holder, _ = self.copy_to_other(world)
        world.read_s = 3.0
        world.request_unload(first, holder, "a@1")
        world.run(2.5)
        assert is_marked(world.ledgers[holder], Artifact.parse("a@1"))
        world.run(10.0)
        assert len(world.list_ready("a@1")) == 1

    def test_consecutive_conflicts_delay_writes(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.start(100)
        [name] = world.engines
        for step in range(3000):
            world.revisions[name] = Revision(1000 + step)
            world.run(0.01)
        assert 3 <= world.writes <= 8
        world.run(30.0)
        assert world.list_unmet_floors() == []

    def test_takeover_waits_for_orders_of_the_other_controller(self) -> None:
        world = World(configuration=offer_models(a=60))
        first = world.start(100, checks=False)
        world.order_faults = ["late"]
        world.run(2.0)
        first.alive = False
        world.configure(offer_models(2, b=60))
        world.add_controller()
        for _ in range(20):
            world.run(BOUND_S / 2)
            world.check_invariants()
        assert world.list_unmet_floors() == []

    def test_ledgers_are_not_read_before_the_lateness_bound_is_known(self) -> None:
        world = World(configuration=offer_models(a=40))
        world.start(100)
        world.run(20.0)
        core = PlacementCore(IncarnationId("late"))
        core.handle(events.LeaseGained(), world.now)
        address = UpstreamAddress(
            id=next(iter(world.engines)),
            kind=UpstreamKind.ENGINE,
            address="127.0.0.1:1",
            data_centre=DC1,
        )
        listed = core.handle(events.RunnersListed(runners=(address,)), world.now)
        assert not any(isinstance(each, ReadLedger) for each in listed)
        event = events.ConfigurationChanged(configuration=world.configuration)
        configured = core.handle(event, world.now + 1.0)
        assert any(isinstance(each, ReadLedger) for each in configured)


class TestDemand:
    """Copies above the floors follow demand if their gain exceeds the price."""

    def run_burst(self, price: float, options: PlacementOptions | None = None) -> World:
        world = World(configuration=offer_models(a=40, b=40, price=price))
        world.start(100, 100, 100, options=options)
        world.run(20.0)
        for _ in range(20):
            send_demand(world, "a@1", 40)
            world.run(1.0)
        return world

    def test_burst_adds_copies_within_seconds(self) -> None:
        world = self.run_burst(price=1.0)
        assert len(world.list_ready("a@1")) >= 2
        orders = [at for at, o in world.sent if str(o.artifact) == "a@1"]
        assert orders[1] - 20.0 < 5.0

    def test_high_price_prevents_moves(self) -> None:
        world = self.run_burst(price=1e12)
        assert len(world.list_ready("a@1")) == 1

    def test_copies_for_demand_can_be_disabled(self) -> None:
        world = self.run_burst(1.0, PlacementOptions(demand_copies=False))
        assert len(world.list_ready("a@1")) == 1

    def test_alternating_demand_does_not_thrash(self) -> None:
        world = World(configuration=offer_models(a=50, b=50, c=50))
        world.start(115, 115)
        world.run(20.0)
        for second in range(240):
            send_demand(world, "a@1" if second // 10 % 2 else "b@1", 40)
            world.run(1.0)
        assert world.list_unmet_floors() == []
        assert world.count_moves() <= 3 + 4

    def test_floor_evicts_surplus_copies(self) -> None:
        world = self.run_burst(price=1.0)
        world.configure(offer_models(2, a=40, b=40, c=80))
        world.run(40.0)
        assert world.list_unmet_floors() == []
        world.check_invariants()


class TestCost:
    """Unchanged runners are not re-evaluated."""

    def test_only_a_changed_report_is_reconciled(self) -> None:
        world = World(configuration=offer_models(a=40, b=40))
        core = world.start(100).core
        world.run(20.0)
        [engine] = world.engines.values()
        for fence, is_steady in ((0, True), (5, False)):
            engine.fence += fence
            core.handle(events.EngineReported(report=engine.report(20.0)), 20.0)
            assert (not core.reservations.outbox.dirty_runners) is is_steady


class TestWeightStore:
    """Loads run in parallel up to the limits of the weight store."""

    @pytest.mark.parametrize(("rate", "limit"), [(50.0, 3), (2.0, 100), (50.0, 100)])
    def test_rate_and_loads_in_flight(self, rate: float, limit: int) -> None:
        models_mb = {f"m{each}": 10 for each in range(60 if limit > 3 else 12)}
        world = World(configuration=limit_loads(limit, rate, **models_mb))
        world.start(*[200] * 12)
        world.run(2.0 + len(models_mb) * max(LOAD_S * 1.5 / limit, 1.0 / rate) + 5.0)
        assert world.list_unmet_floors() == []
        starts = [at for at, _ in world.sent]
        for position, at in enumerate(starts):
            assert sum(at <= each < at + LOAD_S for each in starts) <= limit
            for count, later in enumerate(starts[position:], start=1):
                allowed = max(rate, 1.0) + rate * (later - at)
                assert count <= allowed + 1e-6


class TestAdapters:
    """Adapters are loaded beside their base, which stays while they do."""

    def make_world(self, *sizes: int) -> World:
        configuration = offer_models(a=40, b=40)
        name = ModelName("a")
        adapters = {
            AdapterName(each): AdapterOffer(memory_mb=10) for each in ("x", "y", "z")
        }
        models = dict(configuration.models)
        models[name] = evolve(models[name], adapters=adapters)
        world = World(configuration=evolve(configuration, models=models))
        world.start(*sizes)
        return world

    def test_adapters_become_ready_beside_their_base(self) -> None:
        world = self.make_world(90, 90)
        world.run(40.0)
        assert world.list_unmet_floors() == []
        world.check_invariants()

    def test_withdrawn_model_is_unloaded_adapters_first(self) -> None:
        world = self.make_world(90, 90)
        world.run(40.0)
        world.configure(offer_models(2, b=40))
        world.run(40.0)
        unloads = list_orders(world, OrderKind.UNLOAD)
        assert sorted(unloads[:3]) == ["a@1+x", "a@1+y", "a@1+z"]
        assert unloads[3:] == ["a@1"]

    def test_further_base_is_loaded_where_adapters_have_room(self) -> None:
        world = self.make_world(65, 65, 65, 65)
        world.run(90.0)
        assert world.list_unmet_floors() == []
        world.check_invariants()


class TestStatus:
    """The snapshot contains the copies, the queue and the explanations."""

    def test_status_after_start(self) -> None:
        world = World(configuration=offer_models(a=40, b=200))
        first = world.start(100)
        world.run(20.0)
        status = first.core.build_status(world.now)
        [runner] = status.runners
        assert runner.ledger is not None
        assert runner.ledger.committed_mb == 50
        assert [str(each.artifact) for each in status.queue] == ["b@1"]
        assert status.queue[0].blocked_s > 0.0
        codes = {each.code for each in status.find_reasons(Artifact.parse("b@1"))}
        assert codes == {"no_room"}


class TestRegistry:
    """Policies are registered and found by name."""

    def test_default_policy_is_registered(self) -> None:
        create_policy = find_placement("marginal_gain")
        assert "marginal_gain" in list_placements()
        policy = create_policy(IncarnationId("c"), PlacementOptions(), Random(1))
        assert isinstance(policy, PlacementCore)

    def test_name_is_registered_only_once(self) -> None:
        with pytest.raises(ValueError, match="registered already"):
            register_placement("marginal_gain")(find_placement("marginal_gain"))
