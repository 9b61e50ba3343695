"""Tests of the retry budget over a fleet whose edges and schedulers start and stop.

Each edge counts only its own retries, and divides the budget by the number of edges
that it has seen. Together they must not exceed the budget while edges are disconnected,
paused, restarted or replaced, or while the grant provider changes.
"""

from itertools import cycle
from typing import Any, Final

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mangoway.policy.edge.const import MEMBERS_POLL_S, SHARE_HORIZON_WINDOWS
from mangoway.policy.edge.retry_budget import RetryBudget, RetryCredit, RetryLimits
from mangoway.policy.edge.shares import FleetShare

from .retry_window import RetryWindows

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0
LIMITS = RetryLimits(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
EDGES = 6
STEP_S = 1 / 60
"""Time between two requests to the service."""

RETRIES_PER_REQUEST = 3
"""Retries that each request needs while runners fail."""

FILL_REQUESTS: Final = 300
"""Requests after which the savings of an edge are full, whatever its share."""

LEASE_S: Final = 3.0
REMOVAL_DELAY_S: Final = 1.0
"""Time after which a leader removes the key of a disconnected edge."""

STORE_DELAY_S: Final = 0.75
"""Delay after which an edge learns of a change in the store."""


class TestChangesOfScheduler:
    """The budget while the edges' grants come from one provider after the other."""

    def test_two_changes_within_window_stay_within_one_budget(self) -> None:
        changes = [("leader", 20.5), ("alone", 20.7), ("standby", 23.0)]
        assert simulate([*changes, ("next leader", 40.0)]).find_excess() == 0

    def test_one_leader_may_use_budget(self) -> None:
        windows = simulate([("leader", 40.0)])
        assert windows.find_excess() == 0
        assert len(windows.retries) > RATIO * len(
            [at for at in windows.requests if at > 20]
        )


def simulate(changes: list[tuple[str, float]]) -> RetryWindows:
    """Let runners fail from second 20 on, while the grant provider changes.

    Args:
        changes: Grant providers, each with its end time. The edges count their retries
            in the same way whoever grants.
    """
    windows = RetryWindows(RATIO, SLACK, WINDOW_S)
    share = 1 / EDGES
    budgets = [RetryBudget(LIMITS, started_at=0.0) for _ in range(EDGES)]
    edges = cycle(budgets)
    now = 0.0
    for _, until in changes:
        while now < until:
            now += STEP_S
            budget = next(edges)
            budget.record_request(now, share)
            windows.requests.append(now)
            for _ in range(RETRIES_PER_REQUEST if now >= 20 else 0):
                credit = budget.try_acquire(now, share)
                if credit is not None:
                    credit.spend(now)
                    windows.retries.append(now)
    return windows


@define(eq=False)
class Edge:
    """One incarnation of an edge, with its view of the fleet."""

    key: str
    incarnation: int
    budget: RetryBudget
    share: FleetShare
    disconnected_at: float | None = None
    """When it was disconnected from the store and from the other edges."""

    paused: bool = False
    in_transit: list[RetryCredit] = field(factory=list)
    """Credits of retries that have not reached their runners yet."""


@define(eq=False)
class StoreKey:
    """Key of an edge in the store, with its lease."""

    incarnation: int
    expires_at: float


class FleetBudget(RuleBasedStateMachine):
    """Edges that start, stop, pause or disconnect while others divide the budget."""

    limits = LIMITS
    count = EDGES

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.incarnations = 0
        self.windows = RetryWindows(RATIO, self.limits.slack, WINDOW_S)
        self.store: dict[str, StoreKey] = {}
        self.history: list[tuple[float, dict[str, int]]] = []
        self.edges: dict[str, Edge] = {}
        for number in range(self.count):
            self.start_edge(f"e{number}")
        self.advance(15.0)

    def start_edge(self, key: str) -> None:
        self.incarnations += 1
        share = FleetShare(SHARE_HORIZON_WINDOWS * WINDOW_S, key)
        budget = RetryBudget(self.limits, self.now, share.make_divider("plain"))
        self.edges[key] = Edge(key, self.incarnations, budget, share)

    @rule(seconds=st.floats(0.05, 40.0))
    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + MEMBERS_POLL_S)
            self.renew()
            for edge in self.edges.values():
                if not edge.paused:
                    self.update_share(edge)

    def renew(self) -> None:
        """Renew the keys of connected edges in the store, and expire the others."""
        for edge in self.edges.values():
            if edge.disconnected_at is None and not edge.paused:
                self.store[edge.key] = StoreKey(edge.incarnation, self.now + LEASE_S)
        for key, store_key in list(self.store.items()):
            edge_of_key = self.edges.get(key)
            disconnected_at = (
                None if edge_of_key is None else edge_of_key.disconnected_at
            )
            is_removed = (
                disconnected_at is not None
                and self.now - disconnected_at > REMOVAL_DELAY_S
            )
            if store_key.expires_at <= self.now or is_removed:
                del self.store[key]
        members = {key: store_key.incarnation for key, store_key in self.store.items()}
        self.history.append((self.now, members))

    def update_share(self, edge: Edge) -> None:
        known_at = (
            self.now if edge.disconnected_at is None else edge.disconnected_at
        ) - STORE_DELAY_S
        visible_history = [each for each in self.history if each[0] <= known_at]
        members = visible_history[-1][1] if visible_history else {}
        edge.share.update(
            list(members),
            known_at if visible_history else -1e9,
            self.now,
            joined=members.get(edge.key) == edge.incarnation,
        )

    @rule(data=st.data(), requests=st.integers(1, 60), needed=st.integers(0, 60))
    def call(self, data: Any, requests: int, needed: int) -> None:
        edge = self.draw_edge(data)
        if edge is None or edge.paused:
            return
        self.record_requests(edge, requests)
        self.acquire_credits(edge, needed)
        if data.draw(st.booleans()):
            self.deliver_retries(edge)

    @rule()
    def fill_savings(self) -> None:
        """Fill the savings of each edge."""
        for edge in self.edges.values():
            self.record_requests(edge, FILL_REQUESTS)

    @rule()
    def retry_all(self) -> None:
        """Let each edge send all the retries that it may."""
        for edge in self.edges.values():
            if not edge.paused:
                self.acquire_credits(edge, FILL_REQUESTS)
                self.deliver_retries(edge)

    def record_requests(self, edge: Edge, requests: int) -> None:
        if not edge.paused:
            share = edge.share.measure(self.now)
            for _ in range(requests):
                edge.budget.record_request(self.now, share)
            self.windows.requests += [self.now] * requests

    def acquire_credits(self, edge: Edge, needed: int) -> None:
        share = edge.share.measure(self.now)
        credits = [edge.budget.try_acquire(self.now, share) for _ in range(needed)]
        edge.in_transit += [each for each in credits if each is not None]

    @rule(data=st.data())
    def disconnect_some(self, data: Any) -> None:
        """Disconnect several edges at once."""
        keys = data.draw(st.lists(st.sampled_from(sorted(self.edges)), max_size=4))
        for key in keys:
            if self.edges[key].disconnected_at is None:
                self.edges[key].disconnected_at = self.now

    @rule(data=st.data())
    def deliver(self, data: Any) -> None:
        edge = self.draw_edge(data)
        if edge is not None:
            self.deliver_retries(edge)

    def deliver_retries(self, edge: Edge) -> None:
        for credit in edge.in_transit:
            credit.spend(self.now)
            self.windows.retries.append(self.now)
        edge.in_transit.clear()

    @rule(data=st.data())
    def disconnect(self, data: Any) -> None:
        edge = self.draw_edge(data)
        if edge is not None and edge.disconnected_at is None:
            edge.disconnected_at = self.now

    @rule(data=st.data())
    def reconnect(self, data: Any) -> None:
        edge = self.draw_edge(data)
        if edge is not None:
            edge.disconnected_at = None

    @rule(data=st.data())
    def pause(self, data: Any) -> None:
        edge = self.draw_edge(data)
        if edge is not None:
            edge.paused = not edge.paused

    @rule(data=st.data())
    def restart(self, data: Any) -> None:
        """Restart an edge after its retries have arrived; it starts without credits."""
        edge = self.draw_edge(data)
        if edge is not None:
            self.deliver_retries(edge)
            self.start_edge(edge.key)

    @rule(data=st.data())
    def remove(self, data: Any) -> None:
        edge = self.draw_edge(data)
        if edge is not None and len(self.edges) > 1:
            self.deliver_retries(edge)
            del self.edges[edge.key]

    @rule()
    def replace(self) -> None:
        """Add an edge in place of a removed one."""
        if len(self.edges) < self.count:
            self.start_edge(f"n{self.incarnations}")

    def draw_edge(self, data: Any) -> Edge | None:
        key = data.draw(st.sampled_from(sorted(self.edges)))
        return self.edges[key]

    def teardown(self) -> None:
        if hasattr(self, "windows"):
            assert self.windows.find_excess() == 0


TestFleetBudget = FleetBudget.TestCase


class LargeFleetBudget(FleetBudget):
    """A fleet with a share of less than one credit for each edge."""

    limits = RetryLimits(ratio=RATIO, slack=12.0, window_s=WINDOW_S)
    count = 24


TestLargeFleetBudget = LargeFleetBudget.TestCase
TestLargeFleetBudget.settings = settings(max_examples=25, stateful_step_count=20)
