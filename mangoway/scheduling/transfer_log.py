"""Log lines and metrics of a scheduler's transfers and backups of streams."""

from attrs import define

from ..observability import transfer_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.scheduling.events import (
    Action,
    Event,
    Grant,
    StreamMoved,
    TransferFailed,
    TransferStream,
)
from ..policy.scheduling.state import SchedulingState


@define(eq=False)
class TransferLog:
    """Logs and counts what a scheduler orders and what edges report about it."""

    metrics: Metrics | None = None

    def record_action(self, action: Action) -> None:
        """Record an action of the core if it is about a transfer or a backup."""
        if isinstance(action, TransferStream):
            self._record_order(action)
        elif isinstance(action, Grant) and action.backup_runner_id:
            log_event(
                log.StreamBackupGranted(
                    request_id=action.request_id,
                    edge=action.edge,
                    runner_id=action.runner_id,
                    backup=action.backup_runner_id,
                )
            )
            if self.metrics is not None:
                self.metrics.stream_backups.add()

    def record_event(self, event: Event) -> None:
        """Record the result of a transfer that an edge reports."""
        if isinstance(event, StreamMoved):
            log_event(
                log.StreamTransferred(
                    request_id=event.request_id,
                    edge=event.edge,
                    runner_id=event.runner_id,
                )
            )
            self._count_result("moved")
        elif isinstance(event, TransferFailed):
            log_event(
                log.StreamTransferFailed(
                    request_id=event.request_id,
                    edge=event.edge,
                    target=event.target_runner_id,
                )
            )
            self._count_result("failed")

    def update_levels(self, state: SchedulingState) -> None:
        """Update the gauges from the core's state."""
        if self.metrics is None:
            return
        if state.transferring or state.backing_up:
            self.metrics.stream_reservations.set(level=len(state.transfers))
            self.metrics.stream_copies.set(level=len(state.backups))

    def _record_order(self, order: TransferStream) -> None:
        log_event(
            log.StreamTransferOrdered(
                request_id=order.request_id,
                edge=order.edge,
                source=order.source_runner_id,
                target=order.target_runner_id,
                reason=order.reason.value,
            )
        )
        if self.metrics is not None:
            self.metrics.stream_transfers.add(order.reason.value)

    def _count_result(self, result: str) -> None:
        if self.metrics is not None:
            self.metrics.stream_transfer_results.add(result)
