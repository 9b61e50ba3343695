"""Handling of the outcomes of attempts."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from ...models.identifiers import AttemptId, RequestId
from ...models.verdict import Verdict
from .attempts import Attempts
from .const import REASON_LATE_EVENT_DROPPED
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
from .upstream_health import UpstreamHealth
from .upstreams import Upstream


@define(eq=False)
class OutcomeHandler:
    """Handler of the events of attempts; late events of ended attempts are ignored."""

    context: Context
    attempts: Attempts
    requests: Requests
    scheduler: Scheduler
    upstream_health: UpstreamHealth

    def handle_progress(self, event: AttemptProgressed) -> None:
        """Record the tokens that an attempt delivered so far."""
        attempt = self.attempts.find(event.attempt_id)
        if attempt is None or attempt.entry is None:
            return
        entry = attempt.entry
        if attempt.first_token_at is None:
            target = entry.request.target
            self.context.estimates.record_first_token(attempt, target, self.context.now)
        entry.tokens = max(entry.tokens, event.tokens)

    def handle_success(self, event: AttemptSucceeded) -> None:
        """End an attempt and its request."""
        attempt = self._find(event.attempt_id)
        if attempt is None:
            return
        entry = attempt.entry
        upstream = self.attempts.remove(attempt)
        self.upstream_health.record_success(upstream)
        if entry is not None:
            now = self.context.now
            self.context.estimates.record_success(attempt, entry, now)
            self.requests.finish(entry)
        self.scheduler.start_waiting(upstream)

    def handle_failure(self, event: AttemptFailed) -> None:
        """End a failed attempt, and retry or reject its request."""
        attempt = self._find(event.attempt_id)
        if attempt is None:
            return
        entry = attempt.entry
        upstream = self.attempts.remove(attempt)
        self.upstream_health.record_failure(upstream, attempt, event.failure)
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
        self.scheduler.start_waiting(upstream)

    def handle_cancellation(self, event: AttemptCancelled) -> None:
        """End a cancelled attempt, and queue a preempted request again."""
        attempt = self._find(event.attempt_id)
        if attempt is None:
            return
        entry = attempt.entry
        upstream = self.attempts.remove(attempt)
        if entry is not None and attempt.preempting:
            entry.tokens = max(entry.tokens, event.tokens)
            self.scheduler.requeue_preempted(entry)
        elif entry is not None:
            self._handle_unrequested_cancellation(entry, upstream)
        self.scheduler.start_waiting(upstream)

    def expire_cancelled(self) -> None:
        """End the cancelled attempts whose end was not reported in time."""
        for attempt in self.attempts.pop_expired():
            entry = attempt.entry
            upstream = self.attempts.remove(attempt)
            if entry is not None:
                self.scheduler.requeue_preempted(entry)
            self.scheduler.start_waiting(upstream)

    def _find(self, attempt_id: AttemptId) -> Attempt | None:
        attempt = self.attempts.find(attempt_id)
        if attempt is None:
            request_id = RequestId("")
            self.context.explain(
                request_id, REASON_LATE_EVENT_DROPPED, detail=attempt_id
            )
        return attempt

    def _handle_unrequested_cancellation(
        self, entry: Entry, upstream: Upstream
    ) -> None:
        failure = Failure(
            code=ErrorCode.UPSTREAM_FAILED,
            verdict=Verdict.MAY_HAVE_RUN,
            detail="the attempt was cancelled, but not by this gateway",
        )
        entry.verdict = entry.verdict.merge(failure.verdict)
        self.scheduler.retry(entry, upstream, failure)
