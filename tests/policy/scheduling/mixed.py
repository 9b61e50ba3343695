"""A fleet with many models, few copies, and a mix of urgent and patient requests.

There are three kinds of requests: chats (urgent, with long streams, for a few popular
models that change), patient chats (the same for a long tail of rare models, with an
objective as long as a load from the weight store), and summaries (long prompts and
short answers, for the popular models). The ranks of customers are independent of the
kind.
"""

import math
from collections.abc import Callable
from random import Random

from attrs import evolve, frozen

from mangoway.policy.scheduling.events import GrantRequest

from ...fakes.fleet import make_grant_request
from .drawn import DEMAND_START_S, Draw, DrawnWorld, make_world

SIMULATION_S = 40.0
DEMAND_S = 24.0
BURST_S = 8.0
"""Time between bursts of patient requests."""

SHIFT_S = 2.0
"""Time between two changes of the popular models: demand for the most popular one ends,
and another model becomes the least popular of them."""

POPULAR_COPY_SHARE = 0.5
"""Share of the room for models that copies of the popular ones take at the start."""

LOAD_S = 4.0
DISK_LOAD_S = 0.8
"""Time of a load from the weight store, and of one from the runner's disk."""


@frozen(kw_only=True)
class RequestKind:
    """One kind of request."""

    name: str
    share: float
    """Share of the requests."""

    tokens: int
    """Mean prompt length."""

    output: int
    """Mean answer length in tokens."""

    objective_s: float
    patience_s: float
    route_priority: int
    value: float
    late_value: float
    """Value of an answer on time, and of a late one."""


CHAT = RequestKind(
    name="chat",
    share=0.6,
    tokens=800,
    output=280,
    objective_s=0.5,
    patience_s=2.4,
    route_priority=1,
    value=1.9,
    late_value=0.58,
)
PATIENT = evolve(
    CHAT,
    name="patient",
    share=0.14,
    objective_s=4.0,
    patience_s=16.0,
    route_priority=2,
    value=0.97,
    late_value=0.29,
)
SUMMARY = RequestKind(
    name="summary",
    share=0.26,
    tokens=2370,
    output=24,
    objective_s=0.6,
    patience_s=2.4,
    route_priority=0,
    value=1.8,
    late_value=0.54,
)
KINDS = (CHAT, PATIENT, SUMMARY)


@frozen(kw_only=True)
class MixedWorkload:
    """The demand of a seed."""

    seed: int
    runners: int = 20
    models: int = 74
    popular: int = 8
    """Number of popular models at a time."""

    rate: float = 85.0
    """Requests per second."""

    burst: float = 2.5
    """Factor of the patient requests in the three seconds after the start of a
    burst."""

    ranks: tuple[int, ...] = (0, 1, 2)
    """Ranks of customers."""


def make_mixed(workload: MixedWorkload) -> DrawnWorld:
    """Return a fleet whose popular models are held by several runners."""
    drawn = Draw(
        seed=workload.seed,
        runners=workload.runners,
        models=workload.models,
        models_per_runner=3,
        slots=12,
        prefill_s_per_token=1 / 29_400,
        first_event_s=0.012,
        step_s=0.0051,
        chunk_tokens=2048,
        tokens_per_event=8,
        load_s=LOAD_S,
        has_disk_copies=True,
        prompt_tokens=1100,
        output_tokens=210,
        utilization=0.3,
        gap_objective_s=0.3,
    )
    world = make_world(drawn)
    service = world.table.services["llm"]
    assert service.engine is not None
    models = {
        name: evolve(profile, disk_load_s=DISK_LOAD_S, memory_load_s=0.45)
        for name, profile in service.engine.models.items()
    }
    any_model = next(iter(models.values()))
    # A runner's disk has room for six models.
    engine = evolve(
        service.engine,
        models=models,
        loads_per_s=0.3 * workload.runners,
        disk_mb=6.4 * any_model.weights_mb,
    )
    world.table.services["llm"] = evolve(service, engine=engine)
    placed = _spread_models(workload)
    for runner, names in zip(world.runners.values(), placed, strict=True):
        runner.engine = engine
        runner.models = {name: set() for name in names}
        runner.on_disk = list(names)
    world.replace_core()
    return world


def _spread_models(workload: MixedWorkload) -> list[list[str]]:
    """Place popular models on several runners, and others on one if it has room."""
    weights = _list_popular_weights(workload)
    copies = []
    for position, weight in enumerate(weights):
        count = max(
            2, round(POPULAR_COPY_SHARE * 3 * workload.runners * weight / sum(weights))
        )
        copies += [f"m{position}"] * count
    copies += [f"m{index}" for index in range(workload.popular, workload.models)]
    placed: list[list[str]] = [[] for _ in range(workload.runners)]
    for name in copies:
        with_room = [each for each in placed if len(each) < 3 and name not in each]
        if with_room:
            min(with_room, key=len).append(name)
    return placed


def _list_popular_weights(workload: MixedWorkload) -> list[float]:
    """Return the relative demand of the popular models, highest first."""
    return [math.pow(each + 1, -0.8) for each in range(workload.popular)]


def add_mixed_requests(
    world: DrawnWorld, workload: MixedWorkload
) -> dict[str, RequestKind]:
    """Add the requests and return the kind of each."""
    random = Random(workload.seed + 7)
    kinds: dict[str, RequestKind] = {}
    at = DEMAND_START_S
    while at < DEMAND_START_S + DEMAND_S:
        shift = int((at - DEMAND_START_S) / SHIFT_S)
        in_burst = (at - DEMAND_START_S) % BURST_S < 3.0
        patient = PATIENT.share * (workload.burst if in_burst else 1.0)
        shares = [CHAT.share, patient, SUMMARY.share]
        at += random.expovariate(workload.rate * sum(shares))
        kind = random.choices(KINDS, shares)[0]
        name = _choose_model(workload, random, kind, shift)
        tokens = int(kind.tokens * random.lognormvariate(-0.3, 0.75))
        output = max(1, int(kind.output * random.lognormvariate(-0.24, 0.69)))
        request_id = f"q{len(kinds)}"
        kinds[request_id] = kind
        grant_request = make_grant_request(
            request_id,
            name,
            tokens=max(50, min(tokens, 6000)),
            priority=random.choice(workload.ranks),
            objective_s=kind.objective_s,
            patience_s=kind.patience_s,
        )
        prompt = evolve(grant_request.prompt, expected_output_tokens=output)
        grant_request = evolve(
            grant_request, prompt=prompt, route_priority=kind.route_priority
        )
        world.add_request(grant_request, at=at)
    return kinds


def _choose_model(
    workload: MixedWorkload, random: Random, kind: RequestKind, shift: int
) -> str:
    if kind is PATIENT:
        index = random.randrange(int(0.73 * workload.models))
    else:
        position = random.choices(
            range(workload.popular), _list_popular_weights(workload)
        )[0]
        index = position + shift
    return f"m{index % workload.models}"


def compute_share(
    world: DrawnWorld,
    kinds: dict[str, RequestKind],
    chosen: Callable[[GrantRequest, RequestKind], bool],
) -> float:
    """Return the achieved share of the value of the chosen requests."""
    achieved = possible = 0.0
    for request_id, kind in kinds.items():
        outcome = world.outcomes[request_id]
        if not chosen(outcome.grant_request, kind):
            continue
        possible += kind.value
        gap_s = world.gaps.get(request_id)
        if outcome.first_at is None or gap_s is None:
            continue
        on_time = outcome.first_at - outcome.requested_at <= kind.objective_s
        on_time = on_time and gap_s <= world.drawn.gap_objective_s
        achieved += kind.value if on_time else kind.late_value
    return achieved / possible
