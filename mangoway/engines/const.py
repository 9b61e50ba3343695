"""Constants of the engine protocol."""

from typing import Final

PATH_COMPLETIONS: Final = "/v1/completions"
PATH_CANCEL: Final = "/v1/cancel"
PATH_DESCRIPTION: Final = "/v1/description"
PATH_REPORT: Final = "/v1/report"
PATH_ORDERS: Final = "/v1/orders"

CONTENT_TYPE_JSON: Final = {"Content-Type": "application/json"}

CONTROL_TIMEOUT_S: Final = 2.0
"""Timeout for reading a description or report, and for a cancellation."""

ORDER_TIMEOUT_S: Final = 10.0
"""Timeout for the answer to an order."""

EVENT_PREFIX: Final = b"data:"
EVENT_END: Final = b"\n\n"
EVENT_DONE: Final = b"[DONE]"
MAX_EVENT_BYTES: Final = 1 << 20
"""Maximum size of a single event of a stream."""
