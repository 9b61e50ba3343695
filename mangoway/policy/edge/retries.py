"""Decides what follows when a try at a runner failed."""

from enum import Enum

from attrs import frozen

from ...models.routing import Route
from ...models.verdict import Verdict
from .const import MIN_RETRY_TIME_S


class RetryDecision(Enum):
    """What follows a failed try."""

    RETRY = "retry"
    REFUSE = "refuse"
    """Answer that the request has not run."""

    FAIL = "fail"
    """Answer that it may have run."""


class RetryCause(Enum):
    """Why a request is sent to a runner once more."""

    FAILED = "failed"
    """The runner failed, or its connection broke before an answer began."""

    REFUSED = "refused"
    """The runner said that it has not run the request."""

    SILENT = "silent"
    """The runner was silent, and another one was found."""

    RESUMED = "resumed"
    """The stream broke after its first event."""


@frozen(kw_only=True)
class FailedAttempt:
    """A try that failed, and what came before it."""

    verdict: Verdict
    """Of this try."""

    ran_before: bool
    """Whether an earlier try of the request may have run."""

    runners_tried: int
    """Runners that the request was sent to, this one included."""

    was_sent: bool
    """Whether bytes of the request went out in this try."""

    time_left_s: float


def decide_retry(
    route: Route, failed: FailedAttempt, *, budget_left: bool
) -> RetryDecision:
    """Return what follows a failed try.

    What may have run goes out again only on a route whose requests may be repeated;
    what certainly has not run goes out again on any.
    """
    may_have_run = failed.ran_before or failed.verdict is not Verdict.NOT_RUN
    allowed = not may_have_run or route.idempotent
    # What was not run may go to a runner again that it was sent to before.
    attempts_left = (
        failed.runners_tried < route.max_attempts or failed.verdict is Verdict.NOT_RUN
    )
    in_time = failed.time_left_s > MIN_RETRY_TIME_S
    if allowed and attempts_left and in_time and (budget_left or not failed.was_sent):
        return RetryDecision.RETRY
    return RetryDecision.FAIL if may_have_run else RetryDecision.REFUSE
