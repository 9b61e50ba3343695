"""Constants of the HTTP session to upstreams."""

from typing import Final

HEADER_VERDICT: Final = "X-Verdict"
HEADER_RETRY_AFTER: Final = "Retry-After"
HEADER_REQUEST_ID: Final = "X-Request-Id"

VERDICT_NOT_RUN: Final = "not_run"

CONNECT_TIMEOUT_S: Final = 2.0
"""Longest time to open a connection; latencies between hosts are milliseconds."""

HEAD_TIMEOUT_S: Final = 0.4
"""Longest wait for the headers of a streamed response on a pooled connection."""

IDLE_CONNECTION_S: Final = 15.0
"""Longest time for which an idle connection is kept in the pool."""

READ_BUFFER_BYTES: Final = 1 << 16

MAX_RESPONSE_BYTES: Final = 16 << 20
"""Largest response body that is read as a whole."""

STATUS_OK: Final = 200
BUSY_STATUSES: Final = frozenset({429, 503})
"""Statuses by which an upstream reports that it is busy."""

BODYLESS_STATUSES: Final = frozenset({204, 304})
"""Statuses of responses that end with their head."""
