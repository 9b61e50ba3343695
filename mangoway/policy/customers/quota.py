"""Enforces the quotas of customers over all hosts together.

The process that grants requests counts the spending. The scheduler receives all
requests for engines before they run, and immediate reports of those for plain services,
which hosts admit by themselves. Two schedulers that are active at the same time each
have a share of every quota, by the number of hosts connected to them. The balance of a
customer becomes negative if requests were admitted before they were counted; nothing is
granted until the balance has recovered.
"""

from collections.abc import Iterable

from attrs import define, field

from ...models.customer import Customer, CustomerRegistry, Quota
from .const import OVERDRAFT_S, SLACK_SHARE, SPENDING_RETENTION_S
from .spending import SpendingEntry, SpendingHistory


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
    """Whether accounts start full without a report of earlier spending. A scheduler
    that starts may replace one that was granting until then, and must not grant a
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
    _started_at: float | None = field(default=None, init=False)
    """When this tracker was first used."""

    _reported: set[str] = field(factory=set, init=False)
    """Customers whose earlier spending was reported by hosts."""

    def begin(self, now: float) -> None:
        """Set the time from which accounts are refilled."""
        if self._started_at is None:
            self._started_at = now

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
        missing = min(amount, self._get_capacity(quota)) - account.balance
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
        self, entries: Iterable[SpendingEntry], now: float
    ) -> None:
        """Add spending that a host reports from before it used this process."""
        for each in entries:
            self.spending.add(each.customer, each.amount, now - each.age_s)
            self._reported.add(each.customer)
            account = self._accounts.get(each.customer)
            if account is not None:
                account.is_complete = False

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

    def _get_capacity(self, quota: Quota) -> float:
        """Return the maximum balance of an account."""
        return (quota.burst + SLACK_SHARE * self.slack) * self.share

    def _fill(self, name: str, quota: Quota, now: float) -> Account:
        account = self._accounts.get(name)
        if account is None or not account.is_complete:
            account = self._accounts[name] = self._create_account(name, quota, now)
        account.fill(quota.rate_per_s * self.share, self._get_capacity(quota), now)
        return account

    def _create_account(self, name: str, quota: Quota, now: float) -> Account:
        """Return a new account with a balance computed from recent spending."""
        self.begin(now)
        started_at = now if self._started_at is None else self._started_at
        since = now - SPENDING_RETENTION_S
        rate_per_s, capacity = quota.rate_per_s * self.share, self._get_capacity(quota)
        is_spending_known = (
            self.starts_full or name in self._reported or started_at <= since
        )
        account = (
            Account(capacity, since) if is_spending_known else Account(0.0, started_at)
        )
        for at, amount in self.spending.list_slots(name, now):
            account.fill(rate_per_s, capacity, at)
            account.balance -= amount
        return account
