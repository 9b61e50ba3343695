"""Logs and measures how customers share the runners of a service."""

from typing import Final

from attrs import define, field

from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..observability.sharing_events import SharesSummed
from ..policy.fairness.shares import CustomerShares, CustomerUsage

MAX_DESCRIBED_CUSTOMERS: Final = 16
"""Customers in one summary; bounds the length of the log line."""


@define(eq=False)
class ShareReporter:
    """Reports the use of runners by customers."""

    metrics: Metrics
    _customers: dict[str, set[str]] = field(factory=dict, init=False)
    """Customers with metrics, by service."""

    def report(self, service: str, shares: CustomerShares) -> None:
        """Log what customers used since the last call, and set the metrics of it."""
        usages = shares.start_period()
        self._set_metrics(service, usages)
        if not usages:
            return
        lines = tuple(describe_usage(each) for each in usages[:MAX_DESCRIBED_CUSTOMERS])
        log_event(SharesSummed(service=service, shares=lines))

    def clear(self) -> None:
        """Drop all metrics: this process doesn't grant."""
        for service in self._customers:
            self._set_metrics(service, [])

    def _set_metrics(self, service: str, usages: list[CustomerUsage]) -> None:
        metrics, customers = self.metrics, {each.customer for each in usages}
        for customer in self._customers.get(service, set()) - customers:
            metrics.customer_shares.drop(service, customer)
            metrics.customer_share_ratios.drop(service, customer)
            metrics.customer_waiting.drop(service, customer)
        self._customers[service] = customers
        for each in usages:
            labels = (service, each.customer)
            metrics.customer_shares.set(*labels, level=round(each.share, 4))
            metrics.customer_share_ratios.set(*labels, level=round(each.ratio, 4))
            metrics.customer_waiting.set(*labels, level=each.waiting)


def describe_usage(usage: CustomerUsage) -> str:
    """Return the line of one customer."""
    side = "above" if usage.ratio > 1 else "below"
    return (
        f"{usage.customer or '-'}: {usage.share:.3f} / {usage.fair_share:.3f}, "
        f"{usage.used_s:.2f} s, {usage.waiting} waiting, {side}"
    )
