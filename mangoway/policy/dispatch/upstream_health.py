"""Health of upstreams, derived from the outcomes of attempts."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from .actions import LogBreakerChange
from .breakers import BreakerState
from .const import REASON_BREAKER_TRIPPED
from .context import Context
from .entries import Attempt
from .scheduler import Scheduler
from .upstreams import Upstream, find_resource

UNHEALTHY_CODES = frozenset(
    {ErrorCode.UPSTREAM_FAILED, ErrorCode.UPSTREAM_SILENT, ErrorCode.INTERNAL}
)
"""Error codes that count as failures of the upstream."""

MISSING_ARTIFACT_CODES = frozenset(
    {ErrorCode.MODEL_LOADING, ErrorCode.NOT_FOUND, ErrorCode.UNKNOWN_MODEL}
)
"""Error codes with which an engine reports that it does not have an artifact."""


@define(eq=False)
class UpstreamHealth:
    """Updates the windows and circuit breakers of upstreams."""

    context: Context
    scheduler: Scheduler

    def record_success(self, upstream: Upstream) -> None:
        """Record a complete answer."""
        upstream.window.increase()
        self._record_response(upstream)

    def _record_response(self, upstream: Upstream) -> None:
        was_closed = upstream.breaker.state is BreakerState.CLOSED
        upstream.breaker.record_success()
        if was_closed:
            self.context.fleet.refresh(upstream)
        else:
            self.context.fleet.update_breaker(upstream)
            self.context.emit(LogBreakerChange(upstream_id=upstream.id, failures=0))

    def record_failure(
        self, upstream: Upstream, attempt: Attempt, failure: Failure
    ) -> None:
        """Record a failure."""
        if failure.code is ErrorCode.UPSTREAM_BUSY:
            upstream.window.decrease()
            self._record_rejection(upstream, attempt)
        elif failure.code is ErrorCode.LEAVING:
            self.context.fleet.mark_leaving(upstream.id)
        elif failure.code in MISSING_ARTIFACT_CODES and attempt.entry is not None:
            resource = find_resource(attempt.entry.request.target)
            self.context.fleet.mark_missing(upstream, resource, self.context.now)
        elif failure.code in UNHEALTHY_CODES and self.context.options.breakers:
            self._count_failure(upstream, attempt)

    def _record_rejection(self, upstream: Upstream, attempt: Attempt) -> None:
        """Record that an upstream rejected an attempt as busy.

        An engine's reports contain its load and whether it is leaving, so its rejection
        only shows that it responds, and its breaker closes.
        A host of a plain service sends no reports: if it rejects everything, it
        looks idle and would be chosen most often, so a rejection counts as a failure.
        """
        if upstream.service is None:
            self._record_response(upstream)
        elif self.context.options.breakers:
            self._count_failure(upstream, attempt)

    def _count_failure(self, upstream: Upstream, attempt: Attempt) -> None:
        if not upstream.breaker.record_failure(attempt.probe):
            return
        probing = upstream.breaker.state is BreakerState.HALF_OPEN
        if not probing and not self.context.fleet.may_trip(upstream):
            return
        open_s = upstream.breaker.trip()
        self.context.fleet.update_breaker(upstream)
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
        self.context.fleet.update_breaker(upstream)
        self.scheduler.start_waiting(upstream)
