"""When and where requests start, wait and start again."""

from attrs import define

from ...models.errors import ErrorCode, Failure
from ...models.verdict import Verdict
from .admission import Admission
from .attempts import Attempts
from .choice import Chooser
from .const import (
    CRITICAL_MIN_SLACK_S,
    CRITICAL_SLACK_SHARE,
    DELAYED_MAX,
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
    """Starts requests at once where there is room, else queues them."""

    context: Context
    attempts: Attempts
    requests: Requests
    admission: Admission
    chooser: Chooser
    budget: RetryBudget
    _delayed: int = 0

    def update_times(self, entry: Entry) -> None:
        """Set the times that follow from an entry's deadlines."""
        latest = self.context.estimates.find_latest_start(entry, self.context.now)
        entry.latest_start = latest
        horizon = entry.request.deadline - entry.request.arrived_at
        slack = max(CRITICAL_MIN_SLACK_S, horizon * CRITICAL_SLACK_SHARE)
        entry.critical_at = latest - slack

    def submit(self, entry: Entry) -> None:
        """Start a request, or queue it; a late one is refused."""
        self.update_times(entry)
        if entry.latest_start < self.context.now:
            self._refuse_late(entry)
            return
        upstream = self.chooser.choose(entry, self.context.now)
        if upstream is not None:
            self._start(entry, upstream)
            return
        self._enqueue(entry)

    def pump(self, upstream: Upstream) -> None:
        """Start waiting requests at an upstream while it has room."""
        while upstream.indexed_open:
            entry = self.context.queues.pop(upstream, self.context.now)
            if entry is None:
                return
            entry.state = EntryState.DELAYED
            # A process that was paused must not start what is too late by now.
            self.update_times(entry)
            if entry.latest_start < self.context.now:
                self._refuse_late(entry)
                continue
            self._start(entry, upstream)

    def retry(self, entry: Entry, upstream: Upstream, failure: Failure) -> None:
        """Try a request again after a failure, or end it with the failure."""
        entry.tried.add(upstream.id)
        obstacle = find_retry_obstacle(entry, failure.verdict, failure)
        if obstacle is None and self._delayed >= DELAYED_MAX:
            obstacle = "too_many_retries"
        delay = self._find_delay(entry, failure)
        latest = self.context.estimates.find_latest_start(entry, self.context.now)
        if obstacle is None and self.context.now + delay > latest:
            obstacle = "deadline"
        if obstacle is not None:
            reason = REASON_NOT_RETRIED_PREFIX + obstacle
            self.context.explain(entry.request.id, reason, upstream.id)
            self.requests.refuse(entry, self._add_retry_after(failure))
            return
        detail = failure.code.value
        self.context.explain(entry.request.id, REASON_RETRIED, upstream.id, detail)
        self._delay(entry, delay)

    def resume_later(self, entry: Entry) -> None:
        """Queue a request that was cancelled for urgent work."""
        entry.verdict = entry.verdict.merge(Verdict.MAY_HAVE_RUN)
        self.update_times(entry)
        self._enqueue(entry)

    def expire(self, entry: Entry) -> None:
        """End a request that can't be met any more."""
        now = self.context.now
        if entry.state is EntryState.RUNNING or now >= entry.request.deadline:
            self._refuse_late(entry)
            return
        latest = self.context.estimates.find_latest_start(entry, self.context.now)
        if latest > now:
            self.set_timer(entry, latest)
            return
        self._refuse_late(entry)

    def give_up(self, entry: Entry, code: ErrorCode, wait: float) -> None:
        """End a waiting request that can't be met, before its time has run out."""
        failure = Failure(
            code=code,
            verdict=Verdict.NOT_RUN,
            detail=f"the wait is about {wait:.1f} s",
            retry_after=self.admission.compute_retry_after(wait),
        )
        self.context.demand.count_refusal(entry.request)
        self.requests.refuse(entry, failure)

    def set_timer(self, entry: Entry, at: float) -> None:
        """Check an entry again at a time."""
        self.context.timers.cancel(entry.timer)
        entry.timer = self.context.timers.schedule(at, lambda: self.expire(entry))

    def _start(self, entry: Entry, upstream: Upstream) -> None:
        if not entry.attempts:
            self.budget.earn()
        now = self.context.now
        self.context.estimates.get(entry.request.target).starts.add(now)
        self.set_timer(entry, entry.request.deadline)
        self.attempts.start(entry, upstream)
        if self.context.options.prefix_affinity and entry.request.prefix_hashes:
            hashes = entry.request.prefix_hashes
            self.context.fleet.prefixes.expect(upstream.id, hashes)

    def _enqueue(self, entry: Entry) -> None:
        queues = self.context.queues
        if queues.is_full(entry.request.target):
            victim = queues.find_victim(entry)
            self._refuse_overload(victim)
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
        self.context.timers.schedule(at, lambda: self._return_delayed(entry))

    def _return_delayed(self, entry: Entry) -> None:
        self._delayed -= 1
        if entry.state is not EntryState.DELAYED:
            return
        if self.context.options.retry_budget and not entry.free_retry:
            if not self.budget.take(self.context.now):
                self._wait_for_budget(entry)
                return
        entry.free_retry = False
        self.submit(entry)

    def _wait_for_budget(self, entry: Entry) -> None:
        delay = compute_backoff(16, self.context.rng.random())
        if self.context.now + delay > entry.latest_start:
            self._refuse_late(entry)
            return
        self._delay(entry, delay)

    def _find_delay(self, entry: Entry, failure: Failure) -> float:
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

    def _refuse_late(self, entry: Entry) -> None:
        late = self.context.now >= entry.request.deadline
        running = entry.state is EntryState.RUNNING
        exceeded = late or running
        code = ErrorCode.DEADLINE_UNREACHABLE
        if exceeded:
            code = ErrorCode.DEADLINE_EXCEEDED
        wait = 0.0 if running else self.admission.find_wait_s(entry, self.context.now)
        failure = Failure(
            code=code,
            verdict=Verdict.NOT_RUN,
            detail="the deadline passed" if exceeded else "the deadline is too near",
            retry_after=self.admission.compute_retry_after(wait),
        )
        if not running:
            self.context.demand.count_refusal(entry.request)
        self.requests.refuse(entry, failure)

    def _refuse_overload(self, entry: Entry) -> None:
        wait = self.admission.find_wait_s(entry, self.context.now)
        if entry.state is EntryState.QUEUED:
            self.context.explain(entry.request.id, REASON_EVICTED)
        self.give_up(entry, ErrorCode.OVERLOADED, wait)

    def _preempt_for(self, entry: Entry) -> None:
        queue = self.context.queues.find(entry.request.target)
        if queue is None:
            return
        resource = find_resource(entry.request.target)
        count = self.context.options.candidates
        rng = self.context.rng
        for upstream in self.context.fleet.draw_ready(resource, count, rng):
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
