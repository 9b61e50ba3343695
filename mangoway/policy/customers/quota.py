"""Holds customers to their quotas, each over all hosts together.

Whoever grants places counts: the scheduler sees all requests for engines before they
run, and hears at once of those for plain services, which hosts let in by themselves.
Two that grant at a time have a part of each quota, by the hosts that they hear. A
customer may come into debt, by what was let in uncounted; nothing is
granted until that is made good.
"""

from collections.abc import Iterable

from attrs import define, field

from ...models.customer import Customer, CustomerRegistry, Quota
from .const import LENT_S, SLACK_USED, SPENDING_RETENTION_S
from .spending import SpendingEntry, SpendingHistory


@define(eq=False)
class Account:
    """What a customer may still spend."""

    balance: float
    filled_at: float
    """Time up to which the quota's rate was added."""

    is_sure: bool = True
    """Whether all that is known to have been spent was taken off."""

    def fill(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Add what the rate has brought since."""
        earned = rate_per_s * max(0.0, now - self.filled_at)
        self.balance = min(capacity, self.balance + earned)
        self.filled_at = max(self.filled_at, now)


@define(eq=False)
class QuotaTracker:
    """The accounts of all customers, as far as one process grants."""

    slack: float = 0.0
    """What the whole fleet may grant beyond a quota for a while."""

    starts_full: bool = True
    """Whether nothing has to be known of earlier spending. A scheduler that starts
    may follow one that granted until then, and gives nobody a second burst."""

    share: float = 1.0
    """Part of each quota that this process may grant."""

    registry: CustomerRegistry | None = None
    _lent_until: float = field(default=-1e9, init=False)
    """Time until which customers may come into debt."""

    _not_lent: frozenset[str] = field(default=frozenset(), init=False)
    """Customers who may not, since they had nothing left."""

    spending: SpendingHistory = field(factory=SpendingHistory, init=False)
    _accounts: dict[str, Account] = field(factory=dict, init=False)
    _began_at: float | None = field(default=None, init=False)
    """When this book was first used."""

    _told: set[str] = field(factory=set, init=False)
    """Customers of whose earlier spending others have told."""

    def begin(self, now: float) -> None:
        """Note the time from which rates are added to accounts."""
        if self._began_at is None:
            self._began_at = now

    def allow_overdraft(self, exhausted: Iterable[str], now: float) -> None:
        """Let customers come into debt for a moment, as the one who granted is lost.

        Args:
            exhausted: Customers who had nothing left.
            now: Time in seconds.
        """
        self._lent_until = now + LENT_S
        self._not_lent = frozenset(exhausted)

    def try_consume(self, name: str, amount: float, now: float) -> float:
        """Take an amount if the customer's quota has it.

        A request that is larger than all that an account holds needs a full one.

        Returns:
            0.0 if it was taken, otherwise the seconds until it can be where the whole
            quota is granted: a host that is alone hears a scheduler sooner than its
            own part is refilled.
        """
        quota = self._find_quota(name)
        if quota is None:
            return 0.0
        account = self._fill(name, quota, now)
        missing = min(amount, self._hold(quota)) - account.balance
        if missing > 0 and not self._lends(name, now):
            return missing / quota.rate_per_s
        account.balance -= amount
        self.spending.add(name, amount, now)
        return 0.0

    def record_spending(self, name: str, amount: float, now: float) -> None:
        """Count what a host let in by itself; a negative amount was given back."""
        quota = self._find_quota(name)
        if quota is not None:
            self._fill(name, quota, now).balance -= amount
        self.spending.add(name, amount, now)

    def add_reported_spending(self, rows: Iterable[SpendingEntry], now: float) -> None:
        """Take what a host spent before this process granted its requests."""
        for each in rows:
            self.spending.add(each.customer, each.amount, now - each.age_s)
            self._told.add(each.customer)
            account = self._accounts.get(each.customer)
            if account is not None:
                account.is_sure = False

    def list_exhausted(self, now: float) -> list[tuple[str, float]]:
        """Return the customers who have nothing left, and in how many seconds they do.

        Hosts refuse by this list what needs no place at a runner.
        """
        exhausted = []
        for customer in self._list_limited():
            quota = customer.quota
            if quota is None or customer.name not in self._accounts:
                continue
            account = self._fill(customer.name, quota, now)
            missing = customer.measure(None) - account.balance
            if missing > 0:
                wait_s = missing / (quota.rate_per_s * self.share)
                exhausted.append((customer.name, wait_s))
        return exhausted

    def get_balance(self, name: str, now: float) -> float | None:
        """Return what a customer may still spend; None without a limit."""
        quota = self._find_quota(name)
        return None if quota is None else self._fill(name, quota, now).balance

    def describe(self, most: int, now: float) -> list[str]:
        """Return lines on the customers who have the least left, in seconds of rate."""
        rows = []
        for customer in self._list_limited():
            balance = self.get_balance(customer.name, now)
            if balance is not None and customer.quota is not None:
                seconds = balance / customer.quota.rate_per_s
                rows.append(
                    (seconds, f"{customer.name} {balance:.0f}, {seconds:.2f} s")
                )
        return [text for _, text in sorted(rows)[:most]]

    def _lends(self, name: str, now: float) -> bool:
        return now < self._lent_until and name not in self._not_lent

    def _list_limited(self) -> list[Customer]:
        return [] if self.registry is None else self.registry.list_customers()

    def _find_quota(self, name: str) -> Quota | None:
        customer = None if self.registry is None else self.registry.find_by_name(name)
        return None if customer is None else customer.quota

    def _hold(self, quota: Quota) -> float:
        """Return what an account holds at most."""
        return (quota.burst + SLACK_USED * self.slack) * self.share

    def _fill(self, name: str, quota: Quota, now: float) -> Account:
        account = self._accounts.get(name)
        if account is None or not account.is_sure:
            account = self._accounts[name] = self._work_out(name, quota, now)
        account.fill(quota.rate_per_s * self.share, self._hold(quota), now)
        return account

    def _work_out(self, name: str, quota: Quota, now: float) -> Account:
        """Return an account from what was spent lately."""
        self.begin(now)
        began_at = now if self._began_at is None else self._began_at
        since = now - SPENDING_RETENTION_S
        rate_per_s, capacity = quota.rate_per_s * self.share, self._hold(quota)
        knows = self.starts_full or name in self._told or began_at <= since
        account = Account(capacity, since) if knows else Account(0.0, began_at)
        for at, amount in self.spending.list_slots(name, now):
            account.fill(rate_per_s, capacity, at)
            account.balance -= amount
        return account
