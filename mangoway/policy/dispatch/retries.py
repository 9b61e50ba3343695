"""Decisions about retries of failed attempts."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from ...models.verdict import Verdict
from .const import (
    RETRY_BACKOFF_MAX_S,
    RETRY_BACKOFF_S,
    RETRY_CREDITS_PER_SECOND,
    RETRY_MAX_ATTEMPTS,
    RETRY_MAX_CREDITS,
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
"""Failures caused by the request, which would occur at every upstream."""


@define(eq=False)
class RetryBudget:
    """Limit of retries relative to first attempts, to avoid retry storms."""

    updated_at: float = 0.0
    credits: float = RETRY_MAX_CREDITS

    def deposit(self) -> None:
        """Add the share of a credit that a first attempt earns."""
        self.credits = min(RETRY_MAX_CREDITS, self.credits + RETRY_RATIO)

    def try_acquire(self, now: float) -> bool:
        """Spend the credit of one retry; return False if the budget is exhausted."""
        earned = (now - self.updated_at) * RETRY_CREDITS_PER_SECOND
        self.credits = min(RETRY_MAX_CREDITS, self.credits + max(0.0, earned))
        self.updated_at = max(now, self.updated_at)
        if self.credits < 1.0:
            return False
        self.credits -= 1.0
        return True


def find_retry_obstacle(entry: Entry, verdict: Verdict, failure: Failure) -> str | None:
    """Return why a failed attempt must not be retried; None if it may be."""
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
