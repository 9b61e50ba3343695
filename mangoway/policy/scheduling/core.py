"""The scheduling core: events and the time go in, grants and orders come out."""

from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..customers.const import OVER_QUOTA
from ..limits.cooldowns import CooldownReport
from ..limits.tracker import LimitReport
from .adapters import plan_adapter, plan_adapters, plan_runner
from .const import MIN_RETRY_AFTER_S
from .dispatch import Dispatcher, place
from .events import (
    Action,
    EdgeDisconnected,
    EndKind,
    Event,
    FirstEventSeen,
    FleetUpdated,
    Grant,
    GrantRequest,
    OrderEnded,
    OrdersAllowed,
    PermitRequest,
    QuotaSpent,
    Refuse,
    ReportReceived,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
    Tick,
)
from .hopeless import Forecast
from .loads import estimate_load
from .orders import take_outcome
from .placement import Planner
from .requests import RequestKey, Running, Waiting
from .runners import RunnerState
from .state import Charge, SchedulingState
from .warming import WarmingPlanner

RETRY_AFTER_UNKNOWN_S: Final = 0.5
"""When to come back for a model that is not offered: a newer configuration may have it
by then."""

RATE_LIMITED_REASON: Final = "its runners take no more requests now"
"""Why a request is refused that only limited runners could get."""

DESCRIBED_MODELS: Final = 6
DESCRIBED_RUNNERS: Final = 12
"""Models and runners in one summary, to bound the length of its line."""

PLAN_S: Final = 0.02
"""Least time between two plans of a service's models. A plan looks at each runner and
what lacks copies; at 30 runners one for each event took the core of a small host."""

PLAN_S_PER_RUNNER: Final = 0.0004
"""Time between two plans for each runner: a plan looks at each for some 12
microseconds, so that plans take a few hundredths of a core at any size."""

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
        actions = _handlers[type(event)](self, event, now)
        if self.state.charges:
            self._settle_charges(actions, now)
        return actions

    def _settle_charges(self, actions: list[Action], now: float) -> None:
        """Give back what was taken of quotas for requests that are refused."""
        for action in actions:
            if isinstance(action, Refuse):
                self.give_back((action.edge, action.request_id), now)
            elif isinstance(action, Grant):
                self.state.charges.pop((action.edge, action.request_id), None)

    def give_back(self, key: RequestKey, now: float) -> None:
        """Give back what was taken of a quota for a request that waits no more."""
        charge = self.state.charges.pop(key, None)
        if charge is not None:
            self.state.quotas.record_spending(charge.customer, -charge.amount, now)

    def serve_request(self, waiting: Waiting, now: float) -> list[Action]:
        """Return what can be done for a request that has just come."""
        grant_request = waiting.grant_request
        # What has waited goes first.
        actions = self._serve_due(now)
        self.state.get_queue(grant_request.service).add(waiting, now)
        dispatcher = Dispatcher(self.state, grant_request.service, now)
        grants = dispatcher.serve_request(waiting)
        if grants:
            return [*actions, *grants]
        if grant_request.adapter and self.state.orders_allowed:
            actions += plan_adapter(
                self.state,
                grant_request.service,
                grant_request.model,
                grant_request.adapter,
                now,
            )
        return actions + self._plan_if_due(grant_request.service, now)

    def serve_runner(self, runner: RunnerState, now: float) -> list[Action]:
        """Return what can be done now that something has changed at a runner."""
        service = runner.entry.service
        actions = self._serve_due(now)
        if not len(self.state.get_queue(service)):
            return actions
        actions += Dispatcher(self.state, service, now).serve_runner(runner)
        if self.state.orders_allowed:
            actions += plan_runner(self.state, runner, now)
        return actions + self._plan_if_due(service, now)

    def serve_all(self, service: str, now: float) -> list[Action]:
        """Return what can be done for all requests of a service."""
        if not len(self.state.get_queue(service)):
            return []
        actions: list[Action] = [*Dispatcher(self.state, service, now).serve_all()]
        if self.state.orders_allowed:
            actions += plan_adapters(self.state, service, now)
        return actions + self._plan_if_due(service, now)

    def _serve_due(self, now: float) -> list[Action]:
        """Return grants for the runners that were to be looked at by now."""
        actions: list[Action] = []
        for runner_id in self.state.wakes.pop_due(now):
            runner = self.state.runners.get(runner_id)
            if runner is not None:
                service = runner.entry.service
                actions += Dispatcher(self.state, service, now).serve_runner(runner)
        return actions

    def _plan_if_due(self, service: str, now: float) -> list[Action]:
        if not len(self.state.get_queue(service)) or not self.state.orders_allowed:
            return []
        period_s = max(PLAN_S, PLAN_S_PER_RUNNER * self.state.count_runners(service))
        if now - self._planned_at.get(service, -period_s) < period_s:
            return []
        return self.plan(service, now)

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
            if health.record_success(running.runner_id):
                self.on_health(running.runner_id, 0)
        elif kind in (EndKind.FAILED, EndKind.UNREACHABLE):
            unreachable = kind is EndKind.UNREACHABLE
            failures = health.record_failure(
                running.runner_id, now, unreachable=unreachable
            )
            if failures:
                self.on_health(running.runner_id, failures)


@handles(GrantRequest)
def _take_asked(core: SchedulingCore, event: GrantRequest, now: float) -> list[Action]:
    state = core.state
    if event.cost > 0:
        wait_s = state.quotas.try_consume(event.customer, event.cost, now)
        if wait_s > 0:
            return [_refuse_over_quota(event, wait_s)]
        charge = Charge(event.customer, event.cost)
        state.charges[event.edge, event.request_id] = charge
    if not event.repeat:
        _note_demand(state, event, now)
    engine = state.get_engine(event.service)
    if engine is not None and event.model not in engine.models:
        return [_refuse(event, RETRY_AFTER_UNKNOWN_S, "the model is not offered")]
    waiting = _make_waiting(state, event, now)
    return core.serve_request(waiting, now)


@handles(RequestAdopted)
def _take_adopted(
    core: SchedulingCore, event: RequestAdopted, now: float
) -> list[Action]:
    runner = core.state.runners.get(event.runner_id)
    waiting = _make_waiting(core.state, event.grant_request, now)
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
        pace = core.state.pace.get(running.grant_request.service)
        pace.learn(running.grant_request.model, running.unread_tokens, now - begun_at)
    runner.reading.note_first_event(running, now)
    runner.note_accepted(running.grant_request.model, running.grant_request.adapter)
    core.note_health(running, EndKind.SERVED, now)
    return core.serve_runner(runner, now)


@handles(RequestEnded)
def _take_ended(core: SchedulingCore, event: RequestEnded, now: float) -> list[Action]:
    key = (event.edge, event.request_id)
    core.give_back(key, now)
    for queue in core.state.queues.values():
        queue.remove(key)
    runner = core.state.runners.get(core.state.granted.get(key, ""))
    running = core.end(key, now)
    if running is None or runner is None:
        return []
    if event.kind in (EndKind.NOT_HELD, EndKind.NOT_RUN):
        runner.note_refused(
            running.grant_request.model, running.grant_request.adapter, now
        )
    core.note_health(running, event.kind, now)
    if event.kind.was_served:
        gaps = core.state.get_gaps(running.grant_request.service)
        gaps.note(now, paused=event.kind is EndKind.PAUSED)
        if not running.adopted:
            stays = core.state.get_stays(running.grant_request.service)
            stays.learn(running.grant_request.model, now - running.granted_at)
    return core.serve_runner(runner, now)


@handles(QuotaSpent)
def _take_spent(core: SchedulingCore, event: QuotaSpent, now: float) -> list[Action]:
    core.state.quotas.record_spending(event.customer, event.amount, now)
    return []


@handles(SpendingReported)
def _take_told(
    core: SchedulingCore, event: SpendingReported, now: float
) -> list[Action]:
    core.state.quotas.add_reported_spending(event.rows, now)
    return []


@handles(LimitReport)
def _take_limit(core: SchedulingCore, event: LimitReport, now: float) -> list[Action]:
    if not core.state.limits.update(event, now):
        return []
    runner = core.state.runners.get(event.runner_id)
    return [] if runner is None else core.serve_runner(runner, now)


@handles(CooldownReport)
def _take_rest(core: SchedulingCore, event: CooldownReport, now: float) -> list[Action]:
    core.state.cooldowns.update(event, now)
    return []


@handles(PermitRequest)
def _take_permit(
    core: SchedulingCore, event: PermitRequest, now: float
) -> list[Action]:
    limits, life = core.state.limits, (event.runner_id, event.started_ms)
    if limits.measure_wait(*life, now) > 0:
        return [
            Refuse(
                edge=event.edge,
                request_id=event.request_id,
                retry_after_s=round(limits.reserve_retry_after(*life, now), 3),
                reason=RATE_LIMITED_REASON,
            )
        ]
    limits.record_request(*life, now)
    return [
        Grant(edge=event.edge, request_id=event.request_id, runner_id=event.runner_id)
    ]


@handles(EdgeDisconnected)
def _take_edge_gone(
    core: SchedulingCore, event: EdgeDisconnected, now: float
) -> list[Action]:
    state = core.state
    state.cooldowns.forget_edge(event.edge)
    for queue in state.queues.values():
        queue.remove_edge(event.edge)
    for key in [each for each in state.charges if each[0] == event.edge]:
        core.give_back(key, now)
    for key in [each for each in state.granted if each[0] == event.edge]:
        core.end(key, now)
    return _serve_all(core, now)


@handles(FleetUpdated)
def _take_fleet(core: SchedulingCore, event: FleetUpdated, now: float) -> list[Action]:
    core.state.take_fleet(event.table, event.runners, now)
    return _serve_all(core, now)


@handles(ReportReceived)
def _take_report(
    core: SchedulingCore, event: ReportReceived, now: float
) -> list[Action]:
    runner = core.state.find_life(event.runner_id, event.report.started_ms)
    if runner is None:
        return []
    runner.take_report(event.report, event.asked_at, now)
    return core.serve_runner(runner, now)


@handles(OrdersAllowed)
def _take_allowed(
    core: SchedulingCore, event: OrdersAllowed, now: float
) -> list[Action]:
    if event.allowed and not core.state.orders_allowed:
        core.state.begin_orders(now)
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
    return core.serve_runner(runner, now) + core.plan(service, now)


@handles(Tick)
def _take_tick(core: SchedulingCore, event: Tick, now: float) -> list[Action]:
    actions = _serve_all(core, now)
    for service in list(core.state.queues):
        actions += _refuse_hopeless(core, service, now)
    for service in core.state.table.services if core.state.table else ():
        if not len(core.state.get_queue(service)):
            actions += core.plan(service, now)
    return actions


def _serve_all(core: SchedulingCore, now: float) -> list[Action]:
    actions: list[Action] = []
    for service in list(core.state.queues):
        actions += core.serve_all(service, now)
    return actions


def _refuse_hopeless(core: SchedulingCore, service: str, now: float) -> list[Action]:
    queue = core.state.get_queue(service)
    if not len(queue):
        return []
    refusals = Forecast(core.state, service, now).list_hopeless()
    for each in refusals:
        waiting = queue.remove((each.edge, each.request_id))
        if waiting is not None:
            grant_request = waiting.grant_request
            core.state.returns.note_refused(
                grant_request.model, grant_request.prompt, now
            )
    return list(refusals)


def _note_demand(state: SchedulingState, event: GrantRequest, now: float) -> None:
    """Count what is asked for, but not once more when a refused caller returns."""
    if state.returns.take(event.model, event.prompt, now):
        return
    work_s = state.pace.get(event.service).estimate(event.model, event.prompt.tokens)
    state.demand.note(event.service, event.model, work_s, now)


def _make_waiting(
    state: SchedulingState, grant_request: GrantRequest, now: float
) -> Waiting:
    pace = state.pace.get(grant_request.service)
    reading_s = pace.estimate(grant_request.model, grant_request.prompt.tokens)
    objective_at = now + grant_request.objective_left_s
    return Waiting(
        grant_request=grant_request,
        arrived_at=now,
        objective_at=objective_at,
        leave_at=now + grant_request.patience_left_s,
        late_at=objective_at - reading_s - pace.first_event_s,
    )


def _refuse_over_quota(event: GrantRequest, wait_s: float) -> Refuse:
    return Refuse(
        edge=event.edge,
        request_id=event.request_id,
        retry_after_s=round(max(wait_s, MIN_RETRY_AFTER_S), 3),
        reason=OVER_QUOTA,
        over_quota=True,
    )


def _refuse(event: GrantRequest, retry_after_s: float, reason: str) -> Refuse:
    return Refuse(
        edge=event.edge,
        request_id=event.request_id,
        retry_after_s=retry_after_s,
        reason=reason,
    )
