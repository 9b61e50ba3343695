"""What libraries log, as numbered events on the same stream."""

import logging

from .event_log import log_event
from .events import LibraryLogged


class EventHandler(logging.Handler):
    """Turns each record into one event, so that every line is JSON."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record with the text of its exception, if it has one."""
        text = record.getMessage()
        if record.exc_info is not None and record.exc_info[1] is not None:
            text = f"{text.strip()}: {record.exc_info[1]!r}"
        log_event(
            LibraryLogged(library=record.name, severity=record.levelname, text=text)
        )


def capture_library_logs() -> None:
    """Send warnings and errors of all libraries to the event log."""
    logging.basicConfig(level=logging.WARNING, handlers=[EventHandler()], force=True)
    logging.captureWarnings(True)
