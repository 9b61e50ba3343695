"""Accounting of weighted fair queueing by virtual time.

Each party has an account, whose virtual time is the work that it received, divided by
its weight. The party with the lowest virtual time is served next. A party that was idle
starts at the virtual time of the party served last, so that it neither banks credit nor
waits for others to catch up (start-time fair queueing).
"""

from attrs import define


@define(eq=False)
class Account:
    """Virtual time of one party."""

    weight: float = 1.0
    """Relative share of the party; must be positive."""

    virtual_time: float = 0.0
    """Work received, divided by the weight."""


@define(eq=False)
class VirtualClock:
    """Virtual time of a queue: that at which its last party was served."""

    now: float = 0.0
    max_lag: float | None = None
    """Largest virtual time by which an account may be behind; None for no limit."""

    def resume(self, account: Account, weight: float) -> None:
        """Start an account whose party was idle."""
        account.weight = weight
        account.virtual_time = max(account.virtual_time, self.now)

    def read(self, account: Account) -> float:
        """Return the virtual time by which a party is ordered, lag limited."""
        if self.max_lag is None:
            return account.virtual_time
        return max(account.virtual_time, self.now - self.max_lag)

    def charge(self, account: Account, work: float) -> None:
        """Charge work to a party that is served now."""
        started_at = self.read(account)
        self.now = max(self.now, started_at)
        account.virtual_time = started_at + work / account.weight

    def correct(self, account: Account, work: float) -> None:
        """Correct an earlier charge by the difference to the work that was done."""
        account.virtual_time += work / account.weight

    def is_ahead(self, account: Account) -> bool:
        """Return whether a party received more than it would have after idling.

        The account of an idle party that isn't ahead can be dropped: a new one would
        start at the same virtual time.
        """
        return account.virtual_time > self.now
