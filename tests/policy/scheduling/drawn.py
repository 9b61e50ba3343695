"""Simulated engines and demand sampled from a seed, and a baseline scheduler.

Time is virtual. An engine works in steps: each step prefills up to a chunk of waiting
prompts and produces one token of every stream. The parameters that the scheduling core
must cope with are sampled: the prefill speed, the overhead of a first event, the step
time, the chunk size, the slots and the load time.
"""

import math
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, evolve, field, frozen

from mangoway.models.routing import ModelProfile
from mangoway.policy.scheduling.events import (
    Action,
    EndKind,
    Event,
    FirstEventSeen,
    Grant,
    GrantRequest,
    OrderEnded,
    OrderOutcome,
    ReportReceived,
    RequestEnded,
    SendOrder,
)

from ...fakes.fleet import make_grant_request
from .world import NETWORK_DELAY_S, FakeRunner, World

LATE_SCORE = 0.4
"""Value of a late answer; that of an answer on time is 1."""

DEMAND_S = 14.0
"""Time in which requests arrive; the popular models change after half of it."""

SIMULATION_S = 29.0
DEMAND_START_S = 6.0
"""Idle time of the runners before the first request; shorter than the longest loads."""


@frozen(kw_only=True)
class Draw:
    """Parameters of an engine, its fleet and the demand."""

    seed: int
    runners: int
    models: int
    models_per_runner: int
    """Models that fit a runner's memory."""

    slots: int
    prefill_s_per_token: float
    first_event_s: float
    step_s: float
    chunk_tokens: int
    """Maximum prompt tokens that one step prefills."""

    tokens_per_event: int
    """Output tokens that the engine sends in one event of a stream."""

    load_s: float
    has_disk_copies: bool
    """Whether runners keep copies of weights on their disks."""

    prompt_tokens: int
    output_tokens: int
    utilization: float
    """Share of the runners' time that prefill takes."""

    gap_objective_s: float

    @property
    def prefill_s(self) -> float:
        """Return the prefill time of a prompt of mean length."""
        return self.prompt_tokens * self.prefill_s_per_token

    @property
    def objective_s(self) -> float:
        """Return the objective of the time to the first event."""
        return self.first_event_s + 6 * self.prefill_s + 0.25

    @property
    def rate(self) -> float:
        """Return the requests per second, limited so that slots don't run out."""
        stream_s = 2 * self.output_tokens * self.step_s
        by_slots = 0.5 * self.runners * self.slots / stream_s
        return min(by_slots, self.utilization * self.runners / self.prefill_s)


def draw(seed: int) -> Draw:
    """Return the parameters sampled from a seed."""
    random = Random(seed)
    runners = random.randint(3, 12)
    models_per_runner = random.randint(2, 4)
    step_s = random.uniform(0.003, 0.015)
    gap_objective_s = random.uniform(0.15, 0.5)
    prefill_s_per_token = 1 / random.uniform(10_000, 60_000)
    # With a larger chunk, each long prompt would stall all streams for longer than the
    # objective, and the engine would not be run with such an objective.
    longest = 0.6 * gap_objective_s / prefill_s_per_token
    chunk_tokens = random.choice(
        [each for each in (256, 512, 1024, 2048) if each <= longest]
    )
    tokens_per_event = max(
        1, int(random.uniform(0.2, 0.5) * gap_objective_s / step_s / 3)
    )
    return Draw(
        seed=seed,
        runners=runners,
        models=max(
            models_per_runner + 1,
            int(runners * models_per_runner * random.uniform(0.4, 1.6)),
        ),
        models_per_runner=models_per_runner,
        slots=random.choice([8, 24, 64, 96, 256]),
        prefill_s_per_token=prefill_s_per_token,
        first_event_s=random.choice([0.0, random.uniform(0.0, 0.15)]),
        step_s=step_s,
        chunk_tokens=chunk_tokens,
        tokens_per_event=tokens_per_event,
        load_s=math.exp(random.uniform(math.log(0.5), math.log(8.0))),
        has_disk_copies=random.random() < 0.5,
        prompt_tokens=random.randint(500, 1800),
        output_tokens=random.randint(20, 60) * tokens_per_event,
        utilization=random.uniform(0.2, 0.5),
        gap_objective_s=gap_objective_s,
    )


@define(eq=False)
class Stream:
    """A request at an engine."""

    grant: Grant
    prefill_tokens_left: int
    tokens_left: int
    """Output tokens that remain."""

    first_event_sent: bool = False
    tokens: int = 0
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    gaps: list[float] = field(factory=list)
    """Seconds between each two of its events."""


@define(eq=False)
class Engine:
    """Prefills prompts in chunks beside the streams of one runner."""

    drawn: Draw
    world: "DrawnWorld"
    prompts: deque[Stream] = field(factory=deque)
    streams: list[Stream] = field(factory=list)
    stepping: bool = False

    def add(self, stream: Stream) -> None:
        """Add a request."""
        self.prompts.append(stream)
        if not self.stepping:
            self.stepping = True
            self.step()

    def step(self) -> None:
        """Start a step if there are prompts or streams."""
        if not self.prompts and not self.streams:
            self.stepping = False
            return
        room, prefilled = self.drawn.chunk_tokens, []
        while self.prompts and room:
            if len(self.streams) + len(prefilled) >= self.drawn.slots:
                break
            tokens_in_step = min(room, self.prompts[0].prefill_tokens_left)
            self.prompts[0].prefill_tokens_left -= tokens_in_step
            room -= tokens_in_step
            if self.prompts[0].prefill_tokens_left:
                break
            prefilled.append(self.prompts.popleft())
        tokens = self.drawn.chunk_tokens - room
        duration_s = self.drawn.step_s + tokens * self.drawn.prefill_s_per_token
        duration_s *= self.measure_pace()
        self.world.call_later(duration_s, lambda: self._end_step(prefilled))

    def measure_pace(self) -> float:
        """Return the factor on the time of a step that begins now."""
        return 1.0

    def _end_step(self, prefilled: list[Stream]) -> None:
        for stream in self.streams:
            self._make_token(stream)
        self.streams = [each for each in self.streams if each.tokens_left > 0]
        for stream in prefilled:
            self.streams.append(stream)
            self.world.call_later(
                self.drawn.first_event_s, self._make_first_event_sender(stream)
            )
        self.step()

    def _make_first_event_sender(self, stream: Stream) -> Callable[[], None]:
        def send() -> None:
            stream.first_event_sent = True
            stream.last_event_at = self.world.now
            self.world.report_first_event(stream.grant)

        return send

    def _make_token(self, stream: Stream) -> None:
        if not stream.first_event_sent:
            return
        stream.tokens_left -= 1
        stream.tokens += 1
        if stream.tokens % self.drawn.tokens_per_event == 0 or stream.tokens_left == 0:
            gap_s = self.world.now - stream.last_event_at
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
            stream.gaps.append(gap_s)
            stream.last_event_at = self.world.now
        if stream.tokens_left == 0:
            self.world.end_stream(stream)


@define(eq=False)
class DrawnWorld(World):
    """The fleet of a draw with a core that schedules it."""

    drawn: Draw = field(kw_only=True)
    gaps: dict[str, float] = field(factory=dict, init=False)
    """Longest pause of each finished stream."""

    engines: dict[str, Engine] = field(factory=dict, init=False)

    def call_later(self, seconds: float, call: Callable[[], None]) -> None:
        """Call a function after a time."""
        self._call_at(self.now + seconds, call)

    def report_first_event(self, grant: Grant) -> None:
        """Send the first event of a request to the core."""

        def send() -> None:
            self.outcomes[grant.request_id].first_at = self.now
            self.send_event(
                FirstEventSeen(edge=grant.edge, request_id=grant.request_id)
            )

        self.call_later(NETWORK_DELAY_S, send)

    def end_stream(self, stream: Stream) -> None:
        """End a stream and report whether it paused for too long."""
        self.gaps[stream.grant.request_id] = stream.longest_gap_s
        paused = stream.longest_gap_s > self.drawn.gap_objective_s
        self._end(stream.grant, EndKind.PAUSED if paused else EndKind.SERVED)

    def make_engine(self, runner_id: str) -> "Engine":
        """Return the engine of a runner."""
        return Engine(self.drawn, self)

    def compute_score(self) -> float:
        """Return the achieved share of the answers' value; 1 if all were on time."""
        score = 0.0
        for request_id, outcome in self.outcomes.items():
            gap_s = self.gaps.get(request_id)
            if outcome.first_at is None or gap_s is None:
                continue
            wait_s = outcome.first_at - outcome.requested_at
            on_time = wait_s <= self.drawn.objective_s
            on_time = on_time and gap_s <= self.drawn.gap_objective_s
            score += 1.0 if on_time else LATE_SCORE
        return score / max(1, len(self.outcomes))

    def _send(self, grant: Grant) -> None:
        runner = self.runners.get(grant.runner_id)
        grant_request = self.outcomes[grant.request_id].grant_request
        if runner is None or grant_request.model not in runner.models:
            self._end(grant, EndKind.NOT_HELD)
            return
        self.outcomes[grant.request_id].runner_id = grant.runner_id
        artifact = (grant_request.model, grant_request.adapter)
        runner.running[grant.request_id] = artifact
        engine = self.engines.get(grant.runner_id)
        if engine is None:
            engine = self.engines[grant.runner_id] = self.make_engine(grant.runner_id)
        output = grant_request.prompt.expected_output_tokens or 1
        engine.add(Stream(grant, grant_request.prompt.tokens, output))


def make_world(drawn: Draw) -> DrawnWorld:
    """Return the fleet of a draw; spare memory holds copies of the first models."""
    names = [f"m{number}" for number in range(drawn.models)]
    max_copies = drawn.runners * drawn.models_per_runner
    placed: list[list[str]] = [[] for _ in range(drawn.runners)]
    desired = names[:max_copies] + names[:2] * drawn.runners
    for name in desired:
        with_room = [
            each
            for each in placed
            if len(each) < drawn.models_per_runner and name not in each
        ]
        if with_room:
            min(with_room, key=len).append(name)
    world = DrawnWorld(
        models=names,
        runner_models=placed,
        load_s=drawn.load_s,
        disk_mb=1e6 if drawn.has_disk_copies else 0.0,
        seed=drawn.seed,
        drawn=drawn,
    )
    configure_engine(world, drawn)
    return world


def configure_engine(world: DrawnWorld, drawn: Draw) -> None:
    """Set the engine profile to the sampled parameters."""
    service = world.table.services["llm"]
    assert service.engine is not None
    models = {
        name: configure_model(profile, drawn)
        for name, profile in service.engine.models.items()
    }
    any_model = next(iter(models.values()))
    engine = evolve(
        service.engine,
        slots=drawn.slots,
        weights_mb=drawn.models_per_runner * any_model.weights_mb
        + 8 * any_model.adapter_mb
        + 1.0,
        loads_per_s=max(1.0, drawn.runners / 4),
        models=models,
        kv_capacity_tokens=10**6,
    )
    world.table.services["llm"] = evolve(service, engine=engine)
    for runner in world.runners.values():
        runner.engine = engine
    world.replace_core()


def configure_model(profile: ModelProfile, drawn: Draw) -> ModelProfile:
    """Return a model with the sampled load times."""
    local_load_s = min(drawn.load_s, 0.3 + 0.1 * drawn.load_s)
    return evolve(
        profile,
        load_s=drawn.load_s,
        disk_load_s=local_load_s,
        memory_load_s=local_load_s,
    )


def add_all_requests(world: DrawnWorld) -> None:
    """Add the requests, most of them for three models that change once."""
    drawn, random = world.drawn, Random(world.drawn.seed + 1)
    at = DEMAND_START_S
    number = 0
    while at < DEMAND_START_S + DEMAND_S:
        at += random.expovariate(drawn.rate)
        shifted = at > DEMAND_START_S + DEMAND_S / 2
        name = choose_model(drawn, random, shifted=shifted)
        tokens = int(drawn.prompt_tokens * random.uniform(0.3, 1.7))
        grant_request = make_grant_request(
            f"q{number}",
            name,
            tokens=tokens,
            objective_s=drawn.objective_s,
            patience_s=max(2.0, 4 * drawn.objective_s),
        )
        prompt = evolve(
            grant_request.prompt, expected_output_tokens=drawn.output_tokens
        )
        world.add_request(evolve(grant_request, prompt=prompt), at=at)
        number += 1


def choose_model(drawn: Draw, random: Random, *, shifted: bool) -> str:
    """Return the model of a request."""
    first = drawn.models // 3 if shifted else 0
    if random.random() < 0.85:
        index = first + random.choices([0, 1, 2], [5, 3, 1])[0]
    else:
        index = random.randrange(drawn.models)
    return f"m{index % drawn.models}"


@define(eq=False)
class BaselineCore:
    """Sends each request at once to the least loaded holder, and loads on demand.

    The least recently used model is evicted. A scheduler must not be worse than this
    baseline.
    """

    world: DrawnWorld
    used_at: dict[tuple[str, str], float] = field(factory=dict)
    running: dict[str, str] = field(factory=dict)
    waiting: list[GrantRequest] = field(factory=list)
    busy: set[str] = field(factory=set)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event."""
        if isinstance(event, GrantRequest):
            self.waiting.append(event)
        elif isinstance(event, RequestEnded):
            self.running.pop(event.request_id, None)
        elif isinstance(event, OrderEnded):
            self._handle_order_ended(event)
        elif isinstance(event, ReportReceived) and not event.report.busy:
            self.busy.discard(event.runner_id)
        return [*self._grant(now), *self._load(now)]

    def _handle_order_ended(self, event: OrderEnded) -> None:
        if event.outcome is not OrderOutcome.STARTED:
            self.busy.discard(event.runner_id)

    def _grant(self, now: float) -> list[Action]:
        actions: list[Action] = []
        left = []
        for grant_request in self.waiting:
            runner = self._choose(grant_request.model)
            if runner is None:
                left.append(grant_request)
                continue
            self.running[grant_request.request_id] = runner.runner_id
            self.used_at[(runner.runner_id, grant_request.model)] = now
            actions.append(
                Grant(
                    edge=grant_request.edge,
                    request_id=grant_request.request_id,
                    runner_id=runner.runner_id,
                )
            )
        self.waiting = left
        return actions

    def _choose(self, model: str) -> FakeRunner | None:
        counts = list(self.running.values())
        holders = [each for each in self.world.runners.values() if model in each.models]
        return min(holders, key=lambda each: counts.count(each.runner_id), default=None)

    def _load(self, now: float) -> list[Action]:
        desired = {grant_request.model for grant_request in self.waiting}
        loading = {each.loading for each in self.world.runners.values()}
        for model in sorted(desired - loading):
            for runner in self.world.runners.values():
                idle = now >= runner.busy_until and not runner.loading
                if idle and runner.runner_id not in self.busy:
                    return [self._order(runner, model)]
        return []

    def _order(self, runner: FakeRunner, model: str) -> SendOrder:
        self.busy.add(runner.runner_id)
        full = len(runner.models) >= self.world.drawn.models_per_runner
        target = model
        if full:
            target = min(
                runner.models,
                key=lambda name: self.used_at.get((runner.runner_id, name), 0.0),
            )
        return SendOrder(
            runner_id=runner.runner_id,
            load=not full,
            model=target,
            adapter="",
            order_count=runner.order_count,
            reason="",
            waiting=1,
        )


def simulate(
    drawn: Draw, make_core: Callable[[DrawnWorld], Any] | None = None
) -> float:
    """Simulate a draw; return the value of the answers as in `compute_score`."""
    world = make_world(drawn)
    if make_core is not None:
        world.core = make_core(world)
    add_all_requests(world)
    world.run(SIMULATION_S)
    assert all(each.overfilled == 0 for each in world.runners.values())
    return world.compute_score()
