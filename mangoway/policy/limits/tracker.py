"""Rate limits that runners report, and the requests that these limits allow.

A limit applies to all hosts together. A scheduler has the share of the edges to which
it sends grants, and a disconnected edge has a small share or none, so that all together
send no more than the runner accepts. Each edge reports the requests that it sent
shortly before the limit was received, and these count against the limit.
"""

import math
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from ...models.runner import is_later_incarnation
from .const import (
    LIMIT_RETENTION_S,
    MAX_LIMIT_RETRY_AFTER_S,
    MIN_LIMITED_S,
    MIN_REQUESTS_PER_S,
    UNCHARGED_REQUESTS,
    UNCHARGED_S,
)
from .rate_limiter import RateLimiter


@frozen(kw_only=True)
class LimitReport:
    """A rate limit that a runner reported in a response, or the removal of one."""

    runner_id: str
    started_ms: int
    """Start time of the runner in Unix ms, as in its entry; identifies the
    incarnation."""

    limit: float | None
    """Requests per second from all hosts together; None: no limit."""

    request_age_s: float
    """Time since the request was sent whose response carried this report."""

    response_age_s: float
    """Time since that response was received."""

    recent_requests: int = 0
    """Requests that the reporting edge sent to the runner within `RECENT_REQUESTS_S`
    before the report."""


@define(eq=False)
class RunnerLimit:
    """Limit of one incarnation of a runner."""

    started_ms: int
    rate_limiter: RateLimiter
    limit: float | None = None
    received_at: float = -math.inf
    """When the latest response with the limit was received."""

    removed_at: float = -math.inf
    """When the request was sent whose response removed the limit."""

    limited_since: float = 0.0
    """When the runner became limited."""

    reported_requests: float = 0.0
    """Requests that edges sent shortly before they received the limit."""

    reserved_until: float = -math.inf
    """Earliest retry time that the next rejected caller may be given."""

    missing_since: float | None = None
    """Since when the runner has had no entry; None while it has one."""


@define(eq=False)
class LimitTracker:
    """Limits of all runners, as received by one process."""

    get_share: Callable[[str], float] = lambda runner_id: 1.0
    """Returns the share of a runner's limit that this process may use now, 0 to 1."""

    _records: dict[str, RunnerLimit] = field(factory=dict, init=False)

    def update(self, report: LimitReport, now: float) -> bool:
        """Process a report; return whether the limit changed.

        Outdated reports are ignored: a response without a limit removes it only if its
        request was sent after the limit was last received.
        """
        record = self._find_or_create(report, now)
        if record is None:
            return False
        response_at, request_at = (
            now - report.response_age_s,
            now - report.request_age_s,
        )
        if report.limit is None:
            return self._remove_limit(record, request_at)
        if response_at < record.removed_at:
            return False
        changed = report.limit != record.limit and response_at >= record.received_at
        if record.limit is None:
            record.limited_since, record.reported_requests = now, 0.0
            record.rate_limiter = RateLimiter(now)
        if changed:
            record.limit = report.limit
        record.received_at = max(record.received_at, response_at)
        self._charge(record, report.recent_requests)
        return changed

    def get_limit(self, runner_id: str, started_ms: int = 0) -> float | None:
        """Return the limit of an incarnation of a runner; None if there is none.

        Args:
            runner_id: The runner.
            started_ms: Start time of the incarnation, in Unix ms; 0 for the current
                one.
        """
        record = self._find(runner_id, started_ms)
        return None if record is None else record.limit

    def measure_wait(self, runner_id: str, started_ms: int, now: float) -> float:
        """Return the seconds until this process may send a request to a runner."""
        record = self._find(runner_id, started_ms)
        if record is None:
            return 0.0
        return record.rate_limiter.measure_wait(self._get_rate(runner_id, record), now)

    def measure_spacing(self, runner_id: str, started_ms: int) -> float:
        """Return the seconds between two requests to a runner at its limit."""
        record = self._find(runner_id, started_ms)
        if record is None:
            return 0.0
        rate = self._get_rate(runner_id, record)
        return 1 / rate if rate > 0 else math.inf

    def record_request(self, runner_id: str, started_ms: int, now: float) -> None:
        """Count a request that is sent to a runner."""
        record = self._find(runner_id, started_ms)
        if record is not None:
            record.rate_limiter.consume(self._get_rate(runner_id, record), now)

    def reserve_retry_after(self, runner_id: str, started_ms: int, now: float) -> float:
        """Return the seconds after which a rejected caller may retry.

        Each caller gets a retry time of its own: of several callers with the same
        retry time, all but one would be rejected again.
        """
        record = self._find(runner_id, started_ms)
        if record is None:
            return 0.0
        wait_s = self.measure_wait(runner_id, started_ms, now)
        retry_at = max(now + wait_s, record.reserved_until)
        retry_at = min(retry_at, now + MAX_LIMIT_RETRY_AFTER_S)
        spacing_s = self.measure_spacing(runner_id, started_ms)
        record.reserved_until = min(retry_at + spacing_s, now + MAX_LIMIT_RETRY_AFTER_S)
        return retry_at - now

    def find_removal(self, report: LimitReport, now: float) -> LimitReport | None:
        """Return the removal of a limit that an outdated report still contains.

        Returns:
            The removal; None if the report is not outdated.
        """
        record = self._records.get(report.runner_id)
        if record is None or record.limit is not None or report.limit is None:
            return None
        if is_later_incarnation(report.started_ms, record.started_ms):
            return None
        if now - report.response_age_s >= record.removed_at:
            return None
        age_s = now - record.removed_at
        return evolve(report, limit=None, request_age_s=age_s, response_age_s=age_s)

    def list_long_limited(self, now: float) -> frozenset[str]:
        """Return the runners that have been limited for at least `MIN_LIMITED_S`."""
        return frozenset(
            runner_id
            for runner_id, record in self._records.items()
            if record.limit is not None and now - record.limited_since >= MIN_LIMITED_S
        )

    def list_reports(self, now: float) -> list[LimitReport]:
        """Return reports of all current limits, to send to another process."""
        return [
            LimitReport(
                runner_id=runner_id,
                started_ms=record.started_ms,
                limit=record.limit,
                request_age_s=now - record.received_at,
                response_age_s=now - record.received_at,
            )
            for runner_id, record in self._records.items()
            if record.limit is not None
        ]

    def keep_only(self, runner_ids: set[str], now: float) -> None:
        """Drop runners that have had no entry for `LIMIT_RETENTION_S`.

        An entry may vanish and reappear. Edges that have reported the limit still apply
        it then, and don't report it again.
        """
        for runner_id, record in list(self._records.items()):
            if runner_id in runner_ids:
                record.missing_since = None
            elif record.missing_since is None:
                record.missing_since = now
            elif now - record.missing_since >= LIMIT_RETENTION_S:
                del self._records[runner_id]

    def _find(self, runner_id: str, started_ms: int) -> RunnerLimit | None:
        """Return the record of a limited incarnation; None for a later incarnation."""
        if not self._records:
            return None
        record = self._records.get(runner_id)
        if record is None or record.limit is None:
            return None
        return None if is_later_incarnation(started_ms, record.started_ms) else record

    def _find_or_create(self, report: LimitReport, now: float) -> RunnerLimit | None:
        """Return the record of the incarnation that a report is about.

        None for a report about an earlier incarnation, and for a removal without a
        limit.
        """
        record = self._records.get(report.runner_id)
        if record is not None and is_later_incarnation(
            record.started_ms, report.started_ms
        ):
            return None
        if record is None or is_later_incarnation(report.started_ms, record.started_ms):
            if report.limit is None:
                return None
            record = RunnerLimit(report.started_ms, RateLimiter(now))
            self._records[report.runner_id] = record
        record.started_ms = record.started_ms or report.started_ms
        return record

    def _remove_limit(self, record: RunnerLimit, request_at: float) -> bool:
        if record.limit is None or request_at < record.received_at:
            return False
        record.limit, record.removed_at = None, request_at
        return True

    def _charge(self, record: RunnerLimit, recent_requests: int) -> None:
        """Charge an edge's recent requests.

        The first requests of all edges together are not charged.
        """
        if not recent_requests or record.limit is None:
            return
        uncharged = record.limit * UNCHARGED_S + UNCHARGED_REQUESTS
        charged_before = max(0.0, record.reported_requests - uncharged)
        record.reported_requests += recent_requests
        record.rate_limiter.charge(
            max(0.0, record.reported_requests - uncharged) - charged_before
        )

    def _get_rate(self, runner_id: str, record: RunnerLimit) -> float:
        limit = max(MIN_REQUESTS_PER_S, record.limit or 0.0)
        return limit * self.get_share(runner_id)


def strip_recent_requests(report: LimitReport) -> LimitReport:
    """Return a report without the count of its sender's requests, to relay it."""
    return evolve(report, recent_requests=0)
