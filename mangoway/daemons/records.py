"""Requests in progress at a gateway, with their bodies, and their answers."""

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
    """Span of the exchange with the caller; the spans of attempts are its children."""

    decision: HopSpan | None = None
    """Span of admission, queueing and choice of an upstream; None once it has ended."""

    attempt: AttemptId | None = None
    """The attempt that may add to the answer; earlier ones are ignored."""

    attempts: int = 0
    last_failure: Failure | None = None
    """Failure of the previous attempt, if it failed."""

    followers: list[RequestId] = field(factory=list)
    """Resubmissions that share the answer of this request."""

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
    """An attempt that has not ended at its upstream."""

    id: AttemptId
    record: RequestRecord
    address: str
    task: "asyncio.Task[None] | None" = None
    cancelling: bool = False


@define(eq=False)
class Records:
    """Requests in progress and stored answers, by request id."""

    _open: dict[RequestId, RequestRecord] = field(factory=dict)
    _answers: dict[RequestId, Answer] = field(factory=dict)

    def __len__(self) -> int:
        return len(self._open)

    def add(self, record: RequestRecord) -> None:
        """Add a request."""
        self._open[record.id] = record

    def get(self, request_id: RequestId) -> RequestRecord | None:
        """Return a request in progress, or None."""
        return self._open.get(request_id)

    def pop(self, request_id: RequestId) -> RequestRecord | None:
        """Remove a request and those that share its answer, and return the request."""
        record = self._open.pop(request_id, None)
        if record is None:
            return None
        record.end_decision()
        for follower in record.followers:
            self.pop(follower)
        return record

    def store_answer(self, request_id: RequestId, answer: Answer) -> None:
        """Store an answer for resubmissions."""
        self._answers[request_id] = answer

    def find_answer(self, answer_id: RequestId) -> Answer | None:
        """Return a stored answer, or None."""
        return self._answers.get(answer_id)

    def delete_answer(self, answer_id: RequestId) -> None:
        """Delete a stored answer."""
        self._answers.pop(answer_id, None)

    def list_answers(self) -> tuple[tuple[RequestId, Answer], ...]:
        """Return all stored answers."""
        return tuple(self._answers.items())
