"""The calls of one transfer of a running stream, beside the stream itself."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from ..models.runner import RunnerEntry
from ..models.transfers import MoveAnswer, MoveResult
from ..platform.transfers import RunnerTransfers
from ..policy.edge.continuation import TransferPlan, TransferStep
from ..policy.scheduling.events import TransferStream
from .const import STREAM_END_S


@define(eq=False, kw_only=True)
class StreamTransfer:
    """Copies the memory of a run to a target, and stops the run at its source."""

    order: TransferStream
    request_id: str
    source: RunnerEntry
    target: RunnerEntry
    control: RunnerTransfers
    handle_s: float
    """Seconds for which a copy is kept."""

    is_target_open: Callable[[], bool]
    end_stream: Callable[[], None]
    """Closes the connection on which the source's stream is read."""

    on_stay: Callable[[], None]
    """Called if the stream stays at the source."""

    plan: TransferPlan = field(factory=TransferPlan, init=False)
    is_copying: bool = field(default=True, init=False)
    """Whether the call that copies the memory has no answer yet."""

    _answered: asyncio.Event = field(factory=asyncio.Event, init=False)
    """Set once it is known whether the run was stopped, or that it can't be known."""

    @property
    def is_unanswered(self) -> bool:
        """Return whether the source did not answer the call that stops the run."""
        return self.plan.cause == MoveAnswer.NO_ANSWER.value

    async def async_run(self) -> None:
        """Make both calls; afterwards, end a stream that its source doesn't close."""
        copied = await self._async_call(last=False)
        self.is_copying = False
        if self.plan.is_ended:
            # The stream ended meanwhile, and the copy is of no use.
            self.plan.handle = copied.handle
            if copied.handle:
                await self.async_free()
            return
        step = self.plan.handle_copied(copied, is_target_open=self.is_target_open())
        if step is TransferStep.STOP:
            self.plan.handle_stopped(await self._async_call(last=True))
            self._answered.set()
            if self.plan.is_stopped:
                await asyncio.sleep(STREAM_END_S)
                self.end_stream()
                return
            # The call may still arrive and stop the run, while the copy is kept.
            await asyncio.sleep(self.handle_s)
            self.plan.end(MoveAnswer.NO_ANSWER.value)
        self.on_stay()

    async def async_was_stopped(self) -> bool:
        """Return whether the run may have been stopped; wait for the answer to that."""
        if not self.plan.may_have_stopped:
            return False
        await self._answered.wait()
        return self.plan.cause != MoveAnswer.NO_RUN.value

    async def async_close(self) -> TransferStep:
        """Return the next step after the source's stream was closed before its end."""
        step = self.plan.handle_closed()
        if step is TransferStep.AWAIT_ANSWER:
            await self._answered.wait()
            step = self.plan.handle_closed()
        return step

    async def async_free(self) -> None:
        """Free the copy."""
        await self.control.async_free(self.source.address, self.plan.handle)

    async def _async_call(self, *, last: bool) -> MoveResult:
        return await self.control.async_move(
            self.source.address, self.request_id, self.target.address, last=last
        )
