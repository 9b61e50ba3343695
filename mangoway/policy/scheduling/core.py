"""The scheduling core: events and the time go in, grants and orders come out."""

from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..edge.const import RETRY_BUDGET_USED
from .adapters import plan_adapters
from .dispatch import dispatch, place
from .events import (
    Action,
    Adopted,
    Asked,
    EdgeGone,
    Ended,
    EndKind,
    Event,
    FirstEventSeen,
    FleetSeen,
    OrderEnded,
    OrdersAllowed,
    Refuse,
    ReportSeen,
    Tick,
)
from .loads import estimate_load, expect_ready
from .orders import take_outcome
from .placement import Planner
from .queue import list_hopeless
from .requests import RequestKey, Running, Waiting
from .state import SchedulingState
from .warming import WarmingPlanner

RETRY_AFTER_BUDGET_S: Final = 0.5
"""When to come back if the fleet's retry budget is spent: a twentieth of its window."""

DESCRIBED_MODELS: Final = 6
DESCRIBED_RUNNERS: Final = 12
"""Models and runners in one summary, to bound the length of its line."""

PLAN_S: Final = 0.02
"""Time between two plans of a service's models. A plan looks at each model and runner;
at 30 runners and 111 models one for each event took the core of a small host."""

Handler = Callable[["SchedulingCore", Any, float], list[Action]]
_handlers: dict[type, Handler] = {}


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Register the handler of a kind of event."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@define(eq=False)
class SchedulingCore:
    """Queues requests, grants runners, and plans models and adapters."""

    state: SchedulingState
    on_health: Callable[[str, int], None] = lambda runner_id, failures: None
    """Told of a runner that is avoided after so many failures, or trusted at 0."""

    _planned_at: dict[str, float] = field(factory=dict, init=False)
    """When the models of each service were last planned."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event at time `now` (seconds, never decreasing)."""
        return _handlers[type(event)](self, event, now)

    def serve(self, service: str, now: float) -> list[Action]:
        """Return what can be done for the requests of a service now."""
        actions = dispatch(self.state, service, now)
        if self.state.waiting.get(service) and self.state.orders_allowed:
            actions += plan_adapters(self.state, service, now)
            if now - self._planned_at.get(service, -PLAN_S) >= PLAN_S:
                actions += self.plan(service, now)
        return actions

    def plan(self, service: str, now: float) -> list[Action]:
        """Return the orders for models of a service."""
        self._planned_at[service] = now
        engine = self.state.get_engine(service)
        if engine is None or not self.state.orders_allowed:
            return []
        orders = Planner(self.state, service, engine, now).plan()
        if not orders:
            orders = WarmingPlanner(self.state, service, engine, now).plan()
        return list(orders)

    def describe(self, service: str, now: float) -> tuple[list[str], list[str]]:
        """Return lines on the models and on the runners of a service."""
        engine = self.state.get_engine(service)
        if engine is None:
            return [], []
        planner = Planner(self.state, service, engine, now)
        runners = [each.describe(now) for each in self.state.list_runners(service)]
        return planner.describe_models(DESCRIBED_MODELS), runners[:DESCRIBED_RUNNERS]

    def end(self, key: RequestKey, now: float) -> Running | None:
        """Forget a request; returns it if a runner had it."""
        runner = self.state.runners.get(self.state.granted.pop(key, ""))
        return None if runner is None else runner.remove(key, now)

    def note_health(self, running: Running, kind: EndKind, now: float) -> None:
        """Judge a runner by how a request ended there."""
        health = self.state.health
        if kind.was_served:
            if health.note_success(running.runner_id):
                self.on_health(running.runner_id, 0)
        elif kind in (EndKind.FAILED, EndKind.UNREACHABLE):
            unreachable = kind is EndKind.UNREACHABLE
            failures = health.note_failure(
                running.runner_id, now, unreachable=unreachable
            )
            if failures:
                self.on_health(running.runner_id, failures)


@handles(Asked)
def _take_asked(core: SchedulingCore, event: Asked, now: float) -> list[Action]:
    state = core.state
    budget = state.get_budget(event.service)
    if event.repeat:
        share = RETRY_BUDGET_USED * state.limit_scale
        if not budget.take(now, share):
            return [_refuse(event, RETRY_AFTER_BUDGET_S, "the retry budget is spent")]
    else:
        budget.note_request(now)
        _note_demand(state, event, now)
    engine = state.get_engine(event.service)
    if engine is not None and event.model not in engine.models:
        return [_refuse(event, RETRY_AFTER_BUDGET_S, "the model is not offered")]
    waiting = _make_waiting(event, now)
    state.waiting.setdefault(event.service, {})[waiting.key] = waiting
    return core.serve(event.service, now)


@handles(Adopted)
def _take_adopted(core: SchedulingCore, event: Adopted, now: float) -> list[Action]:
    runner = core.state.runners.get(event.runner_id)
    waiting = _make_waiting(event.asked, now)
    if runner is None or waiting.key in core.state.granted:
        return []
    running = place(core.state, waiting, runner, now)
    running.adopted = True
    if not event.reading:
        runner.reading.note_read(running, now)
    return []


@handles(FirstEventSeen)
def _take_first(
    core: SchedulingCore, event: FirstEventSeen, now: float
) -> list[Action]:
    key = (event.edge, event.request_id)
    runner = core.state.runners.get(core.state.granted.get(key, ""))
    running = None if runner is None else runner.running.get(key)
    if runner is None or running is None:
        return []
    begun_at = runner.reading.find_begin(running)
    if begun_at is not None:
        pace = core.state.pace.get(running.asked.service)
        pace.learn(running.asked.model, running.unread_tokens, now - begun_at)
    runner.reading.note_first_event(running, now)
    runner.note_accepted(running.asked.model, running.asked.adapter)
    core.note_health(running, EndKind.SERVED, now)
    return core.serve(running.asked.service, now)


@handles(Ended)
def _take_ended(core: SchedulingCore, event: Ended, now: float) -> list[Action]:
    key = (event.edge, event.request_id)
    for waiting in core.state.waiting.values():
        waiting.pop(key, None)
    runner = core.state.runners.get(core.state.granted.get(key, ""))
    running = core.end(key, now)
    if running is None or runner is None:
        return []
    if event.kind in (EndKind.NOT_HELD, EndKind.NOT_RUN):
        runner.note_refused(running.asked.model, running.asked.adapter, now)
    core.note_health(running, event.kind, now)
    if event.kind.was_served:
        gaps = core.state.get_gaps(running.asked.service)
        gaps.note(now, paused=event.kind is EndKind.PAUSED)
    return core.serve(running.asked.service, now)


@handles(EdgeGone)
def _take_edge_gone(core: SchedulingCore, event: EdgeGone, now: float) -> list[Action]:
    state = core.state
    for waiting in state.waiting.values():
        for key in [each for each in waiting if each[0] == event.edge]:
            del waiting[key]
    for key in [each for each in state.granted if each[0] == event.edge]:
        core.end(key, now)
    return _serve_all(core, now)


@handles(FleetSeen)
def _take_fleet(core: SchedulingCore, event: FleetSeen, now: float) -> list[Action]:
    core.state.take_fleet(event.table, event.runners, now)
    return _serve_all(core, now)


@handles(ReportSeen)
def _take_report(core: SchedulingCore, event: ReportSeen, now: float) -> list[Action]:
    runner = core.state.find_life(event.runner_id, event.report.started_ms)
    if runner is None:
        return []
    runner.take_report(event.report, event.asked_at, now)
    return core.serve(runner.entry.service, now)


@handles(OrdersAllowed)
def _take_allowed(
    core: SchedulingCore, event: OrdersAllowed, now: float
) -> list[Action]:
    core.state.orders_allowed = event.allowed
    return []


@handles(OrderEnded)
def _take_order_ended(
    core: SchedulingCore, event: OrderEnded, now: float
) -> list[Action]:
    runner = core.state.runners.get(event.runner_id)
    if runner is None or runner.open_order is None:
        return []
    if event.started_ms != runner.open_order.started_ms:
        return []
    service = runner.entry.service
    profile = core.state.get_model(service, runner.open_order.model)
    duration_s = 0.0 if profile is None else estimate_load(runner, profile)
    take_outcome(runner, event.outcome, duration_s, now)
    return core.serve(service, now) + core.plan(service, now)


@handles(Tick)
def _take_tick(core: SchedulingCore, event: Tick, now: float) -> list[Action]:
    actions = _serve_all(core, now)
    for service in list(core.state.waiting):
        actions += _refuse_hopeless(core, service, now)
    for service in core.state.table.services if core.state.table else ():
        if not core.state.waiting.get(service):
            actions += core.plan(service, now)
    return actions


def _serve_all(core: SchedulingCore, now: float) -> list[Action]:
    actions: list[Action] = []
    for service in list(core.state.waiting):
        actions += core.serve(service, now)
    return actions


def _refuse_hopeless(core: SchedulingCore, service: str, now: float) -> list[Action]:
    if not core.state.waiting.get(service):
        return []
    ready_times = expect_ready(core.state, service, now)
    refusals = list_hopeless(core.state, service, now, ready_times)
    for each in refusals:
        waiting = core.state.waiting[service].pop((each.edge, each.request_id), None)
        if waiting is not None:
            asked = waiting.asked
            core.state.returns.note_refused(asked.model, asked.prompt, now)
    return list(refusals)


def _note_demand(state: SchedulingState, event: Asked, now: float) -> None:
    """Count what is asked for, but not once more when a refused caller returns."""
    if state.returns.take(event.model, event.prompt, now):
        return
    work_s = state.pace.get(event.service).estimate(event.model, event.prompt.tokens)
    state.demand.note(event.service, event.model, work_s, now)


def _make_waiting(asked: Asked, now: float) -> Waiting:
    return Waiting(
        asked=asked,
        arrived_at=now,
        objective_at=now + asked.objective_left_s,
        leave_at=now + asked.patience_left_s,
    )


def _refuse(event: Asked, retry_after_s: float, reason: str) -> Refuse:
    return Refuse(
        edge=event.edge,
        request_id=event.request_id,
        retry_after_s=retry_after_s,
        reason=reason,
    )
