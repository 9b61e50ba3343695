"""Enforces the quotas of customers over all hosts together.

The process that grants requests counts the spending. The scheduler receives all
requests for engines before they run, and immediate reports of those for plain services,
which hosts admit by themselves. Two schedulers that are active at the same time each
have a share of every quota, by the number of hosts connected to them. The balance of a
customer becomes negative if requests were admitted before they were counted; nothing is
granted until the balance has recovered.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from ...models.customer import Customer, CustomerRegistry, Quota
from .const import (
    OVERDRAFT_S,
    SLACK_SHARE,
    SPENDING_RETENTION_S,
    UNREPORTED_SLACK_SHARE,
)
from .coverage import EdgeReport, SpendingCoverage
from .spending import SpendingEntry, SpendingHistory

NO_COVERAGE: Final = EdgeReport(counted_s=0.0, edges=0)
"""What a report states that comes from an edge of an earlier release."""


@define(eq=False)
class Account:
    """Balance of one customer's quota."""

    balance: float
    filled_at: float
    """Time up to which the balance was refilled."""

    is_complete: bool = True
    """Whether all known spending has been subtracted."""

    def fill(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Refill the balance for the time since the last call."""
        earned = rate_per_s * max(0.0, now - self.filled_at)
        self.balance = min(capacity, self.balance + earned)
        self.filled_at = max(self.filled_at, now)


@define(eq=False)
class QuotaTracker:
    """Accounts of all customers, for the requests that one process grants."""

    slack: float = 0.0
    """Amount that the whole fleet may temporarily grant beyond a quota."""

    starts_full: bool = True
    """Whether accounts start full without reports of earlier spending. A scheduler that
    starts to grant may replace one that was granting until then, and must not grant a
    second burst."""

    share: float = 1.0
    """Share of each quota that this process may grant, 0 to 1."""

    registry: CustomerRegistry | None = None
    _overdraft_until: float = field(default=-1e9, init=False)
    """Time until which overdrafts are allowed."""

    _without_overdraft: frozenset[str] = field(default=frozenset(), init=False)
    """Customers without an overdraft, since their quota was exhausted."""

    spending: SpendingHistory = field(factory=SpendingHistory, init=False)
    _accounts: dict[str, Account] = field(factory=dict, init=False)
    _coverage: SpendingCoverage = field(factory=SpendingCoverage, init=False)

    def begin(self, now: float) -> None:
        """Set the time from which accounts are refilled."""
        if self._coverage.granting_since is None:
            self._coverage.granting_since = now

    def restart(self, connected: Iterable[str], now: float) -> None:
        """Start to grant, after another process may have granted until now.

        Args:
            connected: Incarnations of the connected edges.
            now: Time in seconds.
        """
        self._coverage.restart(connected, now)
        self._accounts.clear()

    def allow_overdraft(self, exhausted: Iterable[str], now: float) -> None:
        """Allow overdrafts for `OVERDRAFT_S` after the scheduler was lost.

        Args:
            exhausted: Customers whose quota was exhausted; they get no overdraft.
            now: Time in seconds.
        """
        self._overdraft_until = now + OVERDRAFT_S
        self._without_overdraft = frozenset(exhausted)

    def try_consume(self, name: str, amount: float, now: float) -> float:
        """Subtract an amount if the customer's balance covers it.

        A request that is larger than the capacity of an account needs a full account.

        Returns:
            0.0 if the amount was subtracted, otherwise the seconds until the balance
            covers it. They are computed from the rate of the whole quota: a host
            without a scheduler reconnects to one sooner than its own share is refilled.
        """
        quota = self._find_quota(name)
        if quota is None:
            return 0.0
        account = self._fill(name, quota, now)
        missing = min(amount, self._get_capacity(quota, self.share)) - account.balance
        if missing > 0 and not self._allows_overdraft(name, now):
            return missing / quota.rate_per_s
        account.balance -= amount
        self.spending.add(name, amount, now)
        return 0.0

    def record_spending(self, name: str, amount: float, now: float) -> None:
        """Record spending that a host admitted by itself; negative for a refund."""
        quota = self._find_quota(name)
        if quota is not None:
            self._fill(name, quota, now).balance -= amount
        self.spending.add(name, amount, now)

    def add_reported_spending(
        self,
        entries: Iterable[SpendingEntry],
        now: float,
        *,
        edge: str = "",
        report: EdgeReport = NO_COVERAGE,
    ) -> None:
        """Add spending that an edge reports from before it used this process.

        Args:
            entries: The edge's recent spending.
            now: Time in seconds.
            edge: Incarnation of the edge.
            report: What the edge states about its report.
        """
        customers = set()
        for each in entries:
            self.spending.add(each.customer, each.amount, now - each.age_s)
            customers.add(each.customer)
        # The coverage concerns customers without an entry as well: they have spent
        # nothing at that edge.
        is_changed = self._coverage.record(edge, report, now)
        for name, account in self._accounts.items():
            if is_changed or name in customers:
                account.is_complete = False

    def forget_edge(self, edge: str, now: float) -> None:
        """Forget an edge that disconnected, if its report no longer matters."""
        self._coverage.forget(edge, now)

    def list_exhausted(self, now: float) -> list[tuple[str, float]]:
        """Return the customers with an exhausted quota.

        Each comes with the seconds until its balance covers one request. Hosts use the
        list to reject requests that need no grant.
        """
        exhausted = []
        for customer in self._list_limited():
            quota = customer.quota
            if quota is None or customer.name not in self._accounts:
                continue
            account = self._fill(customer.name, quota, now)
            missing = customer.compute_cost(None) - account.balance
            if missing > 0:
                wait_s = missing / (quota.rate_per_s * self.share)
                exhausted.append((customer.name, wait_s))
        return exhausted

    def get_balance(self, name: str, now: float) -> float | None:
        """Return the balance of a customer; None without a quota."""
        quota = self._find_quota(name)
        return None if quota is None else self._fill(name, quota, now).balance

    def describe(self, max_lines: int, now: float) -> list[str]:
        """Return summary lines of the customers with the lowest balances.

        Balances are compared in seconds of the quota's rate.
        """
        entries = []
        for customer in self._list_limited():
            balance = self.get_balance(customer.name, now)
            if balance is not None and customer.quota is not None:
                seconds = balance / customer.quota.rate_per_s
                entries.append(
                    (seconds, f"{customer.name} {balance:.0f}, {seconds:.2f} s")
                )
        return [text for _, text in sorted(entries)[:max_lines]]

    def _allows_overdraft(self, name: str, now: float) -> bool:
        return now < self._overdraft_until and name not in self._without_overdraft

    def _list_limited(self) -> list[Customer]:
        return [] if self.registry is None else self.registry.list_customers()

    def _find_quota(self, name: str) -> Quota | None:
        customer = None if self.registry is None else self.registry.find_by_name(name)
        return None if customer is None else customer.quota

    def _get_capacity(self, quota: Quota, share: float) -> float:
        """Return the maximum balance of an account with a share of a quota."""
        return (quota.burst + SLACK_SHARE * self.slack) * share

    def _fill(self, name: str, quota: Quota, now: float) -> Account:
        self.begin(now)
        account = self._accounts.get(name)
        if account is None or not account.is_complete:
            account = self._accounts[name] = self._create_account(name, quota, now)
        capacity = self._get_capacity(quota, self.share)
        account.fill(quota.rate_per_s * self.share, capacity, now)
        return account

    def _create_account(self, name: str, quota: Quota, now: float) -> Account:
        """Return a new account with a balance computed from recent spending."""
        account = self._replay_spending(name, quota, now)
        if self.starts_full or self._coverage.is_complete(now):
            return account
        limited = self._replay_from_start(name, quota, now)
        account.balance = min(account.balance, limited.balance)
        return account

    def _replay_spending(self, name: str, quota: Quota, now: float) -> Account:
        """Return an account that was full before the known spending."""
        capacity = self._get_capacity(quota, self.share)
        account = Account(capacity, now - SPENDING_RETENTION_S)
        slots = self.spending.list_slots(name, now)
        self._replay(account, slots, quota, self.share, now)
        return account

    def _replay_from_start(self, name: str, quota: Quota, now: float) -> Account:
        """Return an account that was limited when this process started to grant.

        It had what the edges whose spending is known had left of their share of the
        quota; the rest counts as spent. A slot that ends later counts as spent later.
        """
        since = self._coverage.granting_since
        started_at = now if since is None else since
        slots = self.spending.list_slots(name, now)
        earlier = [each for each in slots if each[0] <= started_at]
        known_share = min(self.share, self._coverage.measure(now))
        capacity = self._get_capacity(quota, known_share)
        account = Account(capacity, now - SPENDING_RETENTION_S)
        self._replay(account, earlier, quota, known_share, started_at)
        max_restored = UNREPORTED_SLACK_SHARE * self.slack * self.share
        account.balance = max(0.0, min(account.balance, max_restored))
        self._replay(account, slots[len(earlier) :], quota, self.share, now)
        return account

    def _replay(
        self,
        account: Account,
        slots: Iterable[tuple[float, float]],
        quota: Quota,
        share: float,
        until: float,
    ) -> None:
        """Subtract the amounts of slots from an account with a share of a quota."""
        rate_per_s = quota.rate_per_s * share
        capacity = self._get_capacity(quota, share)
        for at, amount in slots:
            account.fill(rate_per_s, capacity, at)
            account.balance -= amount
        account.fill(rate_per_s, capacity, until)
