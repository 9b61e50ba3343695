"""Answers of a runner to a call that copies the memory of a running request."""

from enum import Enum

from attrs import frozen


class MoveAnswer(Enum):
    """Answer of a runner to a call that copies the memory of a run."""

    MOVED = "moved"
    NO_RUN = "no_run"
    """The runner doesn't run the request."""

    BUSY = "busy"
    """Another call for the run is in progress."""

    NO_ROOM = "no_room"
    """The target has no room or can't be reached."""

    NO_ANSWER = "no_answer"
    """No valid answer in time; the call may have been executed."""


@frozen(kw_only=True)
class MoveResult:
    """The answer to one call, with the copy that it made or kept."""

    answer: MoveAnswer
    handle: str = ""
    """Handle of the copy; empty if there is none."""

    created: int = 0
    """Events that the run has generated so far; 0 if unknown."""
