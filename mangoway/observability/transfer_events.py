"""Events of schedulers about streams that are transferred or backed up."""

from .event_log import LogLevel, numbered


@numbered(465, LogLevel.INFO)
class StreamTransferOrdered:
    """A running stream is to go on at another runner, where room is reserved."""

    request_id: str
    edge: str
    source: str
    target: str
    reason: str


@numbered(466, LogLevel.INFO)
class StreamTransferred:
    """A stream goes on at another runner, after a transfer or from its backup."""

    request_id: str
    edge: str
    runner_id: str


@numbered(467, LogLevel.WARNING)
class StreamTransferFailed:
    """A stream was not transferred: it goes on where it is, or it has ended."""

    request_id: str
    edge: str
    target: str


@numbered(468, LogLevel.DEBUG)
class StreamBackupGranted:
    """A stream was granted with a runner that keeps a copy of its memory."""

    request_id: str
    edge: str
    runner_id: str
    backup: str
