"""Shares of the customers in the runners of one service."""

import math
from typing import Final

from attrs import define, field, frozen

from .virtual_time import Account, VirtualClock

MAX_LAG_S: Final = 1.0
"""Time of the whole service by which a customer with requests may be behind the others.
A customer whose requests wait for a busy model would otherwise collect an unlimited
claim on the runners of other models."""

MIN_DROPPED_ACCOUNTS: Final = 64
"""Accounts from which idle ones are looked for, to drop them."""

RECENT_USE_DECAY_S: Final = 2.0
"""Time in which a customer's recent use decays to a third: some streams, and a part of
the 5 s for which a customer sends a multiple of its usual load."""

ACTIVE_S: Final = 5.0
"""Time after its last request for which a customer counts as active, so that room is
kept for customers that send a request now and then."""

UPDATE_PERIOD_S: Final = 0.1
"""Time between two comparisons of the customers' use, which read all accounts."""

ChargeKey = tuple[str, str]
"""Edge and request id."""


@define(eq=False)
class CustomerAccount(Account):
    """Account of one customer."""

    waiting: int = 0
    running: int = 0
    used_s: float = 0.0
    """Runner time charged in the current period."""

    recent_s: float = 0.0
    """Runner time charged recently, decayed until the last charge; without requests
    that did not run."""

    charged_at: float = -math.inf
    is_above: bool = False
    """Whether it recently used more than its share."""

    def measure_recent_s(self, now: float) -> float:
        """Return the runner time charged recently."""
        if not self.recent_s:
            return 0.0
        return self.recent_s * math.exp((self.charged_at - now) / RECENT_USE_DECAY_S)

    @property
    def is_idle(self) -> bool:
        """Return whether the customer has no requests."""
        return not self.waiting and not self.running


@frozen
class Charge:
    """Runner time charged for a running request."""

    customer: str
    seconds: float
    service_s: float
    """The same as time of the whole service."""

    charged_at: float
    rank: int


@frozen(kw_only=True)
class CustomerUsage:
    """What a customer used in a period."""

    customer: str
    used_s: float
    """Runner time: prefill, and decoding divided by the slots of a runner."""

    share: float
    """Share of the runner time that all customers used."""

    fair_share: float
    """Share by weight among the customers that used any or wait."""

    waiting: int

    @property
    def ratio(self) -> float:
        """Return the used share relative to the fair share."""
        return self.share / self.fair_share if self.fair_share else 0.0


@define(eq=False)
class CustomerShares:
    """Virtual times of the customers of one service.

    A customer is charged when its request is granted, by the expected runner time. The
    charge is corrected when the request ends.
    """

    weights: dict[str, float] = field(factory=dict)
    """Weights of customers; 1.0 for those that aren't named."""

    _clocks: dict[int, VirtualClock] = field(factory=dict, init=False)
    """Clock of each rank. With one clock, the use of a higher rank would leave all
    customers of the others behind by the limit, and thus without an order."""

    _accounts: dict[str, CustomerAccount] = field(factory=dict, init=False)
    _charges: dict[ChargeKey, Charge] = field(factory=dict, init=False)
    _updated_at: float = field(default=-math.inf, init=False)
    _charged_at: float = field(default=-math.inf, init=False)
    """Time of the last charge of any customer."""

    def get_clock(self, rank: int = 0) -> VirtualClock:
        """Return the clock of the requests of a rank."""
        clock = self._clocks.get(rank)
        if clock is None:
            clock = self._clocks[rank] = VirtualClock(max_lag=MAX_LAG_S)
        return clock

    def add_waiting(self, customer: str, rank: int = 0) -> None:
        """Count a request that begins to wait."""
        self._get_active(customer, rank).waiting += 1

    def remove_waiting(self, customer: str) -> None:
        """Count a request that no longer waits."""
        account = self._accounts.get(customer)
        if account is not None and account.waiting:
            account.waiting -= 1

    def read(self, customer: str, rank: int = 0) -> float:
        """Return the virtual time of a customer; the lowest of a rank goes first."""
        account, clock = self._accounts.get(customer), self.get_clock(rank)
        return clock.now if account is None else clock.read(account)

    def scale(self, customer: str, work: float) -> float:
        """Return the virtual time that some work takes a customer."""
        return work / self.weights.get(customer, 1.0)

    def charge(
        self,
        key: ChargeKey,
        customer: str,
        seconds: float,
        runners: int,
        now: float,
        rank: int = 0,
    ) -> None:
        """Charge a granted request.

        Args:
            key: Edge and id of the request.
            customer: Its customer.
            seconds: Runner time that it is expected to use.
            runners: Number of runners of the service.
            now: Time in seconds.
            rank: Rank of the request.
        """
        # An earlier run of the same request may have ended without notice.
        self.settle(key, None)
        account = self._get_active(customer, rank)
        service_s = seconds / max(1, runners)
        self.get_clock(rank).charge(account, service_s)
        account.running += 1
        account.used_s += seconds
        account.recent_s = account.measure_recent_s(now) + seconds
        account.charged_at = self._charged_at = now
        self._charges[key] = Charge(customer, seconds, service_s, now, rank)

    def is_above(self, customer: str, room: float, now: float) -> bool:
        """Return whether a customer recently used more than its share of all runners.

        Nobody does while there are no other active customers.

        Args:
            customer: The customer.
            room: Runner time per second that is shared: the number of runners, or the
                part of it that this process may use.
            now: Time in seconds.
        """
        self._update_above(room, now)
        account = self._accounts.get(customer)
        return account is not None and account.is_above

    def _update_above(self, room: float, now: float) -> None:
        if now - self._updated_at < UPDATE_PERIOD_S:
            return
        self._updated_at = now
        active = [
            each
            for each in self._accounts.values()
            if not each.is_idle or each.charged_at > now - ACTIVE_S
        ]
        weight = sum(each.weight for each in active)
        used = [each.measure_recent_s(now) / RECENT_USE_DECAY_S for each in active]
        # Streams take longer beside many prompts, so that the sum may exceed the room.
        room = max(room, sum(used))
        for each, rate in zip(active, used, strict=True):
            each.is_above = len(active) > 1 and rate > room * each.weight / weight

    def settle(self, key: ChargeKey, used_s: float | None) -> None:
        """Correct the charge of a request that ended.

        Args:
            key: Edge and id of the request.
            used_s: Runner time that it used; None if unknown.
        """
        charge = self._charges.pop(key, None)
        if charge is None:
            return
        account = self._accounts[charge.customer]
        account.running -= 1
        if used_s is None or not charge.seconds:
            return
        account.used_s += used_s - charge.seconds
        if not used_s:
            decay = math.exp(
                (charge.charged_at - account.charged_at) / RECENT_USE_DECAY_S
            )
            account.recent_s = max(0.0, account.recent_s - charge.seconds * decay)
        factor = used_s / charge.seconds - 1
        self.get_clock(charge.rank).correct(account, factor * charge.service_s)

    def settle_edge(self, edge: str) -> None:
        """Settle the charges of an edge's requests, as expected."""
        for key in [each for each in self._charges if each[0] == edge]:
            self.settle(key, None)

    def start_period(self) -> list[CustomerUsage]:
        """Return the customers' usage since the last call, the highest first."""
        active = {
            name: each
            for name, each in self._accounts.items()
            if each.used_s > 0 or not each.is_idle
        }
        used_s = sum(max(0.0, each.used_s) for each in active.values())
        weight = sum(each.weight for each in active.values())
        usages = [
            CustomerUsage(
                customer=name,
                used_s=max(0.0, each.used_s),
                share=max(0.0, each.used_s) / used_s if used_s else 0.0,
                fair_share=each.weight / weight,
                waiting=each.waiting,
            )
            for name, each in active.items()
        ]
        for each in self._accounts.values():
            each.used_s = 0.0
        self._drop_idle()
        return sorted(usages, key=lambda each: (-each.ratio, each.customer))

    def _get_active(self, customer: str, rank: int) -> CustomerAccount:
        """Return the account of a customer that has a request from now on."""
        account = self._accounts.get(customer)
        if account is None:
            if len(self._accounts) >= MIN_DROPPED_ACCOUNTS:
                self._drop_idle()
            account = self._accounts[customer] = CustomerAccount()
        if account.is_idle:
            self.get_clock(rank).resume(account, self.weights.get(customer, 1.0))
        return account

    def _drop_idle(self) -> None:
        self._accounts = {
            name: each
            for name, each in self._accounts.items()
            if not each.is_idle
            or any(clock.is_ahead(each) for clock in self._clocks.values())
            or each.used_s
            or each.charged_at > self._charged_at - ACTIVE_S
        }
