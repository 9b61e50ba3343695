"""The scheduling core: maps events at given times to grants, rejections and orders."""

from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..limits.cooldowns import CooldownReport
from ..limits.tracker import LimitReport
from . import transfers
from .adapters import plan_adapter, plan_adapters, plan_runner
from .arrivals import (
    make_rejection,
    make_waiting,
    record_demand,
    reject_over_quota,
)
from .backups import end_backup
from .const import MAX_RETRY_AFTER_S
from .dispatch import Dispatcher, assign_request
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
    Reject,
    ReportReceived,
    RequestAdopted,
    RequestEnded,
    SpendingReported,
    StreamMoved,
    Tick,
    TransferFailed,
)
from .forecast import NOT_OFFERED_REASON, QueueForecast
from .loads import estimate_load_s
from .orders import apply_outcome
from .output_lengths import TOO_LARGE_REASON, is_too_large
from .pace_samples import record_ended, record_first_event
from .placement import PlacementPlanner
from .prefetching import PrefetchPlanner
from .requests import RequestKey, RunningRequest, WaitingRequest
from .runners import FinishedUnload, RunnerState
from .sharing import estimate_waiting, settle_request
from .state import QuotaCharge, SchedulingState
from .yields import plan_yields

UNKNOWN_MODEL_RETRY_AFTER_S: Final = 0.5
"""Retry-After for a model that is not offered; a newer configuration may offer it by
then."""

RATE_LIMITED_REASON: Final = "its runners take no more requests now"
"""Reason of a rejection when only rate-limited runners could serve the request."""

MAY_RUN_ON: Final = (EndKind.FAILED, EndKind.LEFT)
"""Ends of attempts whose runner may go on with the run; most runners stop it when its
connection closes."""

MAX_DESCRIBED_MODELS: Final = 6
MAX_DESCRIBED_RUNNERS: Final = 12
"""Models and runners in one summary; bounds the length of the log line."""

MIN_PLAN_INTERVAL_S: Final = 0.02
"""Minimum time between two plans of a service's models. A plan evaluates each runner
and each model that lacks copies; with 30 runners, a plan at each event used a whole
CPU core of a small host."""

PLAN_INTERVAL_S_PER_RUNNER: Final = 0.0004
"""Minimum time between two plans, per runner of the service. A plan takes some 12
microseconds per runner, so that plans use a few hundredths of a CPU core with any
number of runners."""

Handler = Callable[["SchedulingCore", Any, float], list[Action]]
_handlers: dict[type, Handler] = {}


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of an event class."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@define(eq=False)
class SchedulingCore:
    """Queues requests, grants them to runners, and plans models and adapters."""

    state: SchedulingState
    on_health_change: Callable[[str, int], None] = lambda runner_id, failures: None
    """Called with a runner and its number of failures when it becomes avoided, and with
    0 when it is no longer avoided."""

    on_unload_finished: Callable[[str, FinishedUnload], None] = (
        lambda runner_id, unload: None
    )
    """Called with a runner and an unload that waited for runs there."""

    on_plan_failed: Callable[[Exception], None] | None = None
    """Called with the error of a plan that failed; without it, the error is raised."""

    _planned_at: dict[str, float] = field(factory=dict, init=False)
    """Time of the last plan of each service's models."""

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event at time `now` (seconds, never decreasing)."""
        actions = _handlers[type(event)](self, event, now)
        if self.state.charges:
            self._settle_charges(actions, now)
        return actions

    def _settle_charges(self, actions: list[Action], now: float) -> None:
        """Refund the quota charges of rejected requests; drop those of granted ones."""
        for action in actions:
            if isinstance(action, Reject):
                self.refund((action.edge, action.request_id), now)
            elif isinstance(action, Grant):
                self.state.charges.pop((action.edge, action.request_id), None)

    def refund(self, key: RequestKey, now: float) -> None:
        """Refund the quota charge of a request that no longer waits."""
        charge = self.state.charges.pop(key, None)
        if charge is not None:
            self.state.quotas.record_spending(charge.customer, -charge.amount, now)

    def serve_request(self, waiting: WaitingRequest, now: float) -> list[Action]:
        """Queue a request and return the actions that it allows."""
        grant_request = waiting.grant_request
        # Requests that wait already are served first.
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
        """Return the actions that a change at a runner allows."""
        service = runner.entry.service
        actions = self._serve_due(now)
        if not len(self.state.get_queue(service)):
            return actions
        if self.state.runners.get(runner.runner_id) is not runner:
            return actions
        actions += Dispatcher(self.state, service, now).serve_runner(runner)
        if self.state.orders_allowed:
            actions += plan_runner(self.state, runner, now)
        return actions + self._plan_if_due(service, now)

    def serve_all(self, service: str, now: float) -> list[Action]:
        """Return the actions for all waiting requests of a service."""
        if not len(self.state.get_queue(service)):
            return []
        actions: list[Action] = [*Dispatcher(self.state, service, now).serve_all()]
        if self.state.orders_allowed:
            actions += plan_adapters(self.state, service, now)
        return actions + self._plan_if_due(service, now)

    def _serve_due(self, now: float) -> list[Action]:
        """Return grants for the runners whose wakeup time has come."""
        actions: list[Action] = []
        for runner_id in self.state.wakeups.pop_due(now):
            runner = self.state.runners.get(runner_id)
            if runner is not None:
                service = runner.entry.service
                actions += Dispatcher(self.state, service, now).serve_runner(runner)
        return actions

    def _plan_if_due(self, service: str, now: float) -> list[Action]:
        if not len(self.state.get_queue(service)) or not self.state.orders_allowed:
            return []
        period_s = max(
            MIN_PLAN_INTERVAL_S,
            PLAN_INTERVAL_S_PER_RUNNER * self.state.count_runners(service),
        )
        if now - self._planned_at.get(service, -period_s) < period_s:
            return []
        return self.plan(service, now)

    def plan(self, service: str, now: float) -> list[Action]:
        """Return the orders for the models of a service.

        An error costs the orders of this plan, not the grants of the same event or the
        plans of other services.
        """
        self._planned_at[service] = now
        engine = self.state.get_engine(service)
        if engine is None or not self.state.orders_allowed:
            return []
        try:
            orders = PlacementPlanner(self.state, service, engine, now).plan()
            if not orders:
                orders = PrefetchPlanner(self.state, service, engine, now).plan()
        except Exception as error:
            if self.on_plan_failed is None:
                raise
            self.on_plan_failed(error)
            return []
        return list(orders)

    def describe(self, service: str, now: float) -> tuple[list[str], list[str]]:
        """Return log lines about the models and the runners of a service."""
        engine = self.state.get_engine(service)
        if engine is None:
            return [], []
        planner = PlacementPlanner(self.state, service, engine, now)
        runners = [each.describe(now) for each in self.state.list_runners(service)]
        return planner.describe_models(MAX_DESCRIBED_MODELS), runners[
            :MAX_DESCRIBED_RUNNERS
        ]

    def end_request(
        self, key: RequestKey, now: float, *, kind: EndKind = EndKind.LEFT
    ) -> RunningRequest | None:
        """Remove a granted request and return it; None if no runner had it."""
        if self.state.protecting:
            transfers.end_transfer(self.state, key)
            # A runner that did not run the request has no copy to keep.
            not_run = kind in (EndKind.NOT_HELD, EndKind.NOT_RUN)
            end_backup(self.state, key, now, drop=kind.was_served or not_run)
        runner = self.state.find_granted_runner(key)
        self.state.granted.pop(key, None)
        running = None if runner is None else runner.remove(key, now)
        if runner is not None and running is not None and kind in MAY_RUN_ON:
            runner.record_unfinished(running, now)
        return running

    def plan_transfers(self, now: float) -> list[Action]:
        """Return the transfers of streams away from runners that leave."""
        return [*transfers.plan_leaving(self.state, now)]

    def record_health(self, running: RunningRequest, kind: EndKind, now: float) -> None:
        """Update the health record of a runner from the result of a request."""
        runner = self.state.runners.get(running.runner_id)
        if runner is None:
            return
        health, edge = self.state.health, running.grant_request.edge
        if kind.was_served:
            runner.unreachable_from.discard(edge)
            if health.record_success(running.runner_id):
                self.on_health_change(running.runner_id, 0)
        elif kind in (EndKind.FAILED, EndKind.UNREACHABLE):
            unreachable = kind is EndKind.UNREACHABLE
            if unreachable:
                # Repeated failures of one edge may only mean that it has no path to a
                # runner that the others reach.
                if edge in runner.unreachable_from:
                    return
                runner.unreachable_from.add(edge)
            failures = health.record_failure(
                running.runner_id, now, unreachable=unreachable
            )
            if failures:
                self.on_health_change(running.runner_id, failures)


@handles(GrantRequest)
def _handle_grant_request(
    core: SchedulingCore, event: GrantRequest, now: float
) -> list[Action]:
    state = core.state
    if event.cost > 0:
        wait_s = state.quotas.try_consume(event.customer, event.cost, now)
        if wait_s > 0:
            return [reject_over_quota(event, wait_s)]
        charge = QuotaCharge(event.customer, event.cost)
        state.charges[event.edge, event.request_id] = charge
    if not event.repeat:
        record_demand(state, event, now)
    engine = state.get_engine(event.service)
    if engine is not None and event.model not in engine.models:
        return [make_rejection(event, UNKNOWN_MODEL_RETRY_AFTER_S, NOT_OFFERED_REASON)]
    waiting = make_waiting(state, event, now)
    if is_too_large(waiting.memory, engine):
        return [make_rejection(event, MAX_RETRY_AFTER_S, TOO_LARGE_REASON)]
    return core.serve_request(waiting, now)


@handles(RequestAdopted)
def _handle_adopted(
    core: SchedulingCore, event: RequestAdopted, now: float
) -> list[Action]:
    runner = core.state.find_runner(event.runner_id)
    waiting = make_waiting(core.state, event.grant_request, now)
    if runner is None or waiting.key in core.state.granted:
        return []
    running = assign_request(core.state, waiting, runner, now)
    running.adopted = True
    if not event.prefilling:
        running.first_event_at = now
        runner.prefill_backlog.mark_prefilled(running, now)
    return []


@handles(FirstEventSeen)
def _handle_first_event(
    core: SchedulingCore, event: FirstEventSeen, now: float
) -> list[Action]:
    key = (event.edge, event.request_id)
    runner = core.state.find_granted_runner(key)
    running = None if runner is None else runner.running.get(key)
    if runner is None or running is None:
        return []
    if running.first_event_at is None:
        running.first_event_at = now
    begun_at = runner.prefill_backlog.estimate_start(running)
    paces = core.state.paces.get(running.grant_request.service)
    if paces is not None:
        record_first_event(core.state, paces, runner, running, begun_at, now)
    if begun_at is not None:
        estimator = core.state.prefill_estimators.get(running.grant_request.service)
        estimator.add_sample(
            running.grant_request.model, running.prefill_tokens, now - begun_at
        )
    runner.prefill_backlog.record_first_event(running, now)
    runner.record_served(running.grant_request.model, running.grant_request.adapter)
    core.record_health(running, EndKind.SERVED, now)
    return core.serve_runner(runner, now)


@handles(RequestEnded)
def _handle_ended(
    core: SchedulingCore, event: RequestEnded, now: float
) -> list[Action]:
    key = (event.edge, event.request_id)
    core.refund(key, now)
    for queue in core.state.queues.values():
        queue.remove(key)
    runner = core.state.find_granted_runner(key)
    running = core.end_request(key, now, kind=event.kind)
    settle_request(core.state, key, running, event.kind, now)
    if running is None or runner is None:
        return []
    if event.kind in (EndKind.NOT_HELD, EndKind.NOT_RUN):
        runner.record_rejection(
            running.grant_request.model, running.grant_request.adapter, now
        )
    core.record_health(running, event.kind, now)
    paces = core.state.paces.get(running.grant_request.service)
    if paces is not None:
        record_ended(paces, runner, event)
    if event.kind.was_served:
        request = running.grant_request
        core.state.memory_estimator.add_sample(
            core.state.table, request.service, request.prompt, event.events
        )
        pauses = core.state.get_stream_pauses(running.grant_request.service)
        paused = event.kind is EndKind.PAUSED
        pauses.record_stream(now, paused=paused)
        if runner.pauses is not None:
            runner.pauses.record_stream(now, paused=paused)
        if not running.adopted:
            slot_times = core.state.get_slot_times(running.grant_request.service)
            slot_times.add_sample(running.grant_request.model, now - running.granted_at)
        if core.state.protects(running.grant_request.service):
            stream_times = core.state.get_stream_times(running.grant_request.service)
            stream_times.add_sample(
                running.grant_request.model, event.events, event.event_s
            )
    return core.serve_runner(runner, now)


@handles(StreamMoved)
def _handle_stream_moved(
    core: SchedulingCore, event: StreamMoved, now: float
) -> list[Action]:
    key = (event.edge, event.request_id)
    source_id = core.state.granted.get(key, "")
    source = transfers.move_stream(core.state, key, event.runner_id, now)
    actions = [] if source is None else core.serve_runner(source, now)
    changed = (source_id, event.runner_id)
    return [*actions, *transfers.plan_changed(core.state, changed, now)]


@handles(TransferFailed)
def _handle_transfer_failed(
    core: SchedulingCore, event: TransferFailed, now: float
) -> list[Action]:
    key = (event.edge, event.request_id)
    transfers.fail_transfer(core.state, key, event.target_runner_id)
    target = core.state.runners.get(event.target_runner_id)
    actions = [] if target is None else core.serve_runner(target, now)
    changed = (core.state.granted.get(key, ""),)
    return [*actions, *transfers.plan_changed(core.state, changed, now)]


@handles(QuotaSpent)
def _handle_quota_spent(
    core: SchedulingCore, event: QuotaSpent, now: float
) -> list[Action]:
    core.state.quotas.record_spending(event.customer, event.amount, now)
    return []


@handles(SpendingReported)
def _handle_spending(
    core: SchedulingCore, event: SpendingReported, now: float
) -> list[Action]:
    core.state.quotas.add_reported_spending(event.rows, now)
    return []


@handles(LimitReport)
def _handle_limit(core: SchedulingCore, event: LimitReport, now: float) -> list[Action]:
    if not core.state.limits.update(event, now):
        return []
    runner = core.state.runners.get(event.runner_id)
    return [] if runner is None else core.serve_runner(runner, now)


@handles(CooldownReport)
def _handle_cooldown(
    core: SchedulingCore, event: CooldownReport, now: float
) -> list[Action]:
    core.state.cooldowns.update(event, now)
    return []


@handles(PermitRequest)
def _handle_permit(
    core: SchedulingCore, event: PermitRequest, now: float
) -> list[Action]:
    limits, incarnation = core.state.limits, (event.runner_id, event.started_ms)
    if limits.measure_wait(*incarnation, now) > 0:
        return [
            Reject(
                edge=event.edge,
                request_id=event.request_id,
                retry_after_s=round(limits.reserve_retry_after(*incarnation, now), 3),
                reason=RATE_LIMITED_REASON,
            )
        ]
    limits.record_request(*incarnation, now)
    return [
        Grant(edge=event.edge, request_id=event.request_id, runner_id=event.runner_id)
    ]


@handles(EdgeDisconnected)
def _handle_edge_disconnected(
    core: SchedulingCore, event: EdgeDisconnected, now: float
) -> list[Action]:
    state = core.state
    state.cooldowns.remove_edge(event.edge)
    for queue in state.queues.values():
        queue.remove_edge(event.edge)
    for key in [each for each in state.charges if each[0] == event.edge]:
        core.refund(key, now)
    keys = dict.fromkeys(each for each in state.granted if each[0] == event.edge)
    protected = state.transfers.list_edge(event.edge) + state.backups.list_edge(
        event.edge
    )
    for key in [*keys, *(each for each in protected if each not in keys)]:
        core.end_request(key, now)
    for shares in state.shares.values():
        shares.settle_edge(event.edge)
    for runner in state.runners.values():
        runner.unreachable_from.discard(event.edge)
    return _serve_all(core, now)


@handles(FleetUpdated)
def _handle_fleet(
    core: SchedulingCore, event: FleetUpdated, now: float
) -> list[Action]:
    was_shared = core.state.is_shared
    core.state.update_fleet(event.table, event.runners, now, event.leaving)
    if core.state.is_shared and not was_shared:
        estimate_waiting(core.state)
    # Transfers need free slots before new requests take them.
    return core.plan_transfers(now) + _serve_all(core, now)


@handles(ReportReceived)
def _handle_report(
    core: SchedulingCore, event: ReportReceived, now: float
) -> list[Action]:
    runner = core.state.find_incarnation(event.runner_id, event.report.started_ms)
    if runner is None:
        return []
    for each in runner.apply_report(event.report, event.requested_at, now):
        core.on_unload_finished(event.runner_id, each)
    return core.serve_runner(runner, now)


@handles(OrdersAllowed)
def _handle_orders_allowed(
    core: SchedulingCore, event: OrdersAllowed, now: float
) -> list[Action]:
    if event.allowed and not core.state.orders_allowed:
        core.state.start_ordering(now, may_load=event.may_load_from_store)
    core.state.orders_allowed = event.allowed
    return []


@handles(OrderEnded)
def _handle_order_ended(
    core: SchedulingCore, event: OrderEnded, now: float
) -> list[Action]:
    runner = core.state.runners.get(event.runner_id)
    if runner is None or runner.open_order is None:
        return []
    if event.started_ms != runner.open_order.started_ms:
        return []
    service = runner.entry.service
    profile = core.state.get_model(service, runner.open_order.model)
    duration_s = 0.0 if profile is None else estimate_load_s(runner, profile)
    apply_outcome(runner, event.outcome, duration_s, now)
    return core.serve_runner(runner, now) + core.plan(service, now)


@handles(Tick)
def _handle_tick(core: SchedulingCore, event: Tick, now: float) -> list[Action]:
    actions: list[Action] = []
    if core.state.protecting:
        transfers.expire_reservations(core.state, now)
        actions += core.plan_transfers(now)
    actions += _serve_all(core, now)
    if core.state.protecting:
        actions += plan_yields(core.state, now)
    for service in list(core.state.queues):
        actions += _reject_unservable(core, service, now)
    for service in core.state.table.services if core.state.table else ():
        if not len(core.state.get_queue(service)):
            actions += core.plan(service, now)
    return actions


def _serve_all(core: SchedulingCore, now: float) -> list[Action]:
    actions: list[Action] = []
    for service in list(core.state.queues):
        actions += core.serve_all(service, now)
    return actions


def _reject_unservable(core: SchedulingCore, service: str, now: float) -> list[Action]:
    queue = core.state.get_queue(service)
    if not len(queue):
        return []
    rejections = QueueForecast(core.state, service, now).list_rejections()
    for each in rejections:
        waiting = queue.remove((each.edge, each.request_id))
        if waiting is not None:
            grant_request = waiting.grant_request
            core.state.rejected_requests.add(
                grant_request.model, grant_request.prompt, now
            )
    return list(rejections)
