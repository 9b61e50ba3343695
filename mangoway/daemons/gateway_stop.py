"""The planned stop of a gateway."""

import asyncio
from enum import Enum
from typing import Protocol

from attrs import define, field

from ..models.identifiers import IncarnationId
from ..observability import events as log
from ..observability.event_log import log_event
from ..policy.dispatch.events import StopRequested
from .const import LEAVE_PROPAGATION_S, STOP_CHECK_PERIOD_S
from .gateway_node import GatewayNode


class StopOutcome(Enum):
    """The outcome of a stop."""

    IDLE = "idle"
    DEADLINE = "deadline"
    FORCED = "forced"


class LeaveAnnouncer(Protocol):
    """Announces to the other processes that this one is leaving."""

    def async_announce(self, successor: IncarnationId | None) -> None:
        """Announce that it leaves, and which gateway takes over its keys."""
        ...


@define(eq=False, kw_only=True)
class PlannedStop:
    """Stops a gateway without interrupting requests in progress.

    The order of the steps matters:

    1. The peers are notified, so that they stop listing this gateway.
    2. Requests of callers that still use an old address list are forwarded to a peer.
    3. Requests in progress are finished here.
    4. The idempotency records are handed to a successor, only after no request can add
       to them any more.
    """

    node: GatewayNode
    announcer: LeaveAnnouncer
    deadline_s: float
    _forced: asyncio.Event = field(factory=asyncio.Event, init=False)

    def force(self) -> None:
        """End the stop immediately, even with requests in progress."""
        self._forced.set()

    async def async_run(self, signal_name: str) -> StopOutcome:
        """Leave and return the outcome; the node still has to be stopped."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self._announce_leaving(signal_name)
        outcome = await self._async_drain(began_at)
        if outcome is StopOutcome.IDLE:
            outcome = await self._async_hand_over()
        if outcome is StopOutcome.IDLE:
            log_event(log.ProcessStopped(seconds=loop.time() - began_at))
        else:
            cut_off = self.node.gate.open_count
            log_event(log.StopForced(reason=outcome.value, cut_off=cut_off))
        return outcome

    def _announce_leaving(self, signal_name: str) -> None:
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
        """Wait until callers' address lists have expired and no request is open."""
        now = asyncio.get_running_loop().time
        ends_at = began_at + self.deadline_s
        addresses_expire_at = min(
            began_at + self.node.view.get_address_validity_s(), ends_at
        )
        while now() < addresses_expire_at or not self.node.idle:
            if self._forced.is_set():
                return StopOutcome.FORCED
            if now() >= ends_at:
                return StopOutcome.DEADLINE
            await self._async_pause(STOP_CHECK_PERIOD_S)
        return StopOutcome.IDLE

    async def _async_hand_over(self) -> StopOutcome:
        sending = asyncio.ensure_future(self.node.make_hand_over_sender().async_send())
        forced = asyncio.ensure_future(self._forced.wait())
        try:
            await asyncio.wait({sending, forced}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            forced.cancel()
            # If the hand-over is cancelled here, no successor is announced, so no
            # other gateway runs the keys of this one.
            sending.cancel()
        successor = sending.result() if sending.done() else None
        if successor is not None:
            self.announcer.async_announce(successor)
            # The other gateways learn the successor only from this process.
            await self._async_pause(LEAVE_PROPAGATION_S)
        return StopOutcome.FORCED if self._forced.is_set() else StopOutcome.IDLE

    async def _async_pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._forced.wait()
        except TimeoutError:
            return
