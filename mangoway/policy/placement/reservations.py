"""Steps of an order: ledger write, checks, sending, answer.

A load is sent only once the write that reserved its memory took effect. An unload is
marked in the ledger first; then the ledgers of the runners whose copies are relied on
are read again. Of two controllers that rely on each other's victim, at least one sees
the other's mark, so the last copy stays even if both believe they are active.
"""

from itertools import count

from attrs import define, evolve, field

from ...models.artifact import Artifact
from ...models.identifiers import IncarnationId, OrderId
from ...models.order import Ledger, OrderKind
from .const import (
    CONFLICT_WAIT_S,
    LEDGER_RETRY_S,
    MAX_CONFLICT_WAIT_S,
)
from .events import (
    LedgerConflicted,
    LedgerRead,
    LedgerUnavailable,
    LedgerWritten,
)
from .guards import drop_replacing
from .ledger_access import LedgerAccess
from .ledgers import (
    clear_mark,
    create_ledger,
    is_marked,
    mark_unload,
    reserve_load,
    settle_ledger,
)
from .orders import Orders
from .outbox import Outbox
from .runners import PendingOrder, Runner
from .state import PlacementState
from .unload_checks import UnloadChecks


@define
class Reservations:
    """Writes ledgers, sends orders and takes their results."""

    state: PlacementState
    incarnation: IncarnationId
    outbox: Outbox = field(factory=Outbox)
    access: LedgerAccess = field(init=False)
    orders: Orders = field(init=False)
    checks: UnloadChecks = field(init=False)
    _numbers: "count[int]" = field(factory=lambda: count(1))

    def __attrs_post_init__(self) -> None:
        state, outbox = self.state, self.outbox
        self.access = LedgerAccess(state, outbox, self.incarnation)
        self.orders = Orders(state, outbox, self.access)
        self.checks = UnloadChecks(state, outbox, self.access, self.orders)

    # Leases and reads.

    def activate(self, now: float) -> None:
        """Read all ledgers anew; nothing is believed from before."""
        self.access.is_active = True
        self.access.forget()
        self.access.read_ledgers(now)

    def deactivate(self) -> None:
        """Send nothing more; orders already sent are still followed."""
        self.access.is_active = False
        self.checks.clear()
        self.access.forget()

    def take_read(self, event: LedgerRead, now: float) -> None:
        """Take a ledger that was read, and go on with unloads that waited for it."""
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.reads = max(runner.reads - 1, 0)
        if not runner.is_ledger_known or event.revision >= runner.revision:
            self.access.take(runner, event.ledger, event, now)
        self.checks.count_read(runner, now)

    # Writes.

    def settle(self, runner: Runner) -> Ledger | None:
        """Return the ledger with all that the evidence allows; None if unknown."""
        if runner.description is None or runner.report is None:
            return None
        if self.state.configuration is None:
            return None
        floor_mb = self.state.configuration.site.kv_cache_floor_mb
        ledger = runner.ledger or create_ledger(runner.description, floor_mb)
        for artifact, order in runner.unsent.items():
            if not self.checks.is_waiting(order.id):
                ledger = clear_mark(ledger, artifact, order.id)
        settled = settle_ledger(
            ledger, runner.description, runner.report, runner.evidence
        )
        return evolve(settled, kv_cache_floor_mb=floor_mb)

    def settle_runner(self, runner: Runner) -> bool:
        """Write a runner's ledger if the evidence changes it."""
        if not runner.is_free or not self.access.is_active:
            return False
        ledger = self.settle(runner)
        if ledger is None or ledger == runner.ledger:
            return False
        self.access.write(runner, ledger, None)
        return True

    def reserve(self, runner: Runner, artifact: Artifact, now: float) -> bool:
        """Ask for the ledger write that reserves a load."""
        ledger = self.settle(runner)
        if ledger is None or not runner.is_free:
            return False
        memory_mb = self.state.find_memory_mb(artifact)
        order_id = self._make_id()
        reserved = reserve_load(ledger, artifact, memory_mb, order_id)
        if reserved is None:
            return False
        order = PendingOrder(
            id=order_id,
            kind=OrderKind.LOAD,
            artifact=artifact,
            memory_mb=memory_mb,
            asked_at=now,
            fence=reserved.fence,
        )
        self.access.write(runner, reserved, order)
        return True

    def mark(self, runner: Runner, artifact: Artifact, now: float) -> bool:
        """Ask for the ledger write that marks an unload."""
        ledger = self.settle(runner)
        if ledger is None or not runner.is_free:
            return False
        order_id = self._make_id()
        marked = mark_unload(ledger, artifact, order_id)
        if marked is None:
            return False
        order = PendingOrder(
            id=order_id,
            kind=OrderKind.UNLOAD,
            artifact=artifact,
            memory_mb=0,
            asked_at=now,
            fence=marked.fence,
            replaces=is_marked(ledger, artifact),
        )
        self.access.write(runner, marked, order)
        return True

    def _make_id(self) -> OrderId:
        return OrderId(f"{self.incarnation}-{next(self._numbers)}")

    def take_written(self, event: LedgerWritten, now: float) -> None:
        """Take a write that took effect, and go on with its order."""
        runner = self.state.runners.get(event.upstream_id)
        if runner is None or runner.write is None:
            return
        write = runner.write
        runner.write = None
        runner.conflicts = 0
        runner.ledger = event.ledger
        runner.revision = event.revision
        runner.is_ledger_known = self.access.is_active
        runner.evidence.note_written(event.ledger)
        self._keep_unsent(runner, event.ledger)
        self.outbox.dirty.add(runner.id)
        if write.order is None:
            return
        if write.order.kind is OrderKind.LOAD:
            self.orders.send(runner, write.order, now)
        else:
            runner.unsent[write.order.artifact] = write.order
            self.checks.start(runner, write.order, now)

    def _keep_unsent(self, runner: Runner, ledger: Ledger) -> None:
        """Forget unsent unloads whose mark the ledger no longer holds."""
        marks = {entry.order for entry in ledger.resident}
        runner.unsent = {
            artifact: order
            for artifact, order in runner.unsent.items()
            if order.id in marks
        }

    def take_conflict(self, event: LedgerConflicted, now: float) -> None:
        """Take over what another controller wrote; the step is planned again.

        Two controllers that stay active for long would spend their writes on
        conflicts; all but the first in a row make this one wait.
        """
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.write = None
        self.access.take(runner, event.ledger, event, now)
        runner.is_ledger_known = self.access.is_active
        runner.conflicts += 1
        if runner.conflicts > 1:
            wait_s = CONFLICT_WAIT_S * 2.0 ** (runner.conflicts - 2)
            runner.write_after = now + min(wait_s, MAX_CONFLICT_WAIT_S)
            runner.holds_back = True
        self.outbox.explain(None, runner, "ledger_conflict")

    def take_unavailable(self, event: LedgerUnavailable, now: float) -> None:
        """Doubt a ledger whose write has no settled result; read it again later."""
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.read_after = now + LEDGER_RETRY_S
        if runner.write is not None:
            order = runner.write.order
            runner.write = None
            if order is not None and order.kind is OrderKind.UNLOAD:
                runner.unsent[order.artifact] = order
                drop_replacing(runner, order)
            runner.is_ledger_known = False
        else:
            runner.reads = max(runner.reads - 1, 0)
            self.checks.abandon(runner)
        self.outbox.dirty.add(runner.id)
        self.outbox.explain(None, runner, "ledger_unavailable")
