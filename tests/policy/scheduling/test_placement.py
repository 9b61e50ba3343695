"""Tests of which models the runners hold."""

from mangoway.models.runner import ResidentModel
from mangoway.policy.scheduling.events import (
    FleetUpdated,
    OrderEnded,
    OrderOutcome,
    OrdersAllowed,
    ReportReceived,
    SendOrder,
    Tick,
)

from ...fakes.fleet import make_grant_request, make_report, make_residents, make_runner
from .world import Outcome, World


def make_world(
    *held: list[str],
    models: str = "abcdefg",
    load_s: float = 1.2,
    on_disk: dict[str, str] | None = None,
) -> World:
    """Return a world whose runners have further models on their disks."""
    world = World(models=list(models), runner_models=list(held), load_s=load_s)
    for runner_id, names in (on_disk or {}).items():
        world.runners[runner_id].on_disk = list(names)
    world.run(0.5)
    return world


class TestOnDemand:
    """A model that no runner holds."""

    def test_waiting_request_gets_its_model_in_time(self) -> None:
        world = make_world(["a", "b", "c"], ["a", "d", "e"])
        world.add_request(make_grant_request("q1", "f", patience_s=5.0), at=1.0)
        world.run(4.0)
        outcome = world.outcomes["q1"]
        assert outcome.first_at is not None
        assert outcome.first_at - outcome.requested_at < 2.0

    def test_needed_copy_is_not_evicted_for_it(self) -> None:
        world = make_world(["a", "b", "c"], ["d", "e", "g"])
        for number in range(40):
            world.add_request(
                make_grant_request(f"a{number}", "a", patience_s=5.0),
                at=1 + number / 20,
            )
        world.add_request(make_grant_request("q1", "f", patience_s=5.0), at=2.0)
        world.run(6.0)
        unloaded = {each.model for each in world.orders if not each.load}
        assert "a" not in unloaded

    def test_request_that_cannot_wait_for_the_load_is_rejected_at_once(self) -> None:
        world = make_world(["a", "b", "c"], ["a", "d", "e"], load_s=6.0)
        world.add_request(make_grant_request("q1", "f", patience_s=2.4), at=1.0)
        world.run(8.0)
        outcome = world.outcomes["q1"]
        assert outcome.rejected_at is not None
        assert outcome.rejected_at - outcome.requested_at < 0.2
        assert outcome.rejection is not None
        assert outcome.rejection.retry_after_s > 1.0

    def test_model_in_use_is_not_unloaded(self) -> None:
        world = make_world(["a", "b", "c"])
        for name in "abc":
            world.add_request(make_grant_request(f"run-{name}", name), at=1.0)
        world.add_request(make_grant_request("q1", "f", patience_s=5.0), at=1.3)
        world.run(1.6)
        assert [each for each in world.orders if not each.load] == []

    def test_two_rare_models_do_not_replace_each_other(self) -> None:
        world = make_world(["a", "b", "c"])
        for number in range(6):
            model = "b" if number % 2 else "c"
            world.add_request(
                make_grant_request(f"q{number}", model), at=1.0 + 2 * number
            )
        world.run(20.0)
        assert world.orders == []


class TestSlowLoads:
    """Loads of 6 s from the weight store, beside copies on the runners' disks."""

    def test_load_waits_for_the_runner_that_has_a_copy(self) -> None:
        world = make_world(
            ["a", "b", "c"], ["a", "d", "e"], load_s=6.0, on_disk={"r0": "fg"}
        )
        world.add_request(make_grant_request("q1", "f", patience_s=5.0), at=1.0)
        world.add_request(make_grant_request("q2", "g", patience_s=5.0), at=1.1)
        world.run(6.0)
        assert world.count_first_events_within(2.5) == 2
        assert sum(each.store_loads for each in world.runners.values()) == 0

    def test_rare_models_leave_a_runner_for_a_rising_one(self) -> None:
        world = make_world(
            ["a", "b", "c"],
            ["a", "d", "e"],
            ["a", "b", "d"],
            models="abcdefghijk",
            load_s=6.0,
        )
        for number, model in enumerate("fghi"):
            world.add_request(
                make_grant_request(f"r{number}", model, patience_s=30.0), at=1.0
            )
        for number in range(60):
            world.add_request(
                make_grant_request(f"q{number}", "k"), at=3.0 + number / 30
            )
        world.run(4.0)
        assert "k" in [each.model for each in world.orders if each.load]

    def test_copies_are_ordered_for_the_demand_at_the_end_of_a_load(self) -> None:
        """Demand rises to 24 requests per second in 6 s, as long as a load takes."""
        world = make_world(
            ["a", "b", "c"],
            ["a", "d", "e"],
            ["a", "b", "d"],
            ["b", "c", "e"],
            models="abcdefghijk",
            load_s=6.0,
        )
        number, at = 0, 1.0
        while at < 7.0:
            world.add_request(make_grant_request(f"k{number}", "k", tokens=1600), at=at)
            number += 1
            at += 1 / max(2.0, 4 * (at - 1.0))
        world.run(7.0)
        assert len([each for each in world.orders if each.load]) == 3


class TestCopies:
    """Further copies of popular models."""

    def test_rising_demand_gets_further_copies(self) -> None:
        world = make_world(["a", "b", "c"], ["d", "e", "f"], ["d", "e", "g"])
        for number in range(200):
            world.add_request(
                make_grant_request(f"q{number}", "a"), at=1.0 + number / 40
            )
        world.run(8.0)
        holders = [each for each in world.runners.values() if "a" in each.models]
        assert len(holders) >= 2

    def test_popular_model_goes_before_rare_ones_that_wait(self) -> None:
        """With loads of 6 s, a rare request must not delay a popular model."""
        world = make_world(["a", "b", "c"], ["d", "e", "f"], load_s=6.0)
        for number in range(300):
            world.add_request(
                make_grant_request(f"q{number}", "a"), at=1.0 + number / 60
            )
        for number in range(10):
            at = 3.0 + number / 2
            world.add_request(
                make_grant_request(f"g{number}", "g", patience_s=16.0), at=at
            )
        world.run(9.0)
        loads = [each.model for each in world.orders if each.load]
        assert loads[0] == "a"

    def test_copies_load_beside_each_other(self) -> None:
        """With loads of 6 s, the second copy must not wait until the first is ready."""
        world = make_world(
            ["a", "b", "c"], ["a", "d", "e"], ["a", "f", "b"], load_s=6.0
        )
        for number in range(240):
            world.add_request(
                make_grant_request(f"q{number}", "g"), at=1.0 + number / 60
            )
        world.run(5.0)
        loads = [each.runner_id for each in world.orders if each.load]
        assert len(set(loads)) >= 2

    def test_free_memory_is_filled(self) -> None:
        world = make_world(["a", "b", "c"], [])
        world.run(8.0)
        assert len(world.runners["r1"].models) == 3

    def test_lost_runner_has_its_models_loaded_elsewhere(self) -> None:
        world = make_world(["a", "b", "c"], ["d", "e", "f"])
        for number in range(100):
            world.add_request(
                make_grant_request(f"q{number}", "a"), at=1.0 + number / 20
            )
        world.run(3.0)
        del world.runners["r0"]
        world.update_fleet()
        world.run(6.0)
        assert "a" in world.runners["r1"].models


class TestState:
    """Orders require a known state of the runner."""

    def list_orders_for_request(self, world: World) -> list[SendOrder]:
        grant_request = make_grant_request("q1", "f", patience_s=30.0)
        world.outcomes["q1"] = Outcome(grant_request, world.now)
        world.send_event(grant_request)
        return world.orders

    def test_no_order_before_a_report(self) -> None:
        world = World(models=list("abcdefg"), runner_models=[["a", "b", "c"]])
        assert self.list_orders_for_request(world) == []

    def test_no_order_after_a_busy_report(self) -> None:
        world = World(models=list("abcdefg"), runner_models=[["a", "b"]])
        report = make_report(make_residents(("a", "b")), 6, busy=True)
        world.send_event(
            ReportReceived(runner_id="r0", report=report, requested_at=0.0)
        )
        assert self.list_orders_for_request(world) == []

    def test_rejected_order_waits_for_a_fresh_report(self) -> None:
        world = World(models=list("abcdefg"), runner_models=[["a", "b"]])
        report = make_report(make_residents(("a", "b")), 0)
        world.send_event(
            ReportReceived(runner_id="r0", report=report, requested_at=0.0)
        )
        first = len(self.list_orders_for_request(world))
        assert first == 1
        world.now = 0.1
        outcome = OrderOutcome.NOT_NOW
        world.send_event(OrderEnded(runner_id="r0", outcome=outcome))
        world.send_event(
            ReportReceived(runner_id="r0", report=report, requested_at=0.15)
        )
        world.send_event(Tick())
        assert len(world.orders) == 1
        newer = make_report(make_residents(("a", "b")), 1)
        world.now = 0.6
        world.send_event(ReportReceived(runner_id="r0", report=newer, requested_at=0.6))
        world.send_event(Tick())
        assert [each.order_count for each in world.orders] == [0, 1]

    def test_no_order_unless_allowed(self) -> None:
        world = make_world(["a", "b", "c"])
        world.send_event(OrdersAllowed(allowed=False))
        world.add_request(make_grant_request("q1", "f", patience_s=5.0), at=1.0)
        world.run(3.0)
        assert world.orders == []

    def test_runner_that_left_the_fleet_gets_no_order(self) -> None:
        world = make_world(["a", "b", "c"], ["a", "d", "e"])
        entries = (make_runner("r1", ("a", "d", "e")),)
        world.send_event(FleetUpdated(table=world.table, runners=entries))
        world.add_request(make_grant_request("q1", "f", patience_s=5.0), at=1.0)
        world.run(3.0)
        assert {each.runner_id for each in world.orders} == {"r1"}


class TestAdapters:
    """Loads of adapters on the first request."""

    def test_waiting_request_gets_its_adapter(self) -> None:
        world = make_world(["a", "b", "c"])
        world.add_request(make_grant_request("q1", "a", adapter="a7"), at=1.0)
        world.run(2.0)
        outcome = world.outcomes["q1"]
        assert outcome.first_at is not None
        assert outcome.first_at - outcome.requested_at < 0.1

    def test_full_slots_evict_the_least_recently_used_adapter(self) -> None:
        world = make_world(["a", "b", "c"])
        for number in range(9):
            grant_request = make_grant_request(f"q{number}", "a", adapter=f"x{number}")
            world.add_request(grant_request, at=1.0 + 2 * number)
        world.run(25.0)
        unloaded = [each.adapter for each in world.orders if not each.load]
        assert unloaded == ["x0"]
        assert all(each.first_at is not None for each in world.outcomes.values())
        assert world.runners["r0"].overfilled == 0

    def test_waiting_requests_do_not_evict_each_other_s_adapters(self) -> None:
        """A full runner swapped adapters each few ms, before a request used them."""
        world = make_world(["a", "b", "c"])
        for number in range(64):
            world.stream_s[f"s{number}"] = 5.0
            world.add_request(make_grant_request(f"s{number}", "a"), at=1.0)
        requests = 24
        for number in range(requests):
            grant_request = make_grant_request(
                f"q{number}", "a", adapter=f"x{number % 12}", patience_s=20.0
            )
            world.add_request(grant_request, at=2.0 + number / 100)
        world.run(20.0)
        loads = [each for each in world.orders if each.load and each.adapter]
        assert len(loads) <= requests

    def test_unload_answered_as_already_done_counts(self) -> None:
        """The runner answers 200 and counts it; the next order must not be stale."""
        world = make_world(["a", "b", "c"])
        for number in range(9):
            grant_request = make_grant_request(f"q{number}", "a", adapter=f"x{number}")
            world.add_request(grant_request, at=1.0 + 2 * number)
        world.run(25.0)
        last = world.outcomes["q8"]
        assert last.first_at is not None
        assert last.first_at - last.requested_at < 0.1

    def test_model_is_loaded_where_adapters_are_not_requested(self) -> None:
        """A runner rejects orders for adapters during a load of 6 s."""
        world = make_world(["a", "b", "c"], ["d", "e", "f"], load_s=6.0)
        for number in range(20):
            grant_request = make_grant_request(f"q{number}", "a", adapter=f"x{number}")
            world.add_request(grant_request, at=1.0 + number / 5)
            plain = make_grant_request(f"d{number}", "d", tokens=4000)
            world.add_request(plain, at=1.0 + number / 5)
        world.add_request(make_grant_request("g", "g", patience_s=16.0), at=3.0)
        world.run(6.0)
        loads = [each.runner_id for each in world.orders if each.model == "g"]
        assert loads == ["r1"]

    def test_request_whose_adapter_would_be_late_is_rejected_at_once(self) -> None:
        world = make_world(["a", "b", "c"], load_s=6.0)
        for number in range(4):
            world.add_request(
                make_grant_request(f"a{number}", "a"), at=0.8 + number / 10
            )
        world.add_request(make_grant_request("g", "g", patience_s=16.0), at=1.0)
        world.add_request(make_grant_request("q1", "a", adapter="x1"), at=1.5)
        world.run(6.0)
        outcome = world.outcomes["q1"]
        assert outcome.rejected_at is not None
        assert outcome.rejected_at - outcome.requested_at < 0.2

    def test_pending_adapters_of_a_report_are_kept(self) -> None:
        world = make_world(["a", "b", "c"])
        world.add_request(make_grant_request("q1", "a", adapter="a7"), at=1.0)
        world.run(1.2)
        resident = ResidentModel(name="a", version=1, adapters=frozenset())
        report = make_report((resident,), world.runners["r0"].order_count)
        loaded = world.core.state.runners["r0"].models["a"]
        assert "a7" in loaded.adapters
        world.send_event(
            ReportReceived(runner_id="r0", report=report, requested_at=1.2)
        )
        assert "a7" in loaded.adapters


class TestOneOrder:
    """Several models without a copy, and one runner that is best for all of them."""

    def test_runner_gets_one_order_at_a_time(self) -> None:
        """A capacity that was computed before an order must not be used after it."""
        world = World(models=list("abcdef"), runner_models=[["a"]], disk_mb=1e6)
        # The weight store doesn't limit loads from a disk.
        world.runners["r0"].on_disk = list("abcd")
        world.send_event(OrdersAllowed(allowed=False))
        for name in "bcd":
            world.add_request(
                make_grant_request(f"q-{name}", name, patience_s=9.0), at=0.4
            )
        world.run(0.5)
        world.send_event(OrdersAllowed(allowed=True))
        world.run(8.0)
        orders = [(each.runner_id, each.order_count) for each in world.orders]
        assert len(orders) == len(set(orders))
        assert all(each.overfilled == 0 for each in world.runners.values())
