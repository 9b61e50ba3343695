"""Decides whether a request is retried after a failed attempt."""

from enum import Enum

from attrs import frozen

from ...models.routing import Route
from ...models.verdict import Verdict
from .const import MIN_RETRY_TIME_S


class RetryDecision(Enum):
    """Decision after a failed attempt."""

    RETRY = "retry"
    REJECT = "refuse"
    """Respond that the request has not run."""

    FAIL = "fail"
    """Respond that the request may have run."""

    RETURN = "return"
    """Read on at the silent runner that was kept."""


class RetryCause(Enum):
    """Why a request is sent to a runner again."""

    FAILED = "failed"
    """The runner failed, or its connection broke before a response began."""

    REJECTED = "refused"
    """The runner rejected the request and has not run it."""

    SILENT = "silent"
    """The runner sent nothing, and another one was found."""

    RESUMED = "resumed"
    """The response stream broke after its first event."""

    CONTINUED = "continued"
    """The run goes on at a runner that has a copy of its memory."""


@frozen(kw_only=True)
class FailedAttempt:
    """A failed attempt, with the history of its request."""

    verdict: Verdict
    """Whether the request ran in this attempt."""

    may_have_run: bool
    """Whether the request may have run, in this attempt or an earlier one."""

    runners_tried: int
    """Number of runners that the request was sent to, including this one."""

    was_sent: bool
    """Whether any bytes of the request were sent in this attempt."""

    time_left_s: float
    may_repeat_rejected: bool = False
    """Whether the request may be sent again to runners that only rejected it."""

    may_go_on: bool = True
    """Whether another attempt can send what the caller has not received."""

    is_runner_kept: bool = False
    """Whether the connection to a silent runner is kept: the one of this attempt, or an
    earlier one if the request has not run in this attempt."""


def decide_retry(
    route: Route, failed: FailedAttempt, *, budget_left: bool
) -> RetryDecision:
    """Return whether to retry, reject or fail a request after a failed attempt.

    A request that may have run is retried only on an idempotent route; one that
    certainly has not run is retried on any route. The largest number of attempts counts
    runners, so that those that only rejected the request may get it again. If another
    runner rejected the stream of a silent one, that is read on first: it may have gone
    on, and further runners are searched for meanwhile.
    """
    if failed.is_runner_kept and failed.verdict is Verdict.NOT_RUN:
        return RetryDecision.RETURN
    allowed = failed.may_go_on and (not failed.may_have_run or route.idempotent)
    # The number of runners isn't limited after an attempt that has not run: the request
    # may be sent again to the same runner. The search for an alternative to a silent
    # runner has applied the limit.
    attempts_left = (
        failed.runners_tried < route.max_attempts
        or failed.may_repeat_rejected
        or failed.verdict is Verdict.NOT_RUN
        or failed.is_runner_kept
    )
    in_time = failed.time_left_s > MIN_RETRY_TIME_S
    if allowed and attempts_left and in_time and (budget_left or not failed.was_sent):
        return RetryDecision.RETRY
    if failed.is_runner_kept:
        return RetryDecision.RETURN
    return RetryDecision.FAIL if failed.may_have_run else RetryDecision.REJECT
