"""Tests of the retry budget over a fleet whose edges and schedulers come and go."""

from itertools import cycle
from typing import Any, Final

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from mangoway.policy.edge.const import MEMBERS_POLL_S, SHARE_HORIZON_WINDOWS
from mangoway.policy.edge.retry_budget import RetryBudget, RetryCredit, RetryLimits
from mangoway.policy.edge.shares import FleetShare

from .repeat_window import RepeatWindows

RATIO, SLACK, WINDOW_S = 0.2, 52.0, 10.0
LIMITS = RetryLimits(ratio=RATIO, slack=SLACK, window_s=WINDOW_S)
EDGES = 6
STEP_S = 1 / 60
"""Time between two requests to the service."""

TRIES = 3
"""Repeats that each request would need while runners fail."""

FILLING: Final = 300
"""Requests after which an edge has saved up all that it may, whatever its part."""

LEASE_S: Final = 3.0
REMOVED_S: Final = 1.0
"""Time after which a leader takes an edge away that it has lost."""

LAG_S: Final = 0.75
"""Time by which what an edge knows is older than the store."""


class TestChangesOfScheduler:
    """Schedulers and edges alone that grant one after the other."""

    def test_two_changes_within_a_window_stay_within_one_budget(self) -> None:
        changes = [("leader", 20.5), ("alone", 20.7), ("standby", 23.0)]
        assert play([*changes, ("next leader", 40.0)]).find_excess() == 0

    def test_one_leader_may_use_the_budget(self) -> None:
        seen = play([("leader", 40.0)])
        assert seen.find_excess() == 0
        assert len(seen.repeats) > RATIO * len([at for at in seen.requests if at > 20])


def play(changes: list[tuple[str, float]]) -> RepeatWindows:
    """Let runners fail from second 20 on, while others begin to grant.

    Args:
        changes: Who grants, and until when; edges count all the same.
    """
    seen = RepeatWindows(RATIO, SLACK, WINDOW_S)
    share = 1 / EDGES
    budgets = [RetryBudget(LIMITS, began_at=0.0) for _ in range(EDGES)]
    edges = cycle(budgets)
    now = 0.0
    for _, until in changes:
        while now < until:
            now += STEP_S
            budget = next(edges)
            budget.record_request(now, share)
            seen.requests.append(now)
            for _ in range(TRIES if now >= 20 else 0):
                credit = budget.try_acquire(now, share)
                if credit is not None:
                    credit.spend(now)
                    seen.repeats.append(now)
    return seen


@define(eq=False)
class Edge:
    """One life of an edge, with what it knows of the fleet."""

    key: str
    life: int
    budget: RetryBudget
    share: FleetShare
    cut_at: float | None = None
    """Since when it is cut off from the store and from the others."""

    paused: bool = False
    on_their_way: list[RetryCredit] = field(factory=list)
    """Repeats that were sent and have not reached their runners."""


@define(eq=False)
class StoreKey:
    """An edge's announcement."""

    life: int
    until: float


class FleetBudget(RuleBasedStateMachine):
    """Edges that start, stop, are paused or cut off while others divide the budget."""

    limits = LIMITS
    count = EDGES

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.lives = 0
        self.seen = RepeatWindows(RATIO, self.limits.slack, WINDOW_S)
        self.store: dict[str, StoreKey] = {}
        self.history: list[tuple[float, dict[str, int]]] = []
        self.edges: dict[str, Edge] = {}
        for number in range(self.count):
            self.add(f"e{number}")
        self.advance(15.0)

    def add(self, key: str) -> None:
        self.lives += 1
        share = FleetShare(SHARE_HORIZON_WINDOWS * WINDOW_S, key)
        budget = RetryBudget(self.limits, self.now, share.make_divider("plain"))
        self.edges[key] = Edge(key, self.lives, budget, share)

    @rule(seconds=st.floats(0.05, 40.0))
    def advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + MEMBERS_POLL_S)
            self.renew()
            for edge in self.edges.values():
                if not edge.paused:
                    self.look(edge)

    def renew(self) -> None:
        """Let the store keep the keys of edges that reach it."""
        for edge in self.edges.values():
            if edge.cut_at is None and not edge.paused:
                self.store[edge.key] = StoreKey(edge.life, self.now + LEASE_S)
        for key, item in list(self.store.items()):
            edge_of_key = self.edges.get(key)
            cut_at = None if edge_of_key is None else edge_of_key.cut_at
            lost = cut_at is not None and self.now - cut_at > REMOVED_S
            if item.until <= self.now or lost:
                del self.store[key]
        members = {key: item.life for key, item in self.store.items()}
        self.history.append((self.now, members))

    def look(self, edge: Edge) -> None:
        known_at = (self.now if edge.cut_at is None else edge.cut_at) - LAG_S
        known = [each for each in self.history if each[0] <= known_at]
        members = known[-1][1] if known else {}
        edge.share.update(
            list(members),
            known_at if known else -1e9,
            self.now,
            joined=members.get(edge.key) == edge.life,
        )

    @rule(data=st.data(), requests=st.integers(1, 60), wanted=st.integers(0, 60))
    def call(self, data: Any, requests: int, wanted: int) -> None:
        edge = self.choose(data)
        if edge is None or edge.paused:
            return
        self.earn(edge, requests)
        self.pay(edge, wanted)
        if data.draw(st.booleans()):
            self.arrive(edge)

    @rule()
    def fill(self) -> None:
        """Let each edge save up all that it may."""
        for edge in self.edges.values():
            self.earn(edge, FILLING)

    @rule()
    def fail_all(self) -> None:
        """Let each edge send all the repeats that it may."""
        for edge in self.edges.values():
            if not edge.paused:
                self.pay(edge, FILLING)
                self.arrive(edge)

    def earn(self, edge: Edge, requests: int) -> None:
        if not edge.paused:
            share = edge.share.measure(self.now)
            for _ in range(requests):
                edge.budget.record_request(self.now, share)
            self.seen.requests += [self.now] * requests

    def pay(self, edge: Edge, wanted: int) -> None:
        share = edge.share.measure(self.now)
        credits = [edge.budget.try_acquire(self.now, share) for _ in range(wanted)]
        edge.on_their_way += [each for each in credits if each is not None]

    @rule(data=st.data())
    def cut_some(self, data: Any) -> None:
        """Cut several edges off at once."""
        keys = data.draw(st.lists(st.sampled_from(sorted(self.edges)), max_size=4))
        for key in keys:
            if self.edges[key].cut_at is None:
                self.edges[key].cut_at = self.now

    @rule(data=st.data())
    def deliver(self, data: Any) -> None:
        edge = self.choose(data)
        if edge is not None:
            self.arrive(edge)

    def arrive(self, edge: Edge) -> None:
        for credit in edge.on_their_way:
            credit.spend(self.now)
            self.seen.repeats.append(self.now)
        edge.on_their_way.clear()

    @rule(data=st.data())
    def cut(self, data: Any) -> None:
        edge = self.choose(data)
        if edge is not None and edge.cut_at is None:
            edge.cut_at = self.now

    @rule(data=st.data())
    def heal(self, data: Any) -> None:
        edge = self.choose(data)
        if edge is not None:
            edge.cut_at = None

    @rule(data=st.data())
    def pause(self, data: Any) -> None:
        edge = self.choose(data)
        if edge is not None:
            edge.paused = not edge.paused

    @rule(data=st.data())
    def restart(self, data: Any) -> None:
        """Kill an edge; what it had sent arrives, and it starts with nothing."""
        edge = self.choose(data)
        if edge is not None:
            self.arrive(edge)
            self.add(edge.key)

    @rule(data=st.data())
    def remove(self, data: Any) -> None:
        edge = self.choose(data)
        if edge is not None and len(self.edges) > 1:
            self.arrive(edge)
            del self.edges[edge.key]

    @rule()
    def replace(self) -> None:
        """Add a host in the place of one that has gone."""
        if len(self.edges) < self.count:
            self.add(f"n{self.lives}")

    def choose(self, data: Any) -> Edge | None:
        key = data.draw(st.sampled_from(sorted(self.edges)))
        return self.edges[key]

    def teardown(self) -> None:
        if hasattr(self, "seen"):
            assert self.seen.find_excess() == 0


TestFleetBudget = FleetBudget.TestCase


class LargeFleetBudget(FleetBudget):
    """A fleet in which the share of each edge is below one credit."""

    limits = RetryLimits(ratio=RATIO, slack=12.0, window_s=WINDOW_S)
    count = 24


TestLargeFleetBudget = LargeFleetBudget.TestCase
TestLargeFleetBudget.settings = settings(max_examples=25, stateful_step_count=20)
