"""State machine test that no window exceeds a quota, whatever the order of faults.

Two schedulers and the disconnected hosts grant at the same time, and each could grant a
whole quota. A scheduler that restarts could grant the burst again.
"""

from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from mangoway.policy.customers.quota import QuotaTracker
from mangoway.policy.customers.spending import SpendingHistory

from .test_quota import ALLOWED, RATE, SLACK, WINDOW_S, make_registry

HOSTS = 12
DEMAND_PER_S = 3.3 * RATE
"""Tokens per second that the customer requests: six times its usual rate, which is 0.55
of its quota."""

MAX_DISCONNECTED_S = 3.0
"""Time after which a disconnected host has either reconnected or rejects all requests
that need a key, so that a revoked key is not accepted for longer."""


@define(eq=False)
class Host:
    """A host with the quota tracker that it uses while it is disconnected."""

    tracker: QuotaTracker
    spending: SpendingHistory = field(factory=SpendingHistory)
    scheduler: int | None = 0
    """Index of the scheduler that it is connected to; None while it is disconnected."""

    disconnected_since: float = 0.0


def make_tracker(now: float, *, disconnected: bool) -> QuotaTracker:
    tracker = QuotaTracker(
        slack=SLACK,
        starts_full=disconnected,
        share=1 / HOSTS if disconnected else 1.0,
    )
    tracker.registry = make_registry()
    tracker.begin(now)
    return tracker


class QuotaMachine(RuleBasedStateMachine):
    """Hosts, two schedulers, and a customer whose demand always exceeds the quota."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.schedulers = [
            make_tracker(0.0, disconnected=False),
            make_tracker(0.0, disconnected=False),
        ]
        self.hosts = [Host(make_tracker(0.0, disconnected=True)) for _ in range(HOSTS)]
        self.arrivals: list[tuple[float, float]] = []
        self.next_host = 0

    def update_shares(self) -> None:
        """Set the share of each scheduler from the hosts connected to it."""
        for index, tracker in enumerate(self.schedulers):
            connected = sum(1 for each in self.hosts if each.scheduler == index)
            tracker.share = max(1, connected) / HOSTS

    def connect(self, host: Host, scheduler: int | None) -> None:
        """Connect a host to another scheduler, and report its spending to that one."""
        if host.scheduler == scheduler:
            return
        if scheduler is not None:
            entries = list(host.spending.list_all(self.now))
            self.schedulers[scheduler].add_reported_spending(entries, self.now)
        elif host.scheduler is not None:
            host.disconnected_since = self.now
            lost = self.schedulers[host.scheduler]
            host.tracker.allow_overdraft(
                [name for name, _ in lost.list_exhausted(self.now)], self.now
            )
        host.scheduler = scheduler

    def choose_tracker(self, host: Host) -> QuotaTracker | None:
        if host.scheduler is not None:
            return self.schedulers[host.scheduler]
        if self.now - host.disconnected_since > MAX_DISCONNECTED_S:
            return None
        return host.tracker

    @rule(
        seconds=st.floats(0.05, 2.0),
        sizes=st.lists(st.floats(100.0, 3000.0), min_size=1, max_size=8),
    )
    def send_requests(self, seconds: float, sizes: list[float]) -> None:
        """Send requests for a while, to all hosts in turn."""
        self.update_shares()
        end = self.now + seconds
        index = 0
        while self.now < end:
            amount = sizes[index % len(sizes)]
            index += 1
            self.now += amount / DEMAND_PER_S
            host = self.hosts[self.next_host]
            self.next_host = (self.next_host + 1) % HOSTS
            tracker = self.choose_tracker(host)
            if (
                tracker is not None
                and tracker.try_consume("acme", amount, self.now) == 0.0
            ):
                self.arrivals.append((self.now, amount))
                host.spending.add("acme", amount, self.now)

    @rule(count=st.integers(1, HOSTS // 3))
    def disconnect(self, count: int) -> None:
        """Disconnect some hosts."""
        for host in self.hosts[:count]:
            self.connect(host, None)
        self.update_shares()

    @rule(scheduler=st.integers(0, 1))
    def connect_all(self, scheduler: int) -> None:
        """Connect all hosts to one scheduler."""
        for host in self.hosts:
            self.connect(host, scheduler)
        self.update_shares()

    @rule(count=st.integers(1, HOSTS - 1))
    def split(self, count: int) -> None:
        """Divide the hosts among two schedulers."""
        for index, host in enumerate(self.hosts):
            self.connect(host, 0 if index < count else 1)
        self.update_shares()

    @rule(scheduler=st.integers(0, 1))
    @precondition(lambda self: self.now > 110.0)
    def restart_scheduler(self, scheduler: int) -> None:
        """Restart a scheduler; its hosts report their spending to it again."""
        self.schedulers[scheduler] = make_tracker(self.now, disconnected=False)
        for host in self.hosts:
            if host.scheduler == scheduler:
                entries = list(host.spending.list_all(self.now))
                self.schedulers[scheduler].add_reported_spending(entries, self.now)
        self.update_shares()

    @invariant()
    def no_window_exceeds_limit(self) -> None:
        recent = [each for each in self.arrivals if each[0] > self.now - WINDOW_S]
        assert sum(amount for _, amount in recent) <= ALLOWED
        self.arrivals = recent


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
