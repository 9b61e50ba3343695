"""Fake runners in virtual time, and a core that serves requests with them.

A runner prefills prompts one after the other. It executes orders as real runners do:
one at a time, and only those that carry its current order count. Tests may lose or
delay orders and lose their responses. A runner counts how often its memory limits were
exceeded.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

from attrs import define, evolve, field

from mangoway.models.routing import EngineProfile, RoutingTable
from mangoway.models.runner import ResidentModel, RunnerEntry, RunnerReport
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
    Action,
    EndKind,
    Event,
    FirstEventSeen,
    FleetUpdated,
    Grant,
    GrantRequest,
    OrderEnded,
    OrderOutcome,
    OrdersAllowed,
    Reject,
    ReportReceived,
    RequestEnded,
    SendOrder,
    Tick,
)
from mangoway.policy.scheduling.state import SchedulingState

from ...fakes.fleet import make_runner, make_table

PREFILL_S_PER_TOKEN = 1 / 30_000
STREAM_S = 1.5
NETWORK_DELAY_S = 0.0014
TICK_S = 0.05
REPORT_S = 0.1
REPORT_LAG_S = 0.2
"""Age of the state that a report describes."""


@define(eq=False)
class FakeRunner:
    """One incarnation of a runner with an engine."""

    runner_id: str
    engine: EngineProfile
    models: dict[str, set[str]]
    order_count: int = 0
    busy_until: float = 0.0
    prefilled_until: float = 0.0
    running: dict[str, tuple[str, str]] = field(factory=dict)
    """Model and adapter of each run, also of those whose callers have left."""

    unloading_adapters: set[tuple[str, str]] = field(factory=set)
    """Adapters whose unload waits for their runs; they keep their slots."""

    unloading: str = ""
    """Model whose unload waits for its runs, or empty; it keeps its memory."""

    overfilled: int = 0
    """Number of times that an order exceeded the memory or the adapter slots."""

    loading: str = ""
    """Model that is being loaded, or empty."""

    on_disk: list[str] = field(factory=list)
    """Models on the disk, least recently used first; empty without a disk."""

    store_loads: int = 0
    history: list[tuple[float, RunnerReport]] = field(factory=list)

    def execute(self, order: SendOrder, now: float) -> OrderOutcome:
        """Execute an order and return the result."""
        if order.order_count != self.order_count:
            return OrderOutcome.NOT_NOW
        if self.unloading or now < self.busy_until:
            # A runner that checks an order's size first would crash.
            self._check_memory(order.model if order.load and not order.adapter else "")
            return OrderOutcome.NOT_NOW
        if order.adapter:
            return self._change_adapter(order)
        self.order_count += 1
        if not order.load:
            self.unloading = order.model
            self.finish_unloads()
            self.busy_until = now + 0.02
            return OrderOutcome.STARTED
        self.loading = order.model
        self.busy_until = now + self._load_time(order.model)
        self._keep_on_disk(order.model)
        self._check_memory()
        return OrderOutcome.STARTED

    def _load_time(self, model: str) -> float:
        profile = self.engine.models[model]
        if model in self.on_disk:
            return profile.disk_load_s
        self.store_loads += 1
        return profile.load_s

    def _keep_on_disk(self, model: str) -> None:
        if not self.engine.disk_mb:
            return
        self.on_disk = [name for name in self.on_disk if name != model] + [model]
        while self._sum_disk() > self.engine.disk_mb:
            self.on_disk.pop(0)

    def _sum_disk(self) -> float:
        return sum(self.engine.models[name].weights_mb for name in self.on_disk)

    def finish_load(self, now: float) -> None:
        """Finish a load whose time is over."""
        if self.loading and now >= self.busy_until:
            self.models[self.loading] = set()
            self.loading = ""

    def end_run(self, request_id: str) -> None:
        """End a run, and finish the unloads that wait for it."""
        self.running.pop(request_id, None)
        self.finish_unloads()

    def finish_unloads(self) -> None:
        """Finish the unloads whose model or adapter no run uses."""
        used = set(self.running.values())
        for model, adapter in self.unloading_adapters - used:
            self.models.get(model, set()).discard(adapter)
        self.unloading_adapters &= used
        if self.unloading and self.unloading not in {model for model, _ in used}:
            self.models.pop(self.unloading, None)
            self.unloading = ""

    def record_state(self, now: float) -> None:
        """Record the state for later reports."""
        residents = tuple(
            ResidentModel(name=name, version=1, adapters=frozenset(adapters))
            for name, adapters in self.models.items()
        )
        report = RunnerReport(
            models=residents,
            pending_adapters=frozenset(),
            busy=bool(self.unloading) or now < self.busy_until,
            order_count=self.order_count,
            queued=0,
            active=len(self.running),
            kv_used_tokens=0,
            kv_capacity_tokens=self.engine.kv_capacity_tokens,
            in_host_memory=frozenset(),
            on_disk=frozenset(self.on_disk),
            run_ids=frozenset(self.running),
        )
        self.history.append((now, report))

    def read_report(self, now: float) -> RunnerReport | None:
        """Return the latest report that is at least `REPORT_LAG_S` old."""
        older = [each for at, each in self.history if at <= now - REPORT_LAG_S]
        return older[-1] if older else None

    def _change_adapter(self, order: SendOrder) -> OrderOutcome:
        adapters = self.models.get(order.model)
        if adapters is None:
            return OrderOutcome.REJECTED
        self.order_count += 1
        if order.load:
            adapters.add(order.adapter)
            self._check_memory()
            return OrderOutcome.STARTED
        artifact = (order.model, order.adapter)
        if artifact in self.running.values():
            self.unloading_adapters.add(artifact)
            return OrderOutcome.STARTED
        adapters.discard(order.adapter)
        return OrderOutcome.ALREADY_HOLDS

    def _check_memory(self, ordered: str = "") -> None:
        """Count an order that exceeds the memory or the adapter slots.

        Args:
            ordered: Model of an order that is rejected; empty for an accepted one.
        """
        names = [name for name in [*self.models, self.loading, ordered] if name]
        weights = sum(self.engine.models[name].weights_mb for name in names)
        adapters = sum(len(each) for each in self.models.values())
        if weights > self.engine.weights_mb or adapters > self.engine.adapter_slots:
            self.overfilled += 1


@define(eq=False)
class Outcome:
    """Result of a request."""

    grant_request: GrantRequest
    requested_at: float
    first_at: float | None = None
    rejected_at: float | None = None
    rejection: Reject | None = None
    runner_id: str = ""


@define(eq=False)
class World:
    """Runners, one core, and the requests of callers."""

    models: list[str]
    runner_models: list[list[str]]
    load_s: float = 1.2
    disk_mb: float = 0.0
    seed: int = 1
    prefill_s_per_token: float = PREFILL_S_PER_TOKEN
    first_event_s: float = 0.005
    """Time from the end of a prefill to the first event, during which the runner
    prefills other prompts."""

    stream_s: dict[str, float] = field(factory=dict)
    """Seconds from the first event of a stream to its end, by request, if unusual."""

    now: float = field(default=0.0, init=False)
    outcomes: dict[str, Outcome] = field(factory=dict, init=False)
    orders: list[SendOrder] = field(factory=list, init=False)
    faults: list[str] = field(factory=list, init=False)
    """Faults of the next orders: `lose`, `late`, `no_answer` or empty."""

    _queue: list[tuple[float, int, Callable[[], None]]] = field(
        factory=list, init=False
    )
    _numbers: Any = field(factory=count, init=False)
    rng: Random = field(init=False)
    table: RoutingTable = field(init=False)
    runners: dict[str, FakeRunner] = field(init=False)
    core: SchedulingCore = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.table = make_table(models=self.models)
        service = self.table.services["llm"]
        assert service.engine is not None
        engine = evolve(service.engine, disk_mb=self.disk_mb)
        self.table.services["llm"] = evolve(service, engine=engine)
        for name in list(engine.models):
            profile = engine.models[name]
            engine.models[name] = evolve(profile, load_s=self.load_s)
        self.runners = {
            f"r{index}": FakeRunner(f"r{index}", engine, {name: set() for name in held})
            for index, held in enumerate(self.runner_models)
        }
        for runner in self.runners.values():
            runner.on_disk = list(runner.models) if self.disk_mb else []
        state = SchedulingState(random=self.rng)
        self.core = SchedulingCore(state)
        self.update_fleet()
        self.send_event(OrdersAllowed(allowed=True))
        self._call_at(0.0, self._tick)
        self._call_at(0.0, self._report)

    def update_fleet(self) -> None:
        """Send the current list of runners to the core."""
        entries: list[RunnerEntry] = [
            make_runner(each.runner_id, tuple(each.models))
            for each in self.runners.values()
        ]
        self.send_event(FleetUpdated(table=self.table, runners=tuple(entries)))

    def replace_core(self) -> None:
        """Start a new scheduler, which learns the state from the runners' reports."""
        state = SchedulingState(random=self.rng)
        self.core = SchedulingCore(state)
        self.start_core()

    def start_core(self) -> None:
        """Send the fleet to the core and let it send orders."""
        self.update_fleet()
        self.send_event(OrdersAllowed(allowed=True))

    def add_request(self, grant_request: GrantRequest, at: float) -> None:
        """Schedule the arrival of a request."""
        self._call_at(at, lambda: self._handle_arrival(grant_request))

    def run(self, until: float) -> None:
        """Simulate until a time."""
        while self._queue and self._queue[0][0] <= until:
            at, _, call = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            for runner in self.runners.values():
                runner.finish_load(self.now)
            call()
        self.now = until

    def send_event(self, event: Event) -> None:
        """Send an event to the core and execute its actions."""
        for action in self.core.handle(event, self.now):
            self._execute(action)

    def count_first_events_within(self, seconds: float) -> int:
        """Return the number of requests whose first event arrived within a time."""
        return sum(
            1
            for each in self.outcomes.values()
            if each.first_at is not None
            and each.first_at - each.requested_at <= seconds
        )

    def _handle_arrival(self, grant_request: GrantRequest) -> None:
        self.outcomes[grant_request.request_id] = Outcome(grant_request, self.now)
        self.send_event(grant_request)

    def _execute(self, action: Action) -> None:
        if isinstance(action, Grant):
            self._call_at(self.now + NETWORK_DELAY_S, lambda: self._send(action))
        elif isinstance(action, Reject):
            outcome = self.outcomes[action.request_id]
            outcome.rejected_at, outcome.rejection = self.now, action
        else:
            self._send_order(action)

    def _send(self, grant: Grant) -> None:
        """Send a granted request to its runner."""
        runner = self.runners.get(grant.runner_id)
        grant_request = self.outcomes[grant.request_id].grant_request
        if runner is None or grant_request.model not in runner.models:
            self._end(grant, EndKind.NOT_HELD)
            return
        outcome = self.outcomes[grant.request_id]
        outcome.runner_id = grant.runner_id
        runner.running[grant.request_id] = (grant_request.model, grant_request.adapter)
        start = max(self.now, runner.prefilled_until)
        runner.prefilled_until = (
            start + grant_request.prompt.tokens * self.prefill_s_per_token
        )
        first_at = runner.prefilled_until + self.first_event_s

        def report_first_event() -> None:
            outcome.first_at = self.now
            self.send_event(
                FirstEventSeen(edge=grant.edge, request_id=grant.request_id)
            )

        self._call_at(first_at + NETWORK_DELAY_S, report_first_event)
        stream_s = self.stream_s.get(grant.request_id, STREAM_S)
        self._call_at(first_at + stream_s, lambda: self._end(grant, EndKind.SERVED))

    def leave(self, request_id: str, at: float, kind: EndKind = EndKind.LEFT) -> None:
        """Let an attempt end for the scheduler while its runner goes on."""
        ended = RequestEnded(edge="e1", request_id=request_id, kind=kind)
        self._call_at(at, lambda: self.send_event(ended))

    def _end(self, grant: Grant, kind: EndKind) -> None:
        runner = self.runners.get(grant.runner_id)
        if runner is not None:
            runner.end_run(grant.request_id)
        self.send_event(
            RequestEnded(edge=grant.edge, request_id=grant.request_id, kind=kind)
        )

    def _send_order(self, order: SendOrder) -> None:
        self.orders.append(order)
        fault = self.faults.pop(0) if self.faults else ""
        runner = self.runners.get(order.runner_id)
        if fault == "lose" or runner is None:
            self._schedule_answer(order, OrderOutcome.IN_DOUBT, 0.8)
        elif fault == "late":
            delay = self.rng.uniform(2.0, 6.0)
            self._call_at(self.now + delay, lambda: self._apply(runner, order))
            self._schedule_answer(order, OrderOutcome.IN_DOUBT, 0.8)
        elif fault == "no_answer":
            self._call_at(
                self.now + NETWORK_DELAY_S, lambda: self._apply(runner, order)
            )
            self._schedule_answer(order, OrderOutcome.IN_DOUBT, 0.8)
        else:
            self._call_at(
                self.now + NETWORK_DELAY_S,
                lambda: self._schedule_answer(
                    order, self._apply(runner, order), NETWORK_DELAY_S
                ),
            )

    def _apply(self, runner: FakeRunner, order: SendOrder) -> OrderOutcome:
        return runner.execute(order, self.now)

    def _schedule_answer(
        self, order: SendOrder, outcome: OrderOutcome, after: float
    ) -> None:
        core = self.core

        def deliver() -> None:
            if self.core is core:
                self.send_event(
                    OrderEnded(
                        runner_id=order.runner_id,
                        outcome=outcome,
                        started_ms=order.started_ms,
                    )
                )

        self._call_at(self.now + after, deliver)

    def _tick(self) -> None:
        self.send_event(Tick())
        self._call_at(self.now + TICK_S, self._tick)

    def _report(self) -> None:
        for runner in self.runners.values():
            runner.record_state(self.now)
            report = runner.read_report(self.now)
            if report is not None:
                self.send_event(
                    ReportReceived(
                        runner_id=runner.runner_id, report=report, requested_at=self.now
                    )
                )
        self._call_at(self.now + REPORT_S, self._report)

    def _call_at(self, time: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (time, next(self._numbers), call))
