"""Log records of libraries, written as numbered events to the event log."""

import logging
from asyncio import CancelledError

from .event_log import LogLevel, log_event, numbered


@numbered(107, LogLevel.WARNING)
class LibraryLogged:
    """A library logged a warning or an error."""

    library: str
    severity: str
    text: str


class EventHandler(logging.Handler):
    """Logging handler that writes records as events, so that each line is JSON."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record, including its exception if it has one."""
        text = record.getMessage()
        error = None if record.exc_info is None else record.exc_info[1]
        if isinstance(error, CancelledError):
            # A forced stop cancels running tasks and logs an event of its own.
            return
        if error is not None:
            text = f"{text.strip()}: {error!r}"
        log_event(
            LibraryLogged(library=record.name, severity=record.levelname, text=text)
        )


def capture_library_logs() -> None:
    """Write warnings and errors of all libraries to the event log."""
    logging.basicConfig(level=logging.WARNING, handlers=[EventHandler()], force=True)
    logging.captureWarnings(True)
