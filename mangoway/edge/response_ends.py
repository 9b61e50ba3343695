"""Checks of responses that end with their connections, as those of killed runners do.

All responses of a runner that end within a short time share a check, which is a new
connection to the runner. An answer of the runner to a request that was sent after the
ends spares it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from attrs import define, field, frozen

from ..coordination.view import FleetView
from ..http1.client import (
    ConnectFailedError,
    Connection,
    ExchangeFailedError,
    async_connect,
)
from ..http1.messages import Request, ResponseHead
from ..models.crash import RunnerIncarnation
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..platform import headers as names
from ..policy.edge.const import MIN_RESTART_S
from ..policy.edge.response_end import EndProbe, Probed, ResponseEnd, judge_probe
from .crash_detector import get_incarnation
from .runner_ends import RunnerEnds

CHECK_LIMIT_S: Final = 0.4
"""Time after which a check ends without a result. The caller of a stream leaves after a
pause of two seconds, and the rest must be resumed before that."""

CHECK_PERIOD_S: Final = 0.02
"""Least interval between two checks of a runner. Responses that end meanwhile share the
next check, so that a runner gets at most 50 connections a second from one host."""

RECHECK_S: Final = 0.05
"""Interval between two connections of a check that has no result yet."""

CONNECT_TIMEOUT_S: Final = 0.2
"""Timeout of a connection. A reachable host accepts or refuses it in about 3 ms."""

KEPT_OPEN_S: Final = 0.02
"""Time for which a new connection must stay open. A proxy that can't reach the runner
closes it within a few milliseconds."""

IDENTITY_TIMEOUT_S: Final = 0.3
"""Timeout of the request that asks a process which runner it is."""

STATUS_MISDIRECTED = 421


@frozen(kw_only=True)
class ClosedResponse:
    """A response that ended with its connection."""

    request_id: str
    events: int
    """Events of the stream that the caller has."""

    since: float
    """Time before which the connection has not ended."""


@define(eq=False)
class EndCheck:
    """A check whose result holds for all responses that ended before it began."""

    oldest_end: float
    """Time before which none of the responses has ended."""

    newest_end: float
    """When the end of the last one was noticed."""

    done: "asyncio.Future[ResponseEnd]" = field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )

    def resolve(self, end: ResponseEnd) -> None:
        """Set the result unless there is one."""
        if not self.done.done():
            self.done.set_result(end)


@define(eq=False)
class ResponseEnds:
    """Finds out whether responses that ended with their connections are complete."""

    view: FleetView
    runner_ends: RunnerEnds
    metrics: Metrics
    clock: Callable[[], float]
    start_task: Callable[[Coroutine[Any, Any, None]], object]

    _waiting: dict[RunnerIncarnation, EndCheck] = field(factory=dict, init=False)
    """Checks that have not begun; further responses join them."""

    _running: dict[RunnerIncarnation, EndCheck] = field(factory=dict, init=False)
    """Checks that have begun, or whose period has not passed."""

    async def async_judge(
        self, runner: RunnerEntry, response: ClosedResponse
    ) -> ResponseEnd:
        """Return whether a response that ended with its connection is complete.

        Args:
            runner: The runner, as it was when the request was sent to it.
            response: The response.
        """
        began_at = self.clock()
        end = ResponseEnd.ENDED
        if self.runner_ends.find_known(runner) is None:
            check = self._join(runner, response.since)
            end = await asyncio.shield(check.done)
        self.metrics.uncertain_ends.add(runner.service, end.value)
        if not end.is_complete:
            log_event(
                log.UncertainEndBroken(
                    request_id=response.request_id,
                    life=get_incarnation(runner).text,
                    found=end.value,
                    events=response.events,
                    judged_s=round(self.clock() - began_at, 4),
                )
            )
        return end

    def record_answer(self, runner: RunnerEntry, sent_at: float, status: int) -> None:
        """Record the head of a response, which states who sent it.

        A process that is not the addressed runner answers with another status.

        Args:
            runner: The runner, as it was when the request was sent to it.
            sent_at: When the request was sent.
            status: Status of the response.
        """
        if not self._running or status == STATUS_MISDIRECTED:
            return
        incarnation = get_incarnation(runner)
        running = self._running.get(incarnation)
        if running is not None and sent_at > running.newest_end:
            running.resolve(ResponseEnd.GOES_ON)
        waiting = self._waiting.get(incarnation)
        if waiting is not None and sent_at > waiting.newest_end:
            # It says nothing about responses that end from now on.
            del self._waiting[incarnation]
            waiting.resolve(ResponseEnd.GOES_ON)

    def _join(self, runner: RunnerEntry, earliest_end: float) -> EndCheck:
        """Return the next check of a runner, for one more response."""
        incarnation, now = get_incarnation(runner), self.clock()
        check = self._waiting.get(incarnation)
        if check is not None:
            check.oldest_end = min(check.oldest_end, earliest_end)
            check.newest_end = now
            return check
        check = EndCheck(earliest_end, now)
        if incarnation in self._running:
            self._waiting[incarnation] = check
        else:
            self._begin(runner, check)
        return check

    def _begin(self, runner: RunnerEntry, check: EndCheck) -> None:
        self._running[get_incarnation(runner)] = check
        self.start_task(self._async_run(runner, check))

    async def _async_run(self, runner: RunnerEntry, check: EndCheck) -> None:
        incarnation, began_at = get_incarnation(runner), self.clock()
        try:
            check.resolve(await self._async_find(runner, check))
            await asyncio.sleep(began_at + CHECK_PERIOD_S - self.clock())
        finally:
            check.resolve(ResponseEnd.UNKNOWN)
            del self._running[incarnation]
            following = self._waiting.pop(incarnation, None)
            if following is not None:
                self._begin(runner, following)

    async def _async_find(self, runner: RunnerEntry, check: EndCheck) -> ResponseEnd:
        until = self.clock() + CHECK_LIMIT_S
        while not check.done.done():
            end = judge_probe(await self._async_probe(runner, check))
            if end is not None:
                return end
            if self.runner_ends.find_known(runner) is not None:
                return ResponseEnd.ENDED
            if self.clock() + RECHECK_S > until:
                return ResponseEnd.UNKNOWN
            await asyncio.sleep(RECHECK_S)
        return check.done.result()

    async def _async_probe(self, runner: RunnerEntry, check: EndCheck) -> EndProbe:
        """Open a connection to a runner, and see whether it stays open."""
        try:
            connection = await async_connect(
                runner.address, self.clock(), CONNECT_TIMEOUT_S
            )
        except ConnectFailedError as error:
            probed = Probed.SILENT if error.timed_out else Probed.CLOSED
            if error.refused:
                probed = Probed.REFUSED
            return EndProbe(probed=probed, since_end_s=0.0)
        since_end_s = self.clock() - check.oldest_end
        try:
            if since_end_s >= MIN_RESTART_S:
                return EndProbe(
                    probed=Probed.KEPT_OPEN,
                    since_end_s=since_end_s,
                    is_same=await self._async_identify(runner, connection),
                )
            is_open = await connection.async_is_kept_open(KEPT_OPEN_S)
            probed = Probed.KEPT_OPEN if is_open else Probed.CLOSED
            return EndProbe(probed=probed, since_end_s=since_end_s)
        finally:
            connection.close()

    async def _async_identify(
        self, runner: RunnerEntry, connection: Connection
    ) -> bool | None:
        """Return whether the process at a connection is a runner; None if unknown."""
        table = self.view.table
        profile = None if table is None else table.services.get(runner.service)
        if profile is None:
            return None
        request = Request(
            method=b"GET",
            target=profile.health_path.encode(),
            headers=(
                (b"Host", runner.address.encode()),
                (names.EXPECTED_INSTANCE.title(), runner.runner_id.encode()),
            ),
            body=b"",
        )
        try:
            async with asyncio.timeout(IDENTITY_TIMEOUT_S):
                await connection.async_send(request)
                head = await connection.async_read_head()
        except (ExchangeFailedError, TimeoutError):
            return None
        return is_same_runner(head, runner.runner_id)


def is_same_runner(head: ResponseHead, runner_id: str) -> bool | None:
    """Return whether a runner has sent the response to a request that names it.

    Args:
        head: Head of the response.
        runner_id: ID of the runner that the request was for.
    """
    if head.status == STATUS_MISDIRECTED:
        return False
    named = head.find(names.INSTANCE)
    if named is not None:
        return named == runner_id
    return True if head.find(names.NOT_EXECUTED) is not None else None
