"""Reads and writes of the ledgers in the key-value store."""

from math import inf

from attrs import define, evolve

from ...models.identifiers import IncarnationId
from ...models.order import Ledger
from .actions import ReadLedger, WriteLedger
from .const import (
    ORDER_SEND_WINDOW_S,
    ORDER_TIMEOUT_S,
    REPORT_LAG_S,
)
from .events import (
    LedgerConflicted,
    LedgerRead,
)
from .ledgers import is_older, restore_entries
from .outbox import Outbox
from .runners import PendingOrder, PendingWrite, Runner
from .state import PlacementState


@define
class LedgerAccess:
    """Requests reads and writes of ledgers and adopts what was read."""

    state: PlacementState
    outbox: Outbox
    incarnation: IncarnationId
    is_active: bool = False

    def invalidate_ledgers(self) -> None:
        """Mark all ledgers as unknown until they are read again."""
        for runner in self.state.runners.values():
            runner.is_ledger_known = False
            runner.read_retry_at = 0.0
            self.outbox.dirty_runners.add(runner.id)

    def request_unknown_ledgers(self, now: float) -> None:
        """Request reads of the ledgers that are unknown.

        Nothing is read without a configuration: it contains the bound on order
        lateness, which determines how long orders found in a ledger may still take
        effect.
        """
        if not self.is_active or self.state.configuration is None:
            return
        for runner in self.state.runners.values():
            if (
                runner.is_ledger_known
                or runner.pending_reads
                or runner.pending_write is not None
            ):
                continue
            if runner.listed and runner.read_retry_at <= now:
                self.request_read(runner)

    def request_read(self, runner: Runner) -> None:
        """Request a read of a ledger."""
        runner.pending_reads += 1
        self.outbox.actions.append(ReadLedger(upstream_id=runner.id))

    def adopt(
        self,
        runner: Runner,
        ledger: Ledger | None,
        event: LedgerRead | LedgerConflicted,
        now: float,
    ) -> None:
        """Adopt a ledger and its revision from the store."""
        # A deleted key is written again with its last known content, because the
        # orders in it may still take effect. So is what the store has lost since an
        # earlier state of the key.
        known = runner.ledger
        if known is not None and runner.lost_ledger is not None:
            known = restore_entries(known, runner.lost_ledger)
        if ledger is not None and known is not None and is_older(ledger, known):
            runner.lost_ledger = known
            self.outbox.explain(None, runner, "ledger_restored")
        runner.ledger = ledger or runner.ledger
        runner.revision = event.revision
        runner.is_ledger_known = True
        self.outbox.dirty_runners.add(runner.id)
        if ledger is not None:
            latest_arrival = (
                now
                + ORDER_SEND_WINDOW_S
                + ORDER_TIMEOUT_S
                + self.find_lateness_bound_s()
            )
            if runner.lost_ledger is not None:
                ledger = restore_entries(ledger, runner.lost_ledger)
            runner.order_tracker.record_read(
                ledger, f"{self.incarnation}-", latest_arrival
            )

    def find_lateness_bound_s(self) -> float:
        """Return for how long after its connection closed an order may be unreported.

        The order may arrive late, and the data of a report may be older than its time.
        """
        if self.state.configuration is None:
            return inf
        return self.state.configuration.site.order_lateness_bound_s + REPORT_LAG_S

    def request_write(
        self, runner: Runner, ledger: Ledger, order: PendingOrder | None
    ) -> None:
        """Request a ledger write, followed by sending an order if one is given."""
        ledger = evolve(ledger, writer=self.incarnation)
        runner.pending_write = PendingWrite(ledger=ledger, order=order)
        self.outbox.actions.append(WriteLedger(ledger=ledger, expected=runner.revision))
