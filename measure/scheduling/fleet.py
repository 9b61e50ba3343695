"""A simulated fleet of engines that sends events to the scheduling core."""

import heapq
import time
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Final

from attrs import define, field, frozen

from mangoway.models.prompt import Prompt, PromptPart
from mangoway.models.routing import (
    EngineProfile,
    ModelProfile,
    RoutingTable,
    ServiceProfile,
)
from mangoway.models.runner import ResidentModel, RunnerEntry, RunnerReport
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import (
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

SERVICE: Final = "llm"
EDGE: Final = "e1"

MODELS_PER_RUNNER: Final = 3
"""Number of models that fit into the memory of a runner."""

SLOTS: Final = 96
WEIGHTS_MB: Final = 25_000.0
LOAD_S: Final = 3.0
LOCAL_LOAD_S: Final = 0.6
PROMPT_TOKENS: Final = 600
PREFILL_S_PER_TOKEN: Final = 1 / 30_000
FIRST_EVENT_S: Final = 0.03
STREAM_S: Final = 1.5
"""Time from the first event of a stream to its end."""

POPULAR_MODELS: Final = 5
POPULAR_SHARE: Final = 0.85
"""Number of popular models, and their share of the requests."""

OBJECTIVE_S: Final = 0.5
PATIENCE_S: Final = 4.0
FIRST_ARRIVAL_S: Final = 0.5
WARM_UP_S: Final = 2.0
TICK_PERIOD_S: Final = 0.05
REPORT_PERIOD_S: Final = 1.0
NETWORK_DELAY_S: Final = 0.0014


@frozen(kw_only=True)
class Size:
    """Number of runners and models of a fleet."""

    runners: int
    models: int


@frozen(kw_only=True)
class CoreCost:
    """Requests and processor time of a simulation."""

    requests: int
    total_requests: int
    """Number of requests including those of the warm-up."""

    seconds: float
    """Processor time of the core after the warm-up."""

    mean_waiting: float
    """Mean number of waiting requests when a request arrives, including it."""

    granted: int
    """Number of requests granted after the warm-up."""

    @property
    def ms_per_request(self) -> float:
        """Return the processor time per request in ms."""
        return 1000 * self.seconds / max(1, self.requests)


@define(eq=False)
class Engine:
    """A runner that prefills prompts one after the other and streams the responses."""

    models: list[str]
    order_count: int = 0
    prefill_until: float = 0.0
    busy_until: float = 0.0


@define(eq=False)
class Fleet:
    """Simulated engines and their scheduling core, with its measured processor time."""

    size: Size
    utilization: float
    """Requested prefill as a share of the prefill capacity of all runners."""

    seed: int = 1
    now: float = field(default=0.0, init=False)
    core: SchedulingCore = field(init=False)
    _engines: dict[str, Engine] = field(init=False)
    _profile: EngineProfile = field(init=False)
    _random: Random = field(init=False)
    _calls: list[tuple[float, int, Callable[[], None]]] = field(
        factory=list, init=False
    )
    _sequence: "count[int]" = field(factory=count, init=False)
    _core_s: float = field(default=0.0, init=False)
    _requests: int = field(default=0, init=False)
    _waiting: int = field(default=0, init=False)
    _waiting_sum: int = field(default=0, init=False)
    _granted: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        state = SchedulingState(random=self._random)
        self.core = SchedulingCore(state)
        self._profile = make_profile(self.size)
        self._engines = assign_models(self.size)
        self._handle_event(self._make_fleet())
        self._handle_event(OrdersAllowed(allowed=True))
        self._schedule(TICK_PERIOD_S, self._tick)
        for number, runner_id in enumerate(self._engines):
            at = REPORT_PERIOD_S * number / len(self._engines)
            self._schedule(at, self._make_reporter(runner_id))

    def simulate(self, seconds: float, warm_up_s: float = WARM_UP_S) -> CoreCost:
        """Send requests for some time; return their cost after the warm-up."""
        self._schedule(FIRST_ARRIVAL_S, self._arrive)
        self._run(warm_up_s)
        warm_up_requests = self._requests
        self._core_s, self._requests, self._waiting_sum, self._granted = 0.0, 0, 0, 0
        self._run(warm_up_s + seconds)
        return CoreCost(
            total_requests=warm_up_requests + self._requests,
            requests=self._requests,
            seconds=self._core_s,
            mean_waiting=self._waiting_sum / max(1, self._requests),
            granted=self._granted,
        )

    @property
    def rate(self) -> float:
        """Return the number of requests per second."""
        return (
            self.utilization * self.size.runners / (PROMPT_TOKENS * PREFILL_S_PER_TOKEN)
        )

    def _run(self, until: float) -> None:
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()

    def _schedule(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._calls, (at, next(self._sequence), call))

    def _handle_event(self, event: Event) -> None:
        started_at = time.process_time()
        actions = self.core.handle(event, self.now)
        self._core_s += time.process_time() - started_at
        for action in actions:
            if isinstance(action, Grant):
                self._granted += 1
                self._waiting -= 1
                self._run_prefill(action)
            elif isinstance(action, Reject):
                self._waiting -= 1
            elif isinstance(action, SendOrder):
                self._execute_order(action)

    def _arrive(self) -> None:
        self._requests += 1
        self._waiting += 1
        self._waiting_sum += self._waiting
        self._handle_event(self._make_grant_request(self._requests))
        self._schedule(self.now + self._random.expovariate(self.rate), self._arrive)

    def _make_grant_request(self, number: int) -> GrantRequest:
        rare = self._random.random() >= POPULAR_SHARE
        choices = self.size.models if rare else POPULAR_MODELS
        tokens = int(PROMPT_TOKENS * self._random.uniform(0.3, 1.7))
        return GrantRequest(
            request_id=f"q{number}-{self.now}",
            edge=EDGE,
            service=SERVICE,
            model=f"m{self._random.randrange(choices)}",
            adapter="",
            prompt=Prompt(
                tokens=tokens,
                max_output_tokens=100,
                expected_output_tokens=60,
                parts=(PromptPart(f"p{number}", tokens),),
            ),
            priority=self._random.choice([0, 1, 2]),
            objective_left_s=OBJECTIVE_S,
            patience_left_s=PATIENCE_S,
            excluded=(),
            only=(),
            repeat=False,
        )

    def _run_prefill(self, grant: Grant) -> None:
        engine = self._engines[grant.runner_id]
        start = max(self.now + NETWORK_DELAY_S, engine.prefill_until)
        engine.prefill_until = start + PROMPT_TOKENS * PREFILL_S_PER_TOKEN
        first_at = engine.prefill_until + FIRST_EVENT_S
        first = FirstEventSeen(edge=grant.edge, request_id=grant.request_id)
        ended = RequestEnded(
            edge=grant.edge, request_id=grant.request_id, kind=EndKind.SERVED
        )
        self._schedule(first_at, lambda: self._handle_event(first))
        self._schedule(first_at + STREAM_S, lambda: self._handle_event(ended))

    def _execute_order(self, order: SendOrder) -> None:
        engine = self._engines[order.runner_id]
        is_accepted = (
            order.order_count == engine.order_count and self.now >= engine.busy_until
        )
        if is_accepted:
            engine.order_count += 1
            if order.load:
                engine.models.append(order.model)
                engine.busy_until = self.now + LOAD_S
            elif order.model in engine.models:
                engine.models.remove(order.model)
        outcome = OrderOutcome.STARTED if is_accepted else OrderOutcome.NOT_NOW
        ended = OrderEnded(runner_id=order.runner_id, outcome=outcome)
        self._schedule(
            self.now + 2 * NETWORK_DELAY_S, lambda: self._handle_event(ended)
        )

    def _tick(self) -> None:
        self._handle_event(Tick())
        self._schedule(self.now + TICK_PERIOD_S, self._tick)

    def _make_reporter(self, runner_id: str) -> Callable[[], None]:
        def report() -> None:
            runner_report = self._make_report(self._engines[runner_id])
            self._handle_event(
                ReportReceived(
                    runner_id=runner_id, report=runner_report, requested_at=self.now
                )
            )
            self._schedule(self.now + REPORT_PERIOD_S, report)

        return report

    def _make_report(self, engine: Engine) -> RunnerReport:
        return RunnerReport(
            models=make_residents(engine.models),
            pending_adapters=frozenset(),
            busy=self.now < engine.busy_until,
            order_count=engine.order_count,
            queued=0,
            active=0,
            kv_used_tokens=0,
            kv_capacity_tokens=self._profile.kv_capacity_tokens,
            in_host_memory=frozenset(),
            on_disk=frozenset(engine.models),
        )

    def _make_fleet(self) -> FleetUpdated:
        service = ServiceProfile(
            name=SERVICE, health_path="/", max_connections=300, engine=self._profile
        )
        table = RoutingTable(version=1, routes=(), services={SERVICE: service})
        entries = tuple(
            RunnerEntry(
                runner_id=runner_id,
                service=SERVICE,
                address="127.0.0.1:1",
                data_centre="dc1",
                slots=SLOTS,
                draining=False,
                seconds_left=None,
                models=make_residents(engine.models),
            )
            for runner_id, engine in self._engines.items()
        )
        return FleetUpdated(table=table, runners=entries)


def make_residents(models: list[str]) -> tuple[ResidentModel, ...]:
    """Return resident models without adapters."""
    return tuple(
        ResidentModel(name=name, version=1, adapters=frozenset()) for name in models
    )


def make_profile(size: Size) -> EngineProfile:
    """Return the engine profile of the runners of a fleet."""
    models = {
        f"m{number}": ModelProfile(
            name=f"m{number}",
            weights_mb=WEIGHTS_MB,
            load_s=LOAD_S,
            memory_load_s=LOCAL_LOAD_S,
            disk_load_s=LOCAL_LOAD_S,
            adapters=0,
            adapter_mb=0.0,
        )
        for number in range(size.models)
    }
    return EngineProfile(
        slots=SLOTS,
        kv_capacity_tokens=200_000,
        weights_mb=MODELS_PER_RUNNER * WEIGHTS_MB + 1.0,
        adapter_slots=8,
        loads_per_s=max(1.0, size.runners / 4),
        models=models,
        disk_mb=6 * WEIGHTS_MB,
    )


def assign_models(size: Size) -> dict[str, Engine]:
    """Return engines with a popular model each, and the other models in rotation."""
    other_models = [f"m{number}" for number in range(POPULAR_MODELS, size.models)]
    engines: dict[str, Engine] = {}
    for number in range(size.runners):
        models_held = [f"m{number % POPULAR_MODELS}"]
        models_held += [
            other_models[(2 * number + offset) % len(other_models)]
            for offset in range(MODELS_PER_RUNNER - 1)
        ]
        engines[f"r{number}"] = Engine(list(dict.fromkeys(models_held)))
    return engines
