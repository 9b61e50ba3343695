"""Tests of transfers that fail, and of what the core counts for them.

The edge is played by the tests: they answer each order themselves.
"""

from attrs import define, evolve, field

from mangoway.models.runner import RunnerEntry
from mangoway.policy.limits.cooldowns import CooldownReport
from mangoway.policy.limits.tracker import LimitReport
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    Action,
    EdgeDisconnected,
    EndKind,
    Event,
    FirstEventSeen,
    FleetUpdated,
    Grant,
    GrantRequest,
    RequestAdopted,
    RequestEnded,
    StreamMoved,
    Tick,
    TransferFailed,
    TransferReason,
    TransferStream,
)
from mangoway.policy.scheduling.features import Features
from mangoway.policy.scheduling.reservations import RESERVATION_S
from mangoway.policy.scheduling.runners import RunnerState
from mangoway.policy.scheduling.state import SchedulingState
from mangoway.policy.scheduling.transfers import (
    MAX_TRANSFERS_FROM_RUNNER,
    MAX_TRANSFERS_OF_STREAM,
)

from ...fakes.fleet import make_runner, make_table
from .moving import EDGE, make_live, make_patient, protect
from .world import World

TRANSFERS_ONLY = Features(stream_backups=False)
OUTPUT_TOKENS = 1600
"""Ten seconds of a stream, longer than a runner drains."""


@define(eq=False)
class Desk:
    """A core with three holders of one model, of which `r0` leaves."""

    features: Features = TRANSFERS_ONLY
    now: float = 10.0
    core: SchedulingCore = field(init=False)
    world: World = field(init=False)
    entries: dict[str, RunnerEntry] = field(init=False)
    leaving: dict[str, RunnerEntry] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.world = World(models=["a"], runner_models=[], seed=1)
        self.entries = {
            name: make_runner(name, ("a",), started_ms=1_000)
            for name in ("r0", "r1", "r2")
        }
        self.start_core()

    def start_core(self) -> None:
        """Start a core that knows nothing but the fleet."""
        state = SchedulingState(random=self.world.rng, features=self.features)
        state.transferring_edges.add(EDGE)
        self.core = SchedulingCore(state)
        self.update_fleet()

    def update_fleet(self) -> list[Action]:
        """Send the runners."""
        table = protect(make_table(models=["a"]))
        entries = tuple(self.entries.values())
        leaving = tuple(self.leaving.values())
        return self.handle(FleetUpdated(table=table, runners=entries, leaving=leaving))

    def handle(self, event: Event) -> list[Action]:
        """Send an event to the core."""
        return self.core.handle(event, self.now)

    def tick(self, seconds: float = 0.05) -> list[TransferStream]:
        """Let time pass and return the transfers that are ordered then."""
        self.now += seconds
        return list_orders(self.handle(Tick()))

    def start_stream(self, grant_request: GrantRequest, only: str = "r0") -> None:
        """Let a stream begin at a runner."""
        restricted = evolve(grant_request, only=(only,))
        actions = self.handle(restricted)
        assert [type(each) for each in actions] == [Grant]
        request_id = grant_request.request_id
        self.now += 0.1
        self.handle(FirstEventSeen(edge=EDGE, request_id=request_id))

    def leave(
        self, name: str = "r0", seconds_left: float | None = None
    ) -> list[TransferStream]:
        """Let a runner leave and return the transfers that are ordered."""
        self.leaving[name] = evolve(
            self.entries.pop(name), draining=True, seconds_left=seconds_left
        )
        return list_orders(self.update_fleet())

    def drop(self, name: str) -> list[TransferStream]:
        """Remove the entry of a runner."""
        self.leaving.pop(name, None)
        self.entries.pop(name, None)
        return list_orders(self.update_fleet())

    def get(self, name: str) -> RunnerState:
        """Return the state of a runner."""
        runner = self.core.state.find_runner(name)
        assert runner is not None
        return runner

    def count(self, name: str) -> tuple[int, int]:
        """Return the slots and the memory that are used or reserved at a runner."""
        runner = self.get(name)
        return len(runner.running) + runner.reservations.count, runner.count_kv_tokens()

    def end(self, request_id: str, kind: EndKind = EndKind.SERVED) -> list[Action]:
        """End a request."""
        return self.handle(RequestEnded(edge=EDGE, request_id=request_id, kind=kind))

    def move(self, order: TransferStream) -> list[TransferStream]:
        """Let an edge report that a transfer succeeded."""
        return list_orders(
            self.handle(
                StreamMoved(
                    edge=EDGE,
                    request_id=order.request_id,
                    runner_id=order.target_runner_id,
                )
            )
        )

    def fail(self, order: TransferStream) -> list[TransferStream]:
        """Let an edge report that a transfer failed."""
        return list_orders(
            self.handle(
                TransferFailed(
                    edge=EDGE,
                    request_id=order.request_id,
                    target_runner_id=order.target_runner_id,
                )
            )
        )


def list_orders(actions: list[Action]) -> list[TransferStream]:
    """Return the transfers among actions."""
    return [each for each in actions if isinstance(each, TransferStream)]


def start_leaving(streams: int = 1) -> tuple[Desk, list[TransferStream]]:
    """Return a desk with streams at a runner that leaves, and the orders."""
    desk = Desk()
    for number in range(streams):
        desk.start_stream(make_live(f"s{number}", "a", OUTPUT_TOKENS))
    return desk, desk.leave()


class TestOrders:
    """Which streams of a leaving runner are transferred, and when."""

    def test_stream_is_ordered_as_soon_as_the_leaving_is_known(self) -> None:
        _, orders = start_leaving()
        assert len(orders) == 1
        order = orders[0]
        assert (order.edge, order.request_id) == (EDGE, "s0")
        assert order.source_runner_id == "r0"
        assert order.target_runner_id in ("r1", "r2")
        assert order.reason is TransferReason.LEAVING

    def test_stream_goes_to_a_runner_of_the_same_software_version(self) -> None:
        desk = Desk()
        for name, version in (("r0", "v1"), ("r1", "v2"), ("r2", "v1")):
            desk.entries[name] = evolve(desk.entries[name], software_version=version)
        desk.update_fleet()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        assert [each.target_runner_id for each in desk.leave()] == ["r2"]
        desk.drop("r2")
        desk.start_stream(make_live("s1", "a", OUTPUT_TOKENS), "r1")
        assert desk.leave("r1") == []

    def test_sources_of_several_versions_are_searched_for_apart(self) -> None:
        desk = Desk()
        for name, version in (("r0", "v1"), ("r1", "v2"), ("r2", "v2")):
            desk.entries[name] = evolve(desk.entries[name], software_version=version)
        desk.update_fleet()
        for number, name in enumerate(("r0", "r1")):
            desk.start_stream(make_live(f"s{number}", "a", OUTPUT_TOKENS), name)
        for name in ("r0", "r1"):
            desk.leaving[name] = evolve(desk.entries.pop(name), draining=True)
        orders = list_orders(desk.update_fleet())
        assert [each.request_id for each in orders] == ["s1"]

    def test_two_at_a_time(self) -> None:
        """More copies at once would share the link of the runner."""
        desk, orders = start_leaving(5)
        assert len(orders) == MAX_TRANSFERS_FROM_RUNNER
        assert desk.tick() == []
        assert len(desk.move(orders[0])) == 1
        assert len(desk.fail(orders[1])) == 1

    def test_stream_without_own_resumption_goes_first(self) -> None:
        desk = Desk()
        for number in range(3):
            desk.start_stream(make_patient(f"p{number}", "a", OUTPUT_TOKENS))
        desk.start_stream(make_live("live", "a", OUTPUT_TOKENS))
        assert desk.leave()[0].request_id == "live"

    def test_runner_with_less_time_left_goes_first(self) -> None:
        """Its streams would find the room of the targets taken."""
        desk = Desk()
        desk.start_stream(make_live("later", "a", OUTPUT_TOKENS), only="r0")
        desk.start_stream(make_live("sooner", "a", OUTPUT_TOKENS), only="r1")
        desk.leave("r0", seconds_left=2.9)
        desk.core.state.transfers.pop((EDGE, "later"))
        desk.get("r2").reservations.remove((EDGE, "later"))
        desk.get("r1").reservations.remove((EDGE, "later"))
        orders = desk.leave("r1", seconds_left=1.0)
        assert [each.request_id for each in orders] == ["sooner", "later"]

    def test_stream_that_ends_in_time_stays(self) -> None:
        """A copy that isn't needed is billed and pauses the stream."""
        desk = Desk()
        desk.start_stream(make_live("short", "a", 200))
        assert desk.leave() == []
        assert desk.tick() == []

    def test_stream_in_prefill_is_ordered_after_its_first_event(self) -> None:
        desk = Desk()
        desk.handle(evolve(make_live("s0", "a", OUTPUT_TOKENS), only=("r0",)))
        assert desk.leave() == []
        desk.handle(FirstEventSeen(edge=EDGE, request_id="s0"))
        assert len(desk.tick()) == 1

    def test_response_that_is_not_streamed_stays(self) -> None:
        desk = Desk()
        plain = evolve(make_live("s0", "a", OUTPUT_TOKENS), streaming=False)
        desk.start_stream(plain)
        assert desk.leave() == []

    def test_nothing_is_ordered_when_the_runner_may_not_be_called(self) -> None:
        """Nothing may reach a runner after its drain time."""
        desk = Desk()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        full = desk.entries.pop("r1"), desk.entries.pop("r2")
        desk.update_fleet()
        assert desk.leave() == []
        desk.now += desk.features.drain_s - 0.1
        desk.entries = {each.runner_id: each for each in full}
        assert list_orders(desk.update_fleet()) == []

    def test_next_tick_finds_room_that_was_missing(self) -> None:
        desk = Desk()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        away = {name: desk.entries.pop(name) for name in ("r1", "r2")}
        assert desk.leave() == []
        desk.entries.update(away)
        assert len(list_orders(desk.update_fleet())) == 1

    def test_limited_runner_is_no_target(self) -> None:
        """It would reject the continuation of a stream that has been stopped."""
        desk = Desk()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        limit = LimitReport(
            runner_id="r1",
            started_ms=1_000,
            limit=0.0,
            request_age_s=0.0,
            response_age_s=0.0,
        )
        desk.handle(limit)
        assert [each.target_runner_id for each in desk.leave()] == ["r2"]

    def test_runner_in_cooldown_for_the_edge_is_no_target(self) -> None:
        """The edge would not send the continuation."""
        desk = Desk()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        desk.handle(
            CooldownReport(edge=EDGE, runner_id="r1", started_ms=1_000, rest_s=5.0)
        )
        assert [each.target_runner_id for each in desk.leave()] == ["r2"]

    def test_full_memory_at_the_target_prevents_a_transfer(self) -> None:
        """A runner crashes if what it has accepted exceeds its memory."""
        desk = Desk()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        for name in ("r1", "r2"):
            desk.get(name).backups.add(("x", name), 54_000)
        assert desk.leave() == []

    def test_smaller_stream_goes_where_a_larger_one_does_not_fit(self) -> None:
        """One search for all streams must not give up for those that do fit."""
        desk = Desk()
        for name, output in (("large", 3_000), ("larger", 4_000), ("small", 1_000)):
            desk.start_stream(make_live(name, "a", output))
        for name in ("r1", "r2"):
            desk.get(name).backups.add(("x", name), 53_000)
        assert [each.request_id for each in desk.leave()] == ["small"]

    def test_new_requests_do_not_go_to_a_leaving_runner(self) -> None:
        desk, _ = start_leaving()
        actions = desk.handle(evolve(make_live("new", "a"), only=("r0",)))
        assert not any(isinstance(each, Grant) for each in actions)
        desk.end("s0")
        assert not any(isinstance(each, Grant) for each in desk.handle(Tick()))

    def test_signalled_end_is_never_moved_back(self) -> None:
        """A later entry with a longer time would leave streams where they break."""
        desk = Desk()
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        desk.leave(seconds_left=1.0)
        known = desk.core.state.leaving.get("r0")
        assert known is not None
        assert known.gone_at == desk.now + 1.0
        desk.leaving["r0"] = evolve(desk.leaving["r0"], seconds_left=9.0)
        desk.update_fleet()
        assert known.gone_at == desk.now + 1.0


class TestAccounting:
    """Slots and memory during and after a transfer."""

    def test_reservation_counts_until_the_stream_moved(self) -> None:
        desk, orders = start_leaving()
        target = orders[0].target_runner_id
        slots, tokens = desk.count("r0")
        assert desk.count(target) == (slots, tokens)
        desk.move(orders[0])
        assert desk.count("r0") == (0, 0)
        assert desk.count(target) == (slots, tokens)
        assert desk.get(target).reservations.count == 0
        assert desk.get(target).is_in_use("a")
        assert desk.get(target).prefill_backlog.estimate_remaining_s(desk.now) == 0
        desk.end("s0")
        assert desk.count(target) == (0, 0)
        assert not desk.get(target).is_in_use("a")

    def test_model_and_adapter_stay_loaded_at_the_target(self) -> None:
        """An unload during the transfer would break the stream."""
        desk = Desk()
        for name in desk.entries:
            desk.get(name).models["a"].adapters["x"] = 0.0
        desk.start_stream(evolve(make_live("s0", "a", OUTPUT_TOKENS), adapter="x"))
        order = desk.leave()[0]
        target = desk.get(order.target_runner_id)
        assert target.is_in_use("a")
        assert target.is_in_use("a", "x")
        assert not target.is_in_use("a", "y")
        desk.end("s0")
        assert not target.is_in_use("a")
        assert not target.is_in_use("a", "x")

    def test_slot_time_counts_from_the_grant(self) -> None:
        desk, orders = start_leaving()
        granted_at = desk.get("r0").running[EDGE, "s0"].granted_at
        desk.move(orders[0])
        desk.now += 3.0
        desk.end("s0")
        slot_times = desk.core.state.get_slot_times("llm")
        assert slot_times.estimate("a") == desk.now - granted_at

    def test_stream_is_transferred_at_most_twice(self) -> None:
        """Each transfer pauses it."""
        desk, orders = start_leaving()
        for _ in range(MAX_TRANSFERS_OF_STREAM - 1):
            desk.move(orders[0])
            orders = desk.leave(orders[0].target_runner_id)
            assert len(orders) == 1
        desk.move(orders[0])
        assert desk.leave(orders[0].target_runner_id) == []

    def test_runner_that_stays_after_all_keeps_its_streams(self) -> None:
        desk, orders = start_leaving()
        desk.fail(orders[0])
        before = desk.count("r0")
        desk.entries["r0"] = evolve(
            desk.leaving.pop("r0"), draining=False, seconds_left=None
        )
        desk.update_fleet()
        assert "r0" in desk.core.state.runners
        assert desk.count("r0") == before


class TestFailures:
    """Each failure halfway."""

    def test_failed_transfer_releases_its_room_and_takes_another_target(self) -> None:
        desk, orders = start_leaving()
        again = desk.fail(orders[0])
        assert desk.count(orders[0].target_runner_id) == (0, 0)
        assert len(again) == 1
        assert again[0].target_runner_id != orders[0].target_runner_id

    def test_target_leaves_during_the_transfer(self) -> None:
        """The stream goes on there for now, and moves a second time."""
        desk, orders = start_leaving()
        target = orders[0].target_runner_id
        desk.leave(target)
        again = desk.move(orders[0])
        assert [each.source_runner_id for each in again] == [target]
        desk.move(again[0])
        assert desk.count(target) == (0, 0)

    def test_target_restarts_during_the_transfer(self) -> None:
        """Its new incarnation has neither the copy nor the reservation."""
        desk, orders = start_leaving()
        target = orders[0].target_runner_id
        desk.entries[target] = evolve(desk.entries[target], started_ms=2_000)
        desk.update_fleet()
        assert desk.count(target) == (0, 0)
        desk.fail(orders[0])
        assert desk.count(target) == (0, 0)

    def test_target_is_lost_during_the_transfer(self) -> None:
        desk, orders = start_leaving()
        desk.drop(orders[0].target_runner_id)
        desk.fail(orders[0])
        desk.end("s0", EndKind.FAILED)
        assert len(desk.core.state.transfers) == 0

    def test_source_is_gone_before_the_stream_moved(self) -> None:
        """The edge stopped the stream in time, and reports it afterwards."""
        desk, orders = start_leaving()
        before = desk.count("r0")
        desk.drop("r0")
        desk.move(orders[0])
        assert desk.count(orders[0].target_runner_id) == before
        desk.end("s0")
        assert desk.count(orders[0].target_runner_id) == (0, 0)

    def test_stream_ends_during_the_transfer(self) -> None:
        desk, orders = start_leaving()
        desk.end("s0")
        assert desk.count(orders[0].target_runner_id) == (0, 0)
        desk.move(orders[0])
        assert desk.count(orders[0].target_runner_id) == (0, 0)

    def test_edge_disconnects_during_the_transfer(self) -> None:
        desk, orders = start_leaving()
        desk.handle(EdgeDisconnected(edge=EDGE))
        assert desk.count(orders[0].target_runner_id) == (0, 0)
        assert desk.count("r0") == (0, 0)
        assert len(desk.core.state.transfers) == 0

    def test_reservation_expires(self) -> None:
        """An edge that never answers must not hold a slot for ever."""
        desk, orders = start_leaving()
        target = orders[0].target_runner_id
        desk.core.state.transferring_edges.clear()
        desk.tick(RESERVATION_S - 0.1)
        assert desk.count(target)[0] == 1
        desk.tick(0.2)
        assert desk.count(target) == (0, 0)

    def test_stream_that_moved_after_the_expiry_is_counted(self) -> None:
        desk, orders = start_leaving()
        before = desk.count("r0")
        desk.core.state.transferring_edges.clear()
        desk.tick(RESERVATION_S + 0.1)
        desk.move(orders[0])
        assert desk.count(orders[0].target_runner_id) == before
        assert desk.count("r0") == (0, 0)

    def test_late_failure_does_not_release_a_newer_reservation(self) -> None:
        desk, orders = start_leaving()
        again = desk.fail(orders[0])
        desk.fail(orders[0])
        assert desk.count(again[0].target_runner_id)[0] == 1

    def test_new_scheduler_transfers_the_streams_that_it_adopts(self) -> None:
        desk, _ = start_leaving()
        grant_request = make_live("s0", "a", OUTPUT_TOKENS)
        desk.start_core()
        assert desk.tick() == []
        adopted = RequestAdopted(
            grant_request=grant_request, runner_id="r0", prefilling=False
        )
        desk.handle(adopted)
        assert [each.request_id for each in desk.tick()] == ["s0"]

    def test_new_scheduler_ignores_results_of_unknown_transfers(self) -> None:
        desk, orders = start_leaving()
        desk.start_core()
        desk.move(orders[0])
        desk.fail(orders[0])
        assert all(desk.count(name) == (0, 0) for name in ("r0", "r1", "r2"))


class TestOtherServices:
    """Services whose streams aren't protected."""

    def test_leaving_runners_are_not_kept(self) -> None:
        desk = Desk()
        table = make_table(models=["a"])
        desk.handle(
            FleetUpdated(
                table=table,
                runners=(desk.entries["r1"],),
                leaving=(desk.entries["r0"],),
            )
        )
        assert len(desk.core.state.leaving) == 0
        assert desk.core.state.find_runner("r0") is None

    def test_setting_switches_it_off(self) -> None:
        desk = Desk(Features(stream_transfers=False))
        desk.start_stream(make_live("s0", "a", OUTPUT_TOKENS))
        assert desk.leave() == []
        assert len(desk.core.state.leaving) == 0
