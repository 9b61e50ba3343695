"""Sending of orders to engines and handling of their answers."""

from attrs import define

from ...models.order import Order, OrderKind, OrderOutcome
from ...models.verdict import Verdict
from .actions import SendOrder
from .const import (
    LOAD_REPORT_TIMEOUT_S,
    MAX_ORDER_RETRY_DELAY_S,
    ORDER_SEND_WINDOW_S,
)
from .events import (
    OrderAnswered,
    OrderFailed,
)
from .ledger_access import LedgerAccess
from .outbox import Outbox
from .remaining_copies import cancel_unload
from .runners import PendingOrder, RetryBackoff, Runner
from .state import PlacementState


@define
class OrderSender:
    """Sends orders and handles their answers and failures."""

    state: PlacementState
    outbox: Outbox
    ledger_access: LedgerAccess

    def send(self, runner: Runner, pending: PendingOrder, now: float) -> None:
        """Send an order whose ledger write took effect, unless it is too late."""
        description = runner.description
        ledger = runner.ledger
        send_before = pending.requested_at + ORDER_SEND_WINDOW_S
        if not self._may_send(runner, now, send_before):
            cancel_unload(runner, pending)
            self.outbox.explain(pending.artifact, runner, "order_dropped")
            return
        if description is None or ledger is None:
            return
        runner.unsent_unloads.pop(pending.artifact, None)
        runner.sent_orders[pending.id] = pending
        if pending.kind is OrderKind.LOAD:
            runner.order_tracker.loads.record_sent(pending.artifact, pending.id)
            self.outbox.explain(pending.artifact, runner, "load_ordered")
        else:
            runner.order_tracker.unloads.record_sent(pending.artifact, pending.id)
            self.outbox.explain(pending.artifact, runner, "unload_ordered")
        self.outbox.dirty_runners.add(runner.id)
        order = Order(
            id=pending.id,
            upstream=runner.id,
            incarnation=description.incarnation,
            fence=pending.fence,
            kind=pending.kind,
            artifact=pending.artifact,
            memory_mb=pending.memory_mb,
        )
        self.outbox.actions.append(SendOrder(order=order, send_before=send_before))

    def _may_send(self, runner: Runner, now: float, send_before: float) -> bool:
        """Return whether the ledger still permits the order and it is not too late."""
        if not self.ledger_access.is_active or now > send_before:
            return False
        if runner.description is None or runner.report is None:
            return False
        return (
            runner.ledger is not None
            and runner.ledger.incarnation == runner.description.incarnation
        )

    def handle_answer(self, event: OrderAnswered, now: float) -> None:
        """Handle an engine's answer to an order."""
        runner = self.state.runners.get(event.upstream_id)
        pending = (
            None if runner is None else runner.sent_orders.pop(event.order_id, None)
        )
        if runner is None or pending is None:
            return
        self._record_closed(
            runner, pending, now + self.ledger_access.find_lateness_bound_s()
        )
        if event.outcome is OrderOutcome.ACCEPTED:
            runner.retries.pop(pending.artifact, None)
            if pending.kind is OrderKind.LOAD:
                runner.set_load_deadline(pending.artifact, now)
            else:
                # Reports lag, so the next ones may still contain the artifact.
                retry = RetryBackoff(until=now + LOAD_REPORT_TIMEOUT_S)
                runner.retries[pending.artifact] = retry
            return
        min_wait_s = {OrderOutcome.REJECTED_UNKNOWN: MAX_ORDER_RETRY_DELAY_S}.get(
            event.outcome, 1.0
        )
        self._record_failure(runner, pending, now, min_wait_s)
        if event.outcome is OrderOutcome.REJECTED_STALE_FENCE:
            runner.is_ledger_known = False
        self.outbox.explain(pending.artifact, runner, event.outcome.value)

    def handle_failure(self, event: OrderFailed, now: float) -> None:
        """Handle the failure of an order without an answer."""
        runner = self.state.runners.get(event.upstream_id)
        pending = (
            None if runner is None else runner.sent_orders.pop(event.order_id, None)
        )
        if runner is None or pending is None:
            return
        if event.verdict is Verdict.NOT_RUN:
            self._record_closed(runner, pending, now)
        else:
            self._record_closed(
                runner, pending, now + self.ledger_access.find_lateness_bound_s()
            )
            if pending.kind is OrderKind.LOAD:
                runner.set_load_deadline(pending.artifact, now)
        self._record_failure(runner, pending, now, 1.0)
        self.outbox.explain(
            pending.artifact, runner, "order_failed", event.verdict.value
        )

    def _record_closed(
        self, runner: Runner, pending: PendingOrder, latest_arrival: float
    ) -> None:
        is_load = pending.kind is OrderKind.LOAD
        bounds = runner.order_tracker.loads if is_load else runner.order_tracker.unloads
        bounds.record_closed(pending.artifact, pending.id, latest_arrival)
        self.outbox.dirty_runners.add(runner.id)

    def _record_failure(
        self, runner: Runner, pending: PendingOrder, now: float, min_wait_s: float
    ) -> None:
        retry = runner.retries.setdefault(pending.artifact, RetryBackoff())
        retry.record_failure(now, min_wait_s)
