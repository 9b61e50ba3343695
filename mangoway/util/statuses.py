"""Statuses of HTTP responses."""

from typing import Final

MIN_FINAL_STATUS: Final = 200
MAX_STATUS: Final = 599


def is_final(status: int) -> bool:
    """Return whether a status may be that of a final response.

    Others are invalid (RFC 9110, section 15), or of interim responses.
    """
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def is_success(status: int) -> bool:
    """Return whether a status is that of a successful response."""
    return status // 100 == 2
