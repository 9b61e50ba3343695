"""The planned stop of a gateway."""

import asyncio
from enum import Enum
from typing import Protocol

from attrs import define, field

from ..models.identifiers import IncarnationId
from ..observability import events as log
from ..observability.event_log import log_event
from ..policy.dispatch.events import StopRequested
from .const import LEAVE_SPREAD_S, STOP_POLL_S
from .gateway_node import GatewayNode


class StopOutcome(Enum):
    """How a stop ended."""

    IDLE = "idle"
    DEADLINE = "deadline"
    FORCED = "forced"


class LeaveAnnouncer(Protocol):
    """Tells the other processes that this one leaves."""

    def async_announce(self, successor: IncarnationId | None) -> None:
        """Announce it, and who answers for this one's keys afterwards."""
        ...


@define(eq=False, kw_only=True)
class PlannedStop:
    """Leaves without cutting off what runs.

    The order matters. The peers hear of it first, so that they stop naming this
    gateway; callers that still hold an old address answer are served through a
    peer; what runs here ends here; and the idempotency records go to a successor
    only when nothing can add to them any more.
    """

    node: GatewayNode
    announcer: LeaveAnnouncer
    deadline_s: float
    _forced: asyncio.Event = field(factory=asyncio.Event, init=False)

    def force(self) -> None:
        """End at once, whatever is in progress."""
        self._forced.set()

    async def async_run(self, signal_name: str) -> StopOutcome:
        """Leave, and return how it ended; the node still has to be stopped."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self._begin(signal_name)
        outcome = await self._async_drain(began_at)
        if outcome is StopOutcome.IDLE:
            outcome = await self._async_hand_over()
        if outcome is StopOutcome.IDLE:
            log_event(log.ProcessStopped(seconds=loop.time() - began_at))
        else:
            cut_off = self.node.gate.open_count
            log_event(log.StopForced(reason=outcome.value, cut_off=cut_off))
        return outcome

    def _begin(self, signal_name: str) -> None:
        log_event(
            log.StopRequested(
                signal=signal_name,
                in_progress=self.node.gate.open_count,
                deadline_s=self.deadline_s,
            )
        )
        self.node.view.stopping = True
        self.announcer.async_announce(None)
        self.node.dispatcher.send(StopRequested())

    async def _async_drain(self, began_at: float) -> StopOutcome:
        """Wait until callers' old addresses ran out and nothing is in progress."""
        now = asyncio.get_running_loop().time
        ends_at = began_at + self.deadline_s
        settled_at = min(began_at + self.node.view.find_validity_s(), ends_at)
        while now() < settled_at or not self.node.idle:
            if self._forced.is_set():
                return StopOutcome.FORCED
            if now() >= ends_at:
                return StopOutcome.DEADLINE
            await self._async_pause(STOP_POLL_S)
        return StopOutcome.IDLE

    async def _async_hand_over(self) -> StopOutcome:
        giving = asyncio.ensure_future(self.node.make_giver().async_give())
        forced = asyncio.ensure_future(self._forced.wait())
        try:
            await asyncio.wait({giving, forced}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            forced.cancel()
            # Without a successor that was named, no key is run elsewhere.
            giving.cancel()
        successor = giving.result() if giving.done() else None
        if successor is not None:
            self.announcer.async_announce(successor)
            # The other gateways must hear of the successor from this process.
            await self._async_pause(LEAVE_SPREAD_S)
        return StopOutcome.FORCED if self._forced.is_set() else StopOutcome.IDLE

    async def _async_pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._forced.wait()
        except TimeoutError:
            return
