"""Retry budgets of an edge, one per service."""

from collections.abc import Callable

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.edge.retry_budget import RetryBudget, RetryCredit, RetryLimits
from ..policy.edge.shares import FleetShare


@define(eq=False)
class RetryBudgets:
    """Counts the requests of each service and grants credits for their retries."""

    limits: RetryLimits
    share: FleetShare
    clock: Callable[[], float]
    boot_clock: Callable[[], float]
    _started_at: float = field(init=False)
    _budgets: dict[str, RetryBudget] = field(factory=dict, init=False)
    _logged: dict[str, int] = field(factory=dict, init=False)
    """Retries of each service, granted or rejected, up to the last log event."""

    def __attrs_post_init__(self) -> None:
        self._started_at = self.clock()

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        share = self.share.measure(self.boot_clock())
        self.get(service).record_request(self.clock(), share)

    def try_acquire(self, service: str) -> RetryCredit | None:
        """Acquire the credit for one retry; return None if the budget is exhausted."""
        share = self.share.measure(self.boot_clock())
        return self.get(service).try_acquire(self.clock(), share)

    def log_summary(self) -> None:
        """Log the budgets that were used since the last call."""
        share = self.share.measure(self.boot_clock())
        for service, budget in self._budgets.items():
            used = budget.repeats + budget.refused
            if used == self._logged.get(service, 0):
                continue
            self._logged[service] = used
            log_event(
                log.RetryBudgetSummed(
                    service=service,
                    requests=budget.requests,
                    repeats=budget.repeats,
                    refused=budget.refused,
                    left=round(budget.measure_available(self.clock(), share), 2),
                    share=round(share, 4),
                )
            )

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(
                self.limits, self._started_at, self.share.make_divider(service)
            )
        return budget
