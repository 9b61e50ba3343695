"""Engines whose streams are transferred, and an edge that transfers them.

Time is virtual. A transfer copies a stream while it runs, stops it, and lets it go on
at the target; the pause counts as one between two events. A runner that leaves is gone
at a given time, and what still runs there breaks off.
"""

from random import Random

from attrs import define, evolve, field, frozen

from mangoway.models.routing import RouteKind, RoutingTable
from mangoway.policy.scheduling.events import (
    Action,
    EndKind,
    FleetUpdated,
    Grant,
    GrantRequest,
    OrdersAllowed,
    RequestEnded,
    StreamMoved,
    TransferFailed,
    TransferStream,
)
from mangoway.policy.scheduling.features import Features

from ...fakes.fleet import make_grant_request, make_route, make_runner
from .drawn import Draw, DrawnWorld, Engine, Stream, configure_engine

EDGE = "e1"
COPY_S = 0.06
"""Time of the call that copies a stream's memory while it runs."""

STOP_S = 0.05
"""Time of the call that stops a stream and copies the rest."""

MAX_OUTPUT_FACTOR = 3
"""Maximum output of a request as a multiple of its hint."""

LIVE_PRIORITY = 1
PATIENT_PRIORITY = 2
LIVE_VALUE = 1.9
PATIENT_VALUE = 0.97
LATE_SHARE = 0.3
"""Values of answers on time, and the share of a late one."""

NO_TRANSFERS = Features(stream_transfers=False, stream_backups=False)


def protect(table: RoutingTable, *, kv_tokens: int = 60_000) -> RoutingTable:
    """Return a table whose live streams can't be resumed and whose engine moves."""
    live = make_route(resumable=False, prefix="/live/")
    patient = make_route(resumable=True, prefix="/patient/")
    profile = table.services["llm"]
    assert profile.engine is not None
    engine = evolve(
        profile.engine,
        moves=True,
        backups=True,
        handle_s=5.0,
        tokens_per_event=8,
        kv_capacity_tokens=kv_tokens,
    )
    return evolve(
        table,
        routes=(
            evolve(live, priority=LIVE_PRIORITY),
            evolve(patient, priority=PATIENT_PRIORITY, objective_s=8.0),
            make_route(RouteKind.SAFE, service="plain", prefix="/plain/"),
        ),
        services={**table.services, "llm": evolve(profile, engine=engine)},
    )


def make_live(request_id: str, model: str = "a", output: int = 400) -> GrantRequest:
    """Return a request for a stream that can't be resumed."""
    return _make_stream(request_id, model, output, resumable=False)


def make_patient(request_id: str, model: str = "a", output: int = 800) -> GrantRequest:
    """Return a request for a stream that can be resumed."""
    return _make_stream(request_id, model, output, resumable=True)


def _make_stream(
    request_id: str, model: str, output: int, *, resumable: bool
) -> GrantRequest:
    plain = make_grant_request(
        request_id,
        model,
        objective_s=8.0 if resumable else 0.5,
        patience_s=32.0 if resumable else 2.4,
    )
    prompt = evolve(
        plain.prompt,
        expected_output_tokens=output,
        max_output_tokens=MAX_OUTPUT_FACTOR * output,
    )
    return evolve(
        plain,
        prompt=prompt,
        streaming=True,
        resumable=resumable,
        route_priority=PATIENT_PRIORITY if resumable else LIVE_PRIORITY,
    )


@frozen(kw_only=True)
class Results:
    """What the requests of one kind got."""

    requests: int
    on_time: int
    late: int
    broken: int

    @property
    def share(self) -> float:
        """Return the achieved share of the value."""
        value = self.on_time + LATE_SHARE * self.late
        return value / max(1, self.requests)


@define(eq=False)
class MovingWorld(DrawnWorld):
    """A drawn fleet with an edge that transfers streams."""

    features: Features = field(default=Features(), kw_only=True)
    outputs: dict[str, int] = field(factory=dict, init=False)
    """Actual output tokens of requests whose hint is wrong."""

    ordered: list[TransferStream] = field(factory=list, init=False)
    grants: dict[str, Grant] = field(factory=dict, init=False)
    broken: set[str] = field(factory=set, init=False)
    gone: set[str] = field(factory=set, init=False)
    leaving: dict[str, float | None] = field(factory=dict, init=False)
    """Runners that leave, with the seconds left that their entries state."""

    def protect(self) -> None:
        """Start a core for a table whose streams are protected."""
        self.table = protect(self.table)
        engine = self.table.services["llm"].engine
        assert engine is not None
        for runner in self.runners.values():
            runner.engine = engine
        self.replace_core()

    def replace_core(self) -> None:
        """Start a new scheduler that the edge connects to."""
        super().replace_core()
        self.core.state.features = self.features
        self.core.state.table = None
        self.update_fleet()
        self.core.state.transferring_edges.add(EDGE)
        self.send_event(OrdersAllowed(allowed=True))

    def update_fleet(self) -> None:
        """Send the current runners, and those that leave, to the core."""
        here = [
            each for each in self.runners.values() if each.runner_id not in self.gone
        ]
        entries = [
            evolve(
                make_runner(each.runner_id, tuple(each.models)),
                seconds_left=self.leaving.get(each.runner_id),
            )
            for each in here
        ]
        self.send_event(
            FleetUpdated(
                table=self.table,
                runners=tuple(e for e in entries if e.runner_id not in self.leaving),
                leaving=tuple(e for e in entries if e.runner_id in self.leaving),
            )
        )

    def leave(self, runner_id: str, seconds_left: float | None, gone_s: float) -> None:
        """Let a runner leave now and be gone after a time.

        Args:
            runner_id: The runner.
            seconds_left: Seconds left that its entry states, if any.
            gone_s: Seconds after which it is gone.
        """
        self.leaving[runner_id] = seconds_left
        self.update_fleet()
        self.call_later(gone_s, lambda: self._end_runner(runner_id))

    def _end_runner(self, runner_id: str) -> None:
        self.gone.add(runner_id)
        self.update_fleet()
        engine = self.engines.get(runner_id)
        if engine is None:
            return
        streams = [*engine.streams, *engine.prompts]
        engine.streams, engine.prompts = [], type(engine.prompts)()
        for stream in streams:
            self.broken.add(stream.grant.request_id)
            self._end(stream.grant, EndKind.FAILED)

    def _execute(self, action: Action) -> None:
        if isinstance(action, Grant):
            self.grants[action.request_id] = action
        if isinstance(action, TransferStream):
            self.ordered.append(action)
            self.call_later(COPY_S, lambda: self._stop_stream(action))
        else:
            super()._execute(action)

    def _stop_stream(self, action: TransferStream) -> None:
        source = self.engines[action.source_runner_id]
        found = [
            each
            for each in source.streams
            if each.grant.request_id == action.request_id
        ]
        if found:
            source.streams.remove(found[0])
            self.call_later(STOP_S, lambda: self._continue_stream(action, found[0]))
            return
        self.send_event(
            TransferFailed(
                edge=action.edge,
                request_id=action.request_id,
                target_runner_id=action.target_runner_id,
            )
        )

    def _continue_stream(self, action: TransferStream, stream: Stream) -> None:
        target_id = action.target_runner_id
        if target_id in self.gone:
            self.broken.add(action.request_id)
            self._end(stream.grant, EndKind.FAILED)
            return
        grant_request = self.outcomes[action.request_id].grant_request
        artifact = (grant_request.model, grant_request.adapter)
        self.runners[action.source_runner_id].end_run(action.request_id)
        self.runners[target_id].running[action.request_id] = artifact
        stream.grant = evolve(stream.grant, runner_id=target_id)
        engine = self.engines.setdefault(target_id, Engine(self.drawn, self))
        engine.streams.append(stream)
        if not engine.stepping:
            engine.stepping = True
            engine.step()
        self.send_event(
            StreamMoved(
                edge=action.edge, request_id=action.request_id, runner_id=target_id
            )
        )

    def _send(self, grant: Grant) -> None:
        if grant.runner_id in self.gone:
            self._end(grant, EndKind.NOT_RUN)
            return
        super()._send(grant)
        engine = self.engines.get(grant.runner_id)
        output = self.outputs.get(grant.request_id)
        if engine is not None and engine.prompts and output is not None:
            if engine.prompts[-1].grant is grant:
                engine.prompts[-1].tokens_left = output

    def end_stream(self, stream: Stream) -> None:
        """End a stream and report its events and their pace."""
        self.gaps[stream.grant.request_id] = stream.longest_gap_s
        runner = self.runners[stream.grant.runner_id]
        runner.end_run(stream.grant.request_id)
        paused = stream.longest_gap_s > self.drawn.gap_objective_s
        self.send_event(
            RequestEnded(
                edge=stream.grant.edge,
                request_id=stream.grant.request_id,
                kind=EndKind.PAUSED if paused else EndKind.SERVED,
                events=stream.tokens // self.drawn.tokens_per_event,
                event_s=self.drawn.step_s * self.drawn.tokens_per_event * 1.2,
            )
        )

    def measure(self, *, resumable: bool) -> Results:
        """Return what the requests of one kind got."""
        on_time = late = broken = requests = 0
        for request_id, outcome in self.outcomes.items():
            if outcome.grant_request.resumable is not resumable:
                continue
            requests += 1
            broken += request_id in self.broken
            gap_s = self.gaps.get(request_id)
            if outcome.first_at is None or gap_s is None or request_id in self.broken:
                continue
            wait_s = outcome.first_at - outcome.requested_at
            in_time = wait_s <= outcome.grant_request.objective_left_s
            if in_time and gap_s <= self.drawn.gap_objective_s:
                on_time += 1
            else:
                late += 1
        return Results(requests=requests, on_time=on_time, late=late, broken=broken)

    def compute_value(self) -> float:
        """Return the achieved share of the value of all requests."""
        live, patient = self.measure(resumable=False), self.measure(resumable=True)
        full = LIVE_VALUE * live.requests + PATIENT_VALUE * patient.requests
        got = LIVE_VALUE * live.share * live.requests
        return (got + PATIENT_VALUE * patient.share * patient.requests) / max(1.0, full)


def make_draw(seed: int, placed: list[list[str]], slots: int) -> Draw:
    """Return the engine of runners that hold given models."""
    return Draw(
        seed=seed,
        runners=len(placed),
        models=len({name for each in placed for name in each}),
        models_per_runner=max(len(each) for each in placed),
        slots=slots,
        prefill_s_per_token=1 / 30_000,
        first_event_s=0.005,
        step_s=0.005,
        chunk_tokens=2048,
        tokens_per_event=8,
        load_s=4.0,
        has_disk_copies=False,
        prompt_tokens=830,
        output_tokens=400,
        utilization=0.3,
        gap_objective_s=0.3,
    )


def make_moving(
    seed: int,
    placed: list[list[str]],
    *,
    slots: int = 16,
    features: Features = Features(),
) -> MovingWorld:
    """Return runners that hold given models."""
    drawn = make_draw(seed, placed, slots)
    world = MovingWorld(
        models=sorted({name for each in placed for name in each}),
        runner_models=placed,
        load_s=drawn.load_s,
        seed=seed,
        drawn=drawn,
        features=features,
    )
    configure_engine(world, drawn)
    world.protect()
    return world


def scatter(random: Random, median: int) -> int:
    """Return an output length around a median, up to the maximum of a request."""
    length = int(median * random.lognormvariate(0.0, 0.5))
    return min(MAX_OUTPUT_FACTOR * median, max(16, length))
