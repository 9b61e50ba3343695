"""Tests of a runner's limit over a fleet whose edges and schedulers come and go."""

from typing import Any, Final

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mangoway.policy.customers.const import SCHEDULER_STARTUP_S
from mangoway.policy.edge.shares import DisconnectedShare
from mangoway.policy.limits.const import LONE_EDGES, LONE_PART, RECENT_REQUESTS_S
from mangoway.policy.limits.tracker import (
    LimitReport,
    LimitTracker,
    strip_recent_requests,
)

EDGES: Final = 6
WINDOW_S: Final = 4.0
STABLE_S: Final = 3.0
TOLD_S: Final = 0.5
FACTOR: Final = 1.5
SLACK: Final = 5
STEP_S: Final = 0.02
WAY_S: Final = 0.005
"""Time from a request's sending to its answer."""

UNLIMITED_EACH: Final = 5
"""One in so many requests goes to the runner while it names no limit."""

LIFE: Final = ("r1", 0)


@define(eq=False)
class Scheduler:
    """A process that grants, with the edges that it hears."""

    began_at: float
    book: LimitTracker = field(factory=LimitTracker)
    edges: set[str] = field(factory=set)


@define(eq=False)
class Edge:
    """One life of an edge."""

    key: str
    book: LimitTracker = field(factory=LimitTracker)
    scheduler: Scheduler | None = None
    sent: list[float] = field(factory=list)


class FleetLimits(RuleBasedStateMachine):
    """Edges ask schedulers or choose alone, while a runner's limit changes."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.limit: float | None = None
        self.spell_began = 0.0
        self.named: list[tuple[float, float]] = []
        """Limits of the present spell, and when each was named."""

        self.calls = 0
        self.told: dict[str, float] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.schedulers: list[Scheduler] = []
        self.edges: dict[str, Edge] = {}
        for number in range(EDGES):
            self.add(f"e{number}")
        self.elect()

    def add(self, key: str) -> None:
        edge = Edge(key)
        lone = DisconnectedShare()
        lone.update(key, [f"e{number}" for number in range(EDGES)])
        edge.book.get_share = lone.measure
        self.edges[key] = edge
        self.told.pop(key, None)
        # What an edge sent before it ended doesn't bind the next life of it.
        self.arrivals = [(at, "" if by == key else by) for at, by in self.arrivals]

    @rule()
    def elect(self) -> None:
        """Let all edges go to a new scheduler, which knows nothing."""
        scheduler = Scheduler(self.now)
        scheduler.book.get_share = lambda runner_id: self.measure_share(scheduler)
        self.schedulers = [*self.schedulers, scheduler][-2:]
        for edge in self.edges.values():
            self.connect(edge, scheduler)

    def measure_share(self, scheduler: Scheduler) -> float:
        if self.now < scheduler.began_at + SCHEDULER_STARTUP_S:
            return 1.0
        return max(1, len(scheduler.edges)) / EDGES

    def connect(self, edge: Edge, scheduler: Scheduler | None) -> None:
        if edge.scheduler is not None:
            edge.scheduler.edges.discard(edge.key)
        edge.scheduler = scheduler
        if scheduler is None:
            return
        scheduler.edges.add(edge.key)
        for said in edge.book.list_reports(self.now):
            self.tell(edge, evolve(said, recent_requests=self.count_lately(edge)))
        for said in scheduler.book.list_reports(self.now):
            edge.book.update(said, self.now)

    def tell(self, edge: Edge, said: LimitReport) -> None:
        """Let a scheduler hear a statement, and tell it to its other edges."""
        scheduler = edge.scheduler
        if scheduler is None or not scheduler.book.update(said, self.now):
            return
        for key in sorted(scheduler.edges - {edge.key}):
            other = self.edges[key]
            if other.book.update(strip_recent_requests(said), self.now):
                recent_requests = self.count_lately(other)
                scheduler.book.update(
                    evolve(said, recent_requests=recent_requests), self.now
                )

    def count_lately(self, edge: Edge) -> int:
        return sum(1 for at in edge.sent if at >= self.now - RECENT_REQUESTS_S)

    @rule(data=st.data(), alone=st.booleans())
    def move(self, data: Any, alone: bool) -> None:
        """Cut an edge off, or let it go to one of two schedulers."""
        edge = self.edges[data.draw(st.sampled_from(sorted(self.edges)))]
        scheduler = data.draw(st.sampled_from(self.schedulers))
        self.connect(edge, None if alone else scheduler)

    @rule(choices=st.lists(st.integers(0, 2), min_size=EDGES, max_size=EDGES))
    def split(self, choices: list[int]) -> None:
        """Divide the edges among two schedulers, and those that choose alone."""
        targets: list[Scheduler | None] = [None, *self.schedulers]
        for number, choice in enumerate(choices):
            target = targets[choice % len(targets)]
            self.connect(self.edges[f"e{number}"], target)

    @rule(data=st.data())
    def restart(self, data: Any) -> None:
        key = data.draw(st.sampled_from(sorted(self.edges)))
        self.connect(self.edges[key], None)
        self.add(key)

    @rule(seconds=st.floats(0.05, 20.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(limit=st.floats(0.0, 8.0))
    def name_limit(self, limit: float) -> None:
        """Let the runner name a limit that what it got just before doesn't exceed."""
        lately = sum(1 for at, _ in self.arrivals if at > self.now - RECENT_REQUESTS_S)
        if self.limit is None:
            self.spell_began = self.now
            self.named, self.told = [], {}
        self.limit = max(limit, (lately - SLACK) / WINDOW_S)
        self.named.append((self.now, self.limit))

    @rule()
    def lift_limit(self) -> None:
        self.limit = None

    @rule(seconds=st.floats(4.0, 8.0))
    def press(self, seconds: float) -> None:
        """Let requests come to all edges, more than a limited runner takes."""
        self.call(seconds, set(range(EDGES)))

    @rule(seconds=st.floats(0.1, 6.0), keys=st.sets(st.integers(0, EDGES - 1)))
    def call(self, seconds: float, keys: set[int]) -> None:
        """Let requests come to some edges, more than a limited runner takes."""
        ended = self.now + seconds
        while self.now < ended:
            self.now += STEP_S
            for number in sorted(keys):
                self.send(self.edges[f"e{number}"])

    def send(self, edge: Edge) -> None:
        self.calls += 1
        if self.limit is None and self.calls % UNLIMITED_EACH:
            return
        book = edge.book if edge.scheduler is None else edge.scheduler.book
        known = edge.book.get_limit(*LIFE) is not None or edge.scheduler is not None
        if known and book.measure_wait(*LIFE, self.now) > 0:
            return
        book.record_request(*LIFE, self.now)
        edge.sent.append(self.now)
        self.arrivals.append((self.now, edge.key))
        self.answer(edge)

    def answer(self, edge: Edge) -> None:
        """Let the edge read what the runner says."""
        if self.limit is not None:
            self.told.setdefault(edge.key, self.now)
        known = edge.book.get_limit(*LIFE)
        said = LimitReport(
            runner_id="r1",
            started_ms=0,
            limit=self.limit,
            request_age_s=WAY_S,
            response_age_s=0.0,
            recent_requests=self.count_lately(edge) if known is None else 0,
        )
        if edge.book.update(said, self.now):
            self.tell(edge, said)
        self.check()

    def check(self) -> None:
        """Hold the last window against the promise."""
        if self.limit is None or self.now < self.spell_began + STABLE_S:
            return
        count = sum(
            1
            for at, key in self.arrivals
            if at > self.now - WINDOW_S
            and key in self.told
            and self.told[key] <= self.now - TOLD_S
        )
        ended = [at for at, _ in self.named[1:]] + [self.now]
        most = max(
            limit
            for (_, limit), until in zip(self.named, ended, strict=True)
            if until > self.now - WINDOW_S
        )
        assert count <= FACTOR * most * WINDOW_S + SLACK


TestFleetLimits = FleetLimits.TestCase
TestFleetLimits.settings = settings(max_examples=60, stateful_step_count=20)


def start_fleet(limit: float) -> FleetLimits:
    """Return a fleet whose edges all know the limit of a runner that was calm."""
    fleet = FleetLimits()
    fleet.start()
    fleet.name_limit(limit)
    for number in range(EDGES):
        fleet.call(0.5, {number})
    return fleet


class TestChanges:
    """What the state machine seldom reaches."""

    def test_two_schedulers_divide_a_limit(self) -> None:
        fleet = start_fleet(8.0)
        fleet.elect()
        fleet.split([1, 1, 1, 2, 2, 2])
        fleet.press(8.0)

    def test_schedulers_that_follow_each_other_share_a_window(self) -> None:
        fleet = start_fleet(1.0)
        for _ in range(30):
            fleet.wait(0.2)
            fleet.elect()
            fleet.press(0.05)

    def test_edges_alone_add_little_to_a_scheduler(self) -> None:
        fleet = start_fleet(8.0)
        fleet.split([0, 0, 0, 0, 0, 1])
        fleet.press(8.0)
        assert fleet.count_lately(fleet.edges["e5"]) > 0

    def test_edges_alone_serve_some(self) -> None:
        fleet = start_fleet(4.0)
        fleet.split([0] * EDGES)
        before = len(fleet.arrivals)
        fleet.press(8.0)
        assert len(fleet.arrivals) - before >= 0.9 * LONE_PART * 4.0 * 8.0 - LONE_EDGES

    def test_requests_of_the_second_before_count(self) -> None:
        fleet = FleetLimits()
        fleet.start()
        fleet.call(2.0, set(range(EDGES)))
        fleet.name_limit(0.0)
        fleet.press(8.0)

    def test_silence_saves_up_no_crowd(self) -> None:
        fleet = start_fleet(8.0)
        fleet.wait(60.0)
        fleet.press(6.0)

    def test_limit_that_falls_holds_from_then_on(self) -> None:
        fleet = start_fleet(8.0)
        fleet.press(5.0)
        fleet.limit = 1.0
        fleet.named.append((fleet.now, 1.0))
        fleet.press(8.0)
