"""A fleet of engines in virtual time, fed to the scheduling core by its events."""

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
    Refuse,
    ReportReceived,
    RequestEnded,
    SendOrder,
    Tick,
)
from mangoway.policy.scheduling.state import SchedulingState

SERVICE: Final = "llm"
EDGE: Final = "e1"

HELD_EACH: Final = 3
"""Models that a runner has room for."""

SLOTS: Final = 96
WEIGHTS_MB: Final = 25_000.0
LOAD_S: Final = 3.0
NEAR_LOAD_S: Final = 0.6
PROMPT_TOKENS: Final = 600
READ_S_PER_TOKEN: Final = 1 / 30_000
FIRST_EVENT_S: Final = 0.03
STREAM_S: Final = 1.5
"""Time from a first event to the end of its stream."""

POPULAR_MODELS: Final = 5
POPULAR_SHARE: Final = 0.85
"""Models that most requests are for, and the part that they get."""

OBJECTIVE_S: Final = 0.5
PATIENCE_S: Final = 4.0
BEGIN_S: Final = 0.5
WARM_UP_S: Final = 2.0
TICK_S: Final = 0.05
REPORT_S: Final = 1.0
WAY_S: Final = 0.0014


@frozen(kw_only=True)
class Size:
    """Runners and models of a fleet."""

    runners: int
    models: int


@frozen(kw_only=True)
class Spent:
    """What a play took."""

    requests: int
    total_requests: int
    """The requests with those of the time to warm up."""

    seconds: float
    """Processor time of the core."""

    mean_waiting: float
    granted: int

    @property
    def ms_per_request(self) -> float:
        """Return the processor time of a request in ms."""
        return 1000 * self.seconds / max(1, self.requests)


@define(eq=False)
class Engine:
    """One runner: reads prompts one after the other and streams the answers."""

    models: list[str]
    order_count: int = 0
    read_until: float = 0.0
    busy_until: float = 0.0


@define(eq=False)
class Fleet:
    """Engines, the core before them, and the processor time that it takes."""

    size: Size
    use: float
    """Reading that is asked for, as a part of what all runners can read."""

    seed: int = 1
    now: float = field(default=0.0, init=False)
    core: SchedulingCore = field(init=False)
    _engines: dict[str, Engine] = field(init=False)
    _profile: EngineProfile = field(init=False)
    _random: Random = field(init=False)
    _calls: list[tuple[float, int, Callable[[], None]]] = field(
        factory=list, init=False
    )
    _numbers: "count[int]" = field(factory=count, init=False)
    _spent_s: float = field(default=0.0, init=False)
    _requests: int = field(default=0, init=False)
    _waiting: int = field(default=0, init=False)
    _waiting_sum: int = field(default=0, init=False)
    _granted: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._random = Random(self.seed)
        state = SchedulingState(random=self._random)
        self.core = SchedulingCore(state)
        self._profile = make_profile(self.size)
        self._engines = place_models(self.size)
        self._feed(self._make_fleet())
        self._feed(OrdersAllowed(allowed=True))
        self._at(TICK_S, self._tick)
        for number, runner_id in enumerate(self._engines):
            at = REPORT_S * number / len(self._engines)
            self._at(at, self._make_reporter(runner_id))

    def simulate(self, seconds: float, warm_up_s: float = WARM_UP_S) -> Spent:
        """Let requests come, and say what they took after the time to warm up."""
        self._at(BEGIN_S, self._arrive)
        self._run(warm_up_s)
        warm_up_requests = self._requests
        self._spent_s, self._requests, self._waiting_sum, self._granted = 0.0, 0, 0, 0
        self._run(warm_up_s + seconds)
        return Spent(
            total_requests=warm_up_requests + self._requests,
            requests=self._requests,
            seconds=self._spent_s,
            mean_waiting=self._waiting_sum / max(1, self._requests),
            granted=self._granted,
        )

    @property
    def rate(self) -> float:
        """Return the requests a second."""
        return self.use * self.size.runners / (PROMPT_TOKENS * READ_S_PER_TOKEN)

    def _run(self, until: float) -> None:
        while self._calls and self._calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self._calls)
            call()

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._calls, (at, next(self._numbers), call))

    def _feed(self, event: Event) -> None:
        began = time.process_time()
        actions = self.core.handle(event, self.now)
        self._spent_s += time.process_time() - began
        for action in actions:
            if isinstance(action, Grant):
                self._granted += 1
                self._waiting -= 1
                self._read(action)
            elif isinstance(action, Refuse):
                self._waiting -= 1
            else:
                self._carry_out(action)

    def _arrive(self) -> None:
        self._requests += 1
        self._waiting += 1
        self._waiting_sum += self._waiting
        self._feed(self._make_asked(self._requests))
        self._at(self.now + self._random.expovariate(self.rate), self._arrive)

    def _make_asked(self, number: int) -> GrantRequest:
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

    def _read(self, grant: Grant) -> None:
        engine = self._engines[grant.runner_id]
        start = max(self.now + WAY_S, engine.read_until)
        engine.read_until = start + PROMPT_TOKENS * READ_S_PER_TOKEN
        first_at = engine.read_until + FIRST_EVENT_S
        first = FirstEventSeen(edge=grant.edge, request_id=grant.request_id)
        ended = RequestEnded(
            edge=grant.edge, request_id=grant.request_id, kind=EndKind.SERVED
        )
        self._at(first_at, lambda: self._feed(first))
        self._at(first_at + STREAM_S, lambda: self._feed(ended))

    def _carry_out(self, order: SendOrder) -> None:
        engine = self._engines[order.runner_id]
        fits = order.order_count == engine.order_count and self.now >= engine.busy_until
        if fits:
            engine.order_count += 1
            if order.load:
                engine.models.append(order.model)
                engine.busy_until = self.now + LOAD_S
            elif order.model in engine.models:
                engine.models.remove(order.model)
        outcome = OrderOutcome.STARTED if fits else OrderOutcome.NOT_NOW
        ended = OrderEnded(runner_id=order.runner_id, outcome=outcome)
        self._at(self.now + 2 * WAY_S, lambda: self._feed(ended))

    def _tick(self) -> None:
        self._feed(Tick())
        self._at(self.now + TICK_S, self._tick)

    def _make_reporter(self, runner_id: str) -> Callable[[], None]:
        def report() -> None:
            seen = self._make_report(self._engines[runner_id])
            self._feed(
                ReportReceived(runner_id=runner_id, report=seen, requested_at=self.now)
            )
            self._at(self.now + REPORT_S, report)

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
    """Return models without adapters."""
    return tuple(
        ResidentModel(name=name, version=1, adapters=frozenset()) for name in models
    )


def make_profile(size: Size) -> EngineProfile:
    """Return what the runners of a fleet can do."""
    models = {
        f"m{number}": ModelProfile(
            name=f"m{number}",
            weights_mb=WEIGHTS_MB,
            load_s=LOAD_S,
            memory_load_s=NEAR_LOAD_S,
            disk_load_s=NEAR_LOAD_S,
            adapters=0,
            adapter_mb=0.0,
        )
        for number in range(size.models)
    }
    return EngineProfile(
        slots=SLOTS,
        kv_capacity_tokens=200_000,
        weights_mb=HELD_EACH * WEIGHTS_MB + 1.0,
        adapter_slots=8,
        loads_per_s=max(1.0, size.runners / 4),
        models=models,
        disk_mb=6 * WEIGHTS_MB,
    )


def place_models(size: Size) -> dict[str, Engine]:
    """Return engines that hold the popular models most, and the others in turn."""
    rest = [f"m{number}" for number in range(POPULAR_MODELS, size.models)]
    engines: dict[str, Engine] = {}
    for number in range(size.runners):
        held = [f"m{number % POPULAR_MODELS}"]
        held += [rest[(2 * number + each) % len(rest)] for each in range(HELD_EACH - 1)]
        engines[f"r{number}"] = Engine(list(dict.fromkeys(held)))
    return engines
