"""Constants of the interface for callers."""

from typing import Final

HEADER_CALLER: Final = "x-caller"
HEADER_WORK_CLASS: Final = "x-work-class"
HEADER_DEADLINE: Final = "x-deadline-seconds"
HEADER_IDEMPOTENCY_KEY: Final = "idempotency-key"
HEADER_IDEMPOTENT: Final = "x-idempotent"
HEADER_TRACEPARENT: Final = "traceparent"

HEADER_REQUEST_ID: Final = "x-request-id"
HEADER_RETRY_AFTER: Final = "retry-after"
HEADER_CONTENT_TYPE: Final = "content-type"

FORWARDED_HEADERS: Final = frozenset(
    {
        HEADER_CALLER,
        HEADER_WORK_CLASS,
        HEADER_DEADLINE,
        HEADER_IDEMPOTENCY_KEY,
        HEADER_IDEMPOTENT,
        HEADER_TRACEPARENT,
    }
)
"""Headers that are sent with a request forwarded to another gateway."""

CONTENT_TYPE_JSON: Final = "application/json"
CONTENT_TYPE_PROBLEM: Final = "application/problem+json"
CONTENT_TYPE_EVENTS: Final = "text/event-stream"

PATH_ADDRESSES: Final = "/v1/addresses"
PATH_COMPLETIONS: Final = "/v1/completions"
PATH_SERVICES: Final = "/v1/services/"
PATH_STATUS: Final = "/v1/status"
PATH_EXPLAIN: Final = "/v1/explain/"
PATH_HEALTH: Final = "/healthz"
PATH_READY: Final = "/readyz"
PATH_METRICS: Final = "/metrics"

PROBLEM_TYPE_PREFIX: Final = "urn:mangoway:error:"

BODY_TIMEOUT_S: Final = 10.0
"""Timeout for receiving the body of a request."""

HEADERS_TIMEOUT_S: Final = 10.0
"""Timeout for receiving the headers of a request."""

UNREAD_TIMEOUT_S: Final = 60.0
"""Time after which a connection with a full write buffer is aborted."""

MAX_SENT_AHEAD_BYTES: Final = 65_536
"""Unparsed bytes of a connection above which it is not read."""

HEAD_PART_BYTES: Final = 1024
"""Bytes that are parsed at once outside of bodies. All requests in them are kept until
they are answered, some thousand bytes each."""

BODY_PART_BYTES: Final = 16_384
"""Bytes that are parsed at once within a body."""

DEADLINE_MAX_S: Final = 7 * 86_400.0
"""Longest deadline that a caller may request."""

DEFAULT_MAX_TOKENS: Final = 16
"""Default of `max_tokens`, as in the public completions API."""

MAX_TOKENS_LIMIT: Final = 1 << 20
"""Largest `max_tokens` that a caller may request."""

CHARACTERS_PER_TOKEN: Final = 4
"""Approximate length of a token, for estimates of a prompt's size."""

PREFIX_BLOCK_CHARACTERS: Final = 256
"""Length of the blocks of a prompt that are hashed for routing."""

PREFIX_BLOCKS_MAX: Final = 32
"""Maximum number of hashed blocks of a prompt."""

TRUE_WORDS: Final = frozenset({"1", "true", "yes"})
FALSE_WORDS: Final = frozenset({"0", "false", "no"})
