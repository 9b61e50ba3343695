"""Detection of runner crashes and of the requests that they interrupted.

A broken connection doesn't prove a crash, because networks reset connections and some
runners occasionally drop a response. A runner counts as crashed if it also refuses a
new connection, while this host reaches another runner: where the host itself is cut
off, all connections are refused.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, Final

from attrs import define, field, frozen

from ..coordination.view import FleetView
from ..http1.client import ConnectFailedError, async_connect
from ..models.crash import RequestIdentity, RunnerIncarnation
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics

CHECK_TIMEOUT_S: Final = 0.5
"""Timeout for connecting to a runner that may have crashed. The host of a crashed
process refuses the connection within a millisecond; a host that doesn't respond may
merely be cut off."""

MAX_UNDECIDED_S: Final = 3.0
"""Time for which a refusal is checked again while this host reaches no runner. If all
have crashed, the first is back after some seconds; if this host is cut off, nothing is
known about the runner, and it counts as reset."""

UNDECIDED_PERIOD_S: Final = 0.2
"""Interval between two such checks."""

LOGGED_PARTS: Final = 16
"""Shared parts of prompts that the log event of one crash lists."""

MAX_REMEMBERED_CRASHES: Final = 256
"""Crashes that an edge remembers, to add requests whose connections break slightly
later. More would be needed only if a thousand runners crashed within a second."""


@frozen(kw_only=True)
class InterruptedRequest:
    """A request whose connection to its runner broke."""

    identity: RequestIdentity
    sent_at: float
    ran_s: float
    """Time from its first event in this attempt to the break; 0 without an event."""

    shared_parts: tuple[str, ...] = ()
    """IDs of the parts of its prompt that other requests may share."""


@frozen(kw_only=True)
class RunnerCrash:
    """The crash of a runner that had requests of this edge."""

    life: RunnerIncarnation
    requests: tuple[InterruptedRequest, ...]


@define(eq=False)
class PendingCheck:
    """The pending check of a runner."""

    requests: list[InterruptedRequest]
    done: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class CrashDetector:
    """Checks whether runners whose connections break have crashed."""

    view: FleetView
    metrics: Metrics
    clock: Callable[[], float]
    start_task: Callable[[Coroutine[Any, Any, None]], object]
    async_has_reach: Callable[[RunnerEntry, float], Awaitable[bool]]
    """Returns whether this host has reached another runner than the given one since a
    point in time, or does so now."""

    on_crash: Callable[[RunnerCrash], None] = lambda crash: None
    """Called with each crash, and again with requests whose connections break later."""

    _checks: dict[RunnerIncarnation, PendingCheck] = field(factory=dict, init=False)

    _crashed: dict[RunnerIncarnation, float] = field(factory=dict, init=False)
    """Incarnations that ended in a crash, and when it was detected, oldest first."""

    def record_interrupted(
        self, runner: RunnerEntry, request: InterruptedRequest
    ) -> None:
        """Record a request that lost its connection to a runner.

        Args:
            runner: The runner, as it was when the request was sent.
            request: The request.
        """
        incarnation = get_incarnation(runner)
        detected_at = self._crashed.get(incarnation)
        if detected_at is not None:
            # A request that was sent later reached a runner that had already crashed.
            if request.sent_at < detected_at:
                self._report(incarnation, runner.service, [request])
            return
        check = self._checks.get(incarnation)
        if check is not None:
            check.requests.append(request)
        elif self.view.find_open_runner(runner.runner_id) is not None:
            # A runner that drains or has been removed stops as planned.
            self._checks[incarnation] = check = PendingCheck([request])
            self.start_task(self._async_check(incarnation, runner, check))

    def has_crashed(self, runner: RunnerEntry) -> bool:
        """Return whether a crash of a runner was detected.

        Args:
            runner: The runner, as it was when a request was sent to it.
        """
        return get_incarnation(runner) in self._crashed

    async def async_settle(self, runner: RunnerEntry) -> None:
        """Wait for the pending check of a runner, if there is one."""
        check = self._checks.get(get_incarnation(runner))
        if check is not None:
            await check.done.wait()

    async def _async_has_crashed(self, runner: RunnerEntry) -> bool:
        """Return whether a runner crashed that was open when a connection broke."""
        until = self.clock() + MAX_UNDECIDED_S
        while await self._async_is_refused(runner):
            if await self.async_has_reach(runner, self.clock()):
                return True
            if self.view.has_restarted(runner):
                return True
            if self.clock() >= until:
                return False
            await asyncio.sleep(UNDECIDED_PERIOD_S)
        return False

    async def _async_is_refused(self, runner: RunnerEntry) -> bool:
        """Return whether a runner's host refuses a new connection."""
        try:
            connection = await async_connect(
                runner.address, self.clock(), CHECK_TIMEOUT_S
            )
        except ConnectFailedError as error:
            return error.refused
        connection.close()
        return False

    async def _async_check(
        self, incarnation: RunnerIncarnation, runner: RunnerEntry, check: PendingCheck
    ) -> None:
        """Check whether a runner still accepts connections."""
        detected_at = self.clock()
        crashed = False
        try:
            crashed = await self._async_has_crashed(runner)
        finally:
            del self._checks[incarnation]
            self._end_check(incarnation, runner.service, check, crashed, detected_at)

    def _end_check(
        self,
        incarnation: RunnerIncarnation,
        service: str,
        check: PendingCheck,
        crashed: bool,
        detected_at: float,
    ) -> None:
        if crashed:
            if len(self._crashed) >= MAX_REMEMBERED_CRASHES:
                del self._crashed[next(iter(self._crashed))]
            self._crashed[incarnation] = detected_at
            self.metrics.runner_crashes.add(service)
            self._report(incarnation, service, check.requests)
        else:
            requests = len(check.requests)
            log_event(
                log.RunnerReset(
                    life=incarnation.text, service=service, requests=requests
                )
            )
        check.done.set()

    def _report(
        self,
        incarnation: RunnerIncarnation,
        service: str,
        requests: list[InterruptedRequest],
    ) -> None:
        self.metrics.crashed_requests.add(service, amount=len(requests))
        now = self.clock()
        log_event(
            log.RunnerCrashed(
                life=incarnation.text,
                service=service,
                requests=tuple(
                    f"{each.identity.text} {now - each.sent_at:.3f} {each.ran_s:.3f}"
                    for each in requests
                ),
                parts=count_shared_parts(requests),
            )
        )
        self.on_crash(RunnerCrash(life=incarnation, requests=tuple(requests)))


def get_incarnation(runner: RunnerEntry) -> RunnerIncarnation:
    """Return the incarnation of a runner."""
    return RunnerIncarnation(runner_id=runner.runner_id, started_ms=runner.started_ms)


def count_shared_parts(requests: Iterable[InterruptedRequest]) -> tuple[str, ...]:
    """Return the shared parts of prompts with the number of requests, most first."""
    counts = Counter(part for each in requests for part in each.shared_parts)
    return tuple(f"{part} {count}" for part, count in counts.most_common(LOGGED_PARTS))
