"""Simulated engines of uneven pace, with live streams beside long prompts.

An event holds eight tokens. The pace of each runner is a factor on the time of its
steps, and each runner turns slow for moments. Live streams are late if their first
event is late or a single pause is too long.
"""

from random import Random
from statistics import median

from attrs import define, evolve, field, frozen

from mangoway.models.routing import Route, RouteKind, TrafficShare
from mangoway.policy.scheduling.core import SchedulingCore
from mangoway.policy.scheduling.events import EndKind, GrantRequest, RequestEnded
from mangoway.policy.scheduling.features import Features
from mangoway.policy.scheduling.state import SchedulingState

from ...fakes.fleet import make_grant_request
from .drawn import Draw, DrawnWorld, Engine, Stream, configure_model

PAUSE_S = 0.3
SLOW_FACTOR = 2.5
SLOW_S = 0.6
BEGIN_S = 1.0
DEMAND_S = 20.0
SIMULATION_S = 27.0


@frozen
class Kind:
    """A kind of requests."""

    name: str
    share: float
    priority: int
    objective_s: float
    mean_tokens: int
    resumable: bool


LIVE = Kind("live", 0.6, 0, 0.5, 830, False)
PATIENT = Kind("patient", 0.25, 2, 2.0, 830, True)
DOCUMENTS = Kind("documents", 0.15, 1, 2.0, 2400, True)
KINDS = (LIVE, PATIENT, DOCUMENTS)


@frozen(kw_only=True)
class Pacing:
    """How uneven the runners of a fleet are."""

    even: bool = False
    slow_every_s: float = 10.0
    """Mean time between two slow moments of a runner; 0 for none."""


@define(eq=False)
class UnevenEngine(Engine):
    """An engine with a pace and slow moments."""

    pace: float = 1.0
    slow_from: list[float] = field(factory=list)

    def measure_pace(self) -> float:
        """Return the pace of a step that begins now."""
        now = self.world.now
        slow = any(each <= now < each + SLOW_S for each in self.slow_from)
        return self.pace * (SLOW_FACTOR if slow else 1.0)


@define(eq=False)
class UnevenWorld(DrawnWorld):
    """A fleet of uneven engines with live, patient and document streams."""

    pacing: Pacing = field(kw_only=True)
    runner_pace: bool = True
    kinds: dict[str, Kind] = field(factory=dict, init=False)
    outputs: dict[str, int] = field(factory=dict, init=False)

    def make_engine(self, runner_id: str) -> UnevenEngine:
        """Return the engine of a runner."""
        random = Random(f"{self.seed} {runner_id}")
        pace = 1.0 if self.pacing.even else 0.7 * (1.7 / 0.7) ** random.random()
        moments, at = [], 0.0
        while self.pacing.slow_every_s and at < SIMULATION_S:
            at += random.expovariate(1 / self.pacing.slow_every_s)
            moments.append(at)
        return UnevenEngine(self.drawn, self, pace=pace, slow_from=moments)

    def replace_core(self) -> None:
        """Start a scheduler that uses paces or doesn't."""
        state = SchedulingState(
            random=self.rng, features=Features(runner_pace=self.runner_pace)
        )
        self.core = SchedulingCore(state)
        self.update_fleet()
        self.core.state.orders_allowed = True

    def end_stream(self, stream: Stream) -> None:
        """End a stream and report its pauses."""
        request_id = stream.grant.request_id
        self.gaps[request_id] = stream.longest_gap_s
        paused = stream.longest_gap_s > self.drawn.gap_objective_s
        self.runners[stream.grant.runner_id].end_run(request_id)
        self.send_event(
            RequestEnded(
                edge=stream.grant.edge,
                request_id=request_id,
                kind=EndKind.PAUSED if paused else EndKind.SERVED,
                events=len(stream.gaps) + 1,
                event_s=median(stream.gaps) if stream.gaps else 0.0,
            )
        )


@frozen
class Shares:
    """Results of one kind of requests, as shares of all of them."""

    on_time: float
    paused: float
    """Streams with too long a pause."""

    first_late: float
    unserved: float


def draw_uneven(seed: int, utilization: float = 0.17) -> Draw:
    """Return the parameters sampled from a seed."""
    random = Random(seed)
    runners = random.randint(9, 14)
    return Draw(
        seed=seed,
        runners=runners,
        models=random.choice([9, 12, 18]),
        models_per_runner=3,
        slots=random.choice([16, 24]),
        prefill_s_per_token=1 / random.uniform(29_000, 38_000),
        first_event_s=0.005,
        step_s=0.005,
        chunk_tokens=2048,
        tokens_per_event=8,
        load_s=1.2,
        has_disk_copies=False,
        prompt_tokens=1065,
        output_tokens=30 * 8,
        utilization=utilization,
        gap_objective_s=PAUSE_S,
    )


def make_uneven_world(drawn: Draw, pacing: Pacing, *, runner_pace: bool) -> UnevenWorld:
    """Return a fleet whose models have the same number of copies."""
    names = [f"m{number}" for number in range(drawn.models)]
    slots = drawn.models_per_runner
    placed = [
        [names[(slots * runner + each) % len(names)] for each in range(slots)]
        for runner in range(drawn.runners)
    ]
    world = UnevenWorld(
        models=names,
        runner_models=placed,
        load_s=drawn.load_s,
        seed=drawn.seed,
        drawn=drawn,
        pacing=pacing,
        runner_pace=runner_pace,
    )
    service = world.table.services["llm"]
    assert service.engine is not None
    engine = evolve(
        service.engine,
        slots=drawn.slots,
        models={
            name: configure_model(profile, drawn)
            for name, profile in service.engine.models.items()
        },
        kv_capacity_tokens=10**6,
        moves=True,
        tokens_per_event=drawn.tokens_per_event,
    )
    world.table = evolve(
        world.table,
        routes=tuple(make_kind_route(each) for each in KINDS),
        services={"llm": evolve(service, engine=engine)},
    )
    for runner in world.runners.values():
        runner.engine = engine
    world.replace_core()
    return world


def make_kind_route(kind: Kind) -> Route:
    """Return the route of a kind."""
    return Route(
        name=kind.name,
        host="example.test",
        prefix=f"/{kind.name}/",
        kind=RouteKind.STREAMING,
        timeout_s=30.0,
        objective_s=kind.objective_s,
        priority=kind.priority,
        shares=(TrafficShare(service="llm", weight=1.0),),
        max_attempts=2 if kind.resumable else 1,
        resumable=kind.resumable,
        gap_objective_s=PAUSE_S,
    )


def add_requests(world: UnevenWorld) -> None:
    """Add the requests of all kinds."""
    drawn, random = world.drawn, Random(world.seed + 1)
    at, number = BEGIN_S, 0
    weights = [1 / (3 + each) for each in range(drawn.models)]
    while at < BEGIN_S + DEMAND_S:
        at += random.expovariate(drawn.utilization * drawn.runners / drawn.prefill_s)
        kind = random.choices(KINDS, [each.share for each in KINDS])[0]
        tokens = int(random.lognormvariate(0, 0.6) * kind.mean_tokens / 1.2)
        output = int(drawn.output_tokens * random.uniform(0.4, 1.6))
        model = random.choices(range(drawn.models), weights)[0]
        request = make_request(f"q{number}", kind, f"m{model}", tokens, output)
        world.kinds[request.request_id] = kind
        world.add_request(request, at=at)
        number += 1


def make_request(
    name: str, kind: Kind, model: str, tokens: int, output: int
) -> GrantRequest:
    """Return a request of a kind."""
    request = make_grant_request(
        name,
        model,
        tokens=max(50, min(7000, tokens)),
        priority=kind.priority,
        objective_s=kind.objective_s,
        patience_s=max(2.4, 4 * kind.objective_s),
    )
    prompt = evolve(request.prompt, expected_output_tokens=output)
    return evolve(request, prompt=prompt, streaming=True, resumable=kind.resumable)


def measure(world: UnevenWorld, kind: Kind) -> Shares:
    """Return the results of one kind."""
    counts = {"on_time": 0, "paused": 0, "first_late": 0, "unserved": 0}
    total = 0
    for request_id, outcome in world.outcomes.items():
        if world.kinds[request_id] is not kind:
            continue
        total += 1
        gap_s = world.gaps.get(request_id)
        if outcome.first_at is None or gap_s is None:
            counts["unserved"] += 1
            continue
        late = outcome.first_at - outcome.requested_at > kind.objective_s
        paused = gap_s > world.drawn.gap_objective_s
        counts["first_late"] += late
        counts["paused"] += paused
        counts["on_time"] += not late and not paused
    return Shares(**{name: count / total for name, count in counts.items()})


def simulate_uneven(
    seed: int,
    pacing: Pacing,
    *,
    runner_pace: bool = True,
    utilization: float = 0.17,
) -> UnevenWorld:
    """Simulate a fleet, and return it after its requests have ended."""
    drawn = draw_uneven(seed, utilization)
    world = make_uneven_world(drawn, pacing, runner_pace=runner_pace)
    add_requests(world)
    world.run(SIMULATION_S)
    return world
