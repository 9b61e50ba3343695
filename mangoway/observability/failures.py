"""Logs unexpected errors with the place that raised them."""

from types import TracebackType
from typing import Final

from .event_log import log_event
from .fleet_events import HandlerFailed

PACKAGE: Final = __name__.partition(".")[0]


def log_failure(error: BaseException) -> None:
    """Log an unexpected error that was caught so that the process goes on."""
    location = find_location(error.__traceback__)
    log_event(HandlerFailed(error=repr(error), location=location))


def find_location(traceback: TracebackType | None) -> str:
    """Return module, line and function of the innermost call in this package.

    Args:
        traceback: Traceback of the error; None if it was not raised.

    Returns:
        The place as `module:line function`; empty if no call is in this package.
    """
    location = ""
    while traceback is not None:
        frame = traceback.tb_frame
        module = str(frame.f_globals.get("__name__", ""))
        if module.partition(".")[0] == PACKAGE:
            location = f"{module}:{traceback.tb_lineno} {frame.f_code.co_name}"
        traceback = traceback.tb_next
    return location
