"""Constants of the HTTP session to upstreams."""

from typing import Final

HEADER_VERDICT: Final = "X-Verdict"
HEADER_RETRY_AFTER: Final = "Retry-After"
HEADER_REQUEST_ID: Final = "X-Request-Id"

VERDICT_NOT_RUN: Final = "not_run"

CONNECT_TIMEOUT_S: Final = 2.0
"""Longest time to open a connection; hosts are milliseconds apart."""

HEAD_TIMEOUT_S: Final = 0.4
"""Longest time to the head of a streamed answer on a pooled connection."""

IDLE_CONNECTION_S: Final = 15.0
"""Time for which an idle connection is kept for the next request."""

READ_BUFFER_BYTES: Final = 1 << 16
ANSWER_LIMIT_BYTES: Final = 16 << 20
"""Largest whole answer that is read from an upstream."""

STATUS_OK: Final = 200
BUSY_STATUSES: Final = frozenset({429, 503})
