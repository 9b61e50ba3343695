"""What a gateway's decisions cost, by upstreams and by models."""

from collections.abc import Callable, Sequence
from itertools import count
from random import Random

from mangoway.models.identifiers import IncarnationId, RequestId
from mangoway.models.request import Request, WorkClass
from mangoway.policy.dispatch.actions import StartAttempt
from mangoway.policy.dispatch.core import DispatchCore
from mangoway.policy.dispatch.events import (
    AttemptProgressed,
    AttemptSucceeded,
    ConfigurationChanged,
    EngineMet,
    EngineReported,
    GatewaysCounted,
    RequestArrived,
    Ticked,
    UpstreamsListed,
)
from mangoway.policy.dispatch.options import DispatchOptions

from .builders import (
    CALLER,
    DATA_CENTRE,
    make_artifact,
    make_configuration,
    make_description,
    make_report,
    make_upstream,
)
from .fit import Point
from .meter import US_PER_S, CpuMeter, find_cpu_us
from .registry import Series, register_measure

UPSTREAM_SIZES = (10, 50, 150, 308)
MODEL_SIZES = (20, 200, 700, 1400)
FIXED_UPSTREAMS = 308
FIXED_MODELS = 20
REQUESTS = 1200
ROUND = 200
"""Requests between two reports of every upstream."""

TOKENS = 200
WORK_S = 12.0
"""Virtual time that a request runs."""

RATE = 46.0
"""Requests a second, as a node has at the target size."""

REPORTS = 2000
BLOCKS = 8
GATEWAYS = 62


class GatewayLoad:
    """A dispatch core with ready upstreams, and requests that come and go."""

    def __init__(self, upstreams: int, models: int) -> None:
        self.core = DispatchCore(
            IncarnationId("home"), Random(1), DispatchOptions(data_centre=DATA_CENTRE)
        )
        self._upstreams = upstreams
        self._models = models
        self._random = Random(2)
        self._numbers = count()
        self.now = 0.0
        self._running: list[tuple[float, StartAttempt]] = []
        self._prepare()

    def _prepare(self) -> None:
        configuration = make_configuration(self._models)
        self.core.handle(ConfigurationChanged(configuration=configuration), 0.0)
        listed = tuple(map(make_upstream, range(self._upstreams)))
        self.core.handle(UpstreamsListed(upstreams=listed), 0.0)
        self.core.handle(GatewaysCounted(count=GATEWAYS), 0.0)
        for number in range(self._upstreams):
            self.core.handle(EngineMet(description=make_description(number)), 0.0)
            self.report(number)

    def report(self, number: int) -> None:
        """Give the core a new report of an upstream."""
        running = self._random.randrange(8)
        report = make_report(number, self._models, self.now, running)
        self.core.handle(EngineReported(report=report), self.now)

    def arrive(self) -> None:
        """Let a request arrive; requests that are over end first."""
        self.now += 1.0 / RATE
        while self._running and self._running[0][0] <= self.now:
            self._end(self._running.pop(0)[1])
        number = next(self._numbers)
        model = make_artifact(self._draw_model())
        request = Request(
            id=RequestId(f"home-{number}"),
            caller=CALLER,
            work_class=WorkClass.URGENT,
            target=model,
            arrived_at=self.now,
            deadline=self.now + 60.0,
            prompt_tokens=500,
            max_tokens=TOKENS,
            prefix_hashes=tuple(range(number * BLOCKS, (number + 1) * BLOCKS)),
            streamed=True,
        )
        actions = self.core.handle(RequestArrived(request=request), self.now)
        for action in actions:
            if isinstance(action, StartAttempt):
                self._running.append((self.now + WORK_S, action))

    def _draw_model(self) -> int:
        """Draw a model that is held by an upstream; low numbers are in demand."""
        held = min(self._models, self._upstreams * 6)
        return int(held * self._random.random() ** 2)

    def _end(self, action: StartAttempt) -> None:
        attempt_id = action.attempt_id
        progressed = AttemptProgressed(attempt_id=attempt_id, tokens=TOKENS)
        self.core.handle(progressed, self.now)
        self.core.handle(AttemptSucceeded(attempt_id=attempt_id), self.now)


def measure_decision(upstreams: int, models: int) -> float:
    """Return the microseconds of one request from its arrival to its end."""
    load = GatewayLoad(upstreams, models)
    used_us = 0.0
    rounds = REQUESTS // ROUND
    for number in range(2 * rounds):
        for upstream in range(upstreams):
            load.report(upstream)
        round_us = find_cpu_us(lambda _: load.arrive(), ROUND)
        used_us += round_us if number >= rounds else 0.0
    return used_us / rounds


def measure_report(upstreams: int) -> float:
    """Return the microseconds of taking one report into the core."""
    load = GatewayLoad(upstreams, models=1400)
    for _ in range(REQUESTS // 3):
        load.arrive()
    reports = [
        EngineReported(report=make_report(n % upstreams, 1400, 100.0 + n * 0.007, 8))
        for n in range(REPORTS)
    ]
    step = load.core.handle
    return find_cpu_us(
        lambda n: step(reports[n], reports[n].report.reported_at), REPORTS
    )


def measure_members(upstreams: int) -> float:
    """Return the microseconds of a change in the number of gateways."""
    load = GatewayLoad(upstreams, models=1400)
    for _ in range(REQUESTS // 3):
        load.arrive()
    counts = [GatewaysCounted(count=GATEWAYS - n % 2) for n in range(200)]
    return find_cpu_us(lambda n: load.core.handle(counts[n], load.now), len(counts))


def measure_period(upstreams: int) -> float:
    """Return the microseconds of what is done once a second."""
    load = GatewayLoad(upstreams, models=1400)
    meter = CpuMeter()
    for second in range(60):
        for number in range(upstreams):
            load.now = float(second)
            load.report(number)
        event = Ticked()
        with meter.measure():
            load.core.handle(event, second + 1.0)
    return meter.seconds / meter.blocks * US_PER_S


@register_measure("dispatch")
def measure_dispatch() -> Sequence[Series]:
    """Measure routing decisions and the news that they rest on."""
    return (
        _take(
            "decision_upstreams",
            f"routing decision, arrival to end, {FIXED_MODELS} models",
            "upstreams",
            UPSTREAM_SIZES,
            lambda size: measure_decision(size, FIXED_MODELS),
        ),
        _take(
            "decision_models",
            f"routing decision, arrival to end, {FIXED_UPSTREAMS} upstreams",
            "models",
            MODEL_SIZES,
            lambda size: measure_decision(FIXED_UPSTREAMS, size),
        ),
        _take(
            "dispatch_report",
            "runner's report taken into the dispatch core",
            "upstreams",
            UPSTREAM_SIZES,
            measure_report,
        ),
        _take(
            "dispatch_members",
            "change in the number of gateways in the dispatch core",
            "upstreams",
            UPSTREAM_SIZES,
            measure_members,
        ),
        _take(
            "dispatch_period",
            "once a second in the dispatch core",
            "upstreams",
            UPSTREAM_SIZES,
            measure_period,
        ),
    )


def _take(
    name: str,
    title: str,
    size_name: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Series:
    points = tuple(Point(size, measure(size)) for size in sizes)
    return Series(name=name, title=title, size_name=size_name, unit="µs", points=points)
