"""Tests that entries and configurations may change what is known of a runner."""

from random import Random

import pytest
from attrs import evolve

from mangoway.models.routing import RoutingTable
from mangoway.models.runner import RunnerEntry
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    EndKind,
    FleetUpdated,
    Grant,
    GrantRequest,
    OrdersAllowed,
    ReportReceived,
    RequestEnded,
    SendOrder,
)
from mangoway.policy.scheduling.state import SchedulingState

from ...fakes.fleet import (
    make_grant_request,
    make_report,
    make_residents,
    make_runner,
    make_table,
)
from .moving import protect

TABLE = protect(make_table())


class Fleet:
    """A core with the runners of a fleet."""

    def __init__(self) -> None:
        self.core = SchedulingCore(SchedulingState(Random(1)))
        self.core.handle(OrdersAllowed(allowed=True), 0.0)

    def update(self, *entries: RunnerEntry, table: RoutingTable = TABLE) -> None:
        event = FleetUpdated(
            table=table,
            runners=tuple(each for each in entries if not each.draining),
            leaving=tuple(each for each in entries if each.draining),
        )
        self.core.handle(event, 1.0)

    def list_ids(self, service: str) -> list[str]:
        return [each.runner_id for each in self.core.state.list_runners(service)]

    def grant(self, request: GrantRequest) -> list[str]:
        actions = self.core.handle(request, 1.0)
        return [each.runner_id for each in actions if isinstance(each, Grant)]


class TestRelabelledRunners:
    """Entries whose service changes while the start of the runner does not.

    A runner that stayed listed under its former service made its removal fail, and with
    it the update of the whole fleet.
    """

    def test_relabelled_runner_can_be_removed(self) -> None:
        fleet = Fleet()
        odd = make_runner("r1", service="plain")
        fleet.update(make_runner("r0"), odd)
        fleet.update(make_runner("r0"), evolve(odd, service="llm"))
        fleet.update(make_runner("r0"), make_runner("r2"))
        assert fleet.list_ids("llm") == ["r0", "r2"]
        assert fleet.list_ids("plain") == []

    def test_relabelled_runner_is_listed_under_its_new_service(self) -> None:
        fleet = Fleet()
        fleet.update(make_runner("r0", ("a",)))
        fleet.update(make_runner("r0", ("a",), service="plain"))
        assert fleet.list_ids("llm") == []
        assert fleet.list_ids("plain") == ["r0"]

    def test_no_request_of_the_former_service_is_granted(self) -> None:
        fleet = Fleet()
        fleet.update(make_runner("r0", ("a",)), make_runner("r1", ("a",)))
        fleet.update(make_runner("r0", ("a",), service="plain"), make_runner("r1"))
        granted = [fleet.grant(make_grant_request(f"q{n}")) for n in range(4)]
        assert all("r0" not in each for each in granted)

    def test_end_of_a_request_of_the_former_service_is_handled(self) -> None:
        fleet = Fleet()
        fleet.update(make_runner("r0", ("a",)))
        assert fleet.grant(make_grant_request("q1")) == ["r0"]
        fleet.update(make_runner("r0", ("a",), service="plain"))
        ended = RequestEnded(edge="e1", request_id="q1", kind=EndKind.SERVED)
        fleet.core.handle(ended, 1.5)
        assert not fleet.core.state.granted

    def test_relabelled_runner_may_leave_with_its_requests(self) -> None:
        fleet = Fleet()
        fleet.update(make_runner("r0", ("a",)), make_runner("r1", ("a",)))
        assert fleet.grant(make_grant_request("q1"))
        for service in ("plain", "llm"):
            fleet.update(
                make_runner("r0", ("a",), service=service, draining=True),
                make_runner("r1", ("a",), service=service, draining=True),
            )
        fleet.update(make_runner("r0", ("a",)), make_runner("r1", ("a",)))
        assert fleet.list_ids("llm") == ["r0", "r1"]


class TestEngines:
    """Runners whose service gets another engine profile while they run.

    A runner kept the profile of the time at which it was first seen. One that was seen
    before its service was configured got no adapters and had no memory limit.
    """

    def test_runner_seen_before_its_service_gets_adapters(self) -> None:
        fleet = Fleet()
        early = evolve(TABLE, services={"plain": TABLE.services["plain"]})
        runner = make_runner("r0", ("a",))
        fleet.update(runner, table=early)
        fleet.update(runner, table=evolve(TABLE, version=2))
        report = make_report(make_residents(("a",)), 0)
        fleet.core.handle(
            ReportReceived(runner_id="r0", report=report, requested_at=1.0), 1.0
        )
        request = make_grant_request("q1", adapter="x1")
        orders = fleet.core.handle(request, 1.1)
        assert [each.adapter for each in orders if isinstance(each, SendOrder)] == [
            "x1"
        ]

    @pytest.mark.parametrize("is_leaving", [False, True])
    def test_new_limits_hold_at_runners_that_are_known(self, is_leaving: bool) -> None:
        fleet = Fleet()
        runner = make_runner("r0", ("a",), draining=is_leaving)
        fleet.update(make_runner("r0", ("a",)))
        fleet.update(runner)
        profile = TABLE.services["llm"]
        assert profile.engine is not None
        engine = evolve(profile.engine, slots=2, kv_capacity_tokens=5_000)
        services = {**TABLE.services, "llm": evolve(profile, engine=engine)}
        fleet.update(runner, table=evolve(TABLE, version=2, services=services))
        known = fleet.core.state.find_runner("r0")
        assert known is not None
        assert known.engine is engine
        assert known.prefixes.capacity_tokens == 5_000
