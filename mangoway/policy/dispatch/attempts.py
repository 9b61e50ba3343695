"""Attempts at upstreams, each with an identifier that is never reused."""

from attrs import define, field

from ...models.identifiers import AttemptId
from .actions import CancelAttempt, StartAttempt
from .const import (
    CANCEL_TIMEOUT_S,
    PRIORITY_CRITICAL,
    PRIORITY_PATIENT,
    PRIORITY_URGENT,
    REASON_DISPATCHED,
    REASON_RESUMED,
    SILENCE_TIMEOUT_PATIENT_S,
    SILENCE_TIMEOUT_URGENT_S,
)
from .context import Context
from .entries import Attempt, Entry, EntryState
from .upstreams import Upstream


@define(eq=False)
class Attempts:
    """Table of the attempts that have not ended at their upstreams."""

    context: Context
    _attempts: dict[AttemptId, Attempt] = field(factory=dict)
    _count: int = 0
    _expired: list[AttemptId] = field(factory=list)

    def __len__(self) -> int:
        return len(self._attempts)

    def find(self, attempt_id: AttemptId) -> Attempt | None:
        """Return an attempt; None if it ended or belongs to another process."""
        return self._attempts.get(attempt_id)

    def start(self, entry: Entry, upstream: Upstream) -> None:
        """Send a request to an upstream."""
        context = self.context
        request = entry.request
        self._count += 1
        attempt = Attempt(
            AttemptId(f"{context.identity}/{self._count}"),
            upstream.id,
            request.id,
            context.now,
            entry,
            resumed_from=entry.tokens,
        )
        entry.attempt = attempt
        entry.attempts += 1
        entry.state = EntryState.RUNNING
        self._attempts[attempt.id] = attempt
        context.fleet.add_attempt(attempt, upstream)
        timeout_s = request.deadline - context.now
        silence_s = (
            SILENCE_TIMEOUT_URGENT_S if entry.urgent else SILENCE_TIMEOUT_PATIENT_S
        )
        context.emit(
            StartAttempt(
                attempt_id=attempt.id,
                request_id=request.id,
                upstream_id=upstream.id,
                priority=self._compute_priority(entry),
                resume_from=entry.tokens,
                timeout_s=timeout_s,
                silence_s=min(silence_s, timeout_s),
            )
        )
        reason = REASON_RESUMED if entry.tokens else REASON_DISPATCHED
        context.explain(request.id, reason, upstream.id)

    def preempt(self, attempt: Attempt) -> None:
        """Cancel an attempt whose request is queued again and resumed later."""
        attempt.preempting = True
        self.context.emit(CancelAttempt(attempt_id=attempt.id))
        self._schedule_expiry(attempt)

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt whose request has ended."""
        attempt.entry = None
        if not attempt.preempting:
            self.context.emit(CancelAttempt(attempt_id=attempt.id))
            self._schedule_expiry(attempt)

    def remove(self, attempt: Attempt) -> Upstream:
        """Remove an attempt that ended; return its upstream."""
        del self._attempts[attempt.id]
        self.context.timers.cancel(attempt.timer)
        entry = attempt.entry
        if entry is not None:
            entry.attempt = None
        return self.context.fleet.remove_attempt(attempt)

    def pop_expired(self) -> list[Attempt]:
        """Return the cancelled attempts whose end was not reported in time.

        Each attempt is returned only once.
        """
        ids = self._expired
        self._expired = []
        return [self._attempts[item] for item in ids if item in self._attempts]

    def _schedule_expiry(self, attempt: Attempt) -> None:
        at = self.context.now + CANCEL_TIMEOUT_S
        attempt.timer = self.context.timers.schedule(
            at, lambda: self._expired.append(attempt.id)
        )

    def _compute_priority(self, entry: Entry) -> int:
        if entry.urgent:
            return PRIORITY_URGENT
        if entry.critical_at <= self.context.now:
            return PRIORITY_CRITICAL
        return PRIORITY_PATIENT
