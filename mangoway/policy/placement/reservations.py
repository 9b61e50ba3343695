"""Steps of an order: ledger write, checks, sending, answer.

A load is sent only once the write that reserved its memory took effect. An unload is
marked in the ledger first; then the ledgers of the runners whose copies are relied on
are read again. Of two controllers that rely on each other's victim, at least one sees
the other's mark, so the last copy stays even if both believe they are active.
"""

from itertools import count
from math import inf

from attrs import define, evolve, field

from ...models.artifact import Artifact
from ...models.identifiers import IncarnationId, OrderId, UpstreamId
from ...models.order import Ledger, Order, OrderKind, OrderOutcome
from ...models.verdict import Verdict
from .actions import Explain, PlacementAction, ReadLedger, SendOrder, WriteLedger
from .const import (
    CONFLICT_WAIT_S,
    LEDGER_RETRY_S,
    LOAD_APPEAR_S,
    MAX_CONFLICT_WAIT_S,
    MAX_RETRY_S,
    ORDER_SEND_WINDOW_S,
    ORDER_TIMEOUT_S,
    REPORT_LAG_S,
)
from .events import (
    LedgerConflicted,
    LedgerRead,
    LedgerUnavailable,
    LedgerWritten,
    OrderAnswered,
    OrderFailed,
)
from .guards import UnloadCheck, do_guards_suffice, list_guards
from .ledgers import (
    clear_mark,
    create_ledger,
    is_marked,
    mark_unload,
    reserve_load,
    settle_ledger,
)
from .runners import PendingOrder, PendingWrite, Retry, Runner
from .state import PlacementState


@define
class Reservations:
    """Writes ledgers, sends orders and takes their results."""

    state: PlacementState
    incarnation: IncarnationId
    actions: list[PlacementAction] = field(factory=list)
    dirty: set[UpstreamId] = field(factory=set)
    """Runners whose copies have to be looked at again."""

    changed: set[Artifact] = field(factory=set)
    """Artifacts whose copies changed since the planner looked."""

    is_active: bool = False
    _checks: dict[OrderId, UnloadCheck] = field(factory=dict)
    _numbers: "count[int]" = field(factory=lambda: count(1))

    # Leases and reads.

    def activate(self, now: float) -> None:
        """Read all ledgers anew; nothing is believed from before."""
        self.is_active = True
        self._forget_ledgers()
        self.read_ledgers(now)

    def deactivate(self) -> None:
        """Send nothing more; orders already sent are still followed."""
        self.is_active = False
        for check in self._checks.values():
            self._drop_replacing(check.runner, check.order)
        self._checks.clear()
        self._forget_ledgers()

    def _forget_ledgers(self) -> None:
        for runner in self.state.runners.values():
            runner.is_ledger_known = False
            runner.read_after = 0.0
            self.dirty.add(runner.id)

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
                self._read(runner)

    def _read(self, runner: Runner) -> None:
        runner.reads += 1
        self.actions.append(ReadLedger(upstream_id=runner.id))

    def take_read(self, event: LedgerRead, now: float) -> None:
        """Take a ledger that was read, and go on with unloads that waited for it."""
        runner = self.state.runners.get(event.upstream_id)
        if runner is None:
            return
        runner.reads = max(runner.reads - 1, 0)
        if not runner.is_ledger_known or event.revision >= runner.revision:
            self._take_ledger(runner, event.ledger, event, now)
        self._count_read(runner, now)

    def _take_ledger(
        self,
        runner: Runner,
        ledger: Ledger | None,
        event: LedgerRead | LedgerConflicted,
        now: float,
    ) -> None:
        # A key that was deleted is written again as it was last known here: orders
        # that it speaks of may still be on their way.
        runner.ledger = ledger or runner.ledger
        runner.revision = event.revision
        runner.is_ledger_known = True
        self.dirty.add(runner.id)
        if ledger is not None:
            quiet_at = now + ORDER_SEND_WINDOW_S + ORDER_TIMEOUT_S + self._bound_s()
            runner.evidence.note_read(ledger, f"{self.incarnation}-", quiet_at)

    def _bound_s(self) -> float:
        """Return how long copies of an order may arrive after its connection closed."""
        if self.state.configuration is None:
            return inf
        return self.state.configuration.site.order_lateness_bound_s + REPORT_LAG_S

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
            if order.id not in self._checks:
                ledger = clear_mark(ledger, artifact, order.id)
        settled = settle_ledger(
            ledger, runner.description, runner.report, runner.evidence
        )
        return evolve(settled, kv_cache_floor_mb=floor_mb)

    def settle_runner(self, runner: Runner) -> bool:
        """Write a runner's ledger if the evidence changes it."""
        if not runner.is_free or not self.is_active:
            return False
        ledger = self.settle(runner)
        if ledger is None or ledger == runner.ledger:
            return False
        self._write(runner, ledger, None)
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
        self._write(runner, reserved, order)
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
        self._write(runner, marked, order)
        return True

    def _make_id(self) -> OrderId:
        return OrderId(f"{self.incarnation}-{next(self._numbers)}")

    def _write(
        self, runner: Runner, ledger: Ledger, order: PendingOrder | None
    ) -> None:
        ledger = evolve(ledger, writer=self.incarnation)
        runner.write = PendingWrite(ledger=ledger, order=order)
        self.actions.append(WriteLedger(ledger=ledger, expected=runner.revision))

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
        runner.is_ledger_known = self.is_active
        runner.evidence.note_written(event.ledger)
        self._keep_unsent(runner, event.ledger)
        self.dirty.add(runner.id)
        if write.order is None:
            return
        if write.order.kind is OrderKind.LOAD:
            self._send(runner, write.order, now)
        else:
            runner.unsent[write.order.artifact] = write.order
            self._check_unload(runner, write.order, now)

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
        self._take_ledger(runner, event.ledger, event, now)
        runner.is_ledger_known = self.is_active
        runner.conflicts += 1
        if runner.conflicts > 1:
            wait_s = CONFLICT_WAIT_S * 2.0 ** (runner.conflicts - 2)
            runner.write_after = now + min(wait_s, MAX_CONFLICT_WAIT_S)
            runner.holds_back = True
        self.explain(None, runner, "ledger_conflict")

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
                self._drop_replacing(runner, order)
            runner.is_ledger_known = False
        else:
            runner.reads = max(runner.reads - 1, 0)
            self._abandon_checks(runner)
        self.dirty.add(runner.id)
        self.explain(None, runner, "ledger_unavailable")

    # Checks before an unload.

    def _check_unload(self, runner: Runner, order: PendingOrder, now: float) -> None:
        artifact = order.artifact
        if artifact not in self.state.offered:
            self._send(runner, order, now)
            return
        guards = list_guards(self.state, runner, artifact, now)
        if not do_guards_suffice(self.state, artifact, guards) or not self.is_active:
            self._abandon(runner, order, "unload_abandoned_last_copy")
            return
        for guard in guards:
            self._read(self.state.runners[guard])
        self._checks[order.id] = UnloadCheck(
            runner=runner,
            order=order,
            waiting={guard: self.state.runners[guard].reads for guard in guards},
            guards=tuple(guards),
        )

    def _count_read(self, guard: Runner, now: float) -> None:
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
            self._send(check.runner, check.order, now)
        else:
            self._abandon(check.runner, check.order, "unload_abandoned_last_copy")

    def _abandon_checks(self, guard: Runner) -> None:
        for order_id, check in list(self._checks.items()):
            if guard.id in check.waiting:
                del self._checks[order_id]
                self._abandon(check.runner, check.order, "unload_abandoned_no_ledger")

    def _abandon(self, runner: Runner, order: PendingOrder, reason: str) -> None:
        self._drop_replacing(runner, order)
        self.explain(order.artifact, runner, reason)

    def _drop_replacing(self, runner: Runner, order: PendingOrder) -> None:
        """Leave the mark of an unsent unload to the evidence if it replaced one.

        The unload that the earlier mark was for may still arrive.
        """
        if order.replaces and runner.unsent.get(order.artifact) == order:
            del runner.unsent[order.artifact]

    def refresh_copies(self, now: float) -> set[Artifact]:
        """Bring the copies of changed runners up to date."""
        changed: set[Artifact] = set()
        for upstream_id in self.dirty:
            runner = self.state.runners.get(upstream_id)
            if runner is not None:
                changed |= self.state.copies.update(runner, now)
        self.changed |= changed
        return changed

    # Orders.

    def _send(self, runner: Runner, pending: PendingOrder, now: float) -> None:
        description = runner.description
        ledger = runner.ledger
        send_before = pending.asked_at + ORDER_SEND_WINDOW_S
        if not self._may_send(runner, now, send_before):
            self._drop_replacing(runner, pending)
            self.explain(pending.artifact, runner, "order_dropped")
            return
        if description is None or ledger is None:
            return
        runner.unsent.pop(pending.artifact, None)
        runner.sent[pending.id] = pending
        if pending.kind is OrderKind.LOAD:
            runner.evidence.loads.open(pending.artifact, pending.id)
            self.explain(pending.artifact, runner, "load_ordered")
        else:
            runner.evidence.unloads.open(pending.artifact, pending.id)
            self.explain(pending.artifact, runner, "unload_ordered")
        self.dirty.add(runner.id)
        order = Order(
            id=pending.id,
            upstream=runner.id,
            incarnation=description.incarnation,
            fence=pending.fence,
            kind=pending.kind,
            artifact=pending.artifact,
            memory_mb=pending.memory_mb,
        )
        self.actions.append(SendOrder(order=order, send_before=send_before))

    def _may_send(self, runner: Runner, now: float, send_before: float) -> bool:
        """Return whether the ledger still speaks for the order, and it is in time."""
        if not self.is_active or now > send_before:
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
        self._close(runner, pending, now + self._bound_s())
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
        self.explain(pending.artifact, runner, event.outcome.value)

    def take_failure(self, event: OrderFailed, now: float) -> None:
        """Take the failure of an order that got no answer."""
        runner = self.state.runners.get(event.upstream_id)
        pending = None if runner is None else runner.sent.pop(event.order_id, None)
        if runner is None or pending is None:
            return
        if event.verdict is Verdict.NOT_RUN:
            self._close(runner, pending, now)
        else:
            self._close(runner, pending, now + self._bound_s())
            if pending.kind is OrderKind.LOAD:
                runner.expect(pending.artifact, now)
        self._fail(runner, pending, now, 1.0)
        self.explain(pending.artifact, runner, "order_failed", event.verdict.value)

    def _close(self, runner: Runner, pending: PendingOrder, quiet_at: float) -> None:
        loads = pending.kind is OrderKind.LOAD
        times = runner.evidence.loads if loads else runner.evidence.unloads
        times.close(pending.artifact, pending.id, quiet_at)
        self.dirty.add(runner.id)

    def _fail(
        self, runner: Runner, pending: PendingOrder, now: float, least_s: float
    ) -> None:
        retry = runner.retries.setdefault(pending.artifact, Retry())
        retry.fail(now, least_s)

    def explain(
        self,
        artifact: Artifact | None,
        runner: Runner | None,
        reason: str,
        detail: str = "",
    ) -> None:
        """Say why something was or was not done."""
        upstream_id = None if runner is None else runner.id
        action = Explain(
            artifact=artifact, upstream_id=upstream_id, reason=reason, detail=detail
        )
        self.actions.append(action)
