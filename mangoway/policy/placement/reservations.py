"""Stages of an order: ledger write, checks, sending and answer.

A load is sent only after the write that reserved its memory took effect. An unload is
marked in the ledger first; then the ledgers of the runners with the remaining copies
are read again. If two controllers each rely on the copy that the other one unloads, at
least one reads the other's mark, so the last copy stays even if both are active.
"""

from itertools import count

from attrs import define, evolve, field

from ...models.artifact import Artifact
from ...models.identifiers import IncarnationId, OrderId
from ...models.order import Ledger, OrderKind
from .const import (
    CONFLICT_RETRY_DELAY_S,
    LEDGER_RETRY_DELAY_S,
    MAX_CONFLICT_RETRY_DELAY_S,
)
from .events import (
    LedgerConflicted,
    LedgerRead,
    LedgerUnavailable,
    LedgerWritten,
)
from .ledger_access import LedgerAccess
from .ledgers import (
    clear_mark,
    create_ledger,
    is_marked,
    mark_unload,
    reconcile_ledger,
    reserve_load,
    restore_entries,
)
from .order_sender import OrderSender
from .outbox import Outbox
from .remaining_copies import remove_replacement
from .runners import PendingOrder, Runner
from .state import PlacementState
from .unload_checks import UnloadChecks


@define
class Reservations:
    """Writes ledgers, sends orders and handles their results."""

    state: PlacementState
    incarnation: IncarnationId
    outbox: Outbox = field(factory=Outbox)
    ledger_access: LedgerAccess = field(init=False)
    order_sender: OrderSender = field(init=False)
    unload_checks: UnloadChecks = field(init=False)
    _order_numbers: "count[int]" = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        state, outbox = self.state, self.outbox
        self.ledger_access = LedgerAccess(state, outbox, self.incarnation)
        self.order_sender = OrderSender(state, outbox, self.ledger_access)
        self.unload_checks = UnloadChecks(
            state, outbox, self.ledger_access, self.order_sender
        )

    # Lease and reads.

    def activate(self, now: float) -> None:
        """Start sending orders.

        All ledgers are read again, since other controllers may have written them.
        """
        self.ledger_access.is_active = True
        self.ledger_access.invalidate_ledgers()
        self.ledger_access.request_unknown_ledgers(now)

    def deactivate(self) -> None:
        """Stop sending orders; the answers of sent orders are still handled."""
        self.ledger_access.is_active = False
        self.unload_checks.clear()
        self.ledger_access.invalidate_ledgers()

    def handle_read(self, event: LedgerRead, now: float) -> None:
        """Handle a ledger that was read, and continue unloads that waited for it."""
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.pending_reads = max(runner.pending_reads - 1, 0)
        if not runner.is_ledger_known or event.revision >= runner.revision:
            self.ledger_access.adopt(runner, event.ledger, event, now)
        self.unload_checks.count_read(runner, now)

    # Writes.

    def reconcile(self, runner: Runner) -> Ledger | None:
        """Return the reconciled ledger; None if it cannot be determined."""
        if runner.description is None or runner.report is None:
            return None
        if self.state.configuration is None:
            return None
        floor_mb = self.state.configuration.site.kv_cache_floor_mb
        ledger = runner.ledger or create_ledger(runner.description, floor_mb)
        if runner.lost_ledger is not None:
            ledger = restore_entries(ledger, runner.lost_ledger)
        for artifact, order in runner.unsent_unloads.items():
            if not self.unload_checks.is_waiting(order.id):
                ledger = clear_mark(ledger, artifact, order.id)
        reconciled = reconcile_ledger(
            ledger, runner.description, runner.report, runner.order_tracker
        )
        return evolve(reconciled, kv_cache_floor_mb=floor_mb)

    def reconcile_runner(self, runner: Runner) -> bool:
        """Request the write of a runner's ledger if reconciliation changes it.

        Returns:
            Whether a write was requested.
        """
        if not runner.is_free or not self.ledger_access.is_active:
            return False
        ledger = self.reconcile(runner)
        if ledger is None or ledger == runner.ledger:
            return False
        self.ledger_access.request_write(runner, ledger, None)
        return True

    def request_load(self, runner: Runner, artifact: Artifact, now: float) -> bool:
        """Request the ledger write that reserves a load.

        Returns:
            Whether the write was requested.
        """
        ledger = self.reconcile(runner)
        if ledger is None or not runner.is_free:
            return False
        memory_mb = self.state.find_memory_mb(artifact)
        order_id = self._make_order_id()
        reserved = reserve_load(ledger, artifact, memory_mb, order_id)
        if reserved is None:
            return False
        order = PendingOrder(
            id=order_id,
            kind=OrderKind.LOAD,
            artifact=artifact,
            memory_mb=memory_mb,
            requested_at=now,
            fence=reserved.fence,
        )
        self.ledger_access.request_write(runner, reserved, order)
        return True

    def request_unload(self, runner: Runner, artifact: Artifact, now: float) -> bool:
        """Request the ledger write that marks an unload.

        Returns:
            Whether the write was requested.
        """
        ledger = self.reconcile(runner)
        if ledger is None or not runner.is_free:
            return False
        order_id = self._make_order_id()
        marked = mark_unload(ledger, artifact, order_id)
        if marked is None:
            return False
        order = PendingOrder(
            id=order_id,
            kind=OrderKind.UNLOAD,
            artifact=artifact,
            memory_mb=0,
            requested_at=now,
            fence=marked.fence,
            replaces_mark=is_marked(ledger, artifact),
        )
        self.ledger_access.request_write(runner, marked, order)
        return True

    def _make_order_id(self) -> OrderId:
        return OrderId(f"{self.incarnation}-{next(self._order_numbers)}")

    def handle_written(self, event: LedgerWritten, now: float) -> None:
        """Handle a write that took effect, and continue with its order."""
        runner = self.state.runners.get(event.upstream_id)
        if runner is None or runner.pending_write is None:
            return
        write = runner.pending_write
        runner.pending_write = None
        runner.conflicts = 0
        runner.ledger = event.ledger
        runner.lost_ledger = None
        runner.revision = event.revision
        runner.is_ledger_known = self.ledger_access.is_active
        runner.order_tracker.record_written(event.ledger)
        self._remove_unmarked(runner, event.ledger)
        self.outbox.dirty_runners.add(runner.id)
        if write.order is None:
            return
        if write.order.kind is OrderKind.LOAD:
            self.order_sender.send(runner, write.order, now)
        else:
            runner.unsent_unloads[write.order.artifact] = write.order
            self.unload_checks.start(runner, write.order, now)

    def _remove_unmarked(self, runner: Runner, ledger: Ledger) -> None:
        """Remove unsent unloads whose mark is no longer in the ledger."""
        marks = {entry.order for entry in ledger.resident}
        runner.unsent_unloads = {
            artifact: order
            for artifact, order in runner.unsent_unloads.items()
            if order.id in marks
        }

    def handle_conflict(self, event: LedgerConflicted, now: float) -> None:
        """Adopt the ledger that another controller wrote; the order is planned again.

        Two controllers that are active for a long time would spend their writes on
        conflicts. Therefore all but the first consecutive conflict delay the next
        write.
        """
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.pending_write = None
        self.ledger_access.adopt(runner, event.ledger, event, now)
        runner.is_ledger_known = self.ledger_access.is_active
        runner.conflicts += 1
        if runner.conflicts > 1:
            wait_s = CONFLICT_RETRY_DELAY_S * 2.0 ** (runner.conflicts - 2)
            runner.write_retry_at = now + min(wait_s, MAX_CONFLICT_RETRY_DELAY_S)
            runner.is_backing_off = True
        self.outbox.explain(None, runner, "ledger_conflict")

    def handle_unavailable(self, event: LedgerUnavailable, now: float) -> None:
        """Handle a read or write without a definite result.

        The ledger is read again later.
        """
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.read_retry_at = now + LEDGER_RETRY_DELAY_S
        if runner.pending_write is not None:
            order = runner.pending_write.order
            runner.pending_write = None
            if order is not None and order.kind is OrderKind.UNLOAD:
                runner.unsent_unloads[order.artifact] = order
                remove_replacement(runner, order)
            runner.is_ledger_known = False
        else:
            runner.pending_reads = max(runner.pending_reads - 1, 0)
            self.unload_checks.cancel_waiting(runner)
        self.outbox.dirty_runners.add(runner.id)
        self.outbox.explain(None, runner, "ledger_unavailable")
