"""When a failed attempt is tried again."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from ...models.verdict import Verdict
from .const import (
    RETRY_BACKOFF_MAX_S,
    RETRY_BACKOFF_S,
    RETRY_MAX_ATTEMPTS,
    RETRY_MAX_TOKENS,
    RETRY_PER_SECOND,
    RETRY_RATIO,
)
from .entries import Entry

FAULTS_OF_REQUEST = frozenset(
    {
        ErrorCode.MALFORMED_REQUEST,
        ErrorCode.BODY_TOO_LARGE,
        ErrorCode.METHOD_NOT_ALLOWED,
        ErrorCode.CANCELLED,
    }
)
"""Failures that another upstream would answer in the same way."""


@define(eq=False)
class RetryBudget:
    """Retries in proportion to first attempts, so that a brown-out isn't doubled."""

    updated_at: float = 0.0
    tokens: float = RETRY_MAX_TOKENS

    def earn(self) -> None:
        """Count a first attempt."""
        self.tokens = min(RETRY_MAX_TOKENS, self.tokens + RETRY_RATIO)

    def take(self, now: float) -> bool:
        """Take a retry; False if the budget is spent."""
        earned = (now - self.updated_at) * RETRY_PER_SECOND
        self.tokens = min(RETRY_MAX_TOKENS, self.tokens + max(0.0, earned))
        self.updated_at = max(now, self.updated_at)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def find_retry_obstacle(entry: Entry, verdict: Verdict, failure: Failure) -> str | None:
    """Return why a failed attempt must not be repeated; None if it may be."""
    if verdict is not Verdict.NOT_RUN and not entry.request.idempotent:
        return "may_have_run"
    if failure.code in FAULTS_OF_REQUEST:
        return "fault_of_request"
    if entry.attempts >= RETRY_MAX_ATTEMPTS:
        return "attempts_spent"
    return None


def compute_backoff(attempts: int, jitter: float) -> float:
    """Return the seconds to wait before the next attempt; `jitter` is in [0, 1)."""
    backoff = min(RETRY_BACKOFF_MAX_S, RETRY_BACKOFF_S * 2.0 ** (attempts - 1))
    return backoff * (0.5 + jitter / 2)
