"""Continuation of one request's stream at a runner that has a copy of its memory."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from attrs import define, field, frozen

from ..models.routing import ServiceProfile
from ..models.runner import RunnerEntry
from ..models.streams import make_origin
from ..models.verdict import Verdict
from ..observability import continuation_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..platform.requests import RequestFields
from ..platform.transfers import RunnerTransfers, encode_copy
from ..policy.edge.const import MIN_RETRY_TIME_S
from ..policy.edge.continuation import CONTINUES, TransferStep
from ..policy.scheduling.events import TransferStream
from .attempt import Attempt
from .attempt_result import AttemptResult
from .delivery import Delivery
from .finder_context import FinderContext
from .retry_payment import RetryPayment
from .runner_ends import log_end
from .runner_finder import RunnerFinder
from .transfer import StreamTransfer

CRASH = "crash"
"""Cause of a continuation from a backup."""


class ContinuationContext(FinderContext, Protocol):
    """The components that all requests of an edge share to continue streams."""

    metrics: Metrics
    transfers: RunnerTransfers
    start_task: Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"]
    uses_backups: bool


@frozen(kw_only=True)
class ContinuedRun:
    """A run that continues at a runner."""

    runner: RunnerEntry
    copy: str
    """The copy of its memory, as the runner is told."""

    from_runner: RunnerEntry
    """The runner where its stream was closed."""

    cause: str
    """Reason of the transfer, or `CRASH`."""

    closed_at: float
    """When the stream was closed, in the event loop's time."""

    @property
    def is_at_source(self) -> bool:
        """Return whether the run continues at the runner that had stopped it."""
        return self.runner.runner_id == self.from_runner.runner_id


@define(eq=False, kw_only=True)
class StreamContinuation:
    """Transfers the stream of a request, or continues it from its backup."""

    context: ContinuationContext
    fields: RequestFields
    service: ServiceProfile
    finder: RunnerFinder
    delivery: Delivery
    deadline: float
    send: Callable[[ContinuedRun], Awaitable[AttemptResult]]
    """Sends the request to continue its run."""

    check_crash: Callable[[RunnerEntry], Awaitable[None]]
    """Starts the check of a runner whose connection broke."""

    _payment: RetryPayment = field(init=False)
    """Credits of continuations, apart from the credits of retries."""

    _runner: RunnerEntry | None = field(default=None, init=False)
    _attempt: Attempt | None = field(default=None, init=False)
    """The attempt that reads the stream; None between two attempts."""

    _transfer: StreamTransfer | None = field(default=None, init=False)
    _task: "asyncio.Task[None] | None" = field(default=None, init=False)
    """Task that makes the calls of the transfer."""

    _backup: RunnerEntry | None = field(default=None, init=False)
    _named_backup_ids: set[str] = field(factory=set, init=False)
    """Backups named to the runners of the current run."""

    _earlier_backup_ids: set[str] = field(factory=set, init=False)
    """Backups that may hold copies of earlier runs. Copies are found by the request's
    ID, so a later run could be continued from one of those."""

    _unreported_run: ContinuedRun | None = field(default=None, init=False)
    """The run that was sent on and of which no response has begun."""

    _clock: Callable[[], float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._clock = asyncio.get_running_loop().time
        self._payment = RetryPayment(
            self.context.retry_budgets, self.service.name, self._clock
        )

    @property
    def is_stopping(self) -> bool:
        """Return whether a transfer is stopping the run at its runner."""
        return self._transfer is not None and self._transfer.plan.is_stopping

    @property
    def has_transfer(self) -> bool:
        """Return whether a transfer of the stream is in progress."""
        return self._transfer is not None

    @property
    def has_backup(self) -> bool:
        """Return whether a backup was named to the runner of the current run."""
        return self._backup is not None

    def choose_backup(self, runner: RunnerEntry) -> str:
        """Return the address of the backup for a new run at a runner; empty if none."""
        self._backup = backup = self._find_backup(runner)
        if backup is None:
            return ""
        self._named_backup_ids.add(backup.runner_id)
        return backup.address

    def _find_backup(self, runner: RunnerEntry) -> RunnerEntry | None:
        engine = self.service.engine
        is_offered = engine is not None and engine.backups
        if not (is_offered and self.context.uses_backups and self.fields.request_id):
            return None
        backup = self.finder.find_backup()
        if backup is None or backup.runner_id == runner.runner_id:
            return None
        if not self.context.view.may_continue(make_origin(runner), backup):
            return None
        return None if backup.runner_id in self._earlier_backup_ids else backup

    def begin_attempt(self, runner: RunnerEntry, attempt: Attempt) -> None:
        """Record the attempt that reads the stream from now on."""
        self._runner, self._attempt = runner, attempt
        grant_id = self.finder.grant_id
        if grant_id is not None:
            self.context.grant_provider.accept_transfers(grant_id, self._handle_order)

    def resume_attempt(self, runner: RunnerEntry, attempt: Attempt) -> None:
        """Record that an attempt goes on that was suspended.

        The other runner may have been told another backup, so that it has none.
        """
        self._backup = None
        self.begin_attempt(runner, attempt)

    def handle_response(self) -> None:
        """Record that the run that was sent on has begun to respond."""
        run, self._unreported_run = self._unreported_run, None
        if run is None:
            return
        self._payment.settle_attempt(was_sent=True)
        transfer = self._transfer
        if transfer is not None:
            # The run uses the copy now.
            transfer.plan.handle = ""
        if run.is_at_source:
            self._end_transfer("")
            return
        self._transfer = None
        if self.finder.grant_id is not None:
            self.context.grant_provider.report_moved(
                self.finder.grant_id, run.runner.runner_id
            )
        self.finder.record_continued(run.from_runner.runner_id)
        self.context.metrics.streams_continued.add(self.service.name, run.cause)
        log_event(
            log.StreamContinued(
                request_id=self.fields.request_id,
                from_runner_id=run.from_runner.runner_id,
                runner_id=run.runner.runner_id,
                cause=run.cause,
                events=self.delivery.events,
                pause_s=round(self._clock() - run.closed_at, 4),
            )
        )

    async def async_was_stopped(self) -> bool:
        """Return whether a transfer may have stopped the run."""
        transfer = self._transfer
        return transfer is not None and await transfer.async_was_stopped()

    async def async_follow(
        self, runner: RunnerEntry, result: AttemptResult
    ) -> tuple[RunnerEntry, AttemptResult]:
        """Continue the stream elsewhere if its attempt has ended early.

        Args:
            runner: The runner of the attempt.
            result: The result of the attempt.

        Returns:
            The last runner that ran the request, and the result there.
        """
        while not result.delivered:
            self._attempt = None
            step = await self._async_close_transfer()
            if step in CONTINUES:
                continued = await self._async_follow_transfer(runner, result, step)
            else:
                continued = await self._async_follow_backup(runner, result)
            if continued is None:
                break
            runner, result = continued
        if result.verdict is not Verdict.NOT_RUN:
            self._earlier_backup_ids |= self._named_backup_ids
        self._named_backup_ids.clear()
        self._attempt = None
        self._end_transfer("ended")
        return runner, result

    def close(self) -> None:
        """End what is in progress, since the request has ended."""
        self._attempt = None
        self._end_transfer("ended")
        self._payment.settle()

    def _handle_order(self, order: TransferStream) -> None:
        """Start a transfer unless something prevents it."""
        transfer = self._transfer
        if transfer is not None and (
            transfer.order.target_runner_id == order.target_runner_id
        ):
            # A new scheduler may repeat the order of the previous one.
            return
        source, target = self._runner, self.finder.find_open(order.target_runner_id)
        cause = self._find_obstacle(order)
        if source is None or target is None:
            cause = cause or "target_left"
        if cause or not self._payment.try_acquire():
            self._report_failure(order, cause or "no_credit")
            return
        assert source is not None and target is not None
        self._start_transfer(order, source, target)

    def _find_obstacle(self, order: TransferStream) -> str:
        """Return why the stream can't be transferred now; empty if it can."""
        if self._attempt is None or self._runner is None:
            return "not_running"
        if self.service.engine is None or not self.service.engine.moves:
            return "not_offered"
        if self._runner.runner_id != order.source_runner_id:
            return "other_runner"
        if order.target_runner_id == order.source_runner_id:
            return "same_runner"
        if self._transfer is not None:
            return "in_progress"
        if self.delivery.last_event_id is None or not self.fields.request_id:
            return "no_event"
        return self._find_send_obstacle()

    def _find_send_obstacle(self) -> str:
        """Return why the request must not be sent to another runner."""
        if self.deadline - self._clock() < MIN_RETRY_TIME_S:
            return "no_time"
        return "blocked" if self.finder.is_blocked() else ""

    def _start_transfer(
        self, order: TransferStream, source: RunnerEntry, target: RunnerEntry
    ) -> None:
        engine = self.service.engine
        self._transfer = transfer = StreamTransfer(
            order=order,
            request_id=self.fields.request_id,
            source=source,
            target=target,
            control=self.context.transfers,
            handle_s=0.0 if engine is None else engine.handle_s,
            is_target_open=lambda: self.finder.is_same_open(target),
            end_stream=self._end_stream,
            on_stay=lambda: self._end_transfer(""),
        )
        self._task = self.context.start_task(transfer.async_run())

    def _end_stream(self) -> None:
        if self._attempt is not None:
            self._attempt.close()

    def _end_transfer(self, cause: str) -> None:
        """End a transfer without a move, free its copy, and report the failure.

        Args:
            cause: Why it ends; empty if its plan states that.
        """
        transfer, self._transfer = self._transfer, None
        if transfer is None:
            return
        if transfer.is_copying:
            # The task frees the copy once the answer states its handle.
            self._task = None
        else:
            self._cancel_task()
        if cause:
            transfer.plan.end(cause)
        self._payment.refund()
        if transfer.plan.handle:
            self.context.start_task(transfer.async_free())
        self._report_failure(transfer.order, transfer.plan.cause)

    def _cancel_task(self) -> None:
        task, self._task = self._task, None
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _report_failure(self, order: TransferStream, cause: str) -> None:
        self.context.grant_provider.report_transfer_failed(
            order.request_id, order.target_runner_id
        )
        self.context.metrics.transfers_failed.add(self.service.name, cause)
        log_event(
            log.StreamTransferFailed(
                request_id=self.fields.request_id,
                source_runner_id=order.source_runner_id,
                target_runner_id=order.target_runner_id,
                reason=order.reason.value,
                cause=cause,
                events=self.delivery.events,
            )
        )

    async def _async_close_transfer(self) -> TransferStep:
        """Return what follows for a transfer after its stream was closed early."""
        if self._transfer is None:
            return TransferStep.FALL_BACK
        step = await self._transfer.async_close()
        if self.finder.has_reserved and not self._transfer.plan.is_stop_confirmed:
            # The edge left a silent stream, which its source may still send.
            self._end_transfer("silent")
            return TransferStep.FALL_BACK
        if step in CONTINUES:
            self._cancel_task()
        else:
            self._end_transfer("")
        return step

    async def _async_follow_transfer(
        self, source: RunnerEntry, broken: AttemptResult, step: TransferStep
    ) -> tuple[RunnerEntry, AttemptResult] | None:
        """Send the request to the target, or to the source that stopped it."""
        transfer, closed_at = self._transfer, self._clock()
        assert transfer is not None
        self.finder.release_reserved()
        if broken.connection_lost and transfer.is_unanswered:
            # The stop may be a crash, for which the request counts as a suspect.
            await self.check_crash(source)
        while step in CONTINUES:
            is_target = step is TransferStep.GO_TO_TARGET
            run = ContinuedRun(
                runner=transfer.target if is_target else source,
                copy=encode_copy(source.address, transfer.plan.handle),
                from_runner=source,
                cause=transfer.order.reason.value,
                closed_at=closed_at,
            )
            result = await self._async_send(run)
            if isinstance(result, str):
                self._end_transfer(result)
                return None
            if result.verdict is not Verdict.NOT_RUN:
                return run.runner, result
            step = transfer.plan.handle_rejected()
        self._end_transfer("")
        return None

    async def _async_follow_backup(
        self, runner: RunnerEntry, result: AttemptResult
    ) -> tuple[RunnerEntry, AttemptResult] | None:
        """Send the request to its backup if its runner has certainly ended."""
        if not result.connection_lost:
            return None
        closed_at = self._clock()
        await self.check_crash(runner)
        backup, self._backup = self._backup, None
        if backup is None or self.delivery.last_event_id is None:
            return None
        await self.context.crash_detector.async_settle(runner)
        evidence = await self.context.runner_ends.async_find(runner)
        if evidence is None:
            self._report_unused(runner, backup, "no_crash")
            return None
        log_end(self.fields.request_id, runner, evidence)
        if not self.finder.is_same_open(backup):
            self._report_unused(runner, backup, "left")
            return None
        run = ContinuedRun(
            runner=backup,
            copy=encode_copy(backup.address, self.fields.request_id),
            from_runner=runner,
            cause=CRASH,
            closed_at=closed_at,
        )
        self.finder.release_reserved()
        continued = await self._async_send(run)
        if isinstance(continued, str) or continued.verdict is Verdict.NOT_RUN:
            cause = continued if isinstance(continued, str) else "rejected"
            self._report_unused(runner, backup, cause)
            return None
        return backup, continued

    async def _async_send(self, run: ContinuedRun) -> AttemptResult | str:
        """Send the request on; return why not if it must not be sent."""
        obstacle = self._find_send_obstacle()
        if obstacle:
            return obstacle
        if not self.finder.may_still_receive(run.runner):
            return AttemptResult(
                verdict=Verdict.NOT_RUN, was_sent=False, reason="it takes no requests"
            )
        if not self._payment.try_acquire():
            return "no_credit"
        # The scheduler has counted a transferred run at its target, and no other one.
        needs_permit = run.is_at_source or run.cause == CRASH
        if needs_permit and not await self.finder.async_acquire_permit(run.runner):
            return "no_permit"
        self._payment.begin_attempt()
        self._unreported_run = run
        result = await self.send(run)
        self._attempt = None
        if result.verdict is not Verdict.NOT_RUN:
            self.handle_response()
        self._unreported_run = None
        self._payment.settle_attempt(was_sent=result.was_sent)
        return result

    def _report_unused(
        self, runner: RunnerEntry, backup: RunnerEntry, cause: str
    ) -> None:
        self.context.metrics.backups_not_used.add(self.service.name, cause)
        log_event(
            log.BackupNotUsed(
                request_id=self.fields.request_id,
                runner_id=runner.runner_id,
                backup_runner_id=backup.runner_id,
                cause=cause,
                events=self.delivery.events,
            )
        )
