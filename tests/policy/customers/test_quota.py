"""Tests of quotas: no window exceeds the limit, nothing below it is rejected."""

from random import Random

import pytest
from attrs import define, field

from mangoway.models.customer import Customer, CustomerRegistry, Quota
from mangoway.policy.customers.const import (
    OVERDRAFT_S,
    SLACK_SHARE,
    SPENDING_RETENTION_S,
)
from mangoway.policy.customers.quota import QuotaTracker
from mangoway.policy.customers.spending import SpendingEntry, SpendingHistory

RATE = 10_000.0
BURST = 10_000.0
WINDOW_S = 8.0
OVERSHOOT = 0.1
SLACK = 17_000.0


def make_registry(rate: float = RATE, burst: float = BURST) -> CustomerRegistry:
    registry = CustomerRegistry()
    for name in ("acme", "other"):
        customer = Customer(
            name=name,
            priority=None,
            quota=Quota(rate_per_s=rate, burst=burst),
            counts_tokens=True,
            plain_tokens=200,
        )
        registry.add(customer, [f"key-{name}"])
    registry.add(Customer(name="free", priority=None, quota=None), ["key-free"])
    return registry


def make_tracker(
    *, slack: float = 0.0, starts_full: bool = True, share: float = 1.0
) -> QuotaTracker:
    tracker = QuotaTracker(slack=slack, starts_full=starts_full, share=share)
    tracker.registry = make_registry()
    tracker.begin(0.0)
    return tracker


class TestConsume:
    """Which amounts an account covers."""

    def test_burst_then_rate(self) -> None:
        tracker = make_tracker()
        waits = [tracker.try_consume("acme", 1000.0, 0.0) for _ in range(11)]
        assert waits[:10] == [0.0] * 10
        assert waits[10] == pytest.approx(0.1)
        assert tracker.try_consume("acme", 1000.0, 0.1) == 0.0
        assert tracker.try_consume("acme", 1000.0, 0.15) == pytest.approx(0.05)

    def test_wait_ends_when_balance_covers_amount(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("acme", BURST, 0.0)
        wait_s = tracker.try_consume("acme", 4000.0, 0.0)
        assert tracker.try_consume("acme", 4000.0, wait_s - 0.001) > 0
        assert tracker.try_consume("acme", 4000.0, wait_s) == 0.0

    def test_request_larger_than_burst_needs_full_account(self) -> None:
        tracker = make_tracker()
        assert tracker.try_consume("acme", 2 * BURST, 0.0) == 0.0
        assert tracker.try_consume("acme", 100.0, 0.5) > 0
        assert tracker.try_consume("acme", 100.0, 1.02) == 0.0

    def test_customers_are_counted_separately(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("acme", BURST, 0.0)
        assert tracker.try_consume("other", BURST, 0.0) == 0.0

    def test_customers_without_quota_are_not_limited(self) -> None:
        tracker = make_tracker()
        assert all(tracker.try_consume("free", 1e9, 0.0) == 0.0 for _ in range(9))
        assert tracker.try_consume("nobody", 1e9, 0.0) == 0.0

    def test_refund_restores_balance(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("acme", BURST, 0.0)
        tracker.record_spending("acme", -4000.0, 0.0)
        assert tracker.try_consume("acme", 4000.0, 0.0) == 0.0
        assert tracker.try_consume("acme", 1.0, 0.0) > 0

    def test_negative_balance_must_recover_first(self) -> None:
        tracker = make_tracker()
        tracker.record_spending("acme", 3 * BURST, 0.0)
        assert tracker.try_consume("acme", 100.0, 1.9) > 0
        assert tracker.try_consume("acme", 100.0, 2.1) == 0.0

    def test_lower_quota_applies_at_once(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("acme", 0.0, 0.0)
        tracker.registry = make_registry(rate=100.0, burst=100.0)
        assert tracker.try_consume("acme", 1000.0, 1.0) == 0.0
        assert tracker.try_consume("acme", 100.0, 2.0) > 0

    def test_share_of_slack_is_granted(self) -> None:
        tracker = make_tracker(slack=SLACK)
        assert tracker.try_consume("acme", BURST + SLACK_SHARE * SLACK, 0.0) == 0.0
        assert tracker.try_consume("acme", 1.0, 0.0) > 0

    def test_exhausted_customers_are_listed_until_they_have_enough(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("acme", BURST, 0.0)
        [(name, wait_s)] = tracker.list_exhausted(0.0)
        assert name == "acme"
        assert tracker.list_exhausted(wait_s + 0.001) == []

    def test_summary_starts_with_lowest_balance(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("other", 0.75 * BURST, 0.0)
        assert tracker.describe(1, 0.0) == ["other 2500, 0.25 s"]


class TestShare:
    """Several processes that grant at the same time."""

    def test_shares_add_up_to_whole_quota(self) -> None:
        trackers = [make_tracker(share=0.3), make_tracker(share=0.7)]
        granted = 0.0
        for step in range(800):
            for tracker in trackers:
                if tracker.try_consume("acme", 500.0, step * 0.01) == 0.0:
                    granted += 500.0
        assert granted <= RATE * WINDOW_S + BURST

    def test_share_refills_more_slowly(self) -> None:
        tracker = make_tracker(share=0.5)
        assert tracker.try_consume("acme", BURST / 2, 0.0) == 0.0
        assert tracker.try_consume("acme", 1000.0, 0.19) > 0
        assert tracker.try_consume("acme", 1000.0, 0.2) == 0.0

    def test_wait_is_computed_from_whole_quota(self) -> None:
        """A disconnected host reconnects sooner than its own share is refilled."""
        tracker = make_tracker(share=1 / 73)
        tracker.try_consume("acme", BURST, 0.0)
        assert tracker.try_consume("acme", 100.0, 0.0) < 1.1


class TestOverdraft:
    """A host that has just lost its scheduler."""

    def test_customer_with_quota_left_gets_overdraft(self) -> None:
        tracker = make_tracker(share=1 / 73)
        tracker.allow_overdraft(["other"], 0.0)
        assert all(tracker.try_consume("acme", 1500.0, 0.1) == 0.0 for _ in range(5))
        tracker.try_consume("other", 1500.0, 0.1)
        assert tracker.try_consume("other", 1500.0, 0.1) > 0
        assert tracker.try_consume("acme", 1500.0, OVERDRAFT_S) > 0

    def test_overdraft_is_subtracted(self) -> None:
        tracker = make_tracker(share=1 / 73)
        tracker.allow_overdraft([], 0.0)
        for _ in range(5):
            tracker.try_consume("acme", 1500.0, 0.1)
        assert tracker.try_consume("acme", 100.0, 40.0) > 0
        assert [each.amount for each in tracker.spending.list_all(1.0)] == [7500.0]


class TestSchedulerChange:
    """A scheduler that starts to grant."""

    def test_restart_grants_no_second_burst(self) -> None:
        tracker = make_tracker(starts_full=False)
        assert tracker.try_consume("acme", 5000.0, 0.0) == pytest.approx(0.5)
        assert tracker.try_consume("acme", 5000.0, 0.5) == 0.0

    def test_burst_is_available_after_retention(self) -> None:
        tracker = make_tracker(starts_full=False)
        assert tracker.try_consume("acme", BURST, SPENDING_RETENTION_S) == 0.0

    def test_reported_spending_is_subtracted(self) -> None:
        tracker = make_tracker(starts_full=False)
        entries = [SpendingEntry("acme", age_s, RATE) for age_s in (0.5, 1.5, 2.5, 3.5)]
        tracker.add_reported_spending(entries, 1.0)
        wait_s = tracker.try_consume("acme", BURST, 1.0)
        assert 0.3 <= wait_s <= 1.0

    def test_report_of_little_spending_restores_burst(self) -> None:
        tracker = make_tracker(starts_full=False)
        tracker.add_reported_spending([SpendingEntry("acme", 1.0, 100.0)], 0.2)
        assert tracker.try_consume("acme", 0.9 * BURST, 0.2) == 0.0

    def test_late_report_is_subtracted(self) -> None:
        tracker = make_tracker()
        tracker.try_consume("acme", 100.0, 5.0)
        tracker.add_reported_spending([SpendingEntry("acme", 0.1, BURST)], 5.0)
        assert tracker.try_consume("acme", 2000.0, 5.0) > 0

    def test_history_returns_amounts_with_age(self) -> None:
        spending = SpendingHistory()
        spending.add("acme", 100.0, 1.0)
        spending.add("acme", 50.0, 1.2)
        spending.add("acme", -50.0, 3.0)
        spending.add("acme", 7.0, 0.1)
        entries = list(spending.list_all(4.0))
        assert [(each.age_s, each.amount) for each in entries] == [
            (3.5, 7.0),
            (2.5, 150.0),
            (0.5, -50.0),
        ]
        assert list(spending.list_all(1.0 + 2 * SPENDING_RETENTION_S)) == []


@define(eq=False)
class Fleet:
    """Connected and disconnected hosts, with one customer of high demand."""

    random: Random
    hosts: int
    demand: float
    """Tokens per second that the customer requests."""

    scheduler: QuotaTracker = field(init=False)
    disconnected: dict[int, QuotaTracker] = field(factory=dict, init=False)
    spending_by_host: dict[int, SpendingHistory] = field(factory=dict, init=False)
    arrivals: list[tuple[float, float]] = field(factory=list, init=False)
    rejected: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.scheduler = self.make_scheduler(0.0)
        self.spending_by_host = {each: SpendingHistory() for each in range(self.hosts)}

    def make_scheduler(self, now: float) -> QuotaTracker:
        tracker = QuotaTracker(slack=SLACK, starts_full=False)
        tracker.registry = make_registry()
        tracker.begin(now)
        return tracker

    def disconnect(self, hosts: list[int], now: float) -> None:
        """Disconnect hosts; only the others remain connected to the scheduler."""
        exhausted = [name for name, _ in self.scheduler.list_exhausted(now)]
        for host in hosts:
            tracker = QuotaTracker(slack=SLACK, share=1 / self.hosts)
            tracker.registry = make_registry()
            tracker.allow_overdraft(exhausted, now)
            self.disconnected[host] = tracker
        self.scheduler.share = 1 - len(self.disconnected) / self.hosts

    def reconnect(self, now: float) -> None:
        """Reconnect all hosts to the scheduler."""
        for host in self.disconnected:
            self.scheduler.add_reported_spending(
                self.spending_by_host[host].list_all(now), now
            )
        self.disconnected = {}
        self.scheduler.share = 1.0

    def replace_scheduler(self, now: float) -> None:
        """Replace the scheduler; hosts report their spending to the new one."""
        self.scheduler = self.make_scheduler(now)
        for spending in self.spending_by_host.values():
            self.scheduler.add_reported_spending(spending.list_all(now), now)

    def step(self, now: float, seconds: float) -> None:
        tokens = self.demand * seconds
        while tokens > 0:
            amount = self.random.choice((200.0, 800.0, 1500.0, 2500.0))
            tokens -= amount
            if self.random.random() < max(0.0, -tokens / amount):
                continue
            host = self.random.randrange(self.hosts)
            tracker = self.disconnected.get(host, self.scheduler)
            if tracker.try_consume("acme", amount, now) > 0:
                self.rejected += 1
            else:
                self.arrivals.append((now, amount))
                self.spending_by_host[host].add("acme", amount, now)

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


ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
"""Largest amount that a window may contain."""

STEP_S = 0.05


class TestFleets:
    """Random fleets, in which hosts disconnect and schedulers are replaced."""

    def simulate(self, seed: int, demand: float) -> Fleet:
        random = Random(seed)
        fleet = Fleet(random, hosts=random.choice((9, 73)), demand=demand)
        for index in range(600):
            now = index * STEP_S
            event = random.random()
            if event < 0.004:
                fleet.replace_scheduler(now)
            elif event < 0.008:
                count = random.randint(1, fleet.hosts // 2)
                fleet.disconnect(random.sample(range(fleet.hosts), count), now)
            elif event < 0.02 and fleet.disconnected:
                fleet.reconnect(now)
            fleet.step(now, STEP_S)
        return fleet

    @pytest.mark.parametrize("seed", range(20))
    def test_no_window_exceeds_limit(self, seed: int) -> None:
        fleet = self.simulate(seed, demand=3.3 * RATE)
        assert fleet.find_max_in_window() <= ALLOWED
        assert fleet.rejected > 0

    @pytest.mark.parametrize("seed", range(10))
    def test_nothing_below_limit_is_rejected_without_faults(self, seed: int) -> None:
        fleet = Fleet(Random(seed), hosts=73, demand=0.55 * RATE)
        for index in range(600):
            if index % 200 == 150:
                fleet.replace_scheduler(index * STEP_S)
            fleet.step(index * STEP_S, STEP_S)
        # The first scheduler starts with empty accounts; a real one does so well before
        # any request.
        assert fleet.rejected <= 2

    def test_schedulers_that_start_full_exceed_limit(self) -> None:
        """Each new scheduler that knows of no spending grants the burst again."""
        fleet = Fleet(Random(1), hosts=73, demand=3.3 * RATE)
        for index in range(600):
            if index % 20 == 0:
                fleet.scheduler = QuotaTracker(slack=SLACK)
                fleet.scheduler.registry = make_registry()
            fleet.step(index * STEP_S, STEP_S)
        assert fleet.find_max_in_window() > ALLOWED
