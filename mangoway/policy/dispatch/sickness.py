"""What the outcomes of attempts say about upstreams."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from .actions import LogBreakerChange
from .breakers import BreakerState
from .const import REASON_BREAKER_TRIPPED
from .context import Context
from .entries import Attempt
from .scheduler import Scheduler
from .upstreams import Upstream, find_resource

SICK = frozenset(
    {ErrorCode.UPSTREAM_FAILED, ErrorCode.UPSTREAM_SILENT, ErrorCode.INTERNAL}
)
"""Failures that count against an upstream's health."""

ABSENT = frozenset(
    {ErrorCode.MODEL_LOADING, ErrorCode.NOT_FOUND, ErrorCode.UNKNOWN_MODEL}
)
"""Failures by which an engine says that it doesn't have an artifact."""


@define(eq=False)
class Sickness:
    """Drives windows and breakers of upstreams."""

    context: Context
    scheduler: Scheduler

    def record_success(self, upstream: Upstream) -> None:
        """Take a whole answer."""
        upstream.window.increase()
        self._note_answer(upstream)

    def _note_answer(self, upstream: Upstream) -> None:
        was_closed = upstream.breaker.state is BreakerState.CLOSED
        upstream.breaker.record_success()
        if was_closed:
            self.context.fleet.refresh(upstream)
        else:
            self.context.fleet.note_breaker(upstream)
            self.context.emit(LogBreakerChange(upstream_id=upstream.id, failures=0))

    def record_failure(
        self, upstream: Upstream, attempt: Attempt, failure: Failure
    ) -> None:
        """Take a failure."""
        if failure.code is ErrorCode.UPSTREAM_BUSY:
            upstream.window.decrease()
            self._note_refusal(upstream, attempt)
        elif failure.code is ErrorCode.LEAVING:
            self.context.fleet.mark_leaving(upstream.id)
        elif failure.code in ABSENT and attempt.entry is not None:
            resource = find_resource(attempt.entry.request.target)
            self.context.fleet.deny(upstream, resource, self.context.now)
        elif failure.code in SICK and self.context.options.breakers:
            self._count_failure(upstream, attempt)

    def _note_refusal(self, upstream: Upstream, attempt: Attempt) -> None:
        """Take it that an upstream was busy.

        An engine's reports say how busy it is, and whether it leaves. A host of a
        service that refuses everything looks idle, so it would be chosen the most.
        """
        if upstream.kind is None:
            self._note_answer(upstream)
        elif self.context.options.breakers:
            self._count_failure(upstream, attempt)

    def _count_failure(self, upstream: Upstream, attempt: Attempt) -> None:
        if not upstream.breaker.record_failure(attempt.probe):
            return
        probing = upstream.breaker.state is BreakerState.HALF_OPEN
        if not probing and not self.context.fleet.may_trip(upstream):
            return
        open_s = upstream.breaker.trip()
        self.context.fleet.note_breaker(upstream)
        self.context.explain(attempt.request_id, REASON_BREAKER_TRIPPED, upstream.id)
        failures = upstream.breaker.failures
        self.context.emit(LogBreakerChange(upstream_id=upstream.id, failures=failures))
        at = self.context.now + open_s * (1.0 + self.context.rng.random() / 4)
        breaker = upstream.breaker
        self.context.timers.schedule(at, lambda: self._probe(upstream, breaker))

    def _probe(self, upstream: Upstream, breaker: object) -> None:
        if upstream.breaker is not breaker:
            return
        upstream.breaker.probe()
        self.context.fleet.note_breaker(upstream)
        self.scheduler.pump(upstream)
