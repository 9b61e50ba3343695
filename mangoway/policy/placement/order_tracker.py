"""Tracking of orders that may still take effect.

An engine that checks fences rejects orders that carry an older fence or are meant
for another incarnation. Any other engine may act on a lost, late or duplicated
order until the site's bound on order lateness has passed since its connection
closed.
"""

from math import inf

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import FenceNumber, OrderId
from ...models.order import Ledger, LedgerEntry
from ...models.upstream import EngineReport


@define
class ArrivalBounds:
    """Latest arrival times of orders of one kind to one runner."""

    _open_orders: dict[Artifact, OrderId] = field(factory=dict)
    _latest_arrivals: dict[Artifact, float] = field(factory=dict)

    def record_sent(self, artifact: Artifact, order: OrderId) -> None:
        """Record that an order was sent."""
        self._open_orders[artifact] = order

    def record_closed(
        self, artifact: Artifact, order: OrderId, latest_arrival: float
    ) -> None:
        """Record that an order's connection closed and until when it may arrive."""
        if self._open_orders.get(artifact) == order:
            del self._open_orders[artifact]
        self.extend(artifact, latest_arrival)

    def extend(self, artifact: Artifact, latest_arrival: float) -> None:
        """Extend the time until which an order may still arrive; never shorten it."""
        self._latest_arrivals[artifact] = max(
            latest_arrival, self._latest_arrivals.get(artifact, -inf)
        )

    def is_open(self, artifact: Artifact) -> bool:
        """Return whether an order of this controller has no answer yet."""
        return artifact in self._open_orders

    def find_latest_arrival(self, artifact: Artifact) -> float:
        """Return the time after which no order can arrive.

        It is infinite while an order has no answer.
        """
        if artifact in self._open_orders:
            return inf
        return self._latest_arrivals.get(artifact, -inf)

    def expire(self, retained: set[Artifact], now: float) -> None:
        """Remove times that have passed of artifacts that are not retained."""
        stale = [
            artifact
            for artifact, latest_arrival in self._latest_arrivals.items()
            if artifact not in retained and latest_arrival <= now
        ]
        for artifact in stale:
            del self._latest_arrivals[artifact]


@define
class OrderTracker:
    """Tracker of the orders from all controllers to one runner."""

    loads: ArrivalBounds = field(factory=ArrivalBounds)
    unloads: ArrivalBounds = field(factory=ArrivalBounds)
    _fences: dict[Artifact, FenceNumber] = field(factory=dict)
    """Fence of each ledger entry whose arrival bounds are recorded."""

    def record_written(self, ledger: Ledger) -> None:
        """Record the fences of a ledger that this controller wrote."""
        entries = (*ledger.resident, *ledger.reserved)
        self._fences = {entry.artifact: entry.reserved_fence for entry in entries}

    def record_read(
        self, ledger: Ledger, own_prefix: str, latest_arrival: float
    ) -> None:
        """Record the orders that other controllers may have sent.

        Args:
            ledger: Ledger that was read.
            own_prefix: Prefix of this controller's order identifiers. Its own orders
                that are not recorded here were never sent.
            latest_arrival: Time after which orders of others can no longer arrive.
        """
        for entry in (*ledger.resident, *ledger.reserved):
            if self._fences.get(entry.artifact) == entry.reserved_fence:
                continue
            if entry.order is None or not entry.order.startswith(own_prefix):
                self.loads.extend(entry.artifact, latest_arrival)
                self.unloads.extend(entry.artifact, latest_arrival)
        self.record_written(ledger)

    def expire(self, ledger: Ledger, now: float) -> None:
        """Remove expired times of artifacts that the ledger does not contain."""
        retained = {entry.artifact for entry in (*ledger.resident, *ledger.reserved)}
        self.loads.expire(retained, now)
        self.unloads.expire(retained, now)

    def is_load_over(
        self,
        entry: LedgerEntry,
        is_unload: bool,
        report: EngineReport,
        checks_fences: bool,
    ) -> bool:
        """Return whether a report proves that no load of an entry can follow it.

        Args:
            entry: Ledger entry.
            is_unload: Whether the entry's order is an unload.
            report: Report that does not contain the artifact.
            checks_fences: Whether the engine checks fences.
        """
        if self.loads.is_open(entry.artifact):
            return False
        if not checks_fences:
            return report.reported_at >= self.loads.find_latest_arrival(entry.artifact)
        if is_unload:
            # All earlier loads of the artifact carry fences below that of the unload.
            return report.fence >= entry.reserved_fence
        return report.fence > entry.reserved_fence

    def is_unload_over(
        self, entry: LedgerEntry, report: EngineReport, checks_fences: bool
    ) -> bool:
        """Return whether a report is later than any effect of a marked unload."""
        if self.unloads.is_open(entry.artifact):
            return False
        if checks_fences:
            return report.fence > entry.reserved_fence
        return report.reported_at >= self.unloads.find_latest_arrival(entry.artifact)
