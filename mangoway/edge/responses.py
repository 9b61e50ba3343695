"""Responses that an edge creates itself."""

from typing import Final

import orjson

from ..http1.messages import Headers
from ..policy.edge.response_memory import RETRY_AFTER_MEMORY_S

JSON_TYPE: Final = (b"Content-Type", b"application/json")

PROMISES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""

STATUS_UNKNOWN_CALLER: Final = 401
STATUS_NO_ROUTE: Final = 404
STATUS_OVER_QUOTA: Final = 429
STATUS_NOT_RUN: Final = 503
STATUS_FAILED: Final = 502
STATUS_TIMEOUT: Final = 504


def make_response(
    reason: str, retry_after_s: float | None = None
) -> tuple[Headers, bytes]:
    """Return the headers and body of a response of this system."""
    fields = [JSON_TYPE]
    if retry_after_s is not None:
        fields.append((b"Retry-After", f"{retry_after_s:.2f}".encode()))
    return tuple(fields), orjson.dumps({"error": reason})


def make_error_response(status: int, reason: str) -> tuple[Headers, bytes]:
    """Return the headers and body of a response to an invalid request."""
    retry_after_s = RETRY_AFTER_MEMORY_S if status == STATUS_NOT_RUN else None
    return make_response(reason, retry_after_s)
