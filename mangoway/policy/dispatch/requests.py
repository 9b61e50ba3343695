"""Requests in progress, and how each of them ends once."""

from attrs import define, field

from ...models.errors import ErrorCode, Failure
from ...models.identifiers import RequestId
from ...models.request import Request
from ...models.verdict import Verdict
from .actions import DeleteAnswer, FinishRequest, JoinRequest, Refuse
from .attempts import Attempts
from .const import REASON_CARRIED_ON
from .context import Context
from .entries import Entry, EntryState
from .held_keys import HeldKey
from .keys import KeyTable
from .timers import Timer


@define(eq=False)
class Follower:
    """A resubmission that shares the answer of a request in progress."""

    request: Request
    leader: RequestId
    timer: Timer


@define(eq=False)
class Requests:
    """All requests that have not ended."""

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
        """Take a request in."""
        self.entries[entry.request.id] = entry

    def refuse_arrival(self, request: Request, failure: Failure) -> None:
        """Refuse a request that was not taken in."""
        self.context.explain_failure(request.id, failure)
        self.context.emit(Refuse(request_id=request.id, failure=failure))

    def finish(self, entry: Entry) -> None:
        """End a request whose answer is whole."""
        held = entry.held
        if held is not None:
            self.keys.finish(held)
            self._schedule_drop(held)
        request_id = entry.request.id
        self.context.emit(
            FinishRequest(request_id=request_id, keep_answer=held is not None)
        )
        self._end(entry)

    def refuse(self, entry: Entry, failure: Failure) -> None:
        """End a request with a failure; its verdict covers all its attempts."""
        verdict = failure.verdict.merge(entry.verdict)
        if entry.attempt is not None:
            verdict = verdict.merge(Verdict.MAY_HAVE_RUN)
            self.attempts.abandon(entry.attempt)
            entry.attempt = None
        whole = Failure(
            code=failure.code,
            verdict=verdict,
            detail=failure.detail,
            retry_after=failure.retry_after,
        )
        if entry.held is not None:
            self.keys.fail(entry.held, whole)
            self._schedule_drop(entry.held)
        self.context.explain_failure(entry.request.id, whole)
        self.context.emit(Refuse(request_id=entry.request.id, failure=whole))
        self._end(entry)

    def join(self, request: Request, leader: RequestId) -> None:
        """Let a resubmission wait for a request in progress."""
        self.context.emit(JoinRequest(request_id=request.id, leader_id=leader))
        timer = self.context.timers.schedule(
            request.deadline, lambda: self._expire_follower(request.id)
        )
        self._followers[request.id] = Follower(request, leader, timer)
        self._joined.setdefault(leader, {})[request.id] = None

    def cancel(self, request_id: RequestId) -> None:
        """End a request whose caller hung up.

        A request with a key goes on while it runs or others wait for it: its answer
        is kept for a resubmission.
        """
        if request_id in self._followers:
            self._refuse_follower(request_id, ErrorCode.CANCELLED)
            return
        entry = self.entries.get(request_id)
        if entry is None:
            return
        running = entry.attempt is not None or entry.verdict is not Verdict.NOT_RUN
        if entry.held is not None and (running or self._joined.get(request_id)):
            entry.detached = True
            self.context.explain(request_id, REASON_CARRIED_ON)
            return
        detail = "the caller hung up"
        verdict = Verdict.NOT_RUN
        failure = Failure(code=ErrorCode.CANCELLED, verdict=verdict, detail=detail)
        self.refuse(entry, failure)

    def schedule_drops(self, records: list[HeldKey]) -> None:
        """Drop records in their time."""
        for held in records:
            self._schedule_drop(held)

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
        self._refuse_follower(request_id, ErrorCode.DEADLINE_EXCEEDED)

    def _refuse_follower(self, request_id: RequestId, code: ErrorCode) -> None:
        follower = self._followers.pop(request_id)
        self.context.timers.cancel(follower.timer)
        self._joined[follower.leader].pop(request_id)
        failure = Failure(
            code=code,
            verdict=Verdict.MAY_HAVE_RUN,
            detail="the request with the same key is still in progress",
        )
        self.refuse_arrival(follower.request, failure)

    def _schedule_drop(self, held: HeldKey) -> None:
        at = max(self.context.now, self.keys.find_drop_time(held))
        self.context.timers.schedule(at, lambda: self._drop(held))

    def _drop(self, held: HeldKey) -> None:
        if held.leader is not None or not self.keys.holds(held):
            return
        if self.keys.find_drop_time(held) > self.context.now:
            self._schedule_drop(held)
            return
        self.keys.drop(held)
        if held.answer_id is not None:
            self.context.emit(DeleteAnswer(answer_id=held.answer_id))
