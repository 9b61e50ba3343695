"""Starting, queueing and retrying of requests."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from ...models.verdict import Verdict
from .admission import Admission
from .attempts import Attempts
from .choice import Chooser
from .const import (
    CRITICAL_MIN_SLACK_S,
    CRITICAL_SLACK_SHARE,
    DELAYED_RETRIES_MAX,
    PREEMPTIONS_MAX,
    REASON_EVICTED,
    REASON_NOT_RETRIED_PREFIX,
    REASON_PREEMPTED,
    REASON_QUEUED,
    REASON_RETRIED,
    RETRY_BACKOFF_MAX_S,
)
from .context import Context
from .entries import Attempt, Entry, EntryState
from .requests import Requests
from .retries import RetryBudget, compute_backoff, find_retry_obstacle
from .upstreams import Upstream, find_resource


@define(eq=False)
class Scheduler:
    """Starts requests at upstreams with room and queues the others."""

    context: Context
    attempts: Attempts
    requests: Requests
    admission: Admission
    chooser: Chooser
    budget: RetryBudget
    _delayed: int = 0
    """Number of requests that wait for a retry."""

    def update_times(self, entry: Entry) -> None:
        """Update the latest start and the critical time of an entry."""
        latest = self.context.estimates.estimate_latest_start(entry, self.context.now)
        entry.latest_start = latest
        horizon = entry.request.deadline - entry.request.arrived_at
        slack = max(CRITICAL_MIN_SLACK_S, horizon * CRITICAL_SLACK_SHARE)
        entry.critical_at = latest - slack

    def submit(self, entry: Entry) -> None:
        """Start, queue or reject a request."""
        self.update_times(entry)
        if entry.latest_start < self.context.now:
            self._reject_late(entry)
            return
        upstream = self.chooser.choose(entry, self.context.now)
        if upstream is not None:
            self._start(entry, upstream)
            return
        self._enqueue(entry)

    def start_waiting(self, upstream: Upstream) -> None:
        """Start waiting requests at an upstream until it has no room."""
        while upstream.indexed_available:
            entry = self.context.queues.pop(upstream, self.context.now)
            if entry is None:
                return
            entry.state = EntryState.DELAYED
            # While the process was paused, the latest start may have passed.
            self.update_times(entry)
            if entry.latest_start < self.context.now:
                self._reject_late(entry)
                continue
            self._start(entry, upstream)

    def retry(self, entry: Entry, upstream: Upstream, failure: Failure) -> None:
        """Retry a request after a failure, or reject it with the failure."""
        entry.tried_upstreams.add(upstream.id)
        obstacle = find_retry_obstacle(entry, failure.verdict, failure)
        if obstacle is None and self._delayed >= DELAYED_RETRIES_MAX:
            obstacle = "too_many_retries"
        delay = self._compute_delay(entry, failure)
        latest = self.context.estimates.estimate_latest_start(entry, self.context.now)
        if obstacle is None and self.context.now + delay > latest:
            obstacle = "deadline"
        if obstacle is not None:
            reason = REASON_NOT_RETRIED_PREFIX + obstacle
            self.context.explain(entry.request.id, reason, upstream.id)
            self.requests.reject(entry, self._add_retry_after(failure))
            return
        detail = failure.code.value
        self.context.explain(entry.request.id, REASON_RETRIED, upstream.id, detail)
        self._delay(entry, delay)

    def requeue_preempted(self, entry: Entry) -> None:
        """Queue a request again that was preempted by an urgent one."""
        entry.verdict = entry.verdict.merge(Verdict.MAY_HAVE_RUN)
        self.update_times(entry)
        self._enqueue(entry)

    def expire(self, entry: Entry) -> None:
        """Reject a request that can no longer meet its deadline, or check it later."""
        now = self.context.now
        if entry.state is EntryState.RUNNING or now >= entry.request.deadline:
            self._reject_late(entry)
            return
        latest = self.context.estimates.estimate_latest_start(entry, self.context.now)
        if latest > now:
            self.set_timer(entry, latest)
            return
        self._reject_late(entry)

    def reject_early(self, entry: Entry, code: ErrorCode, wait: float) -> None:
        """Reject a waiting request before its latest start has passed."""
        failure = Failure(
            code=code,
            verdict=Verdict.NOT_RUN,
            detail=f"the estimated wait is {wait:.1f} s",
            retry_after=self.admission.compute_retry_after(wait),
        )
        self.context.demand.count_rejection(entry.request)
        self.requests.reject(entry, failure)

    def set_timer(self, entry: Entry, at: float) -> None:
        """Schedule the next call of `expire` for an entry."""
        self.context.timers.cancel(entry.timer)
        entry.timer = self.context.timers.schedule(at, lambda: self.expire(entry))

    def _start(self, entry: Entry, upstream: Upstream) -> None:
        if not entry.attempts:
            self.budget.deposit()
        now = self.context.now
        self.context.estimates.get(entry.request.target).starts.add(now)
        self.set_timer(entry, entry.request.deadline)
        self.attempts.start(entry, upstream)
        if self.context.options.prefix_affinity and entry.request.prefix_hashes:
            hashes = entry.request.prefix_hashes
            self.context.fleet.prefixes.add_expected(upstream.id, hashes)

    def _enqueue(self, entry: Entry) -> None:
        queues = self.context.queues
        if queues.is_full(entry.request.target):
            victim = queues.find_victim(entry)
            self._reject_overload(victim)
            if victim is entry:
                return
        queues.push(entry, self.context.now)
        entry.state = EntryState.QUEUED
        entry.queued_at = self.context.now
        self.set_timer(entry, max(entry.latest_start, self.context.now))
        self.context.explain(entry.request.id, REASON_QUEUED)
        if entry.urgent and self.context.options.preemption:
            self._preempt_for(entry)

    def _delay(self, entry: Entry, delay: float) -> None:
        entry.state = EntryState.DELAYED
        self.context.timers.cancel(entry.timer)
        self._delayed += 1
        at = self.context.now + delay
        self.context.timers.schedule(at, lambda: self._submit_delayed(entry))

    def _submit_delayed(self, entry: Entry) -> None:
        self._delayed -= 1
        if entry.state is not EntryState.DELAYED:
            return
        if self.context.options.retry_budget and not entry.free_retry:
            if not self.budget.try_acquire(self.context.now):
                self._wait_for_budget(entry)
                return
        entry.free_retry = False
        self.submit(entry)

    def _wait_for_budget(self, entry: Entry) -> None:
        # The backoff has its maximum after so many attempts.
        delay = compute_backoff(16, self.context.rng.random())
        if self.context.now + delay > entry.latest_start:
            self._reject_late(entry)
            return
        self._delay(entry, delay)

    def _compute_delay(self, entry: Entry, failure: Failure) -> float:
        entry.free_retry = failure.code is ErrorCode.LEAVING
        if entry.free_retry:
            return 0.0
        return compute_backoff(entry.attempts, self.context.rng.random())

    def _add_retry_after(self, failure: Failure) -> Failure:
        if failure.retry_after is not None or failure.verdict is not Verdict.NOT_RUN:
            return failure
        after = self.admission.compute_retry_after(RETRY_BACKOFF_MAX_S)
        return Failure(
            code=failure.code,
            verdict=failure.verdict,
            detail=failure.detail,
            retry_after=after,
        )

    def _reject_late(self, entry: Entry) -> None:
        late = self.context.now >= entry.request.deadline
        running = entry.state is EntryState.RUNNING
        exceeded = late or running
        code = ErrorCode.DEADLINE_UNREACHABLE
        if exceeded:
            code = ErrorCode.DEADLINE_EXCEEDED
        wait = (
            0.0 if running else self.admission.estimate_wait_s(entry, self.context.now)
        )
        failure = Failure(
            code=code,
            verdict=Verdict.NOT_RUN,
            detail=(
                "the deadline passed" if exceeded else "the deadline cannot be met"
            ),
            retry_after=self.admission.compute_retry_after(wait),
        )
        if not running:
            self.context.demand.count_rejection(entry.request)
        self.requests.reject(entry, failure)

    def _reject_overload(self, entry: Entry) -> None:
        wait = self.admission.estimate_wait_s(entry, self.context.now)
        if entry.state is EntryState.QUEUED:
            self.context.explain(entry.request.id, REASON_EVICTED)
        self.reject_early(entry, ErrorCode.OVERLOADED, wait)

    def _preempt_for(self, entry: Entry) -> None:
        queue = self.context.queues.find(entry.request.target)
        if queue is None:
            return
        resource = find_resource(entry.request.target)
        count = self.context.options.candidates
        rng = self.context.rng
        for upstream in self.context.fleet.sample_ready(resource, count, rng):
            running = list(upstream.attempts.values())
            pending = sum(attempt.preempting for attempt in running)
            if pending >= queue.urgent.length:
                continue
            for attempt in running:
                if self._may_preempt(attempt):
                    self._preempt(attempt)
                    return

    def _preempt(self, attempt: Attempt) -> None:
        if attempt.entry is not None:
            attempt.entry.preemptions += 1
        self.attempts.preempt(attempt)
        request_id = attempt.request_id
        self.context.explain(request_id, REASON_PREEMPTED, attempt.upstream_id)

    def _may_preempt(self, attempt: Attempt) -> bool:
        entry = attempt.entry
        if entry is None or entry.urgent or attempt.preempting:
            return False
        if not entry.request.idempotent or entry.preemptions >= PREEMPTIONS_MAX:
            return False
        return entry.critical_at > self.context.now
