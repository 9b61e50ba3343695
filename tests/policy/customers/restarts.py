"""Model of a fleet whose edges and schedulers are killed, cut off and replaced.

Unlike in `test_quota_machine.py`, edges connect one after the other, some stay away, a
standby takes over, and a customer may use a few edges only. Overdrafts can
be left out: an edge has one each time that it loses its scheduler, whatever restarts.
"""

from random import Random

from attrs import define, field

from mangoway.policy.customers.const import SCHEDULER_STARTUP_S
from mangoway.policy.customers.quota import QuotaTracker
from mangoway.policy.customers.spending import SpendingHistory

from .test_quota import OVERSHOOT, RATE, SLACK, WINDOW_S, make_registry

STEP_S = 0.05
LEASE_S = 3.0
"""Time for which the store lists an edge that was killed."""

MAX_DISCONNECTED_S = 3.0
"""Time after which a disconnected edge rejects all requests that need a key."""

RUNNING_S = 30.0
"""Time for which the fleet has run when a test starts."""

SIZES = (200.0, 800.0, 1500.0, 2500.0)
"""Tokens of one request."""


@define(eq=False)
class Edge:
    """One process of an edge."""

    started_at: float
    tracker: QuotaTracker
    spending: SpendingHistory = field(factory=SpendingHistory)
    is_connected: bool = False
    connects_at: float = 0.0
    disconnected_since: float = 0.0


@define(eq=False)
class RestartedFleet:
    """A fleet with one granting scheduler at most, and one demanding customer."""

    random: Random
    hosts: int = 12
    burst: float = RATE
    has_overdrafts: bool = False
    now: float = 100.0
    edges: dict[int, Edge] = field(factory=dict, init=False)
    """Running edge of each host."""

    scheduler: QuotaTracker | None = field(default=None, init=False)
    granting_since: float = field(default=0.0, init=False)
    grants_again_at: float = field(default=0.0, init=False)
    standby: QuotaTracker = field(init=False)
    """Tracker of a scheduler that has run all the time, without granting."""

    is_standby_next: bool = field(default=True, init=False)
    listed_until: dict[int, float] = field(factory=dict, init=False)
    """Until when the store lists a host whose edge was killed."""

    arrivals: list[tuple[float, float]] = field(factory=list, init=False)
    rejected: int = field(default=0, init=False)
    used_hosts: tuple[int, ...] = field(default=(), init=False)
    """Hosts that the customer uses; all if empty."""

    def __attrs_post_init__(self) -> None:
        self.scheduler = self.make_tracker(self.now - RUNNING_S, starts_full=False)
        self.standby = self.make_tracker(self.now - RUNNING_S, starts_full=False)
        self.granting_since = self.now - RUNNING_S
        for host in range(self.hosts):
            self.start_edge(host, self.now - RUNNING_S)
        self.connect_edges()

    @property
    def allowed(self) -> float:
        """Return the largest amount that a window may contain."""
        return (RATE * WINDOW_S + self.burst) * (1 + OVERSHOOT) + SLACK

    def make_tracker(self, began_at: float, *, starts_full: bool) -> QuotaTracker:
        tracker = QuotaTracker(slack=SLACK, starts_full=starts_full)
        tracker.registry = make_registry(burst=self.burst)
        tracker.begin(began_at)
        return tracker

    def start_edge(self, host: int, started_at: float) -> None:
        tracker = self.make_tracker(started_at, starts_full=True)
        self.edges[host] = Edge(started_at, tracker, disconnected_since=started_at)

    def kill_edges(self, hosts: list[int], *, return_after_s: float | None) -> None:
        """Kill the edges of some hosts, which start again later or never."""
        for host in hosts:
            if self.edges.pop(host, None) is None:
                continue
            self.listed_until[host] = self.now + LEASE_S
            if return_after_s is not None:
                self.start_edge(host, self.now + return_after_s)
                self.edges[host].connects_at = self.now + return_after_s

    def kill_scheduler(
        self, *, grants_again_after_s: float, to_standby: bool, spread_s: float
    ) -> None:
        """Kill the granting scheduler; edges connect to the next one in turn."""
        for edge in self.edges.values():
            if edge.is_connected:
                self.disconnect(edge, edge.connects_at)
            earliest = max(edge.connects_at, self.now + grants_again_after_s)
            edge.connects_at = earliest + self.random.uniform(0.0, spread_s)
        self.scheduler = None
        self.grants_again_at = self.now + grants_again_after_s
        self.is_standby_next = to_standby

    def disconnect(self, edge: Edge, connects_at: float) -> None:
        if edge.is_connected:
            edge.disconnected_since = self.now
            if self.has_overdrafts and self.scheduler is not None:
                exhausted = self.scheduler.list_exhausted(self.now)
                edge.tracker.allow_overdraft([each for each, _ in exhausted], self.now)
        edge.is_connected = False
        edge.connects_at = max(edge.connects_at, connects_at)

    def run(self, seconds: float, demand: float) -> None:
        """Let time pass while the customer requests tokens at a rate."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.start_scheduler()
            self.connect_edges()
            self.update_shares()
            self.send_requests(demand * STEP_S)

    def start_scheduler(self) -> None:
        if self.scheduler is not None or self.now < self.grants_again_at:
            return
        self.granting_since = self.now
        if self.is_standby_next:
            self.scheduler = self.standby
            # The next one has run for as long.
            self.standby = self.make_tracker(self.now - RUNNING_S, starts_full=False)
        else:
            self.scheduler = self.make_tracker(self.now, starts_full=False)

    def is_running(self, host: int) -> bool:
        return host in self.edges and self.edges[host].started_at <= self.now

    def list_running(self) -> list[Edge]:
        return [each for each in self.edges.values() if each.started_at <= self.now]

    def connect_edges(self) -> None:
        if self.scheduler is None:
            return
        for edge in self.list_running():
            if edge.is_connected or self.now < edge.connects_at:
                continue
            edge.is_connected = True
            rows = list(edge.spending.list_all(self.now))
            if rows:
                self.scheduler.add_reported_spending(rows, self.now)

    def update_shares(self) -> None:
        running = self.list_running()
        listed = sum(
            self.is_running(host) or self.listed_until.get(host, 0.0) > self.now
            for host in range(self.hosts)
        )
        for edge in running:
            edge.tracker.share = 1 / max(1, listed)
        if self.scheduler is None:
            return
        connected = sum(1 for each in running if each.is_connected)
        is_starting = self.now < self.granting_since + SCHEDULER_STARTUP_S
        self.scheduler.share = (
            1.0 if is_starting else min(1.0, max(1, connected) / max(1, listed))
        )

    def send_requests(self, tokens: float) -> None:
        while tokens > 0:
            amount = self.random.choice(SIZES)
            tokens -= amount
            if self.random.random() < max(0.0, -tokens / amount):
                continue
            self.send_request(amount)

    def send_request(self, amount: float) -> None:
        """Send a request to a running edge, one that the customer uses if possible."""
        running = [each for each in self.edges if self.is_running(each)]
        hosts = [each for each in self.used_hosts if each in running] or running
        if not hosts:
            return
        edge = self.edges[self.random.choice(hosts)]
        tracker = self.scheduler if edge.is_connected else edge.tracker
        is_silent = self.now - edge.disconnected_since > MAX_DISCONNECTED_S
        if tracker is None or (not edge.is_connected and is_silent):
            return
        if tracker.try_consume("acme", amount, self.now) > 0:
            self.rejected += 1
            return
        self.arrivals.append((self.now, amount))
        edge.spending.add("acme", amount, self.now)

    def find_max_in_window(self) -> float:
        """Return the largest amount that was admitted in a window."""
        max_total = total = 0.0
        begin = 0
        for at, amount in self.arrivals:
            total += amount
            while self.arrivals[begin][0] <= at - WINDOW_S:
                total -= self.arrivals[begin][1]
                begin += 1
            max_total = max(max_total, total)
        return max_total
