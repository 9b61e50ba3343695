"""A drawn fleet in which requests and kills make runners crash, in virtual time.

Edges are the product's own screens; what they tell reaches all others a while later, as
through the store. Runners, callers and the time are the test's.
"""

from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from attrs import define, field

from mangoway.coordination.crashes import Statement
from mangoway.edge.crash_detector import InterruptedRequest, RunnerCrash
from mangoway.edge.crash_filter import CrashFilter
from mangoway.models.crash import RequestIdentity, RunnerLife
from mangoway.policy.crashes.tracker import CrashTracker

TOLD_AFTER_S = 0.5
"""Time after which all other edges know what one has told."""

CRASH_AFTER_S = 0.06
BEGUN_AFTER_S = 0.1
"""Time from the sending of an innocent request to its first event."""

REPEAT_AFTER_S = 0.005
RETRY_AFTER_S = 0.05
ATTEMPTS = 2
"""Runners that one arrival may be sent to."""


@define(eq=False, kw_only=True)
class Request:
    """One request, over all its arrivals."""

    identity: RequestIdentity
    crashes: bool = False
    work_s: float
    retries: int
    """Times that its caller still sends it again."""

    attempts: int = 0
    edge: int = 0
    sent_at: float = 0.0
    excluded: set[int] = field(factory=set)
    crashed: int = 0
    """Crashes that it was beside, or caused."""


@define(eq=False)
class Runner:
    """A runner, over its lives."""

    number: int
    life: int = 0
    up: bool = True
    running: list[Request] = field(factory=list)


@define(eq=False, kw_only=True)
class Figures:
    """What a storm showed."""

    requests: int = 0
    served: int = 0
    crashes: int = 0
    cut_off: int = 0
    """Innocent runs that a crash cut off."""

    lost: int = 0
    """Innocent requests that their callers gave up after crashes."""

    no_runner: int = 0
    held_back: int = 0
    """Innocent requests that were refused as if they made runners crash."""

    held_back_wholly: int = 0
    """Those of them that were not served later either."""

    held_back_early: int = 0
    """Refusals of a request that was beside fewer than three crashes."""

    late_runs: dict[str, int] = field(factory=dict)
    """Runs of each crashing request more than three seconds after its third crash."""

    told: int = 0


@define(eq=False, kw_only=True)
class Storm:
    """A fleet under crashes."""

    seed: int
    edges: int = 6
    runners: int = 6
    rate: float = 45.0
    """Innocent requests a second."""

    work_s: float = 1.5
    equal_share: float = 0.0
    """Part of the innocent requests that are all alike."""

    crashing: int = 2
    crashing_each_s: float = 1.0
    """Mean time between two arrivals of each crashing request."""

    kills_each_s: float | None = None
    """Mean time between two kills of a runner; None: there are none."""

    holding: bool = True
    """Whether requests are held back at all."""

    retries: int = 1
    until_s: float = 60.0
    random: Random = field(init=False)
    _kills: Random = field(init=False)
    """Apart, so that a storm has the same kills whatever is decided."""

    now: float = field(default=0.0, init=False)
    figures: Figures = field(factory=Figures, init=False)
    screens: list[CrashFilter] = field(factory=list, init=False)
    fleet: list[Runner] = field(factory=list, init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        factory=list, init=False
    )
    _numbers: Any = field(factory=count, init=False)
    _third_crash: dict[str, float] = field(factory=dict, init=False)
    _crash_counts: dict[str, int] = field(factory=dict, init=False)
    _held: set[RequestIdentity] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self._kills = Random(self.seed + 1)
        self.screens = [self._make_screen(number) for number in range(self.edges)]
        self.fleet = [Runner(number) for number in range(self.runners)]

    def play(self) -> Figures:
        """Play the storm and return what it showed."""
        self._at(0.0, self._send_innocent)
        for number in range(self.crashing):
            self._at(self.random.uniform(0, 5), partial(self._send_crashing, number))
        if self.kills_each_s is not None:
            self._at(self._kills.expovariate(1 / self.kills_each_s), self._kill)
        while self._events and self._events[0][0] < self.until_s:
            self.now, _, call = heappop(self._events)
            call()
        self.figures.held_back_wholly = len(self._held)
        return self.figures

    def _make_screen(self, number: int) -> CrashFilter:
        return CrashFilter(
            edge=f"e{number}",
            tracker=CrashTracker(),
            statement_sender=_Teller(self, number),
            clock=lambda: self.now,
        )

    def tell(self, edge: int, statement: Statement) -> None:
        """Let all other edges know what one tells, a while later."""
        self.figures.told += 1

        def take() -> None:
            for number, crash_filter in enumerate(self.screens):
                if number != edge:
                    statement.take(crash_filter.tracker)

        self._at(TOLD_AFTER_S, take)

    def _at(self, after_s: float, call: Callable[[], None]) -> None:
        heappush(self._events, (self.now + after_s, next(self._numbers), call))

    def _send_innocent(self) -> None:
        name = "equal" if self.random.random() < self.equal_share else ""
        request = Request(
            identity=RequestIdentity(name or f"c{next(self._numbers)}", "v"),
            work_s=self.work_s * self.random.uniform(0.3, 1.7),
            retries=self.retries,
        )
        self.figures.requests += 1
        self._arrive(request)
        self._at(self.random.expovariate(self.rate), self._send_innocent)

    def _send_crashing(self, number: int) -> None:
        identity = RequestIdentity(f"crashing{number}", "v")
        self._arrive(Request(identity=identity, crashes=True, work_s=9.0, retries=1))
        after_s = self.random.expovariate(1 / self.crashing_each_s)
        self._at(after_s, partial(self._send_crashing, number))

    def _arrive(self, request: Request) -> None:
        """Come to any edge, as a new request there."""
        request.edge = self.random.randrange(self.edges)
        request.attempts = 0
        request.excluded = set()
        self._place(request)

    def _place(self, request: Request) -> None:
        crash_filter = self.screens[request.edge]
        if self.holding and crash_filter.is_blocked(request.identity):
            if not request.crashes:
                self.figures.held_back += 1
                self.figures.held_back_early += request.crashed < 3
                self._held.add(request.identity)
            self._fail(request)
            return
        runner = self._choose(request)
        if runner is None:
            self.figures.no_runner += not request.crashes
            self._fail(request)
            return
        request.attempts += 1
        request.excluded.add(runner.number)
        request.sent_at = self.now
        runner.running.append(request)
        if request.crashes:
            self._note_crashing_run(request.identity.content)
            life = runner.life
            self._at(CRASH_AFTER_S, partial(self._crash_by, runner, life, request))
        else:
            self._at(request.work_s, partial(self._finish, runner, request))

    def _choose(self, request: Request) -> Runner | None:
        usable = [
            each
            for each in self.fleet
            if each.up and each.number not in request.excluded
        ]
        return min(
            usable,
            key=lambda each: (len(each.running), self.random.random()),
            default=None,
        )

    def _finish(self, runner: Runner, request: Request) -> None:
        if request not in runner.running:
            return
        runner.running.remove(request)
        self.figures.served += 1
        self._held.discard(request.identity)
        self.screens[request.edge].record_success(request.identity)

    def _note_crashing_run(self, name: str) -> None:
        third_at = self._third_crash.get(name)
        if third_at is not None and self.now > third_at + 3.0:
            late = self.figures.late_runs
            late[name] = late.get(name, 0) + 1

    def _crash_by(self, runner: Runner, life: int, request: Request) -> None:
        if not runner.up or runner.life != life:
            return
        name = request.identity.content
        self._crash_counts[name] = self._crash_counts.get(name, 0) + 1
        if self._crash_counts[name] == 3:
            self._third_crash[name] = self.now
        self._crash(runner)

    def _kill(self) -> None:
        assert self.kills_each_s is not None
        up = [each for each in self.fleet if each.up]
        if up:
            self._crash(self._kills.choice(up))
        self._at(self._kills.expovariate(1 / self.kills_each_s), self._kill)

    def _crash(self, runner: Runner) -> None:
        self.figures.crashes += 1
        running, runner.running, runner.up = runner.running, [], False
        self._at(self.random.uniform(2.0, 4.0), partial(self._come_back, runner))
        life = RunnerLife(runner_id=f"r{runner.number}", started_ms=runner.life)
        for edge in {each.edge for each in running}:
            lost = [each for each in running if each.edge == edge]
            requests = tuple(
                InterruptedRequest(
                    identity=each.identity,
                    sent_at=each.sent_at,
                    ran_s=max(0.0, self.now - each.sent_at - BEGUN_AFTER_S),
                )
                for each in lost
            )
            self.screens[edge].record_crash(RunnerCrash(life=life, requests=requests))
        for request in running:
            request.crashed += 1
            self.figures.cut_off += not request.crashes
            if request.attempts < ATTEMPTS:
                self._at(REPEAT_AFTER_S, partial(self._place, request))
            else:
                self._fail(request)

    def _come_back(self, runner: Runner) -> None:
        runner.up = True
        runner.life += 1

    def _fail(self, request: Request) -> None:
        """Let the caller send the request again, if it still does."""
        if request.retries > 0:
            request.retries -= 1
            self._at(RETRY_AFTER_S, partial(self._arrive, request))
        elif not request.crashes:
            self.figures.lost += 1


@define(eq=False)
class _Teller:
    """Passes on what one edge tells."""

    storm: Storm
    edge: int

    def post(self, statement: Statement) -> None:
        """Tell a statement."""
        self.storm.tell(self.edge, statement)
