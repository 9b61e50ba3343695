"""Runs attempts at upstreams and reports their outcomes to the dispatch core."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from attrs import define, field

from ..callers.answer import PlainBody
from ..engines.client import EngineClient
from ..engines.messages import CompletionAttempt
from ..models.artifact import Artifact
from ..models.errors import ErrorCode, Failure, MangowayError
from ..models.identifiers import AttemptId
from ..models.request import Request
from ..models.verdict import Verdict
from ..observability.event_log import log_event
from ..observability.events import (
    AnswerDropped,
    AttemptRetried,
    TaskFailed,
    UpstreamSilent,
)
from ..observability.metrics import Metrics
from ..observability.tracing import Hop, HopSpan, Tracing
from ..policy.dispatch.actions import StartAttempt
from ..policy.dispatch.events import (
    AttemptCancelled,
    AttemptFailed,
    AttemptProgressed,
    AttemptSucceeded,
    DispatchEvent,
)
from ..services.client import ServiceClient
from ..services.messages import ServiceAttempt
from .records import RequestRecord, RunningAttempt

OUTCOME_COMPLETE = "whole"
OUTCOME_CANCELLED = "cancelled"
FINISH_REASON_CANCELLED = "cancelled"

EventSink = Callable[[DispatchEvent], None]


class _SupersededError(Exception):
    """Raised in an attempt whose request has ended or was moved to another attempt."""


@define(eq=False, kw_only=True)
class AttemptRunner:
    """Runs each attempt in its own task."""

    engines: EngineClient
    services: ServiceClient
    metrics: Metrics
    tracing: Tracing
    send: EventSink
    """Called with the events of attempts."""

    _running: dict[AttemptId, RunningAttempt] = field(factory=dict, init=False)
    _cancel_tasks: "set[asyncio.Task[None]]" = field(factory=set, init=False)

    def __len__(self) -> int:
        return len(self._running)

    def async_start(
        self, action: StartAttempt, record: RequestRecord, address: str
    ) -> None:
        """Start an attempt."""
        attempt = RunningAttempt(action.attempt_id, record, address)
        record.attempt = attempt.id
        record.attempts += 1
        self._running[attempt.id] = attempt
        self._record_retry(action, record)
        attempt.task = asyncio.get_running_loop().create_task(
            self._async_run(attempt, action)
        )

    def async_cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt at its upstream; do nothing if it has ended."""
        attempt = self._running.get(attempt_id)
        if attempt is None or attempt.cancelling:
            return
        attempt.cancelling = True
        task = asyncio.get_running_loop().create_task(self._async_cancel(attempt))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def async_close(self) -> None:
        """Cancel the tasks of all attempts immediately."""
        tasks = [each.task for each in self._running.values() if each.task]
        tasks.extend(self._cancel_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_run(self, attempt: RunningAttempt, action: StartAttempt) -> None:
        target = attempt.record.submission.request.target
        is_engine = isinstance(target, Artifact)
        hop = Hop.ENGINE if is_engine else Hop.SERVICE
        span = self.tracing.start(hop, action.upstream_id, attempt.record.span)
        event: DispatchEvent
        try:
            if isinstance(target, Artifact):
                await self._async_complete(attempt, action, target)
            else:
                await self._async_call(attempt, action)
            event = AttemptSucceeded(attempt_id=attempt.id)
            outcome = OUTCOME_COMPLETE
        except MangowayError as error:
            outcome = error.code.value
            event = self._make_failed_event(attempt, error.failure)
            _log_failure(action, span, error.failure)
        except _SupersededError:
            dropped = AnswerDropped(
                upstream_id=action.upstream_id, attempt_id=attempt.id
            )
            log_event(dropped)
            # The attempt still runs at its upstream, so it is cancelled there instead
            # of being reported as succeeded.
            self.async_cancel(attempt.id)
            return
        except Exception as error:
            # The request must also end after an unexpected error.
            log_event(TaskFailed(task="attempt", error=repr(error)))
            outcome = ErrorCode.INTERNAL.value
            event = self._make_failed_event(attempt, _make_internal_failure(error))
        finally:
            span.end()
        self.metrics.attempts.add(hop.value, outcome)
        # Reported even if a cancellation is in progress: the attempt ended first.
        if self._running.pop(attempt.id, None) is not None:
            self.send(event)

    async def _async_complete(
        self, attempt: RunningAttempt, action: StartAttempt, artifact: Artifact
    ) -> None:
        record = attempt.record
        request = record.submission.request
        stream = self.engines.async_complete(
            attempt.address,
            CompletionAttempt(
                id=attempt.id,
                artifact=artifact,
                prompt=record.submission.prompt,
                max_tokens=request.max_tokens,
                priority=action.priority,
                # The engine continues after the text that the caller already has.
                resume_from=record.answer.tokens,
                resume_text=record.answer.text,
                prefix_hashes=request.prefix_hashes,
                parameters=record.submission.parameters,
                timeout_s=action.timeout_s,
                silence_s=action.silence_s,
            ),
        )
        work_class = request.work_class.value
        async with aclosing(stream):
            async for chunks in stream:
                if record.attempt != attempt.id:
                    raise _SupersededError
                tokens_before = record.answer.tokens
                if not tokens_before:
                    self._record_first_token(request)
                for chunk in chunks:
                    if chunk.finish_reason == FINISH_REASON_CANCELLED:
                        raise MangowayError(
                            ErrorCode.UPSTREAM_FAILED,
                            "the engine cancelled the attempt",
                            Verdict.MAY_HAVE_RUN,
                        )
                    record.answer.append(chunk.text, chunk.offset, chunk.finish_reason)
                tokens = record.answer.tokens
                self.metrics.tokens.add(work_class, amount=tokens - tokens_before)
                self.send(AttemptProgressed(attempt_id=attempt.id, tokens=tokens))

    async def _async_call(self, attempt: RunningAttempt, action: StartAttempt) -> None:
        submission = attempt.record.submission
        target = submission.request.target
        assert not isinstance(target, Artifact)
        answer = await self.services.async_call(
            attempt.address,
            ServiceAttempt(
                id=attempt.id,
                call=target.call,
                body=submission.incoming.body,
                idempotent=submission.request.idempotent,
                timeout_s=action.timeout_s,
                silence_s=action.silence_s,
            ),
        )
        if attempt.record.attempt == attempt.id:
            attempt.record.answer.set_plain(
                PlainBody(
                    status=answer.status,
                    content_type=answer.content_type,
                    body=answer.body,
                )
            )

    async def _async_cancel(self, attempt: RunningAttempt) -> None:
        """Stop reading, cancel at the upstream, then report the end."""
        if attempt.task is not None:
            attempt.task.cancel()
            await asyncio.gather(attempt.task, return_exceptions=True)
        if attempt.id not in self._running:
            return
        if isinstance(attempt.record.submission.request.target, Artifact):
            try:
                await self.engines.async_cancel(attempt.address, attempt.id)
            except MangowayError:
                # The engine also cancels the attempt when its connection closes.
                pass
        self.metrics.attempts.add("cancel", OUTCOME_CANCELLED)
        self._running.pop(attempt.id, None)
        tokens = attempt.record.answer.tokens
        self.send(AttemptCancelled(attempt_id=attempt.id, tokens=tokens))

    def _record_retry(self, action: StartAttempt, record: RequestRecord) -> None:
        failure, record.last_failure = record.last_failure, None
        if failure is None:
            return
        self.metrics.retries.add(failure.code.value)
        log_event(
            AttemptRetried(
                request_id=record.id,
                upstream_id=action.upstream_id,
                code=failure.code.value,
                verdict=failure.verdict.value,
            )
        )

    def _record_first_token(self, request: Request) -> None:
        seconds = asyncio.get_running_loop().time() - request.arrived_at
        work_class = request.work_class.value
        self.metrics.first_token_seconds.observe(work_class, seconds=seconds)

    def _make_failed_event(
        self, attempt: RunningAttempt, failure: Failure
    ) -> AttemptFailed:
        attempt.record.last_failure = failure
        return AttemptFailed(
            attempt_id=attempt.id,
            verdict=failure.verdict,
            failure=failure,
            tokens=attempt.record.answer.tokens,
        )


def _log_failure(action: StartAttempt, span: HopSpan, failure: Failure) -> None:
    span.fail(failure.code.value)
    if failure.code is ErrorCode.UPSTREAM_SILENT:
        log_event(
            UpstreamSilent(upstream_id=action.upstream_id, silence_s=action.silence_s)
        )


def _make_internal_failure(error: Exception) -> Failure:
    return Failure(
        code=ErrorCode.INTERNAL,
        verdict=Verdict.MAY_HAVE_RUN,
        detail=f"unexpected error: {type(error).__name__}",
    )
