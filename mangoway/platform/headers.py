"""Names and formats of the platform's HTTP header fields."""

from typing import Final

STORE_ERA: Final = b"store-era"
"""In all responses of the store: a whole number that rises by one each time the store
comes back from a copy, without the writes since the copy was taken."""

REQUEST_ID: Final = b"x-request-id"
SIGNATURE: Final = b"x-response-signature"
NOT_EXECUTED: Final = b"x-not-executed"
"""Set by a runner that rejected a request without running it."""

REQUEST_LIMIT: Final = b"server-limit"
"""Rate limit of a runner for all hosts together, a decimal number of requests per
second. It is in effect for as long as the runner's responses contain it."""

RETRY_AFTER: Final = b"retry-after"
"""Cooldown in a 503 response: seconds in which this host must not send requests to the
runner."""

BRITTLE: Final = b"server-brittle"
"""In all responses of a runner that ends if it rejects more requests than this number
within a second for lack of room."""

LEAVING: Final = b"server-leaving"
"""`1` in all responses of a runner that is leaving."""

DEADLINE: Final = b"x-deadline-ms"
"""Remaining time in milliseconds, not a point in time."""

EXPECTED_INSTANCE: Final = b"x-expect-instance"
INSTANCE: Final = b"x-instance-id"
"""ID of the runner that answers a health check."""

PRIORITY: Final = b"x-request-priority"
MODEL: Final = b"x-model"
"""`model` or `model/adapter`."""

TOKEN_USAGE: Final = b"x-token-usage"
"""`prompt tokens,maximum output tokens`."""

PROMPT_PARTS: Final = b"x-prompt-prefix"
"""All parts of the prompt in order, not only a prefix: `hex id:tokens,...`."""

AUTHORIZATION: Final = b"authorization"
"""`Bearer KEY` with an API key of a customer."""

CUSTOMER: Final = b"x-tenant"
"""Name of the customer, sent to runners; callers are identified by key only."""

LENGTH_HINT: Final = b"x-length-hint"
LAST_EVENT: Final = b"last-event-id"
RESUMES: Final = b"resumes"
"""ID of the request that brought the first event of the stream to resume."""

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
"""Fields that only this system may set; those sent by callers are removed."""
