"""Reads and writes of the ledgers in the key-value service."""

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
from .outbox import Outbox
from .runners import PendingOrder, PendingWrite, Runner
from .state import PlacementState


@define
class LedgerAccess:
    """Asks for reads and writes, and takes over what was read."""

    state: PlacementState
    outbox: Outbox
    incarnation: IncarnationId
    is_active: bool = False

    def forget(self) -> None:
        """Believe no ledger until it was read again."""
        for runner in self.state.runners.values():
            runner.is_ledger_known = False
            runner.read_after = 0.0
            self.outbox.dirty.add(runner.id)

    def read_ledgers(self, now: float) -> None:
        """Read the ledgers that are not known.

        Without a configuration the bound on order lateness is not known, and so
        neither how long orders found in a ledger have to be waited for.
        """
        if not self.is_active or self.state.configuration is None:
            return
        for runner in self.state.runners.values():
            if runner.is_ledger_known or runner.reads or runner.write is not None:
                continue
            if runner.listed and runner.read_after <= now:
                self.read(runner)

    def read(self, runner: Runner) -> None:
        """Ask for one read of a ledger."""
        runner.reads += 1
        self.outbox.actions.append(ReadLedger(upstream_id=runner.id))

    def take(
        self,
        runner: Runner,
        ledger: Ledger | None,
        event: LedgerRead | LedgerConflicted,
        now: float,
    ) -> None:
        """Take over a ledger and its revision as the store has them."""
        # A key that was deleted is written again as it was last known here: orders
        # that it speaks of may still be on their way.
        runner.ledger = ledger or runner.ledger
        runner.revision = event.revision
        runner.is_ledger_known = True
        self.outbox.dirty.add(runner.id)
        if ledger is not None:
            quiet_at = now + ORDER_SEND_WINDOW_S + ORDER_TIMEOUT_S + self.find_bound_s()
            runner.evidence.note_read(ledger, f"{self.incarnation}-", quiet_at)

    def find_bound_s(self) -> float:
        """Return how long copies of an order may arrive after its connection closed."""
        if self.state.configuration is None:
            return inf
        return self.state.configuration.site.order_lateness_bound_s + REPORT_LAG_S

    def write(self, runner: Runner, ledger: Ledger, order: PendingOrder | None) -> None:
        """Ask for a ledger write, after which an order goes out."""
        ledger = evolve(ledger, writer=self.incarnation)
        runner.write = PendingWrite(ledger=ledger, order=order)
        self.outbox.actions.append(WriteLedger(ledger=ledger, expected=runner.revision))
