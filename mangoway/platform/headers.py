"""Names of the header fields, each with what it holds."""

from typing import Final

REQUEST_ID: Final = b"x-request-id"
SIGNATURE: Final = b"x-response-signature"
NOT_EXECUTED: Final = b"x-not-executed"
"""Set by a runner that refused a request without running it."""

REQUEST_LIMIT: Final = b"server-limit"
"""Requests a second that a runner takes from all hosts together, a decimal number. It
holds for as long as the runner's answers name it."""

RETRY_AFTER: Final = b"retry-after"
"""Seconds for which a runner that refuses with 503 wants nothing of this host."""

LEAVING: Final = b"server-leaving"
"""`1` in all answers of a runner that leaves."""

DEADLINE: Final = b"x-deadline-ms"
"""Milliseconds that are left; no point in time."""

EXPECTED_INSTANCE: Final = b"x-expect-instance"
PRIORITY: Final = b"x-request-priority"
MODEL: Final = b"x-model"
"""`model` or `model/adapter`."""

TOKEN_USAGE: Final = b"x-token-usage"
"""`prompt,most output`, in tokens."""

PROMPT_PARTS: Final = b"x-prompt-prefix"
"""All parts of the prompt in order, as `hex id:tokens`; not only a prefix."""

AUTHORIZATION: Final = b"authorization"
"""`Bearer KEY`, the key of a customer."""

CUSTOMER: Final = b"x-tenant"
"""The customer's name, for runners; callers say it by their key only."""

LENGTH_HINT: Final = b"x-length-hint"
LAST_EVENT: Final = b"last-event-id"

RESERVED: Final = frozenset(
    {
        DEADLINE,
        EXPECTED_INSTANCE,
        PRIORITY,
        CUSTOMER,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
"""Fields that only this system may set; a caller's own are not forwarded."""
