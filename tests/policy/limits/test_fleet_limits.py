"""Tests of a runner's limit over a fleet whose edges and schedulers start and stop.

Each scheduler and each disconnected edge sends its own share of the limit, without
knowing what the others send. Together they must not exceed the limit while edges are
disconnected, divided among two schedulers, or moved to a new scheduler without state.
"""

from typing import Any, Final

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mangoway.policy.customers.const import SCHEDULER_STARTUP_S
from mangoway.policy.edge.shares import DisconnectedShare
from mangoway.policy.limits.const import (
    DISCONNECTED_SHARE,
    MAX_DISCONNECTED_EDGES,
    RECENT_REQUESTS_S,
)
from mangoway.policy.limits.tracker import (
    LimitReport,
    LimitTracker,
    strip_recent_requests,
)

EDGES: Final = 6
WINDOW_S: Final = 4.0
SETTLING_S: Final = 3.0
"""Time for which a newly limited runner is not checked."""

REPORT_DELAY_S: Final = 0.5
"""An edge's requests count once its first response with the limit is this old."""

FACTOR: Final = 1.5
SLACK: Final = 5
"""A window may contain this factor times the limit, plus this number of requests."""

STEP_S: Final = 0.02
RESPONSE_TIME_S: Final = 0.005
"""Time from sending a request to its response."""

UNLIMITED_INTERVAL: Final = 5
"""While the runner reports no limit, one in this many requests is sent to it."""

RUNNER: Final = ("r1", 0)


@define(eq=False)
class Scheduler:
    """A scheduler, with the edges that are connected to it."""

    began_at: float
    tracker: LimitTracker = field(factory=LimitTracker)
    edges: set[str] = field(factory=set)


@define(eq=False)
class Edge:
    """One incarnation of an edge."""

    key: str
    tracker: LimitTracker = field(factory=LimitTracker)
    scheduler: Scheduler | None = None
    sent: list[float] = field(factory=list)


class FleetLimits(RuleBasedStateMachine):
    """Edges use a scheduler or are disconnected, while a runner's limit changes."""

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.limit: float | None = None
        self.limited_since = 0.0
        self.limits: list[tuple[float, float]] = []
        """Limits since the runner became limited, and when each was set."""

        self.calls = 0
        self.first_reported_at: dict[str, float] = {}
        self.arrivals: list[tuple[float, str]] = []
        self.schedulers: list[Scheduler] = []
        self.edges: dict[str, Edge] = {}
        for number in range(EDGES):
            self.start_edge(f"e{number}")
        self.elect()

    def start_edge(self, key: str) -> None:
        edge = Edge(key)
        disconnected_share = DisconnectedShare()
        disconnected_share.update(key, [f"e{number}" for number in range(EDGES)])
        edge.tracker.get_share = disconnected_share.measure
        self.edges[key] = edge
        self.first_reported_at.pop(key, None)
        # The check ignores requests that the edge sent before its restart: they get an
        # empty key.
        self.arrivals = [(at, "" if by == key else by) for at, by in self.arrivals]

    @rule()
    def elect(self) -> None:
        """Connect all edges to a new scheduler without any state."""
        scheduler = Scheduler(self.now)
        scheduler.tracker.get_share = lambda runner_id: self.measure_share(scheduler)
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
        for report in edge.tracker.list_reports(self.now):
            self.send_report(
                edge, evolve(report, recent_requests=self.count_recent_requests(edge))
            )
        for report in scheduler.tracker.list_reports(self.now):
            edge.tracker.update(report, self.now)

    def send_report(self, edge: Edge, report: LimitReport) -> None:
        """Send a report to the scheduler, which relays it to its other edges."""
        scheduler = edge.scheduler
        if scheduler is None or not scheduler.tracker.update(report, self.now):
            return
        for key in sorted(scheduler.edges - {edge.key}):
            other = self.edges[key]
            if other.tracker.update(strip_recent_requests(report), self.now):
                recent_requests = self.count_recent_requests(other)
                scheduler.tracker.update(
                    evolve(report, recent_requests=recent_requests), self.now
                )

    def count_recent_requests(self, edge: Edge) -> int:
        return sum(1 for at in edge.sent if at >= self.now - RECENT_REQUESTS_S)

    @rule(data=st.data(), disconnected=st.booleans())
    def move(self, data: Any, disconnected: bool) -> None:
        """Disconnect an edge, or connect it to one of two schedulers."""
        edge = self.edges[data.draw(st.sampled_from(sorted(self.edges)))]
        scheduler = data.draw(st.sampled_from(self.schedulers))
        self.connect(edge, None if disconnected else scheduler)

    @rule(choices=st.lists(st.integers(0, 2), min_size=EDGES, max_size=EDGES))
    def split(self, choices: list[int]) -> None:
        """Divide the edges among two schedulers and the disconnected state."""
        targets: list[Scheduler | None] = [None, *self.schedulers]
        for number, choice in enumerate(choices):
            target = targets[choice % len(targets)]
            self.connect(self.edges[f"e{number}"], target)

    @rule(data=st.data())
    def restart(self, data: Any) -> None:
        key = data.draw(st.sampled_from(sorted(self.edges)))
        self.connect(self.edges[key], None)
        self.start_edge(key)

    @rule(seconds=st.floats(0.05, 20.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(limit=st.floats(0.0, 8.0))
    def set_limit(self, limit: float) -> None:
        """Set a limit that the most recent requests alone don't exceed."""
        recent = sum(1 for at, _ in self.arrivals if at > self.now - RECENT_REQUESTS_S)
        if self.limit is None:
            self.limited_since = self.now
            self.limits, self.first_reported_at = [], {}
        self.limit = max(limit, (recent - SLACK) / WINDOW_S)
        self.limits.append((self.now, self.limit))

    @rule()
    def remove_limit(self) -> None:
        self.limit = None

    @rule(seconds=st.floats(4.0, 8.0))
    def call_all(self, seconds: float) -> None:
        """Send requests to all edges, more than a limited runner accepts."""
        self.call(seconds, set(range(EDGES)))

    @rule(seconds=st.floats(0.1, 6.0), keys=st.sets(st.integers(0, EDGES - 1)))
    def call(self, seconds: float, keys: set[int]) -> None:
        """Send requests to some edges, more than a limited runner accepts."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for number in sorted(keys):
                self.send(self.edges[f"e{number}"])

    def send(self, edge: Edge) -> None:
        self.calls += 1
        if self.limit is None and self.calls % UNLIMITED_INTERVAL:
            return
        tracker = edge.tracker if edge.scheduler is None else edge.scheduler.tracker
        is_tracked = (
            edge.tracker.get_limit(*RUNNER) is not None or edge.scheduler is not None
        )
        if is_tracked and tracker.measure_wait(*RUNNER, self.now) > 0:
            return
        tracker.record_request(*RUNNER, self.now)
        edge.sent.append(self.now)
        self.arrivals.append((self.now, edge.key))
        self.receive_response(edge)

    def receive_response(self, edge: Edge) -> None:
        """Let the edge process the runner's response."""
        if self.limit is not None:
            self.first_reported_at.setdefault(edge.key, self.now)
        known_limit = edge.tracker.get_limit(*RUNNER)
        report = LimitReport(
            runner_id="r1",
            started_ms=0,
            limit=self.limit,
            request_age_s=RESPONSE_TIME_S,
            response_age_s=0.0,
            recent_requests=self.count_recent_requests(edge)
            if known_limit is None
            else 0,
        )
        if edge.tracker.update(report, self.now):
            self.send_report(edge, report)
        self.check()

    def check(self) -> None:
        """Check the requests of the last window against the allowed number."""
        if self.limit is None or self.now < self.limited_since + SETTLING_S:
            return
        count = sum(
            1
            for at, key in self.arrivals
            if at > self.now - WINDOW_S
            and key in self.first_reported_at
            and self.first_reported_at[key] <= self.now - REPORT_DELAY_S
        )
        ends = [at for at, _ in self.limits[1:]] + [self.now]
        highest_limit = max(
            limit
            for (_, limit), until in zip(self.limits, ends, strict=True)
            if until > self.now - WINDOW_S
        )
        assert count <= FACTOR * highest_limit * WINDOW_S + SLACK


TestFleetLimits = FleetLimits.TestCase
TestFleetLimits.settings = settings(max_examples=60, stateful_step_count=20)


def start_fleet(limit: float) -> FleetLimits:
    """Return a fleet whose edges all have received the limit of an idle runner."""
    fleet = FleetLimits()
    fleet.start()
    fleet.set_limit(limit)
    for number in range(EDGES):
        fleet.call(0.5, {number})
    return fleet


class TestChanges:
    """Cases that the state machine seldom reaches."""

    def test_two_schedulers_divide_limit(self) -> None:
        fleet = start_fleet(8.0)
        fleet.elect()
        fleet.split([1, 1, 1, 2, 2, 2])
        fleet.call_all(8.0)

    def test_successive_schedulers_share_window(self) -> None:
        fleet = start_fleet(1.0)
        for _ in range(30):
            fleet.wait(0.2)
            fleet.elect()
            fleet.call_all(0.05)

    def test_disconnected_edges_add_little_to_scheduler(self) -> None:
        fleet = start_fleet(8.0)
        fleet.split([0, 0, 0, 0, 0, 1])
        fleet.call_all(8.0)
        assert fleet.count_recent_requests(fleet.edges["e5"]) > 0

    def test_disconnected_edges_use_their_share(self) -> None:
        fleet = start_fleet(4.0)
        fleet.split([0] * EDGES)
        before = len(fleet.arrivals)
        fleet.call_all(8.0)
        assert (
            len(fleet.arrivals) - before
            >= 0.9 * DISCONNECTED_SHARE * 4.0 * 8.0 - MAX_DISCONNECTED_EDGES
        )

    def test_requests_shortly_before_limit_count(self) -> None:
        fleet = FleetLimits()
        fleet.start()
        fleet.call(2.0, set(range(EDGES)))
        fleet.set_limit(0.0)
        fleet.call_all(8.0)

    def test_idle_time_saves_up_no_burst(self) -> None:
        fleet = start_fleet(8.0)
        fleet.wait(60.0)
        fleet.call_all(6.0)

    def test_reduced_limit_applies_at_once(self) -> None:
        fleet = start_fleet(8.0)
        fleet.call_all(5.0)
        fleet.limit = 1.0
        fleet.limits.append((fleet.now, 1.0))
        fleet.call_all(8.0)
