"""What proves that an order can no longer take effect.

An engine that checks fences refuses orders that carry an older fence or are meant
for another incarnation. Any other engine may act on a lost, late or doubled order
until the site's bound on order lateness has passed since its connection closed.
"""

from math import inf

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import FenceNumber, OrderId
from ...models.order import Ledger, LedgerEntry
from ...models.upstream import EngineReport


@define
class OrderTimes:
    """When orders of one kind to one runner can no longer arrive."""

    _open: dict[Artifact, OrderId] = field(factory=dict)
    _quiet_at: dict[Artifact, float] = field(factory=dict)

    def open(self, artifact: Artifact, order: OrderId) -> None:
        """Note that an order was sent."""
        self._open[artifact] = order

    def close(self, artifact: Artifact, order: OrderId, quiet_at: float) -> None:
        """Note that an order's connection closed and when its copies are gone."""
        if self._open.get(artifact) == order:
            del self._open[artifact]
        self.extend(artifact, quiet_at)

    def extend(self, artifact: Artifact, quiet_at: float) -> None:
        """Note that an order may still arrive until a time."""
        self._quiet_at[artifact] = max(quiet_at, self._quiet_at.get(artifact, -inf))

    def is_open(self, artifact: Artifact) -> bool:
        """Return whether an order of this controller awaits its answer."""
        return artifact in self._open

    def find_quiet_at(self, artifact: Artifact) -> float:
        """Return the time after which no order can arrive; infinite while open."""
        if artifact in self._open:
            return inf
        return self._quiet_at.get(artifact, -inf)

    def forget(self, kept: set[Artifact], now: float) -> None:
        """Drop times that have passed of artifacts that are not kept."""
        stale = [
            artifact
            for artifact, quiet_at in self._quiet_at.items()
            if artifact not in kept and quiet_at <= now
        ]
        for artifact in stale:
            del self._quiet_at[artifact]


@define
class Evidence:
    """What one controller knows about orders to one runner."""

    loads: OrderTimes = field(factory=OrderTimes)
    unloads: OrderTimes = field(factory=OrderTimes)
    _fences: dict[Artifact, FenceNumber] = field(factory=dict)
    """Fence of each ledger entry whose order times are known."""

    def note_written(self, ledger: Ledger) -> None:
        """Take over the fences of a ledger that this controller wrote."""
        entries = (*ledger.resident, *ledger.reserved)
        self._fences = {entry.artifact: entry.reserved_fence for entry in entries}

    def note_read(self, ledger: Ledger, own_prefix: str, quiet_at: float) -> None:
        """Assume the worst of orders that other controllers may have sent.

        Args:
            ledger: Ledger as it was read.
            own_prefix: Start of the order identifiers of this controller. Its own
                orders that it does not know of were never sent.
            quiet_at: Time after which orders of others can no longer arrive.
        """
        for entry in (*ledger.resident, *ledger.reserved):
            if self._fences.get(entry.artifact) == entry.reserved_fence:
                continue
            if entry.order is None or not entry.order.startswith(own_prefix):
                self.loads.extend(entry.artifact, quiet_at)
                self.unloads.extend(entry.artifact, quiet_at)
        self.note_written(ledger)

    def forget(self, ledger: Ledger, now: float) -> None:
        """Drop what is known of artifacts that the ledger does not hold."""
        kept = {entry.artifact for entry in (*ledger.resident, *ledger.reserved)}
        self.loads.forget(kept, now)
        self.unloads.forget(kept, now)

    def is_load_over(
        self, entry: LedgerEntry, marked: bool, report: EngineReport, checks: bool
    ) -> bool:
        """Return whether a report proves that no load of an entry can follow it.

        Args:
            entry: Ledger entry.
            marked: Whether the entry's order is an unload.
            report: Report that does not show the artifact.
            checks: Whether the engine checks fences.
        """
        if self.loads.is_open(entry.artifact):
            return False
        if not checks:
            return report.reported_at >= self.loads.find_quiet_at(entry.artifact)
        if marked:
            # All loads of the artifact carry fences below that of the unload.
            return report.fence >= entry.reserved_fence
        return report.fence > entry.reserved_fence

    def is_unload_over(
        self, entry: LedgerEntry, report: EngineReport, checks: bool
    ) -> bool:
        """Return whether a report is later than all effects of a marked unload."""
        if self.unloads.is_open(entry.artifact):
            return False
        if checks:
            return report.fence > entry.reserved_fence
        return report.reported_at >= self.unloads.find_quiet_at(entry.artifact)
