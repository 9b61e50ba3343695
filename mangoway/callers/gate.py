"""Handling of requests from their arrival to the end of their answer."""

import time
from collections.abc import AsyncGenerator
from typing import Protocol

from attrs import define, field

from ..models.artifact import Artifact
from ..models.errors import ErrorCode, Failure, MangowayError
from ..models.identifiers import IncarnationId, RequestId
from ..models.offer import Configuration
from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import CallerGone, RequestFinished, RequestRefused
from ..observability.journal import DecisionKind, Journal, JournalEntry
from ..observability.metrics import Metrics
from ..observability.tracing import Hop, HopSpan, Tracing
from .answer import Answer, AnswerReader
from .const import HEADER_TRACEPARENT
from .messages import IncomingRequest, OutgoingResponse, Submission
from .parser import Arrival, parse_request, read_key_home
from .problems import make_error_event
from .render import CompletionHead, render_complete, render_plain, render_stream

OUTCOME_COMPLETE = "whole"
OUTCOME_FAILED = "refused"
"""Outcome of every request that failed, whether or not it ran."""

REASON_FAILED_PREFIX = "answered_"
"""Prefix of the reason under which the journal keeps the failure sent to a caller.

The decision that led to the failure has a journal entry with its own reason.
"""

NOT_READY_RETRY_S = 1.0
"""Delay after which callers should retry while no configuration is in force."""


class RequestHandler(Protocol):
    """Interface of the component that decides about requests and fills answers."""

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        ...

    def now(self) -> float:
        """Return the time of the clock that deadlines refer to."""
        ...

    def submit(self, submission: Submission, span: HopSpan) -> Answer:
        """Accept a validated request and return its answer, which is filled later."""
        ...

    def hang_up(self, request_id: RequestId) -> None:
        """Handle a caller that no longer waits for the answer to its request."""
        ...


@define(eq=False)
class Gate:
    """Entry point for requests of callers and of other gateways."""

    _handler: RequestHandler
    _incarnation: IncarnationId
    _metrics: Metrics
    _tracing: Tracing
    _journal: Journal
    _arrivals: int = field(default=0, init=False)
    open_count: int = field(default=0, init=False)
    """Number of exchanges that are not closed."""

    def make_id(self) -> RequestId:
        """Return a new request id that is unique in the whole system."""
        self._arrivals += 1
        return RequestId(f"{self._incarnation}-{self._arrivals:x}")

    def open(self, incoming: IncomingRequest) -> "Exchange":
        """Start the exchange of one request."""
        parent = incoming.headers.get(HEADER_TRACEPARENT)
        span = self._tracing.start(Hop.CALLER, incoming.path, parent)
        self.open_count += 1
        self._metrics.in_progress.set(level=self.open_count)
        return Exchange(self, incoming, self.make_id(), span)

    def reject(self, incoming: IncomingRequest, failure: Failure) -> RequestId:
        """Record a request that was rejected before its body was complete."""
        exchange = self.open(incoming)
        exchange.record_failure(failure)
        exchange.close()
        return exchange.id

    def submit(self, exchange: "Exchange") -> Submission:
        """Validate and submit a request.

        Raises:
            MangowayError: If no configuration is in force, or the request is invalid.
        """
        configuration = self._handler.configuration
        if configuration is None:
            raise self._make_not_ready_error(exchange.incoming)
        arrival = Arrival(
            id=exchange.id, now=self._handler.now(), configuration=configuration
        )
        submission = parse_request(exchange.incoming, arrival)
        exchange.reader = AnswerReader(self._handler.submit(submission, exchange.span))
        return submission

    def close(self, exchange: "Exchange") -> None:
        """Update metrics, log, journal and trace at the end of an exchange."""
        self.open_count -= 1
        self._metrics.in_progress.set(level=self.open_count)
        reader, submission = exchange.reader, exchange.submission
        if reader is not None:
            reader.close()
            if not exchange.ended:
                log_event(CallerGone(request_id=exchange.id))
                self._handler.hang_up(exchange.id)
        if exchange.failure is not None:
            self._log_failure(exchange, exchange.failure)
        elif exchange.ended and submission is not None:
            self._log_success(exchange, submission)
        exchange.span.end()

    def _make_not_ready_error(self, incoming: IncomingRequest) -> MangowayError:
        home = read_key_home(incoming)
        # Without a configuration the key cannot be looked up, so a request whose key
        # has another home may have run there.
        has_other_home = home is not None and home != self._incarnation
        return MangowayError(
            ErrorCode.NOT_READY,
            "no configuration is in force yet",
            Verdict.MAY_HAVE_RUN if has_other_home else Verdict.NOT_RUN,
            retry_after=NOT_READY_RETRY_S,
        )

    def _log_success(self, exchange: "Exchange", submission: Submission) -> None:
        request = submission.request
        work_class = request.work_class.value
        seconds = self._handler.now() - request.arrived_at
        self._metrics.requests.add(work_class, OUTCOME_COMPLETE, "")
        self._metrics.request_seconds.observe(work_class, seconds=seconds)
        log_event(
            RequestFinished(
                request_id=exchange.id,
                caller=request.caller,
                target=str(request.target),
                work_class=work_class,
                seconds=seconds,
                attempts=exchange.attempts,
            )
        )

    def _log_failure(self, exchange: "Exchange", failure: Failure) -> None:
        request = None if exchange.submission is None else exchange.submission.request
        work_class = "" if request is None else request.work_class.value
        self._metrics.requests.add(work_class, OUTCOME_FAILED, failure.code.value)
        exchange.span.fail(failure.code.value)
        log_event(
            RequestRefused(
                request_id=exchange.id,
                caller="" if request is None else request.caller,
                target=exchange.incoming.path
                if request is None
                else str(request.target),
                code=failure.code.value,
                verdict=failure.verdict.value,
                retry_after_s=failure.retry_after,
                detail=failure.detail,
            )
        )
        self._journal.add(
            JournalEntry(
                at=time.time(),
                kind=DecisionKind.REQUEST,
                reason=REASON_FAILED_PREFIX + failure.code.value,
                detail=f"{failure.verdict.value}: {failure.detail}",
                request=exchange.id,
                trace_id=exchange.span.trace_id,
            )
        )


@define(eq=False)
class Exchange:
    """One request and the response to it; must be closed in every case."""

    _gate: Gate
    incoming: IncomingRequest
    id: RequestId
    span: HopSpan
    submission: Submission | None = None
    reader: AnswerReader | None = None
    failure: Failure | None = None
    attempts: int = 0
    ended: bool = False
    """Whether the exchange failed, or the complete response was handed over."""

    closed: bool = False

    async def async_answer(self) -> OutgoingResponse | None:
        """Wait for the answer, and return the response once it can be sent.

        That is at the start of a streamed answer, and at the end of any other. Returns
        None if the caller disconnected.

        Raises:
            MangowayError: If the request fails before the response can be sent.
        """
        try:
            return await self._async_answer()
        except MangowayError as error:
            self.record_failure(error.failure)
            raise

    def record_failure(self, failure: Failure) -> None:
        """End the exchange with a failure."""
        self.failure = failure
        self.ended = True

    def hang_up(self) -> None:
        """Handle a disconnect of the caller, and end the wait for the answer."""
        if self.reader is not None:
            self.reader.close()

    def close(self) -> None:
        """End the exchange; a request whose answer is incomplete is cancelled."""
        if self.closed:
            return
        self.closed = True
        if self.reader is not None and self.reader.finished:
            self.failure = self.reader.answer.failure
            self.ended = True
        self._gate.close(self)

    async def _async_answer(self) -> OutgoingResponse | None:
        submission = self.submission = self._gate.submit(self)
        reader = self.reader
        assert reader is not None
        streamed = submission.request.streamed
        await (reader.async_wait_start() if streamed else reader.async_wait_end())
        answer = reader.answer
        if reader.closed:
            return None
        if answer.relayed is not None:
            return self._relay(answer)
        if answer.failure is not None and not (streamed and answer.pieces):
            raise _make_error(answer.failure)
        return self._render(submission, reader)

    def _render(self, submission: Submission, reader: AnswerReader) -> OutgoingResponse:
        answer = reader.answer
        if not isinstance(submission.request.target, Artifact):
            self.ended = True
            return render_plain(answer, self.id)
        head = CompletionHead(
            request_id=self.id, created=int(time.time()), submission=submission
        )
        if submission.request.streamed:
            return render_stream(reader, head)
        self.ended = True
        return render_complete(answer, head)

    def _relay(self, answer: Answer) -> OutgoingResponse:
        relayed = answer.relayed
        assert relayed is not None
        return OutgoingResponse(
            status=relayed.status,
            headers=relayed.headers,
            body=self._async_relay(relayed.parts),
        )

    async def _async_relay(
        self, parts: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[bytes, None]:
        try:
            async for part in parts:
                yield part
        except MangowayError as error:
            self.record_failure(error.failure)
            # Only a stream can carry an error event; any other body is left incomplete.
            if not self._is_streamed():
                raise
            yield make_error_event(error.failure, self.id)
        finally:
            await parts.aclose()
        self.ended = True

    def _is_streamed(self) -> bool:
        return self.submission is not None and self.submission.request.streamed


def _make_error(failure: Failure) -> MangowayError:
    return MangowayError(
        failure.code, failure.detail, failure.verdict, failure.retry_after
    )


def make_internal_failure(error: Exception) -> Failure:
    """Return the failure for an unexpected error; the request may have run."""
    return Failure(
        code=ErrorCode.INTERNAL,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=f"unexpected error: {type(error).__name__}",
    )
