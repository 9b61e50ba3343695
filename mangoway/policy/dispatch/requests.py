"""Requests in progress, each of which ends exactly once."""

from attrs import define, field

from ...models.errors import ErrorCode, Failure
from ...models.identifiers import RequestId
from ...models.request import Request
from ...models.verdict import Verdict
from .actions import DeleteAnswer, FinishRequest, JoinRequest, Reject
from .attempts import Attempts
from .const import REASON_CONTINUED_DETACHED
from .context import Context
from .entries import Entry, EntryState
from .keys import KeyTable
from .timers import Timer
from .tracked_keys import TrackedKey


@define(eq=False)
class Follower:
    """A resubmission that shares the answer of a request in progress."""

    request: Request
    leader: RequestId
    timer: Timer


@define(eq=False)
class Requests:
    """Table of all requests that have not ended."""

    context: Context
    attempts: Attempts
    keys: KeyTable
    entries: dict[RequestId, Entry] = field(factory=dict)
    _followers: dict[RequestId, Follower] = field(factory=dict)
    _joined: dict[RequestId, dict[RequestId, None]] = field(factory=dict)

    def is_known(self, request_id: RequestId) -> bool:
        """Return whether a request is in progress."""
        return request_id in self.entries or request_id in self._followers

    def add(self, entry: Entry) -> None:
        """Add an admitted request."""
        self.entries[entry.request.id] = entry

    def reject_arrival(self, request: Request, failure: Failure) -> None:
        """Reject a request that was not added."""
        self.context.explain_failure(request.id, failure)
        self.context.emit(Reject(request_id=request.id, failure=failure))

    def finish(self, entry: Entry) -> None:
        """End a request whose answer is complete."""
        tracked = entry.tracked_key
        if tracked is not None:
            self.keys.finish(tracked)
            self._schedule_drop(tracked)
        request_id = entry.request.id
        self.context.emit(
            FinishRequest(request_id=request_id, keep_answer=tracked is not None)
        )
        self._end(entry)

    def reject(self, entry: Entry, failure: Failure) -> None:
        """End a request with a failure, whose verdict is merged over all attempts."""
        verdict = failure.verdict.merge(entry.verdict)
        if entry.attempt is not None:
            verdict = verdict.merge(Verdict.MAY_HAVE_RUN)
            self.attempts.abandon(entry.attempt)
            entry.attempt = None
        merged = Failure(
            code=failure.code,
            verdict=verdict,
            detail=failure.detail,
            retry_after=failure.retry_after,
        )
        if entry.tracked_key is not None:
            self.keys.fail(entry.tracked_key, merged)
            self._schedule_drop(entry.tracked_key)
        self.context.explain_failure(entry.request.id, merged)
        self.context.emit(Reject(request_id=entry.request.id, failure=merged))
        self._end(entry)

    def join(self, request: Request, leader: RequestId) -> None:
        """Add a resubmission that shares the answer of a request in progress."""
        self.context.emit(JoinRequest(request_id=request.id, leader_id=leader))
        timer = self.context.timers.schedule(
            request.deadline, lambda: self._expire_follower(request.id)
        )
        self._followers[request.id] = Follower(request, leader, timer)
        self._joined.setdefault(leader, {})[request.id] = None

    def cancel(self, request_id: RequestId) -> None:
        """End a request whose caller closed the connection.

        A request with a key that is running, or that others have joined, continues:
        its answer is kept for resubmissions.
        """
        if request_id in self._followers:
            self._reject_follower(request_id, ErrorCode.CANCELLED)
            return
        entry = self.entries.get(request_id)
        if entry is None:
            return
        running = entry.attempt is not None or entry.verdict is not Verdict.NOT_RUN
        if entry.tracked_key is not None and (running or self._joined.get(request_id)):
            entry.detached = True
            self.context.explain(request_id, REASON_CONTINUED_DETACHED)
            return
        detail = "the caller closed the connection"
        verdict = Verdict.NOT_RUN
        failure = Failure(code=ErrorCode.CANCELLED, verdict=verdict, detail=detail)
        self.reject(entry, failure)

    def schedule_drops(self, records: list[TrackedKey]) -> None:
        """Schedule the removal of key records."""
        for tracked in records:
            self._schedule_drop(tracked)

    def _end(self, entry: Entry) -> None:
        if entry.state is EntryState.QUEUED:
            self.context.queues.remove(entry)
        entry.state = EntryState.ENDED
        self.context.timers.cancel(entry.timer)
        request_id = entry.request.id
        del self.entries[request_id]
        for follower_id in self._joined.pop(request_id, {}):
            self.context.timers.cancel(self._followers.pop(follower_id).timer)

    def _expire_follower(self, request_id: RequestId) -> None:
        self._reject_follower(request_id, ErrorCode.DEADLINE_EXCEEDED)

    def _reject_follower(self, request_id: RequestId, code: ErrorCode) -> None:
        follower = self._followers.pop(request_id)
        self.context.timers.cancel(follower.timer)
        self._joined[follower.leader].pop(request_id)
        failure = Failure(
            code=code,
            verdict=Verdict.MAY_HAVE_RUN,
            detail="another request with the same key is still in progress",
        )
        self.reject_arrival(follower.request, failure)

    def _schedule_drop(self, tracked: TrackedKey) -> None:
        at = max(self.context.now, self.keys.compute_drop_time(tracked))
        self.context.timers.schedule(at, lambda: self._drop(tracked))

    def _drop(self, tracked: TrackedKey) -> None:
        if tracked.leader is not None or not self.keys.contains(tracked):
            return
        if self.keys.compute_drop_time(tracked) > self.context.now:
            self._schedule_drop(tracked)
            return
        self.keys.drop(tracked)
        if tracked.answer_id is not None:
            self.context.emit(DeleteAnswer(answer_id=tracked.answer_id))
