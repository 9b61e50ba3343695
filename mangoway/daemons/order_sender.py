"""Sends the load and unload orders of the scheduling core to runners."""

from collections.abc import Callable
from typing import Final

from attrs import define

from ..coordination.leadership import Leadership
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..platform.runners import (
    OrderAnswer,
    RunnerControl,
    RunnerOrder,
    RunnerUnreachableError,
)
from ..policy.scheduling.events import OrderEnded, OrderOutcome, SendOrder
from .fleet_process import FleetProcess

OUTCOMES: Final = {
    OrderAnswer.STARTED: OrderOutcome.STARTED,
    OrderAnswer.ALREADY_HOLDS: OrderOutcome.ALREADY_HOLDS,
    OrderAnswer.BUSY_OR_STALE: OrderOutcome.NOT_NOW,
    OrderAnswer.FENCED: OrderOutcome.REJECTED,
    OrderAnswer.REJECTED: OrderOutcome.REJECTED,
    OrderAnswer.OTHER_RUNNER: OrderOutcome.REJECTED,
}


@define(eq=False)
class OrderSender:
    """Sends orders while this process is allowed to, and reports their outcomes."""

    process: FleetProcess
    leadership: Leadership
    control: RunnerControl
    on_ended: Callable[[OrderEnded], None]

    def send(self, order: SendOrder) -> None:
        """Send an order in the background."""
        self.process.tasks.async_start(self._async_execute(order))

    async def _async_execute(self, order: SendOrder) -> None:
        outcome = OrderOutcome.REJECTED
        try:
            outcome = await self._async_send_order(order)
        finally:
            self.on_ended(
                OrderEnded(
                    runner_id=order.runner_id,
                    outcome=outcome,
                    started_ms=order.started_ms,
                )
            )

    async def _async_send_order(self, order: SendOrder) -> OrderOutcome:
        entry = self.process.view.find_open_runner(order.runner_id)
        fence = self.leadership.fence
        if entry is None or fence is None or not self.leadership.may_order:
            return OrderOutcome.REJECTED
        log_event(
            log.PlacementOrdered(
                runner_id=order.runner_id,
                load=order.load,
                model=order.model,
                adapter=order.adapter,
                reason=order.reason,
                order_count=order.order_count,
                fence=fence,
                waiting=order.waiting,
            )
        )
        sent_at = self.process.clock()
        try:
            answer = await self.control.async_send_order(
                entry.address, entry.runner_id, self._make_order(order, fence)
            )
        except RunnerUnreachableError as error:
            self._log_unanswered(order, str(error))
            return OrderOutcome.IN_DOUBT
        if answer is OrderAnswer.FENCED:
            self.leadership.handle_fence_rejected(fence)
        self._log_answer(order, answer, sent_at)
        return OUTCOMES[answer]

    def _make_order(self, order: SendOrder, fence: int) -> RunnerOrder:
        return RunnerOrder(
            load=order.load,
            model=order.model,
            adapter=order.adapter,
            expected_order_count=order.order_count,
            holder=self.process.settings.host,
            fence=fence,
        )

    def _log_answer(
        self, order: SendOrder, answer: OrderAnswer, sent_at: float
    ) -> None:
        operation = "load" if order.load else "unload"
        self.process.metrics.placement_orders.add(operation, answer.value)
        log_event(
            log.PlacementAnswered(
                runner_id=order.runner_id,
                model=order.model,
                adapter=order.adapter,
                answer=answer.value,
                seconds=round(self.process.clock() - sent_at, 4),
            )
        )

    def _log_unanswered(self, order: SendOrder, reason: str) -> None:
        operation = "load" if order.load else "unload"
        self.process.metrics.placement_orders.add(operation, "no_answer")
        log_event(
            log.PlacementUnanswered(
                runner_id=order.runner_id,
                model=order.model,
                adapter=order.adapter,
                reason=reason,
            )
        )
