"""State machine test of the core's indexes while entries and configurations change.

An entry may name another service than before, and a configuration may drop a service or
a model that runners still have. An index that is not updated makes each later plan or
update of the fleet fail.
"""

from random import Random
from typing import Any

from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from mangoway.models.routing import RoutingTable, ServiceProfile
from mangoway.models.runner import RunnerEntry
from mangoway.policy.plain.core import PlainCore
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    Action,
    EdgeDisconnected,
    EndKind,
    FirstEventSeen,
    FleetUpdated,
    Grant,
    OrderEnded,
    OrderOutcome,
    OrdersAllowed,
    RequestEnded,
    SendOrder,
    Tick,
)
from mangoway.policy.scheduling.events import ReportReceived as Report
from mangoway.policy.scheduling.state import SchedulingState

from ...fakes.fleet import (
    make_grant_request,
    make_report,
    make_residents,
    make_runner,
    make_table,
)
from .moving import protect

MODELS = ("a", "b", "c", "d")
SERVICES = ("llm", "plain", "unknown")
RUNNERS = ("r0", "r1", "r2", "r3")
MANY_REQUESTS = 15
"""Requests in a burst, enough for a model to count as popular."""

names = st.sampled_from(RUNNERS)
some_models = st.sets(st.sampled_from(MODELS), max_size=3)


def make_offer(version: int, models: set[str], services: set[str]) -> RoutingTable:
    """Return a table that offers some models and services."""
    table = protect(make_table(version, models=sorted(models)))
    extra = ServiceProfile(name="unknown", health_path="/health", max_connections=9)
    offered = {**table.services, "unknown": extra}
    return evolve(
        table, services={name: offered[name] for name in offered if name in services}
    )


class FleetMachine(RuleBasedStateMachine):
    """Entries, configurations, reports and requests that change in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.version = 1
        self.number = 0
        self.table = make_offer(1, set(MODELS), set(SERVICES))
        self.entries: dict[str, RunnerEntry] = {
            name: make_runner(name, MODELS[:2], started_ms=1) for name in RUNNERS
        }
        self.running: dict[str, None] = {}
        self.orders: list[SendOrder] = []
        self.core = SchedulingCore(SchedulingState(Random(1)))
        self.plain = PlainCore()
        self.update_fleet()
        self.handle(OrdersAllowed(allowed=True))

    def handle(self, event: Any) -> None:
        """Send an event and record the grants and orders."""
        actions: list[Action] = self.core.handle(event, self.now)
        for each in actions:
            if isinstance(each, Grant):
                self.running[each.request_id] = None
            elif isinstance(each, SendOrder):
                self.orders.append(each)

    def update_fleet(self) -> None:
        """Send the current configuration and entries."""
        entries = tuple(self.entries.values())
        event = FleetUpdated(
            table=self.table,
            runners=tuple(each for each in entries if not each.draining),
            leaving=tuple(each for each in entries if each.draining),
        )
        self.handle(event)
        self.plain.handle(event, self.now)

    @rule(name=names, service=st.sampled_from(SERVICES), draining=st.booleans())
    def change_entry(self, name: str, service: str, draining: bool) -> None:
        entry = self.entries.get(name) or make_runner(name, started_ms=1)
        self.entries[name] = evolve(entry, service=service, draining=draining)
        self.update_fleet()

    @rule(name=names, slots=st.integers(1, 64), version=st.sampled_from(["", "v2"]))
    def change_facts(self, name: str, slots: int, version: str) -> None:
        """Change what an entry may state anew without a restart."""
        entry = self.entries.get(name) or make_runner(name, started_ms=1)
        self.entries[name] = evolve(
            entry,
            slots=slots,
            software_version=version,
            address=f"127.0.0.1:{slots}",
            data_centre=f"dc{slots % 3}",
        )
        self.update_fleet()

    @rule(name=names, models=some_models, known=st.booleans())
    def restart_runner(self, name: str, models: set[str], known: bool) -> None:
        entry = self.entries.get(name) or make_runner(name, started_ms=1)
        self.entries[name] = evolve(
            entry,
            models=make_residents(tuple(sorted(models))),
            started_ms=entry.started_ms + 1 if known else 0,
        )
        self.update_fleet()

    @rule(name=names)
    def remove_entry(self, name: str) -> None:
        self.entries.pop(name, None)
        self.update_fleet()

    @rule(models=some_models, services=st.sets(st.sampled_from(SERVICES)))
    def change_table(self, models: set[str], services: set[str]) -> None:
        self.version += 1
        self.table = make_offer(self.version, models or {"a"}, services)
        self.update_fleet()

    @rule(retired=st.sampled_from(MODELS), wanted=st.sampled_from(MODELS))
    def retire_popular_model(self, retired: str, wanted: str) -> None:
        """Let demand move from a model to another one while it is retired."""
        for name in RUNNERS:
            report = make_report(make_residents((retired,)), self.number)
            self.handle(Report(runner_id=name, report=report, requested_at=self.now))
        for _ in range(MANY_REQUESTS):
            self.now += 0.1
            self.request(retired, "llm", many=False)
        self.change_table(set(MODELS) - {retired}, set(SERVICES))
        self.request(wanted, "llm", many=True)
        self.wait(0.5)

    @rule(name=names, models=some_models, on_disk=some_models, busy=st.booleans())
    def report(
        self, name: str, models: set[str], on_disk: set[str], busy: bool
    ) -> None:
        report = make_report(
            make_residents(tuple(sorted(models))),
            self.number,
            busy=busy,
            on_disk=frozenset(on_disk),
        )
        self.handle(Report(runner_id=name, report=report, requested_at=self.now))

    @rule(
        model=st.sampled_from(MODELS),
        service=st.sampled_from(SERVICES),
        many=st.booleans(),
    )
    def request(self, model: str, service: str, many: bool) -> None:
        for _ in range(MANY_REQUESTS if many else 1):
            self.number += 1
            request = make_grant_request(f"q{self.number}", model, patience_s=5.0)
            self.handle(evolve(request, service=service))

    @precondition(lambda self: self.running)
    @rule(data=st.data(), kind=st.sampled_from(list(EndKind)))
    def end(self, data: st.DataObject, kind: EndKind) -> None:
        request_id = data.draw(st.sampled_from(list(self.running)))
        self.handle(FirstEventSeen(edge="e1", request_id=request_id))
        del self.running[request_id]
        self.handle(RequestEnded(edge="e1", request_id=request_id, kind=kind))

    @precondition(lambda self: self.orders)
    @rule(outcome=st.sampled_from(list(OrderOutcome)))
    def end_order(self, outcome: OrderOutcome) -> None:
        order = self.orders.pop()
        self.handle(
            OrderEnded(
                runner_id=order.runner_id,
                outcome=outcome,
                started_ms=order.started_ms,
            )
        )

    @rule()
    def disconnect_edge(self) -> None:
        self.running.clear()
        self.handle(EdgeDisconnected(edge="e1"))

    @rule(seconds=st.sampled_from([0.05, 0.5, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.handle(Tick())

    @invariant()
    def each_runner_is_indexed_under_its_service(self) -> None:
        state = self.core.state
        listed = {
            runner.runner_id: service
            for service in SERVICES
            for runner in state.list_runners(service)
        }
        expected = {
            each.runner_id: each.service
            for each in self.entries.values()
            if not each.draining
        }
        assert listed == expected
        assert state.runners.keys() == expected.keys()

    @invariant()
    def each_runner_has_the_engine_of_its_service(self) -> None:
        state = self.core.state
        for runner in [*state.runners.values(), *state.leaving.list_runners()]:
            assert runner.engine is state.get_engine(runner.entry.service)

    @invariant()
    def each_copy_is_indexed_under_its_service(self) -> None:
        state = self.core.state
        for service in SERVICES:
            copies = state.get_copies(service)
            runners = {each.runner_id: each for each in state.list_runners(service)}
            for model in MODELS:
                held = {key for key, each in runners.items() if model in each.models}
                indexed = set(copies.loaded.get(model)) & state.runners.keys()
                assert indexed == held
                assert set(copies.on_disk.get(model)) <= runners.keys()


TestFleetMachine = FleetMachine.TestCase
