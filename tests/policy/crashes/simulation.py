"""A simulated fleet in which requests and kills crash runners, in virtual time.

Edges use the real crash filter, and their statements reach all others after a delay, as
through the store. Runners, callers and the time are simulated.
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
from mangoway.models.crash import RequestIdentity, RunnerIncarnation
from mangoway.policy.crashes.probing import choose_prober
from mangoway.policy.crashes.tracker import CrashTracker

STATEMENT_DELAY_S = 0.5
"""Delay of a statement to all other edges."""

CRASH_DELAY_S = 0.06
FIRST_EVENT_S = 0.1
"""Time from sending a harmless request to its first event."""

COMMON_PART = RequestIdentity("common", "part")
CRASHING_PART = RequestIdentity("crashing", "part")

RETRY_DELAY_S = 0.005
CALLER_RETRY_DELAY_S = 0.05
MAX_ATTEMPTS = 2
"""Runners that an arriving request may be sent to."""


@define(eq=False, kw_only=True)
class Request:
    """One request, including its retries by the caller."""

    identity: RequestIdentity
    crashes: bool = False
    work_s: float
    retries: int
    """Retries that its caller has left."""

    attempts: int = 0
    edge: int = 0
    sent_at: float = 0.0
    excluded: set[int] = field(factory=set)
    crash_count: int = 0
    """Crashes that interrupted the request, or that it caused."""

    @property
    def cause(self) -> str:
        """Return what makes runners crash: the content, or a part."""
        if CRASHING_PART in self.identity.shared:
            return CRASHING_PART.content
        return self.identity.content


@define(eq=False)
class Runner:
    """A runner, over all its incarnations."""

    number: int
    incarnation: int = 0
    is_up: bool = True
    running: list[Request] = field(factory=list)


@define(eq=False, kw_only=True)
class Results:
    """Results of a simulation."""

    requests: int = 0
    served: int = 0
    crashes: int = 0
    interrupted: int = 0
    """Harmless runs that a crash interrupted."""

    lost: int = 0
    """Harmless requests that failed after the last retry of their callers."""

    no_runner: int = 0
    """Times that a harmless request found no runner that it could be sent to."""

    blocked: int = 0
    """Rejections of harmless requests that were blocked by mistake."""

    blocked_unserved: int = 0
    """Harmless requests that were blocked and not served later either."""

    blocked_early: int = 0
    """Rejections of a request that fewer than three crashes had interrupted."""

    late_runs: dict[str, int] = field(factory=dict)
    """Runs of each crashing request more than three seconds after its third crash."""

    statements: int = 0


@define(eq=False, kw_only=True)
class CrashSimulation:
    """A fleet with crashing runners."""

    seed: int
    edges: int = 6
    runners: int = 6
    rate: float = 45.0
    """Harmless requests per second."""

    work_s: float = 1.5
    equal_share: float = 0.0
    """Share of the harmless requests that are all equal."""

    parts: int = 0
    """Prompt parts that harmless requests share, in addition to one that all have; low
    numbers are the most frequent."""

    crashing_part_each_s: float | None = None
    """Mean time between two requests with a part that crashes runners, no two of them
    alike; None for none."""

    crashing_part_from_s: float = 10.0
    """Time from which these are sent; before it, edges see which parts are harmless."""

    crashing: int = 2
    crashing_each_s: float = 1.0
    """Mean time between two arrivals of each crashing request."""

    kills_each_s: float | None = None
    """Mean time between two kills of a runner; None for no kills."""

    blocking: bool = True
    """Whether requests are blocked at all."""

    retries: int = 1
    """Retries by the caller of each harmless request."""

    until_s: float = 60.0
    random: Random = field(init=False)
    _kill_random: Random = field(init=False)
    """Random source of the kills, which are then the same whatever the decisions."""

    now: float = field(default=0.0, init=False)
    results: Results = field(factory=Results, init=False)
    crash_filters: list[CrashFilter] = field(factory=list, init=False)
    fleet: list[Runner] = field(factory=list, init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(
        factory=list, init=False
    )
    _numbers: Any = field(factory=count, init=False)
    _third_crash: dict[str, float] = field(factory=dict, init=False)
    _crash_counts: dict[str, int] = field(factory=dict, init=False)
    _blocked: set[RequestIdentity] = field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self._kill_random = Random(self.seed + 1)
        self.crash_filters = [
            self._make_crash_filter(number) for number in range(self.edges)
        ]
        self.fleet = [Runner(number) for number in range(self.runners)]

    def run(self) -> Results:
        """Run the simulation and return its results."""
        self._call_later(0.0, self._send_harmless)
        for number in range(self.crashing):
            self._call_later(
                self.random.uniform(0, 5), partial(self._send_crashing, number)
            )
        if self.crashing_part_each_s is not None:
            self._call_later(self.crashing_part_from_s, self._send_crashing_part)
        if self.kills_each_s is not None:
            self._call_later(
                self._kill_random.expovariate(1 / self.kills_each_s), self._kill
            )
        while self._events and self._events[0][0] < self.until_s:
            self.now, _, call = heappop(self._events)
            call()
        self.results.blocked_unserved = len(self._blocked)
        return self.results

    def _make_crash_filter(self, number: int) -> CrashFilter:
        return CrashFilter(
            edge=f"e{number}",
            tracker=CrashTracker(),
            statement_sender=_StatementSender(self, number),
            clock=lambda: self.now,
            is_prober=lambda shared: (
                choose_prober(shared, (f"e{each}" for each in range(self.edges)))
                == f"e{number}"
            ),
        )

    def send_statement(self, edge: int, statement: Statement) -> None:
        """Deliver a statement of one edge to all others after a delay."""
        self.results.statements += 1

        def apply_statement() -> None:
            for number, crash_filter in enumerate(self.crash_filters):
                if number != edge:
                    statement.apply_to(crash_filter.tracker)

        self._call_later(STATEMENT_DELAY_S, apply_statement)

    def _call_later(self, after_s: float, call: Callable[[], None]) -> None:
        heappush(self._events, (self.now + after_s, next(self._numbers), call))

    def _send_harmless(self) -> None:
        name = "equal" if self.random.random() < self.equal_share else ""
        request = Request(
            identity=RequestIdentity(
                name or f"c{next(self._numbers)}", "v", shared=self._choose_parts()
            ),
            work_s=self.work_s * self.random.uniform(0.3, 1.7),
            retries=self.retries,
        )
        self.results.requests += 1
        self._arrive(request)
        self._call_later(self.random.expovariate(self.rate), self._send_harmless)

    def _choose_parts(self) -> tuple[RequestIdentity, ...]:
        if not self.parts:
            return ()
        number = int(self.parts ** self.random.random())
        return (COMMON_PART, RequestIdentity(f"part{number}", "part"))

    def _send_crashing_part(self) -> None:
        identity = RequestIdentity(
            f"c{next(self._numbers)}", "v", shared=(COMMON_PART, CRASHING_PART)
        )
        self._arrive(Request(identity=identity, crashes=True, work_s=9.0, retries=1))
        assert self.crashing_part_each_s is not None
        after_s = self.random.expovariate(1 / self.crashing_part_each_s)
        self._call_later(after_s, self._send_crashing_part)

    def _send_crashing(self, number: int) -> None:
        identity = RequestIdentity(f"crashing{number}", "v")
        self._arrive(Request(identity=identity, crashes=True, work_s=9.0, retries=1))
        after_s = self.random.expovariate(1 / self.crashing_each_s)
        self._call_later(after_s, partial(self._send_crashing, number))

    def _arrive(self, request: Request) -> None:
        """Deliver a request to a random edge, as a new request there."""
        request.edge = self.random.randrange(self.edges)
        request.attempts = 0
        request.excluded = set()
        self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        crash_filter = self.crash_filters[request.edge]
        if (
            self.blocking
            and crash_filter.is_blocked(request.identity)
            and not crash_filter.try_probe(request.identity)
        ):
            if not request.crashes:
                self.results.blocked += 1
                self.results.blocked_early += request.crash_count < 3
                self._blocked.add(request.identity)
            self._handle_failure(request)
            return
        runner = self._choose(request)
        if runner is None:
            self.results.no_runner += not request.crashes
            self._handle_failure(request)
            return
        request.attempts += 1
        request.excluded.add(runner.number)
        request.sent_at = self.now
        runner.running.append(request)
        if request.crashes:
            self._count_late_run(request.cause)
            incarnation = runner.incarnation
            self._call_later(
                CRASH_DELAY_S, partial(self._crash_by, runner, incarnation, request)
            )
        else:
            self._call_later(request.work_s, partial(self._finish, runner, request))

    def _choose(self, request: Request) -> Runner | None:
        usable = [
            each
            for each in self.fleet
            if each.is_up and each.number not in request.excluded
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
        self.results.served += 1
        self._blocked.discard(request.identity)
        self.crash_filters[request.edge].record_success(request.identity)

    def _count_late_run(self, name: str) -> None:
        third_at = self._third_crash.get(name)
        if third_at is not None and self.now > third_at + 3.0:
            late_runs_by_name = self.results.late_runs
            late_runs_by_name[name] = late_runs_by_name.get(name, 0) + 1

    def _crash_by(self, runner: Runner, incarnation: int, request: Request) -> None:
        if not runner.is_up or runner.incarnation != incarnation:
            return
        name = request.cause
        self._crash_counts[name] = self._crash_counts.get(name, 0) + 1
        if self._crash_counts[name] == 3:
            self._third_crash[name] = self.now
        self._crash(runner)

    def _kill(self) -> None:
        assert self.kills_each_s is not None
        up_runners = [each for each in self.fleet if each.is_up]
        if up_runners:
            self._crash(self._kill_random.choice(up_runners))
        self._call_later(
            self._kill_random.expovariate(1 / self.kills_each_s), self._kill
        )

    def _crash(self, runner: Runner) -> None:
        self.results.crashes += 1
        running, runner.running, runner.is_up = runner.running, [], False
        self._call_later(self.random.uniform(2.0, 4.0), partial(self._restart, runner))
        incarnation = RunnerIncarnation(
            runner_id=f"r{runner.number}", started_ms=runner.incarnation
        )
        for edge in {each.edge for each in running}:
            lost = [each for each in running if each.edge == edge]
            requests = tuple(
                InterruptedRequest(
                    identity=each.identity,
                    sent_at=each.sent_at,
                    ran_s=max(0.0, self.now - each.sent_at - FIRST_EVENT_S),
                )
                for each in lost
            )
            self.crash_filters[edge].record_crash(
                RunnerCrash(life=incarnation, requests=requests)
            )
        for request in running:
            request.crash_count += 1
            self.results.interrupted += not request.crashes
            if request.attempts < MAX_ATTEMPTS:
                self._call_later(RETRY_DELAY_S, partial(self._dispatch, request))
            else:
                self._handle_failure(request)

    def _restart(self, runner: Runner) -> None:
        runner.is_up = True
        runner.incarnation += 1

    def _handle_failure(self, request: Request) -> None:
        """Let the caller retry the request if it has retries left."""
        if request.retries > 0:
            request.retries -= 1
            self._call_later(CALLER_RETRY_DELAY_S, partial(self._arrive, request))
        elif not request.crashes:
            self.results.lost += 1


@define(eq=False)
class _StatementSender:
    """Passes on the statements of one edge."""

    simulation: CrashSimulation
    edge: int

    def post(self, statement: Statement) -> None:
        """Send a statement."""
        self.simulation.send_statement(self.edge, statement)
