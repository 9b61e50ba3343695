"""Requests that a gateway has in progress, with their bodies and answers."""

import asyncio

from attrs import define, field

from ..callers.answer import Answer
from ..callers.messages import Submission
from ..models.errors import Failure
from ..models.identifiers import AttemptId, RequestId
from ..observability.tracing import HopSpan


@define(eq=False)
class RequestRecord:
    """One request in progress."""

    submission: Submission
    answer: Answer
    span: HopSpan
    """Span of the exchange with the caller; attempts are its children."""

    decision: HopSpan | None = None
    """Span of admission, queue and choice; None once it has ended."""

    attempt: AttemptId | None = None
    """The attempt that may add to the answer; earlier ones are late."""

    attempts: int = 0
    last_failure: Failure | None = None
    """Failure of the attempt before, if it failed."""

    followers: list[RequestId] = field(factory=list)
    """Resubmissions that share the answer."""

    @property
    def id(self) -> RequestId:
        """Return the request's id."""
        return self.submission.request.id

    def end_decision(self) -> None:
        """End the span of the decision, if it is open."""
        if self.decision is not None:
            self.decision.end()
            self.decision = None


@define(eq=False)
class RunningAttempt:
    """One attempt that has not ended at its upstream."""

    id: AttemptId
    record: RequestRecord
    address: str
    task: "asyncio.Task[None] | None" = None
    cancelling: bool = False


@define(eq=False)
class Records:
    """Requests in progress and kept answers, by request id."""

    _open: dict[RequestId, RequestRecord] = field(factory=dict)
    _kept: dict[RequestId, Answer] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._open)

    def add(self, record: RequestRecord) -> None:
        """Take a request in."""
        self._open[record.id] = record

    def get(self, request_id: RequestId) -> RequestRecord | None:
        """Return a request in progress."""
        return self._open.get(request_id)

    def pop(self, request_id: RequestId) -> RequestRecord | None:
        """Return a request and forget it, and those that share its answer."""
        record = self._open.pop(request_id, None)
        if record is None:
            return None
        record.end_decision()
        for follower in record.followers:
            self.pop(follower)
        return record

    def keep(self, request_id: RequestId, answer: Answer) -> None:
        """Keep an answer for resubmissions."""
        self._kept[request_id] = answer

    def find_kept(self, answer_id: RequestId) -> Answer | None:
        """Return a kept answer."""
        return self._kept.get(answer_id)

    def forget(self, answer_id: RequestId) -> None:
        """Drop a kept answer."""
        self._kept.pop(answer_id, None)

    def list_kept(self) -> tuple[tuple[RequestId, Answer], ...]:
        """Return all kept answers."""
        return tuple(self._kept.items())
