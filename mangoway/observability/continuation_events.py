"""Events of streams that continue at another runner.

The first digit of a number is the subject, as in `events`; the last two are 50 or more.
"""

from .event_log import LogLevel, numbered


@numbered(262, LogLevel.INFO)
class StreamContinued:
    """A stream goes on at another runner, after a transfer or from a backup."""

    request_id: str
    from_runner_id: str
    runner_id: str
    cause: str
    """`leaving` or `yielding` for a transfer, `crash` for a backup."""

    events: int
    """Events that the caller had received."""

    pause_s: float
    """Time from the end of the stream at the first runner to the next response."""


@numbered(263, LogLevel.INFO)
class StreamTransferFailed:
    """A stream was not transferred: it stays at its runner, or it has ended."""

    request_id: str
    source_runner_id: str
    target_runner_id: str
    reason: str
    """Why it was to be transferred."""

    cause: str
    """Why it was not."""

    events: int


@numbered(264, LogLevel.WARNING)
class BackupNotUsed:
    """A broken stream with a backup runner did not continue there."""

    request_id: str
    runner_id: str
    backup_runner_id: str
    cause: str
    events: int
