"""Checks between the mark of an unload and its order."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import OrderId
from .guards import UnloadCheck, do_guards_suffice, give_up, list_guards
from .ledger_access import LedgerAccess
from .orders import Orders
from .outbox import Outbox
from .runners import PendingOrder, Runner
from .state import PlacementState


@define
class UnloadChecks:
    """Marked unloads that wait until the ledgers of their guards were read."""

    state: PlacementState
    outbox: Outbox
    access: LedgerAccess
    orders: Orders
    _checks: dict[OrderId, UnloadCheck] = field(factory=dict)

    def is_waiting(self, order: OrderId) -> bool:
        """Return whether an unload waits for a read."""
        return order in self._checks

    def clear(self) -> None:
        """Give up all unloads that wait."""
        for check in self._checks.values():
            give_up(check.runner, check.order)
        self._checks.clear()

    def start(self, runner: Runner, order: PendingOrder, now: float) -> None:
        """Send a marked unload, or first read the ledgers of its guards."""
        artifact = order.artifact
        if artifact not in self.state.offered:
            self.orders.send(runner, order, now)
            return
        guards = list_guards(self.state, runner, artifact, now)
        suffice = do_guards_suffice(self.state, artifact, guards)
        if not suffice or not self.access.is_active:
            self._abandon(runner, order, "unload_abandoned_last_copy")
            return
        # Until the order was sent or given up, no evidence may clear its mark.
        runner.evidence.unloads.open(artifact, order.id)
        for guard in guards:
            self.access.read(self.state.runners[guard])
        self._checks[order.id] = UnloadCheck(
            runner=runner,
            order=order,
            waiting={guard: self.state.runners[guard].reads for guard in guards},
            guards=tuple(guards),
        )

    def count_read(self, guard: Runner, now: float) -> None:
        """Go on with the unloads that waited for a guard's ledger."""
        for order_id, check in list(self._checks.items()):
            if check.count_read(guard.id):
                del self._checks[order_id]
                self._finish_check(check, now)

    def _finish_check(self, check: UnloadCheck, now: float) -> None:
        artifact = check.order.artifact
        self.refresh_copies(now)
        current = list_guards(self.state, check.runner, artifact, now)
        guards = [guard for guard in current if guard in check.guards]
        if do_guards_suffice(self.state, artifact, guards):
            self.orders.send(check.runner, check.order, now)
        else:
            self._abandon(check.runner, check.order, "unload_abandoned_last_copy")

    def abandon(self, guard: Runner) -> None:
        """Give up the unloads that rely on a guard whose ledger is unavailable."""
        for order_id, check in list(self._checks.items()):
            if guard.id in check.waiting:
                del self._checks[order_id]
                self._abandon(check.runner, check.order, "unload_abandoned_no_ledger")

    def _abandon(self, runner: Runner, order: PendingOrder, reason: str) -> None:
        give_up(runner, order)
        self.outbox.explain(order.artifact, runner, reason)

    def refresh_copies(self, now: float) -> set[Artifact]:
        """Bring the copies of changed runners up to date."""
        changed: set[Artifact] = set()
        for upstream_id in self.outbox.dirty:
            runner = self.state.runners.get(upstream_id)
            if runner is not None:
                changed |= self.state.copies.update(runner, now)
        self.outbox.changed |= changed
        return changed
