"""Tests of attempts that succeed, fail, are cancelled or are superseded."""

import asyncio
from collections.abc import AsyncGenerator

from attrs import evolve

from mangoway.callers.answer import Answer
from mangoway.callers.messages import IncomingRequest, Submission
from mangoway.daemons.attempts import AttemptRunner
from mangoway.daemons.records import RequestRecord
from mangoway.engines.messages import CompletionAttempt, CompletionChunk
from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import AttemptId, CallerId, RequestId, UpstreamId
from mangoway.models.request import Request, WorkClass
from mangoway.models.verdict import Verdict
from mangoway.observability.metrics import Metrics
from mangoway.observability.tracing import Hop, Tracing
from mangoway.policy.dispatch.actions import StartAttempt
from mangoway.policy.dispatch.events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
    DispatchEvent,
)
from mangoway.services.client import ServiceClient

from .gateway_world import MODEL, wait_until

Step = CompletionChunk | MangowayError

FIRST = StartAttempt(
    attempt_id=AttemptId("a1"),
    request_id=RequestId("r"),
    upstream_id=UpstreamId("e1"),
    priority=0,
    timeout_s=10.0,
    silence_s=5.0,
)
SECOND = evolve(FIRST, attempt_id=AttemptId("a2"))


class ScriptedEngine:
    """Streams the steps that the test feeds to each attempt; None ends the stream."""

    def __init__(self) -> None:
        self.attempts: dict[str, CompletionAttempt] = {}
        self.cancelled: list[AttemptId] = []
        self._steps: dict[str, asyncio.Queue[Step | None]] = {}

    def feed(self, attempt_id: str, *steps: Step | None) -> None:
        for step in steps:
            self._steps[attempt_id].put_nowait(step)

    async def async_complete(
        self, address: str, attempt: CompletionAttempt
    ) -> AsyncGenerator[list[CompletionChunk], None]:
        self.attempts[attempt.id] = attempt
        steps = self._steps[attempt.id] = asyncio.Queue()
        while step := await steps.get():
            if isinstance(step, MangowayError):
                raise step
            yield [step]

    async def async_cancel(self, address: str, attempt_id: AttemptId) -> None:
        self.cancelled.append(attempt_id)


class World:
    """One request and an attempt runner with a scripted engine."""

    def __init__(self) -> None:
        self.engine = ScriptedEngine()
        self.events: list[DispatchEvent] = []
        tracing = Tracing(host="g", role="gateway")
        request = Request(
            id=RequestId("r"),
            caller=CallerId("c"),
            work_class=WorkClass.URGENT,
            target=MODEL,
            arrived_at=0.0,
            deadline=10.0,
            max_tokens=9,
        )
        incoming = IncomingRequest(method="POST", path="/", headers={}, body=b"")
        submission = Submission(request=request, incoming=incoming, prompt="p")
        self.answer = Answer()
        span = tracing.start(Hop.CALLER, "/")
        self.record = RequestRecord(submission, self.answer, span)
        self.runner = AttemptRunner(
            engines=self.engine,  # type: ignore[arg-type]
            services=ServiceClient(None),  # type: ignore[arg-type]
            metrics=Metrics(),
            tracing=tracing,
            send=self.events.append,
        )

    async def start(self, action: StartAttempt) -> None:
        self.runner.async_start(action, self.record, "1.2.3.4:5")
        await wait_until(lambda: action.attempt_id in self.engine.attempts)

    async def wait_for_events(self, count: int) -> None:
        await wait_until(lambda: len(self.events) >= count)


def make_upstream_error() -> MangowayError:
    return MangowayError(ErrorCode.UPSTREAM_FAILED, "cut", Verdict.MAY_HAVE_RUN)


class TestAttemptRunner:
    """Events that an attempt sends, and text that it adds to the answer."""

    async def test_progress_and_success(self) -> None:
        world = World()
        await world.start(FIRST)
        world.engine.feed("a1", CompletionChunk("x", 1), CompletionChunk("y", 2), None)
        await world.wait_for_events(3)
        assert world.events == [
            AttemptProgressed(attempt_id=FIRST.attempt_id, tokens=1),
            AttemptProgressed(attempt_id=FIRST.attempt_id, tokens=2),
            AttemptSucceeded(attempt_id=FIRST.attempt_id),
        ]
        assert world.answer.text == "xy"

    async def test_failure_reports_its_tokens_and_the_next_attempt_resumes_there(
        self,
    ) -> None:
        world = World()
        await world.start(FIRST)
        world.engine.feed("a1", CompletionChunk("x", 1), make_upstream_error())
        await world.wait_for_events(2)
        failed = world.events[-1]
        assert isinstance(failed, AttemptFailed)
        assert (failed.tokens, failed.verdict) == (1, Verdict.MAY_HAVE_RUN)
        await world.start(SECOND)
        resumed = world.engine.attempts["a2"]
        assert (resumed.resume_from, resumed.resume_text) == (1, "x")

    async def test_answer_of_an_earlier_attempt_is_dropped(self) -> None:
        world = World()
        await world.start(FIRST)
        await world.start(SECOND)
        world.engine.feed("a2", CompletionChunk("new", 1))
        await world.wait_for_events(1)
        world.engine.feed("a1", CompletionChunk("old", 2))
        await world.wait_for_events(2)
        assert world.answer.text == "new"
        # The earlier attempt is also cancelled at the engine, where it still runs.
        cancelled = AttemptCancelled(attempt_id=FIRST.attempt_id, tokens=1)
        assert world.events[1:] == [cancelled]
        assert world.engine.cancelled == [FIRST.attempt_id]

    async def test_cancel_is_sent_to_the_engine_before_it_is_reported(self) -> None:
        world = World()
        await world.start(FIRST)
        world.engine.feed("a1", CompletionChunk("x", 1))
        await world.wait_for_events(1)
        world.runner.async_cancel(FIRST.attempt_id)
        world.runner.async_cancel(FIRST.attempt_id)
        await world.wait_for_events(2)
        assert world.engine.cancelled == [FIRST.attempt_id]
        cancelled = AttemptCancelled(attempt_id=FIRST.attempt_id, tokens=1)
        assert world.events[1:] == [cancelled]
        assert len(world.runner) == 0

    async def test_attempt_cancelled_by_the_engine_itself_has_failed(self) -> None:
        world = World()
        await world.start(FIRST)
        world.engine.feed("a1", CompletionChunk("", 1, "cancelled"), None)
        await world.wait_for_events(1)
        assert isinstance(world.events[0], AttemptFailed)

    async def test_internal_error_ends_the_attempt(self) -> None:
        world = World()
        await world.start(FIRST)
        world.engine.feed("a1", "no chunk")  # type: ignore[arg-type]
        await world.wait_for_events(1)
        failed = world.events[0]
        assert isinstance(failed, AttemptFailed)
        assert failed.failure.code is ErrorCode.INTERNAL
        assert failed.verdict is Verdict.MAY_HAVE_RUN
