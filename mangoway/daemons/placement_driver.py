"""Connects the placement core to ledgers, orders, reports and demand."""

import time
from functools import singledispatchmethod
from typing import Protocol

from attrs import define, field

from ..engines.messages import OrderAnswer
from ..key_value.store import KeyValueStore
from ..models.errors import MangowayError
from ..models.identifiers import CellId, UpstreamId
from ..models.offer import Configuration
from ..models.order import Order, OrderOutcome
from ..models.upstream import EngineDescription, EngineReport, UpstreamAddress
from ..models.verdict import Verdict
from ..observability import events as log
from ..observability.event_log import log_event
from ..observability.journal import DecisionKind, Journal, JournalEntry
from ..observability.metrics import Metrics
from ..peers import peers_pb2 as pb
from ..peers.demand import decode_demand
from ..policy.placement.actions import (
    Explain,
    PlacementAction,
    ReadLedger,
    SendOrder,
    WakeAt,
    WriteLedger,
)
from ..policy.placement.core import PlacementCore
from ..policy.placement.events import (
    ConfigurationChanged,
    EngineDescribed,
    EngineReported,
    EngineSilent,
    LeaseGained,
    LeaseLost,
    LedgerConflicted,
    OrderAnswered,
    OrderFailed,
    PlacementEvent,
    RunnersListed,
    Ticked,
)
from ..util.core_driver import CoreDriver
from ..util.tasks import Tasks
from .const import FREQUENT_POLL_S
from .engine_poller import EnginePoller, EngineReader
from .ledger_store import LedgerEvent, LedgerFailure, LedgerStore
from .upstream_log import UpstreamLog


class EngineOrders(EngineReader, Protocol):
    """Reads descriptions and reports of engines and sends them orders."""

    async def async_send_order(
        self, address: str, order: Order, send_before: float
    ) -> OrderAnswer:
        """Send an order unless the loop time is past `send_before`.

        Raises:
            MangowayError: NOT_RUN if the order never reached the engine; otherwise it
                may still take effect. The connection is already closed.
        """
        ...


@define(eq=False, kw_only=True)
class PlacementDriver:
    """Drives the placement core of one cell for one controller."""

    core: PlacementCore
    cell: CellId
    store: KeyValueStore
    engines: EngineOrders
    journal: Journal
    metrics: Metrics
    tasks: Tasks
    active: bool = field(default=False, init=False)
    orders_in_progress: int = field(default=0, init=False)
    """Number of orders that were sent and not yet answered."""

    poller: EnginePoller = field(init=False)
    _driver: CoreDriver[PlacementEvent, PlacementAction] = field(init=False)
    _ledgers: LedgerStore = field(init=False)
    _upstream_log: UpstreamLog = field(factory=UpstreamLog, init=False)

    def __attrs_post_init__(self) -> None:
        self._driver = CoreDriver(self.core, self._execute, Ticked)
        self.poller = EnginePoller(
            reader=self.engines, listener=self, tasks=self.tasks, standby=True
        )
        self._ledgers = LedgerStore(
            store=self.store,
            cell=self.cell,
            tasks=self.tasks,
            on_event=self._handle_ledger_event,
            on_failure=self._log_ledger_failure,
        )

    def async_start(self) -> None:
        """Start polling the engines."""
        self.tasks.async_start(self.poller.async_run())

    def async_stop(self) -> None:
        """Stop making decisions."""
        self.active = False
        self._driver.async_stop()

    def async_start_planning(self) -> None:
        """Start planning the cell, as this controller gained the lease."""
        self.active = True
        self.metrics.lease_held.set(level=1)
        log_event(log.LeaseGained(cell=self.cell))
        self.poller.async_set_standby(False)
        self._driver.async_handle(LeaseGained())

    def async_stop_planning(self) -> None:
        """Stop planning the cell, as this controller lost the lease."""
        self.active = False
        self.metrics.lease_held.set(level=0)
        log_event(log.LeaseLost(cell=self.cell))
        self.poller.async_set_standby(True)
        self._driver.async_handle(LeaseLost())

    def async_apply_configuration(self, configuration: Configuration) -> None:
        """Apply a newer configuration."""
        self.metrics.config_version.set(level=configuration.version)
        self._driver.async_handle(ConfigurationChanged(configuration=configuration))

    def async_set_runners(self, runners: tuple[UpstreamAddress, ...]) -> None:
        """Replace the list of runners of the cell."""
        self._upstream_log.record_listed(runners)
        self._driver.async_handle(RunnersListed(runners=runners))
        self.poller.async_set_engines(runners)

    def async_receive_demand(self, report: pb.DemandReport) -> pb.DemandReply:
        """Handle a gateway's report of demand."""
        self._driver.async_handle(decode_demand(report))
        return pb.DemandReply(active=self.active)

    def async_handle_description(self, description: EngineDescription) -> None:
        """Handle the description of an engine that is new or was restarted."""
        self._upstream_log.record_description(description)
        self._driver.async_handle(EngineDescribed(description=description))

    def async_handle_report(self, report: EngineReport) -> None:
        """Handle an engine's report."""
        self._upstream_log.record_report(report)
        self._driver.async_handle(EngineReported(report=report))

    def async_handle_silence(self, upstream: UpstreamId, error: MangowayError) -> None:
        """Handle an engine that has stopped answering."""
        log_event(log.ReportFailed(upstream_id=upstream, error=str(error)))
        self._driver.async_handle(EngineSilent(upstream_id=upstream))

    @singledispatchmethod
    def _execute(self, action: PlacementAction) -> None:
        raise TypeError(f"unknown action {action!r}")

    @_execute.register
    def _(self, action: ReadLedger) -> None:
        self._ledgers.async_read(action.upstream_id)

    @_execute.register
    def _(self, action: WriteLedger) -> None:
        self._ledgers.async_write(action.ledger, action.expected)

    @_execute.register
    def _(self, action: SendOrder) -> None:
        self.tasks.async_start(self._async_send(action))

    @_execute.register
    def _(self, action: Explain) -> None:
        self._explain(action)

    @_execute.register
    def _(self, action: WakeAt) -> None:
        self._driver.async_wake_at(action.time)

    async def _async_send(self, action: SendOrder) -> None:
        order = action.order
        address = self.poller.find_address(order.upstream)
        if address is None:
            self._handle_order_failure(order, Verdict.NOT_RUN)
            return
        _log_order(order)
        self.poller.async_poll_often(order.upstream, FREQUENT_POLL_S)
        self.orders_in_progress += 1
        try:
            answer = await self.engines.async_send_order(
                address, order, action.send_before
            )
        except MangowayError as error:
            self._handle_order_failure(order, error.failure.verdict)
            return
        finally:
            self.orders_in_progress -= 1
        self._handle_order_answer(order, answer)

    def _handle_order_answer(self, order: Order, answer: OrderAnswer) -> None:
        outcome = answer.outcome
        self.metrics.orders.add(order.kind.value, outcome.value)
        if outcome is OrderOutcome.ACCEPTED:
            self.metrics.moves.add(order.kind.value)
        log_event(
            log.OrderAnswered(
                order_id=order.id, upstream_id=order.upstream, outcome=outcome.value
            )
        )
        answered = OrderAnswered(
            order_id=order.id,
            upstream_id=order.upstream,
            outcome=outcome,
            fence=answer.fence,
        )
        self._driver.async_handle(answered)

    def _handle_order_failure(self, order: Order, verdict: Verdict) -> None:
        self.metrics.orders.add(order.kind.value, verdict.value)
        log_event(
            log.OrderLost(
                order_id=order.id, upstream_id=order.upstream, verdict=verdict.value
            )
        )
        failed = OrderFailed(
            order_id=order.id, upstream_id=order.upstream, verdict=verdict
        )
        self._driver.async_handle(failed)

    def _handle_ledger_event(self, event: LedgerEvent) -> None:
        if isinstance(event, LedgerConflicted):
            log_event(log.LedgerConflicted(upstream_id=event.upstream_id))
        self._driver.async_handle(event)

    def _log_ledger_failure(self, failure: LedgerFailure) -> None:
        log_event(
            log.LedgerUnavailable(
                upstream_id=failure.upstream, error=str(failure.error)
            )
        )

    def _explain(self, action: Explain) -> None:
        self.journal.add(
            JournalEntry(
                at=time.time(),
                kind=DecisionKind.PLACEMENT,
                reason=action.reason,
                detail=action.detail,
                artifact=action.artifact,
                upstream=action.upstream_id,
            )
        )
        log_event(
            log.PlacementExplained(
                artifact=str(action.artifact or ""),
                upstream_id=action.upstream_id or "",
                reason=action.reason,
                detail=action.detail,
            )
        )


def _log_order(order: Order) -> None:
    log_event(
        log.OrderSent(
            order_id=order.id,
            upstream_id=order.upstream,
            kind=order.kind.value,
            artifact=str(order.artifact),
            fence=order.fence,
        )
    )
