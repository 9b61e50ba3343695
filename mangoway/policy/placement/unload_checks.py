"""Checks between marking an unload and sending its order."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import OrderId
from .ledger_access import LedgerAccess
from .order_sender import OrderSender
from .outbox import Outbox
from .remaining_copies import (
    UnloadCheck,
    cancel_unload,
    is_floor_met,
    list_remaining_copies,
)
from .runners import PendingOrder, Runner
from .state import PlacementState


@define
class UnloadChecks:
    """Marked unloads that wait for reads of the remaining copies' ledgers."""

    state: PlacementState
    outbox: Outbox
    ledger_access: LedgerAccess
    order_sender: OrderSender
    _checks: dict[OrderId, UnloadCheck] = field(factory=dict)

    def is_waiting(self, order: OrderId) -> bool:
        """Return whether an unload waits for a ledger read."""
        return order in self._checks

    def clear(self) -> None:
        """Cancel all waiting unloads."""
        for check in self._checks.values():
            cancel_unload(check.runner, check.order)
        self._checks.clear()

    def start(self, runner: Runner, order: PendingOrder, now: float) -> None:
        """Send a marked unload, or first read the ledgers of the remaining copies.

        It is cancelled if the remaining copies would not meet the floor, or if this
        controller may not access ledgers now.
        """
        artifact = order.artifact
        if artifact not in self.state.offered:
            self.order_sender.send(runner, order, now)
            return
        remaining = list_remaining_copies(self.state, runner, artifact, now)
        is_met = is_floor_met(self.state, artifact, remaining)
        if not is_met or not self.ledger_access.is_active:
            self._cancel(runner, order, "unload_abandoned_last_copy")
            return
        # The unload counts as open from now on, so that reconciliation keeps its mark
        # until the order is sent or cancelled.
        runner.order_tracker.unloads.record_sent(artifact, order.id)
        for upstream_id in remaining:
            self.ledger_access.request_read(self.state.runners[upstream_id])
        self._checks[order.id] = UnloadCheck(
            runner=runner,
            order=order,
            pending_reads={
                upstream_id: self.state.runners[upstream_id].pending_reads
                for upstream_id in remaining
            },
            remaining=tuple(remaining),
        )

    def count_read(self, runner: Runner, now: float) -> None:
        """Count a read of a runner's ledger; finish the checks that it completes."""
        for order_id, check in list(self._checks.items()):
            if check.count_read(runner.id):
                del self._checks[order_id]
                self._finish_check(check, now)

    def _finish_check(self, check: UnloadCheck, now: float) -> None:
        artifact = check.order.artifact
        self.refresh_copies(now)
        current = list_remaining_copies(self.state, check.runner, artifact, now)
        remaining = [each for each in current if each in check.remaining]
        if is_floor_met(self.state, artifact, remaining):
            self.order_sender.send(check.runner, check.order, now)
        else:
            self._cancel(check.runner, check.order, "unload_abandoned_last_copy")

    def cancel_waiting(self, runner: Runner) -> None:
        """Cancel the unloads that wait for a ledger that is unavailable."""
        for order_id, check in list(self._checks.items()):
            if runner.id in check.pending_reads:
                del self._checks[order_id]
                self._cancel(check.runner, check.order, "unload_abandoned_no_ledger")

    def _cancel(self, runner: Runner, order: PendingOrder, reason: str) -> None:
        cancel_unload(runner, order)
        self.outbox.explain(order.artifact, runner, reason)

    def refresh_copies(self, now: float) -> set[Artifact]:
        """Update the copies of changed runners; return the artifacts that changed."""
        changed: set[Artifact] = set()
        for upstream_id in self.outbox.dirty_runners:
            runner = self.state.runners.get(upstream_id)
            if runner is not None:
                changed |= self.state.copies.update(runner, now)
        self.outbox.changed_artifacts |= changed
        return changed
