"""Decides where a stream continues while it is transferred to another runner.

A transfer makes two calls at the stream's runner, the source: one that copies the
memory of the run while it continues, and one that stops the run and copies the rest.
The stream continues elsewhere only after the source has closed it.
"""

from enum import Enum

from attrs import define, field

from ...models.transfers import MoveAnswer, MoveResult


class TransferStage(Enum):
    """How far a transfer is."""

    COPYING = "copying"
    STOPPING = "stopping"
    """The call that stops the run has no answer yet."""

    STOPPED = "stopped"
    UNANSWERED = "unanswered"
    """It is unknown whether the run has been stopped."""

    CONTINUING = "continuing"
    """The stream was closed, and goes on at a runner that has its memory."""

    ENDED = "ended"


class TransferStep(Enum):
    """What to do next."""

    STOP = "stop"
    """Call the source to stop the run."""

    STAY = "stay"
    """The stream stays at the source; the copy is freed."""

    READ = "read"
    """Read the source's stream until it is closed."""

    AWAIT_ANSWER = "await_answer"
    """Wait for the answer to the call that stops the run."""

    GO_TO_TARGET = "go_to_target"
    GO_TO_SOURCE = "go_to_source"
    FALL_BACK = "fall_back"
    """Proceed as after any broken stream."""


CONTINUES = frozenset({TransferStep.GO_TO_TARGET, TransferStep.GO_TO_SOURCE})


@define(eq=False)
class TransferPlan:
    """The decisions about one transfer."""

    stage: TransferStage = field(default=TransferStage.COPYING, init=False)
    handle: str = field(default="", init=False)
    """Handle of the copy; empty if there is none."""

    cause: str = field(default="", init=False)
    """Why the stream does not continue at the target; empty while it may."""

    is_stop_confirmed: bool = field(default=False, init=False)
    """Whether the source has answered that it stopped the run."""

    _is_closed: bool = field(default=False, init=False)
    """Whether the source's stream has been closed before its end."""

    _is_source_next: bool = field(default=False, init=False)
    """Whether the target is known to have no room."""

    _is_source_tried: bool = field(default=False, init=False)

    @property
    def may_have_stopped(self) -> bool:
        """Return whether the run at the source may have been stopped."""
        return self.stage not in (TransferStage.COPYING, TransferStage.ENDED)

    @property
    def is_stopping(self) -> bool:
        """Return whether the stream is expected to be closed by its source."""
        return self.stage in (TransferStage.STOPPING, TransferStage.STOPPED)

    @property
    def is_ended(self) -> bool:
        """Return whether the transfer has ended without a move."""
        return self.stage is TransferStage.ENDED

    @property
    def is_stopped(self) -> bool:
        """Return whether the source has confirmed that it stopped the run."""
        return self.stage is TransferStage.STOPPED

    def handle_copied(
        self, result: MoveResult, *, is_target_open: bool
    ) -> TransferStep:
        """Handle the answer to the call that copies the memory."""
        self.handle = result.handle
        if result.answer is not MoveAnswer.MOVED:
            return self._end(result.answer.value, TransferStep.STAY)
        if not is_target_open:
            return self._end("target_left", TransferStep.STAY)
        self.stage = TransferStage.STOPPING
        return TransferStep.STOP

    def handle_stopped(self, result: MoveResult) -> TransferStep:
        """Handle the answer to the call that stops the run.

        A runner that has stopped the run returns a handle, also if it found no room at
        the target.
        """
        has_stopped = bool(result.handle)
        self._is_source_next = has_stopped and result.answer is MoveAnswer.NO_ROOM
        if has_stopped:
            self.handle = result.handle
            self.is_stop_confirmed = True
            self.stage = TransferStage.STOPPED
        else:
            self.stage = TransferStage.UNANSWERED
        if self._is_source_next or not has_stopped:
            self.cause = result.answer.value
        return self._continue() if self._is_closed else TransferStep.READ

    def handle_closed(self) -> TransferStep:
        """Handle the end of the source's stream before its last event."""
        self._is_closed = True
        if self.stage is TransferStage.COPYING:
            return self._end("broken", TransferStep.FALL_BACK)
        if self.stage is TransferStage.STOPPING:
            return TransferStep.AWAIT_ANSWER
        if self.stage is TransferStage.ENDED:
            return TransferStep.FALL_BACK
        return self._continue()

    def handle_rejected(self) -> TransferStep:
        """Handle that the runner to which the request was sent has not run it."""
        if self._is_source_tried:
            return self._end("rejected", TransferStep.FALL_BACK)
        self.cause = "rejected"
        self._is_source_tried = True
        return TransferStep.GO_TO_SOURCE

    def end(self, cause: str) -> None:
        """End the transfer for another reason; the stream stays or has ended."""
        self._end(cause, TransferStep.STAY)

    def _continue(self) -> TransferStep:
        self.stage = TransferStage.CONTINUING
        if self._is_source_next:
            self._is_source_tried = True
            return TransferStep.GO_TO_SOURCE
        return TransferStep.GO_TO_TARGET

    def _end(self, cause: str, step: TransferStep) -> TransferStep:
        self.stage, self.cause = TransferStage.ENDED, cause
        return step
