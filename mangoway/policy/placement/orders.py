"""Orders to engines and their answers."""

from attrs import define

from ...models.order import Order, OrderKind, OrderOutcome
from ...models.verdict import Verdict
from .actions import SendOrder
from .const import (
    LOAD_APPEAR_S,
    MAX_RETRY_S,
    ORDER_SEND_WINDOW_S,
)
from .events import (
    OrderAnswered,
    OrderFailed,
)
from .guards import give_up
from .ledger_access import LedgerAccess
from .outbox import Outbox
from .runners import PendingOrder, Retry, Runner
from .state import PlacementState


@define
class Orders:
    """Sends orders and takes what comes of them."""

    state: PlacementState
    outbox: Outbox
    access: LedgerAccess

    def send(self, runner: Runner, pending: PendingOrder, now: float) -> None:
        """Send an order whose ledger write took effect, if it is in time."""
        description = runner.description
        ledger = runner.ledger
        send_before = pending.asked_at + ORDER_SEND_WINDOW_S
        if not self._may_send(runner, now, send_before):
            give_up(runner, pending)
            self.outbox.explain(pending.artifact, runner, "order_dropped")
            return
        if description is None or ledger is None:
            return
        runner.unsent.pop(pending.artifact, None)
        runner.sent[pending.id] = pending
        if pending.kind is OrderKind.LOAD:
            runner.evidence.loads.open(pending.artifact, pending.id)
            self.outbox.explain(pending.artifact, runner, "load_ordered")
        else:
            runner.evidence.unloads.open(pending.artifact, pending.id)
            self.outbox.explain(pending.artifact, runner, "unload_ordered")
        self.outbox.dirty.add(runner.id)
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
        """Return whether the ledger still speaks for the order, and it is in time."""
        if not self.access.is_active or now > send_before:
            return False
        if runner.description is None or runner.report is None:
            return False
        return (
            runner.ledger is not None
            and runner.ledger.incarnation == runner.description.incarnation
        )

    def take_answer(self, event: OrderAnswered, now: float) -> None:
        """Take an engine's answer to an order."""
        runner = self.state.runners.get(event.upstream_id)
        pending = None if runner is None else runner.sent.pop(event.order_id, None)
        if runner is None or pending is None:
            return
        self._close(runner, pending, now + self.access.find_bound_s())
        if event.outcome is OrderOutcome.ACCEPTED:
            runner.retries.pop(pending.artifact, None)
            if pending.kind is OrderKind.LOAD:
                runner.expect(pending.artifact, now)
            else:
                # Reports lag: the next ones may still show the artifact.
                retry = Retry(until=now + LOAD_APPEAR_S)
                runner.retries[pending.artifact] = retry
            return
        least_s = {OrderOutcome.REFUSED_UNKNOWN: MAX_RETRY_S}.get(event.outcome, 1.0)
        self._fail(runner, pending, now, least_s)
        if event.outcome is OrderOutcome.REFUSED_STALE_FENCE:
            runner.is_ledger_known = False
        self.outbox.explain(pending.artifact, runner, event.outcome.value)

    def take_failure(self, event: OrderFailed, now: float) -> None:
        """Take the failure of an order that got no answer."""
        runner = self.state.runners.get(event.upstream_id)
        pending = None if runner is None else runner.sent.pop(event.order_id, None)
        if runner is None or pending is None:
            return
        if event.verdict is Verdict.NOT_RUN:
            self._close(runner, pending, now)
        else:
            self._close(runner, pending, now + self.access.find_bound_s())
            if pending.kind is OrderKind.LOAD:
                runner.expect(pending.artifact, now)
        self._fail(runner, pending, now, 1.0)
        self.outbox.explain(
            pending.artifact, runner, "order_failed", event.verdict.value
        )

    def _close(self, runner: Runner, pending: PendingOrder, quiet_at: float) -> None:
        loads = pending.kind is OrderKind.LOAD
        times = runner.evidence.loads if loads else runner.evidence.unloads
        times.close(pending.artifact, pending.id, quiet_at)
        self.outbox.dirty.add(runner.id)

    def _fail(
        self, runner: Runner, pending: PendingOrder, now: float, least_s: float
    ) -> None:
        retry = runner.retries.setdefault(pending.artifact, Retry())
        retry.fail(now, least_s)
