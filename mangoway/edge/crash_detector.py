"""Notices when runners crash, and which requests they had then.

A connection that breaks proves no crash: networks reset connections, and some runners
lose an answer now and then. A runner has crashed if it takes no new connection either.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from attrs import define, field, frozen

from ..coordination.view import FleetView
from ..http1.client import ConnectFailedError, async_connect
from ..models.crash import RequestIdentity, RunnerLife
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics

CHECK_TIMEOUT_S: Final = 0.5
"""Time for a connection to a runner that may have crashed. The host of a crashed
process refuses it within a millisecond; one that says nothing may only be cut off."""

MAX_REMEMBERED: Final = 256
"""Crashes that an edge remembers, to count requests whose connections break a little
later: some thousand would have to crash within a second to need more."""


@frozen(kw_only=True)
class InterruptedRequest:
    """A request whose connection to its runner broke."""

    identity: RequestIdentity
    sent_at: float
    ran_s: float
    """Time from its first event in this try to the break; 0 before that."""


@frozen(kw_only=True)
class RunnerCrash:
    """A runner crashed while it had requests of this edge."""

    life: RunnerLife
    requests: tuple[InterruptedRequest, ...]


@define(eq=False)
class Check:
    """A runner that is being checked."""

    lost: list[InterruptedRequest]
    done: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class CrashDetector:
    """Checks runners whose connections break."""

    view: FleetView
    metrics: Metrics
    clock: Callable[[], float]
    start_task: Callable[[Coroutine[Any, Any, None]], object]
    on_crash: Callable[[RunnerCrash], None] = lambda crash: None
    """Told of each crash, and again of requests whose connections break later."""

    _checks: dict[RunnerLife, Check] = field(factory=dict, init=False)

    _crashed: dict[RunnerLife, float] = field(factory=dict, init=False)
    """Lives that ended in a crash and when that was noticed, oldest first."""

    def note_lost(self, runner: RunnerEntry, lost: InterruptedRequest) -> None:
        """Note that a request lost its connection to a runner.

        Args:
            runner: The runner, as it was when the request was sent.
            lost: The request.
        """
        life = _get_life(runner)
        noticed_at = self._crashed.get(life)
        if noticed_at is not None:
            # What was sent since then met a runner that had crashed already.
            if lost.sent_at < noticed_at:
                self._report(life, runner.service, [lost])
            return
        check = self._checks.get(life)
        if check is not None:
            check.lost.append(lost)
        elif self.view.find_open_runner(runner.runner_id) is not None:
            # A runner that drains, or is gone, ends as planned.
            self._checks[life] = check = Check([lost])
            self.start_task(self._async_check(life, runner, check))

    async def async_settle(self, runner: RunnerEntry) -> None:
        """Wait until it is known whether a runner has crashed, if that is checked."""
        check = self._checks.get(_get_life(runner))
        if check is not None:
            await check.done.wait()

    async def _async_check(
        self, life: RunnerLife, runner: RunnerEntry, check: Check
    ) -> None:
        """Find out whether a runner still takes connections."""
        noticed_at = self.clock()
        crashed = False
        try:
            connection = await async_connect(
                runner.address, noticed_at, CHECK_TIMEOUT_S
            )
            connection.close()
        except ConnectFailedError as error:
            crashed = error.refused
        finally:
            del self._checks[life]
            self._end_check(life, runner.service, check, crashed, noticed_at)

    def _end_check(
        self,
        life: RunnerLife,
        service: str,
        check: Check,
        crashed: bool,
        noticed_at: float,
    ) -> None:
        if crashed:
            if len(self._crashed) >= MAX_REMEMBERED:
                del self._crashed[next(iter(self._crashed))]
            self._crashed[life] = noticed_at
            self.metrics.runner_crashes.add(service)
            self._report(life, service, check.lost)
        else:
            requests = len(check.lost)
            log_event(
                log.RunnerReset(life=life.text, service=service, requests=requests)
            )
        check.done.set()

    def _report(
        self, life: RunnerLife, service: str, requests: list[InterruptedRequest]
    ) -> None:
        self.metrics.crashed_requests.add(service, amount=len(requests))
        now = self.clock()
        log_event(
            log.RunnerCrashed(
                life=life.text,
                service=service,
                requests=tuple(
                    f"{each.identity.text} {now - each.sent_at:.3f} {each.ran_s:.3f}"
                    for each in requests
                ),
            )
        )
        self.on_crash(RunnerCrash(life=life, requests=tuple(requests)))


def _get_life(runner: RunnerEntry) -> RunnerLife:
    return RunnerLife(runner_id=runner.runner_id, started_ms=runner.started_ms)
