"""A controller without I/O that executes the actions of the placement core."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from mangoway.models.identifiers import HostId, IncarnationId, UpstreamId
from mangoway.models.order import Order, OrderKind
from mangoway.models.verdict import Verdict
from mangoway.policy.core import Core
from mangoway.policy.placement.actions import (
    Explain,
    PlacementAction,
    ReadLedger,
    SendOrder,
    WakeAt,
    WriteLedger,
)
from mangoway.policy.placement.const import ORDER_TIMEOUT_S
from mangoway.policy.placement.events import (
    LeaseGained,
    LeaseLost,
    LedgerConflicted,
    LedgerRead,
    LedgerUnavailable,
    LedgerWritten,
    OrderAnswered,
    OrderFailed,
    PlacementEvent,
    Ticked,
)
from tests.fakes.link import Delivery, OrderLink

from .clock import Clock
from .const import (
    KEY_VALUE_LATENCY_S,
    KEY_VALUE_TIMEOUT_S,
    LEASE_TTL_S,
)
from .ledgers import LedgerStore
from .milestones import Milestones, Step
from .upstreams import EngineHost

PlacementCoreType = Core[PlacementEvent, PlacementAction]
_LEASE_PERIOD_S = 2.0


@frozen(kw_only=True)
class ControllerIdentity:
    """Host and incarnation of a controller."""

    host: HostId
    incarnation: IncarnationId


class ControllerShell:
    """Adapter between the placement core and the fakes."""

    def __init__(
        self,
        clock: Clock,
        identity: ControllerIdentity,
        core: PlacementCoreType,
        store: LedgerStore,
        engines: dict[UpstreamId, EngineHost],
        link: OrderLink,
        milestones: Milestones,
    ) -> None:
        self.identity = identity
        self.holds_lease = False
        self._clock = clock
        self._core = core
        self._store = store
        self._engines = engines
        self._link = link
        self._milestones = milestones
        self._is_frozen = False
        self._delayed_events: list[PlacementEvent] = []
        self._renewed_at = 0.0
        self._settled_orders: set[str] = set()
        self._wakeup_at: float | None = None
        self._executors: dict[type, Callable[[Any], None]] = {
            ReadLedger: self._read,
            WriteLedger: self._write,
            SendOrder: self._send,
            WakeAt: self._schedule_wakeup,
            Explain: lambda _: None,
        }

    def handle(self, event: PlacementEvent) -> None:
        """Pass an event to the core and execute the returned actions."""
        if self._is_frozen:
            self._delayed_events.append(event)
            return
        for action in self._core.handle(event, self._clock.now):
            self._executors[type(action)](action)

    def freeze(self) -> None:
        """Pause the process; events are queued until it resumes."""
        self._is_frozen = True

    def resume(self) -> None:
        """Resume the process with the lease state from before the pause."""
        self._is_frozen = False
        delayed_events, self._delayed_events = self._delayed_events, []
        for event in delayed_events:
            self.handle(event)

    def maintain_lease(self) -> None:
        """Acquire or renew the lease periodically."""
        self._clock.call_later(_LEASE_PERIOD_S, self.maintain_lease)
        if self._is_frozen:
            return
        now = self._clock.now
        if self._store.is_down:
            if self.holds_lease and now - self._renewed_at > LEASE_TTL_S:
                self._lose_lease()
            return
        if self._store.renew_lease(self.identity.incarnation, now):
            self._renewed_at = now
            if not self.holds_lease:
                self.holds_lease = True
                self.handle(LeaseGained())
        elif self.holds_lease:
            self._lose_lease()

    def _lose_lease(self) -> None:
        self.holds_lease = False
        self.handle(LeaseLost())

    def _read(self, action: ReadLedger) -> None:
        upstream_id = action.upstream_id
        if self._store.is_down:
            self._fail_store_call(upstream_id)
            return
        stored = self._store.read(upstream_id)
        event = LedgerRead(
            upstream_id=upstream_id, ledger=stored.ledger, revision=stored.revision
        )
        self._clock.call_later(KEY_VALUE_LATENCY_S, self.handle, event)

    def _write(self, action: WriteLedger) -> None:
        upstream_id = action.ledger.upstream
        if self._store.is_down:
            self._fail_store_call(upstream_id)
            return
        for entry in action.ledger.reserved:
            self._milestones.record(Step.LEDGER_WRITTEN, entry.artifact)
        stored = self._store.write(action.ledger, action.expected)
        event: PlacementEvent
        if stored is not None:
            event = LedgerWritten(
                upstream_id=upstream_id,
                ledger=action.ledger,
                revision=stored.revision,
            )
        else:
            current = self._store.read(upstream_id)
            event = LedgerConflicted(
                upstream_id=upstream_id,
                ledger=current.ledger,
                revision=current.revision,
            )
        self._clock.call_later(KEY_VALUE_LATENCY_S, self.handle, event)

    def _fail_store_call(self, upstream_id: UpstreamId) -> None:
        event = LedgerUnavailable(upstream_id=upstream_id)
        self._clock.call_later(KEY_VALUE_TIMEOUT_S, self.handle, event)

    def _send(self, action: SendOrder) -> None:
        order = action.order
        if self._clock.now > action.send_before:
            self._fail_order(order, Verdict.NOT_RUN)
            return
        if order.kind is OrderKind.LOAD:
            self._milestones.record(Step.ORDER_SENT, order.artifact)
        for delivery in self._link.send(self._clock.now, order):
            self._clock.call_at(delivery.time, self._deliver, delivery)
        self._clock.call_later(
            ORDER_TIMEOUT_S, self._fail_order, order, Verdict.MAY_HAVE_RUN
        )

    def _deliver(self, delivery: Delivery) -> None:
        order = delivery.order
        host = self._engines[order.upstream]
        host.advance()
        outcome = host.model.order(self._clock.now, order)
        host.advance_and_reschedule()
        if outcome is None:
            if not host.is_silent:
                self._fail_order(order, Verdict.NOT_RUN)
            return
        if order.kind is OrderKind.LOAD and host.model.holds(order.artifact):
            self._milestones.record(Step.ORDER_ACCEPTED, order.artifact)
        if delivery.answers and order.id not in self._settled_orders:
            self._settled_orders.add(order.id)
            event = OrderAnswered(
                order_id=order.id,
                upstream_id=order.upstream,
                outcome=outcome,
                fence=host.model.fence,
            )
            self._clock.call_later(self._link.latency_s, self.handle, event)

    def _fail_order(self, order: Order, verdict: Verdict) -> None:
        if order.id in self._settled_orders:
            return
        self._settled_orders.add(order.id)
        self.handle(
            OrderFailed(order_id=order.id, upstream_id=order.upstream, verdict=verdict)
        )

    def _schedule_wakeup(self, action: WakeAt) -> None:
        self._wakeup_at = action.time
        self._clock.call_at(action.time, self._wake_up, action.time)

    def _wake_up(self, time: float) -> None:
        if self._wakeup_at == time:
            self._wakeup_at = None
            self.handle(Ticked())
