"""Outcomes of attempts."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from ...models.identifiers import AttemptId, RequestId
from ...models.verdict import Verdict
from .attempts import Attempts
from .const import REASON_LATE_EVENT
from .context import Context
from .entries import Attempt, Entry
from .events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
)
from .requests import Requests
from .scheduler import Scheduler
from .sickness import Sickness
from .upstreams import Upstream


@define(eq=False)
class Outcomes:
    """Takes what attempts report; events of attempts that ended are dropped."""

    context: Context
    attempts: Attempts
    requests: Requests
    scheduler: Scheduler
    sickness: Sickness

    def progress(self, event: AttemptProgressed) -> None:
        """Note what an attempt delivered so far."""
        attempt = self.attempts.find(event.attempt_id)
        if attempt is None or attempt.entry is None:
            return
        entry = attempt.entry
        if attempt.first_token_at is None:
            target = entry.request.target
            self.context.estimates.record_first_token(attempt, target, self.context.now)
        entry.tokens = max(entry.tokens, event.tokens)

    def succeed(self, event: AttemptSucceeded) -> None:
        """End an attempt, and its request with it."""
        attempt = self._find(event.attempt_id)
        if attempt is None:
            return
        entry = attempt.entry
        upstream = self.attempts.release(attempt)
        self.sickness.record_success(upstream)
        if entry is not None:
            now = self.context.now
            self.context.estimates.record_success(attempt, entry, now)
            self.requests.finish(entry)
        self.scheduler.pump(upstream)

    def fail(self, event: AttemptFailed) -> None:
        """End an attempt, and retry or end its request."""
        attempt = self._find(event.attempt_id)
        if attempt is None:
            return
        entry = attempt.entry
        upstream = self.attempts.release(attempt)
        self.sickness.record_failure(upstream, attempt, event.failure)
        if entry is not None:
            entry.tokens = max(entry.tokens, event.tokens)
            entry.verdict = entry.verdict.merge(event.verdict)
            failure = Failure(
                code=event.failure.code,
                verdict=event.verdict,
                detail=event.failure.detail,
                retry_after=event.failure.retry_after,
            )
            self.scheduler.retry(entry, upstream, failure)
        self.scheduler.pump(upstream)

    def end_cancelled(self, event: AttemptCancelled) -> None:
        """End an attempt that was cancelled."""
        attempt = self._find(event.attempt_id)
        if attempt is None:
            return
        entry = attempt.entry
        upstream = self.attempts.release(attempt)
        if entry is not None and attempt.preempting:
            entry.tokens = max(entry.tokens, event.tokens)
            self.scheduler.resume_later(entry)
        elif entry is not None:
            self._end_unasked(entry, upstream)
        self.scheduler.pump(upstream)

    def write_off(self) -> None:
        """End cancelled attempts that nothing was heard of in time."""
        for attempt in self.attempts.take_written_off():
            entry = attempt.entry
            upstream = self.attempts.release(attempt)
            if entry is not None:
                self.scheduler.resume_later(entry)
            self.scheduler.pump(upstream)

    def _find(self, attempt_id: AttemptId) -> Attempt | None:
        attempt = self.attempts.find(attempt_id)
        if attempt is None:
            request_id = RequestId("")
            self.context.explain(request_id, REASON_LATE_EVENT, detail=attempt_id)
        return attempt

    def _end_unasked(self, entry: Entry, upstream: Upstream) -> None:
        failure = Failure(
            code=ErrorCode.UPSTREAM_FAILED,
            verdict=Verdict.MAY_HAVE_RUN,
            detail="the attempt was cancelled by somebody else",
        )
        entry.verdict = entry.verdict.merge(failure.verdict)
        self.scheduler.retry(entry, upstream, failure)
