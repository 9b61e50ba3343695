"""Tests of quotas: no window over the limit, nothing below it refused."""

from random import Random

import pytest
from attrs import define, field

from mangoway.models.customer import Customer, CustomerRegistry, Quota
from mangoway.policy.customers.const import LENT_S, SLACK_USED, SPENDING_RETENTION_S
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


def make_book(
    *, slack: float = 0.0, starts_full: bool = True, share: float = 1.0
) -> QuotaTracker:
    book = QuotaTracker(slack=slack, starts_full=starts_full, share=share)
    book.registry = make_registry()
    book.begin(0.0)
    return book


class TestTake:
    """What an account lets through."""

    def test_burst_and_then_the_rate(self) -> None:
        book = make_book()
        taken = [book.try_consume("acme", 1000.0, 0.0) for _ in range(11)]
        assert taken[:10] == [0.0] * 10
        assert taken[10] == pytest.approx(0.1)
        assert book.try_consume("acme", 1000.0, 0.1) == 0.0
        assert book.try_consume("acme", 1000.0, 0.15) == pytest.approx(0.05)

    def test_time_to_come_back_is_when_there_is_room(self) -> None:
        book = make_book()
        book.try_consume("acme", BURST, 0.0)
        wait_s = book.try_consume("acme", 4000.0, 0.0)
        assert book.try_consume("acme", 4000.0, wait_s - 0.001) > 0
        assert book.try_consume("acme", 4000.0, wait_s) == 0.0

    def test_request_larger_than_a_burst_needs_a_full_account(self) -> None:
        book = make_book()
        assert book.try_consume("acme", 2 * BURST, 0.0) == 0.0
        assert book.try_consume("acme", 100.0, 0.5) > 0
        assert book.try_consume("acme", 100.0, 1.02) == 0.0

    def test_customers_are_counted_apart(self) -> None:
        book = make_book()
        book.try_consume("acme", BURST, 0.0)
        assert book.try_consume("other", BURST, 0.0) == 0.0

    def test_without_a_limit_all_is_let_through(self) -> None:
        book = make_book()
        assert all(book.try_consume("free", 1e9, 0.0) == 0.0 for _ in range(9))
        assert book.try_consume("nobody", 1e9, 0.0) == 0.0

    def test_what_was_not_run_is_given_back(self) -> None:
        book = make_book()
        book.try_consume("acme", BURST, 0.0)
        book.record_spending("acme", -4000.0, 0.0)
        assert book.try_consume("acme", 4000.0, 0.0) == 0.0
        assert book.try_consume("acme", 1.0, 0.0) > 0

    def test_debt_is_made_good_first(self) -> None:
        book = make_book()
        book.record_spending("acme", 3 * BURST, 0.0)
        assert book.try_consume("acme", 100.0, 1.9) > 0
        assert book.try_consume("acme", 100.0, 2.1) == 0.0

    def test_lower_limit_binds_at_once(self) -> None:
        book = make_book()
        book.try_consume("acme", 0.0, 0.0)
        book.registry = make_registry(rate=100.0, burst=100.0)
        assert book.try_consume("acme", 1000.0, 1.0) == 0.0
        assert book.try_consume("acme", 100.0, 2.0) > 0

    def test_slack_is_granted_in_part(self) -> None:
        book = make_book(slack=SLACK)
        assert book.try_consume("acme", BURST + SLACK_USED * SLACK, 0.0) == 0.0
        assert book.try_consume("acme", 1.0, 0.0) > 0

    def test_exhausted_customers_are_listed_until_they_have_enough(self) -> None:
        book = make_book()
        book.try_consume("acme", BURST, 0.0)
        [(name, wait_s)] = book.list_exhausted(0.0)
        assert name == "acme"
        assert book.list_exhausted(wait_s + 0.001) == []

    def test_summary_begins_with_who_has_least(self) -> None:
        book = make_book()
        book.try_consume("other", 0.75 * BURST, 0.0)
        assert book.describe(1, 0.0) == ["other 2500, 0.25 s"]


class TestShare:
    """Two that grant at a time."""

    def test_parts_add_up_to_the_whole(self) -> None:
        parts = [make_book(share=0.3), make_book(share=0.7)]
        granted = 0.0
        for step in range(800):
            for book in parts:
                if book.try_consume("acme", 500.0, step * 0.01) == 0.0:
                    granted += 500.0
        assert granted <= RATE * WINDOW_S + BURST

    def test_part_of_a_quota_refills_slower(self) -> None:
        book = make_book(share=0.5)
        assert book.try_consume("acme", BURST / 2, 0.0) == 0.0
        assert book.try_consume("acme", 1000.0, 0.19) > 0
        assert book.try_consume("acme", 1000.0, 0.2) == 0.0

    def test_time_to_come_back_is_that_of_the_whole_quota(self) -> None:
        """A host that is alone hears a scheduler sooner than its part is refilled."""
        book = make_book(share=1 / 73)
        book.try_consume("acme", BURST, 0.0)
        assert book.try_consume("acme", 100.0, 0.0) < 1.1


class TestLending:
    """A host that has just lost its scheduler."""

    def test_customer_who_had_something_left_goes_on_for_a_moment(self) -> None:
        book = make_book(share=1 / 73)
        book.allow_overdraft(["other"], 0.0)
        assert all(book.try_consume("acme", 1500.0, 0.1) == 0.0 for _ in range(5))
        book.try_consume("other", 1500.0, 0.1)
        assert book.try_consume("other", 1500.0, 0.1) > 0
        assert book.try_consume("acme", 1500.0, LENT_S) > 0

    def test_what_was_lent_is_a_debt(self) -> None:
        book = make_book(share=1 / 73)
        book.allow_overdraft([], 0.0)
        for _ in range(5):
            book.try_consume("acme", 1500.0, 0.1)
        assert book.try_consume("acme", 100.0, 40.0) > 0
        assert [each.amount for each in book.spending.list_all(1.0)] == [7500.0]


class TestSuccession:
    """A scheduler that begins to grant."""

    def test_restart_gives_no_second_burst(self) -> None:
        book = make_book(starts_full=False)
        assert book.try_consume("acme", 5000.0, 0.0) == pytest.approx(0.5)
        assert book.try_consume("acme", 5000.0, 0.5) == 0.0

    def test_customer_who_spent_long_ago_has_his_burst(self) -> None:
        book = make_book(starts_full=False)
        assert book.try_consume("acme", BURST, SPENDING_RETENTION_S) == 0.0

    def test_links_tell_what_was_spent(self) -> None:
        book = make_book(starts_full=False)
        rows = [SpendingEntry("acme", age_s, RATE) for age_s in (0.5, 1.5, 2.5, 3.5)]
        book.add_reported_spending(rows, 1.0)
        wait_s = book.try_consume("acme", BURST, 1.0)
        assert 0.3 <= wait_s <= 1.0

    def test_links_tell_that_little_was_spent(self) -> None:
        book = make_book(starts_full=False)
        book.add_reported_spending([SpendingEntry("acme", 1.0, 100.0)], 0.2)
        assert book.try_consume("acme", 0.9 * BURST, 0.2) == 0.0

    def test_late_word_of_spending_counts_as_well(self) -> None:
        book = make_book()
        book.try_consume("acme", 100.0, 5.0)
        book.add_reported_spending([SpendingEntry("acme", 0.1, BURST)], 5.0)
        assert book.try_consume("acme", 2000.0, 5.0) > 0

    def test_spending_comes_back_with_time(self) -> None:
        spending = SpendingHistory()
        spending.add("acme", 100.0, 1.0)
        spending.add("acme", 50.0, 1.2)
        spending.add("acme", -50.0, 3.0)
        spending.add("acme", 7.0, 0.1)
        rows = list(spending.list_all(4.0))
        assert [(each.age_s, each.amount) for each in rows] == [
            (3.5, 7.0),
            (2.5, 150.0),
            (0.5, -50.0),
        ]
        assert list(spending.list_all(1.0 + 2 * SPENDING_RETENTION_S)) == []


@define(eq=False)
class Fleet:
    """Hosts that ask a scheduler, or are alone; one customer asks for much."""

    random: Random
    hosts: int
    demand: float
    """Tokens a second that the customer asks for."""

    scheduler: QuotaTracker = field(init=False)
    alone: dict[int, QuotaTracker] = field(factory=dict, init=False)
    spent: dict[int, SpendingHistory] = field(factory=dict, init=False)
    arrivals: list[tuple[float, float]] = field(factory=list, init=False)
    refused: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self.scheduler = self.make_scheduler(0.0)
        self.spent = {each: SpendingHistory() for each in range(self.hosts)}

    def make_scheduler(self, now: float) -> QuotaTracker:
        book = QuotaTracker(slack=SLACK, starts_full=False)
        book.registry = make_registry()
        book.begin(now)
        return book

    def cut_off(self, hosts: list[int], now: float) -> None:
        """Let hosts be alone; the scheduler hears the others only."""
        exhausted = [name for name, _ in self.scheduler.list_exhausted(now)]
        for host in hosts:
            book = QuotaTracker(slack=SLACK, share=1 / self.hosts)
            book.registry = make_registry()
            book.allow_overdraft(exhausted, now)
            self.alone[host] = book
        self.scheduler.share = 1 - len(self.alone) / self.hosts

    def rejoin(self, now: float) -> None:
        """Let all hosts hear the scheduler again."""
        for host in self.alone:
            self.scheduler.add_reported_spending(self.spent[host].list_all(now), now)
        self.alone = {}
        self.scheduler.share = 1.0

    def replace_scheduler(self, now: float) -> None:
        """Let another scheduler grant, which hosts tell what was spent."""
        self.scheduler = self.make_scheduler(now)
        for spending in self.spent.values():
            self.scheduler.add_reported_spending(spending.list_all(now), now)

    def step(self, now: float, seconds: float) -> None:
        tokens = self.demand * seconds
        while tokens > 0:
            amount = self.random.choice((200.0, 800.0, 1500.0, 2500.0))
            tokens -= amount
            if self.random.random() < max(0.0, -tokens / amount):
                continue
            host = self.random.randrange(self.hosts)
            book = self.alone.get(host, self.scheduler)
            if book.try_consume("acme", amount, now) > 0:
                self.refused += 1
            else:
                self.arrivals.append((now, amount))
                self.spent[host].add("acme", amount, now)

    def find_most(self) -> float:
        """Return the most that arrived in a window."""
        most = total = 0.0
        begin = 0
        for at, amount in self.arrivals:
            total += amount
            while self.arrivals[begin][0] <= at - WINDOW_S:
                total -= self.arrivals[begin][1]
                begin += 1
            most = max(most, total)
        return most


ALLOWED = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
STEP_S = 0.05


class TestFleets:
    """Drawn fleets: whatever happens, a window holds what the quota allows."""

    def play(self, seed: int, demand: float) -> Fleet:
        random = Random(seed)
        fleet = Fleet(random, hosts=random.choice((9, 73)), demand=demand)
        for index in range(600):
            now = index * STEP_S
            event = random.random()
            if event < 0.004:
                fleet.replace_scheduler(now)
            elif event < 0.008:
                count = random.randint(1, fleet.hosts // 2)
                fleet.cut_off(random.sample(range(fleet.hosts), count), now)
            elif event < 0.02 and fleet.alone:
                fleet.rejoin(now)
            fleet.step(now, STEP_S)
        return fleet

    @pytest.mark.parametrize("seed", range(20))
    def test_no_window_is_over_the_limit(self, seed: int) -> None:
        fleet = self.play(seed, demand=3.3 * RATE)
        assert fleet.find_most() <= ALLOWED
        assert fleet.refused > 0

    @pytest.mark.parametrize("seed", range(10))
    def test_nothing_below_it_is_refused_in_calm(self, seed: int) -> None:
        fleet = Fleet(Random(seed), hosts=73, demand=0.55 * RATE)
        for index in range(600):
            if index % 200 == 150:
                fleet.replace_scheduler(index * STEP_S)
            fleet.step(index * STEP_S, STEP_S)
        # The first of all schedulers starts with nothing, well before any request.
        assert fleet.refused <= 2

    def test_scheduler_that_starts_full_at_each_change_is_over_it(self) -> None:
        """What the links tell is needed: without it these changes break the limit."""
        fleet = Fleet(Random(1), hosts=73, demand=3.3 * RATE)
        for index in range(600):
            if index % 20 == 0:
                fleet.scheduler = QuotaTracker(slack=SLACK)
                fleet.scheduler.registry = make_registry()
            fleet.step(index * STEP_S, STEP_S)
        assert fleet.find_most() > ALLOWED
