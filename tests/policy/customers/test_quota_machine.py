"""Any series of cuts, changes and restarts, against the plain sum of a window."""

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
CALLERS_PER_S = 3.3 * RATE
"""What the customer asks for: six times its usual, which is 0.55 of its quota."""

LONGEST_ALONE_S = 3.0
"""Time after which a host that hears nobody refuses all that needs a key, or hears a
scheduler: the part of the time to revoke a key."""


@define(eq=False)
class Host:
    """What a host counts by itself, and whom it asks."""

    book: QuotaTracker
    spending: SpendingHistory = field(factory=SpendingHistory)
    scheduler: int | None = 0
    """The scheduler that it hears; None: it is alone."""

    alone_since: float = 0.0


def make_book(now: float, *, alone: bool) -> QuotaTracker:
    book = QuotaTracker(
        slack=SLACK, starts_full=alone, share=1 / HOSTS if alone else 1.0
    )
    book.registry = make_registry()
    book.begin(now)
    return book


class QuotaMachine(RuleBasedStateMachine):
    """Hosts, two schedulers, and a customer who asks for too much all the time."""

    @initialize()
    def start(self) -> None:
        self.now = 100.0
        self.schedulers = [make_book(0.0, alone=False), make_book(0.0, alone=False)]
        self.hosts = [Host(make_book(0.0, alone=True)) for _ in range(HOSTS)]
        self.arrivals: list[tuple[float, float]] = []
        self.next_host = 0

    def share(self) -> None:
        """Let each scheduler grant the part of the hosts that it hears."""
        for index, book in enumerate(self.schedulers):
            heard = sum(1 for each in self.hosts if each.scheduler == index)
            book.share = max(1, heard) / HOSTS

    def move(self, host: Host, scheduler: int | None) -> None:
        """Let a host hear another scheduler, which it tells what was spent."""
        if host.scheduler == scheduler:
            return
        if scheduler is not None:
            rows = list(host.spending.list_all(self.now))
            self.schedulers[scheduler].add_reported_spending(rows, self.now)
        elif host.scheduler is not None:
            host.alone_since = self.now
            lost = self.schedulers[host.scheduler]
            host.book.allow_overdraft(
                [name for name, _ in lost.list_exhausted(self.now)], self.now
            )
        host.scheduler = scheduler

    def choose(self, host: Host) -> QuotaTracker | None:
        if host.scheduler is not None:
            return self.schedulers[host.scheduler]
        if self.now - host.alone_since > LONGEST_ALONE_S:
            return None
        return host.book

    @rule(
        seconds=st.floats(0.05, 2.0),
        sizes=st.lists(st.floats(100.0, 3000.0), min_size=1, max_size=8),
    )
    def ask(self, seconds: float, sizes: list[float]) -> None:
        """Let callers ask for a while, at all hosts in turn."""
        self.share()
        end = self.now + seconds
        index = 0
        while self.now < end:
            amount = sizes[index % len(sizes)]
            index += 1
            self.now += amount / CALLERS_PER_S
            host = self.hosts[self.next_host]
            self.next_host = (self.next_host + 1) % HOSTS
            book = self.choose(host)
            if book is not None and book.try_consume("acme", amount, self.now) == 0.0:
                self.arrivals.append((self.now, amount))
                host.spending.add("acme", amount, self.now)

    @rule(count=st.integers(1, HOSTS // 3))
    def cut_off(self, count: int) -> None:
        """Let some hosts hear nobody."""
        for host in self.hosts[:count]:
            self.move(host, None)
        self.share()

    @rule(scheduler=st.integers(0, 1))
    def follow(self, scheduler: int) -> None:
        """Let all hosts hear one scheduler: it leads."""
        for host in self.hosts:
            self.move(host, scheduler)
        self.share()

    @rule(count=st.integers(1, HOSTS - 1))
    def split(self, count: int) -> None:
        """Let two schedulers grant, each to some hosts."""
        for index, host in enumerate(self.hosts):
            self.move(host, 0 if index < count else 1)
        self.share()

    @rule(scheduler=st.integers(0, 1))
    @precondition(lambda self: self.now > 110.0)
    def restart_scheduler(self, scheduler: int) -> None:
        """Let a scheduler forget all; hosts that hear it tell it what was spent."""
        self.schedulers[scheduler] = make_book(self.now, alone=False)
        for host in self.hosts:
            if host.scheduler == scheduler:
                rows = list(host.spending.list_all(self.now))
                self.schedulers[scheduler].add_reported_spending(rows, self.now)
        self.share()

    @invariant()
    def no_window_is_over_the_limit(self) -> None:
        recent = [each for each in self.arrivals if each[0] > self.now - WINDOW_S]
        assert sum(amount for _, amount in recent) <= ALLOWED
        self.arrivals = recent


TestQuotaMachine = QuotaMachine.TestCase
TestQuotaMachine.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
