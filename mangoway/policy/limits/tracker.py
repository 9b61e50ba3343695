"""The limits that runners name, and what may be sent to them.

A limit holds over all hosts. Who grants places to the requests of others has the part
of those others, and an edge that reaches nobody has a small part or none, so that all
together send no more than the runner takes. What was sent just before the limit was
read is told by each edge and counts against it.
"""

import math
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from ...models.runner import is_later_life
from .const import (
    FORGET_S,
    FREE_REQUESTS,
    FREE_S,
    LEAST_RATE,
    MAX_LIMIT_RETRY_AFTER_S,
    MIN_LIMITED_S,
)
from .pacer import Pacer


@frozen(kw_only=True)
class LimitReport:
    """A runner named a limit of its requests in an answer, or named none any more."""

    runner_id: str
    started_ms: int
    """Life of the runner, as in its entry."""

    limit: float | None
    """Requests a second that it takes from all hosts together; None: no limit."""

    request_age_s: float
    """Time since the request was sent whose answer says so."""

    response_age_s: float
    """Time since the answer was read."""

    recent_requests: int = 0
    """Requests that the edge that tells it sent there in the time before."""


@define(eq=False)
class RunnerLimit:
    """What is known of one life of a runner."""

    started_ms: int
    pacer: Pacer
    limit: float | None = None
    named_at: float = -math.inf
    """When the last answer was read that names the limit."""

    lifted_at: float = -math.inf
    """When the request was sent whose answer named none any more."""

    since: float = 0.0
    """Since when it is limited."""

    owed: float = 0.0
    """Requests that edges sent in the time before the limit was read."""

    promised_until: float = -math.inf
    """Time up to which refused callers were told to come back."""

    gone_since: float | None = None
    """Since when the runner isn't among those that are known."""


@define(eq=False)
class LimitTracker:
    """The limits of all runners, as one process knows them."""

    get_share: Callable[[str], float] = lambda runner_id: 1.0
    """Returns the part of a runner's limit that this process may use now."""

    _records: dict[str, RunnerLimit] = field(factory=dict, init=False)

    def update(self, said: LimitReport, now: float) -> bool:
        """Take a statement; returns whether another limit is believed now.

        What is surely older than what is known changes nothing: an answer without a
        limit ends it only if its request was sent after the limit was last read.
        """
        record = self._find_life(said, now)
        if record is None:
            return False
        read_at, asked_at = now - said.response_age_s, now - said.request_age_s
        if said.limit is None:
            return self._lift(record, asked_at)
        if read_at < record.lifted_at:
            return False
        changed = said.limit != record.limit and read_at >= record.named_at
        if record.limit is None:
            record.since, record.owed = now, 0.0
            record.pacer = Pacer(now)
        if changed:
            record.limit = said.limit
        record.named_at = max(record.named_at, read_at)
        self._charge(record, said.recent_requests)
        return changed

    def get_limit(self, runner_id: str, started_ms: int = 0) -> float | None:
        """Return the limit of a life of a runner; None without one.

        Args:
            runner_id: The runner.
            started_ms: When the life began, in Unix ms; 0 stands for the present one.
        """
        record = self._find(runner_id, started_ms)
        return None if record is None else record.limit

    def measure_wait(self, runner_id: str, started_ms: int, now: float) -> float:
        """Return the seconds until this process may send a runner a request."""
        record = self._find(runner_id, started_ms)
        if record is None:
            return 0.0
        return record.pacer.measure_wait(self._get_rate(runner_id, record), now)

    def measure_spacing(self, runner_id: str, started_ms: int) -> float:
        """Return the seconds between two requests at a runner's limit."""
        record = self._find(runner_id, started_ms)
        if record is None:
            return 0.0
        rate = self._get_rate(runner_id, record)
        return 1 / rate if rate > 0 else math.inf

    def record_request(self, runner_id: str, started_ms: int, now: float) -> None:
        """Count a request that is sent to a runner."""
        record = self._find(runner_id, started_ms)
        if record is not None:
            record.pacer.take(self._get_rate(runner_id, record), now)

    def reserve_retry_after(self, runner_id: str, started_ms: int, now: float) -> float:
        """Return when a refused caller is to come back, in seconds.

        Each is given a turn of its own: told the same, all but one would come in vain.
        """
        record = self._find(runner_id, started_ms)
        if record is None:
            return 0.0
        wait_s = self.measure_wait(runner_id, started_ms, now)
        turn_at = max(now + wait_s, record.promised_until)
        turn_at = min(turn_at, now + MAX_LIMIT_RETRY_AFTER_S)
        spacing_s = self.measure_spacing(runner_id, started_ms)
        record.promised_until = min(turn_at + spacing_s, now + MAX_LIMIT_RETRY_AFTER_S)
        return turn_at - now

    def find_removal(self, said: LimitReport, now: float) -> LimitReport | None:
        """Return the end of a limit that who tells it doesn't know; None without."""
        record = self._records.get(said.runner_id)
        if record is None or record.limit is not None or said.limit is None:
            return None
        if is_later_life(said.started_ms, record.started_ms):
            return None
        if now - said.response_age_s >= record.lifted_at:
            return None
        ago_s = now - record.lifted_at
        return evolve(said, limit=None, request_age_s=ago_s, response_age_s=ago_s)

    def list_long_limited(self, now: float) -> frozenset[str]:
        """Return the runners that have been limited for a while."""
        return frozenset(
            runner_id
            for runner_id, record in self._records.items()
            if record.limit is not None and now - record.since >= MIN_LIMITED_S
        )

    def list_reports(self, now: float) -> list[LimitReport]:
        """Return the limits that are known, to tell them to another process."""
        return [
            LimitReport(
                runner_id=runner_id,
                started_ms=record.started_ms,
                limit=record.limit,
                request_age_s=now - record.named_at,
                response_age_s=now - record.named_at,
            )
            for runner_id, record in self._records.items()
            if record.limit is not None
        ]

    def keep_only(self, runner_ids: set[str], now: float) -> None:
        """Forget runners that have been gone for a while.

        An entry may vanish and come back, while edges that have told the limit go on
        believing it and don't tell it again.
        """
        for runner_id, record in list(self._records.items()):
            if runner_id in runner_ids:
                record.gone_since = None
            elif record.gone_since is None:
                record.gone_since = now
            elif now - record.gone_since >= FORGET_S:
                del self._records[runner_id]

    def _find(self, runner_id: str, started_ms: int) -> RunnerLimit | None:
        """Return the record of a limited life; None for another life."""
        if not self._records:
            return None
        record = self._records.get(runner_id)
        if record is None or record.limit is None:
            return None
        return None if is_later_life(started_ms, record.started_ms) else record

    def _find_life(self, said: LimitReport, now: float) -> RunnerLimit | None:
        """Return the record of the life that a statement is about.

        None for one of an earlier life, and for one that ends no limit.
        """
        record = self._records.get(said.runner_id)
        if record is not None and is_later_life(record.started_ms, said.started_ms):
            return None
        if record is None or is_later_life(said.started_ms, record.started_ms):
            if said.limit is None:
                return None
            record = RunnerLimit(said.started_ms, Pacer(now))
            self._records[said.runner_id] = record
        record.started_ms = record.started_ms or said.started_ms
        return record

    def _lift(self, record: RunnerLimit, asked_at: float) -> bool:
        if record.limit is None or asked_at < record.named_at:
            return False
        record.limit, record.lifted_at = None, asked_at
        return True

    def _charge(self, record: RunnerLimit, recent_requests: int) -> None:
        """Count what an edge sent before, beyond what is not held against a runner."""
        if not recent_requests or record.limit is None:
            return
        free = record.limit * FREE_S + FREE_REQUESTS
        before = max(0.0, record.owed - free)
        record.owed += recent_requests
        record.pacer.owe(max(0.0, record.owed - free) - before)

    def _get_rate(self, runner_id: str, record: RunnerLimit) -> float:
        limit = max(LEAST_RATE, record.limit or 0.0)
        return limit * self.get_share(runner_id)


def strip_recent_requests(said: LimitReport) -> LimitReport:
    """Return a statement without what its teller sent, to pass it on."""
    return evolve(said, recent_requests=0)
