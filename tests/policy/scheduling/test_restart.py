"""Tests of a runner that restarts with the same id."""

from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    EndKind,
    FleetUpdated,
    Grant,
    OrderEnded,
    OrderOutcome,
    OrdersAllowed,
    ReportReceived,
    RequestEnded,
    SendOrder,
    Tick,
)
from mangoway.policy.scheduling.runners import RunnerState

from ...fakes.fleet import make_grant_request, make_report, make_residents, make_runner
from .world import World

FIRST_START_MS = 1_000
SECOND_START_MS = 2_000


def make_core() -> tuple[World, SchedulingCore]:
    """Return a core with one incarnation of a runner that holds `a`."""
    world = World(models=["a", "b"], runner_models=[])
    update_entry(world, FIRST_START_MS, ("a",))
    receive_report(world, FIRST_START_MS, ("a",), order_count=5, at=1.0)
    return world, world.core


def update_entry(world: World, started_ms: int, models: tuple[str, ...]) -> None:
    entry = make_runner("r0", models, started_ms=started_ms)
    world.core.handle(FleetUpdated(table=world.table, runners=(entry,)), world.now)


def receive_report(
    world: World, started_ms: int, models: tuple[str, ...], order_count: int, at: float
) -> None:
    report = make_report(make_residents(models), order_count, started_ms=started_ms)
    world.now = at
    world.core.handle(
        ReportReceived(runner_id="r0", report=report, requested_at=at), at
    )


def get_runner(world: World) -> RunnerState:
    return world.core.state.runners["r0"]


class TestNewIncarnation:
    """State that is removed when a runner has restarted."""

    def test_entry_of_a_new_incarnation_clears_the_state(self) -> None:
        world, core = make_core()
        [grant] = [
            each
            for each in core.handle(make_grant_request("q1"), 1.0)
            if each.edge == "e1"
        ]
        assert isinstance(grant, Grant)
        update_entry(world, SECOND_START_MS, ())
        runner = get_runner(world)
        assert not runner.models
        assert not runner.running
        assert runner.order_count is None
        assert not core.state.granted

    def test_report_shows_it_before_the_entry(self) -> None:
        world, _ = make_core()
        receive_report(world, SECOND_START_MS, (), order_count=0, at=2.0)
        runner = get_runner(world)
        assert not runner.models
        assert runner.order_count == 0
        update_entry(world, SECOND_START_MS, ())
        assert get_runner(world) is runner

    def test_late_report_of_the_earlier_incarnation_changes_nothing(self) -> None:
        world, _ = make_core()
        update_entry(world, SECOND_START_MS, ())
        receive_report(world, FIRST_START_MS, ("a",), order_count=5, at=2.0)
        runner = get_runner(world)
        assert not runner.models
        assert runner.order_count is None

    def test_late_end_of_an_earlier_request_is_accepted(self) -> None:
        world, core = make_core()
        core.handle(make_grant_request("q1"), 1.0)
        update_entry(world, SECOND_START_MS, ())
        ended = RequestEnded(edge="e1", request_id="q1", kind=EndKind.FAILED)
        assert core.handle(ended, 2.0) == []

    def test_late_answer_to_an_earlier_order_changes_nothing(self) -> None:
        world, core = make_core()
        core.handle(OrdersAllowed(allowed=True), 1.0)
        core.handle(make_grant_request("q1", "b", patience_s=20.0), 1.0)
        [order] = [
            each for each in core.handle(Tick(), 1.1) if isinstance(each, SendOrder)
        ] or [get_runner(world).open_order]
        assert order is not None
        assert order.started_ms == FIRST_START_MS
        update_entry(world, SECOND_START_MS, ())
        receive_report(world, SECOND_START_MS, (), order_count=0, at=2.0)
        ended = OrderEnded(
            runner_id="r0", outcome=OrderOutcome.STARTED, started_ms=FIRST_START_MS
        )
        core.handle(ended, 2.1)
        runner = get_runner(world)
        assert runner.order_count == 0
        assert "b" not in runner.models


class TestUnknownStart:
    """Runners whose entries or reports have no start time."""

    def test_first_start_time_is_no_new_incarnation(self) -> None:
        world = World(models=["a", "b"], runner_models=[])
        update_entry(world, 0, ("a",))
        runner = get_runner(world)
        receive_report(world, FIRST_START_MS, ("a",), order_count=5, at=1.0)
        assert get_runner(world) is runner

    def test_entry_without_start_time_keeps_the_known_one(self) -> None:
        """Without it, the next report would look like one of a new incarnation."""
        world, core = make_core()
        core.handle(make_grant_request("q1"), 1.0)
        runner = get_runner(world)
        update_entry(world, 0, ("a",))
        receive_report(world, FIRST_START_MS, ("a",), order_count=5, at=2.0)
        assert get_runner(world) is runner
        assert runner.running
