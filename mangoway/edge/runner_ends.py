"""Proof that the process of a runner has ended.

A missing entry proves nothing: a runner may leave without a draining report and serve
on for seconds, or be cut off from the store alone. Neither does silence or a broken
connection.
"""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any, Final

from attrs import define, field

from ..coordination.view import FleetView
from ..models.crash import RunnerIncarnation
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from .address_probe import ProbeResult, async_probe
from .crash_detector import CrashDetector, get_incarnation
from .runner_connector import RunnerConnector

LISTED_POLL_S: Final = 0.1
"""Interval between two looks at the entry of a silent runner. The streams of a lost
host have less than a second left before their callers leave."""

UNLISTED_CHECK_PERIOD_S: Final = 0.5
"""Interval between two checks of a silent runner without an entry; each opens a
connection, of which runners accept a limited number."""

MAX_REMEMBERED_ENDS: Final = 256
"""Runners found ended that are remembered, until they are listed again."""


class EndEvidence(Enum):
    """What shows that the process of a runner has ended."""

    CRASHED = "crashed"
    """A crash was detected: its connections broke, and its host refused new ones."""

    RESTARTED = "restarted"
    """A later incarnation has its ID."""

    REFUSED = "refused"
    """It leaves, and its host refuses connections, while this host reaches others."""

    UNREACHABLE = "unreachable"
    """Its entry is missing, and its host does not respond to connections, while this
    host reaches others."""


@define(eq=False)
class RunnerEnds:
    """Finds out whether runners have ended that hold requests of this edge."""

    view: FleetView
    crash_detector: CrashDetector
    connector: RunnerConnector
    start_task: Callable[[Coroutine[Any, Any, None]], object]

    _checks: "dict[RunnerIncarnation, asyncio.Future[EndEvidence | None]]" = field(
        factory=dict, init=False
    )
    """Running checks; requests of one runner share them."""

    _found: dict[RunnerIncarnation, EndEvidence] = field(factory=dict, init=False)
    """Unlisted runners that a check found ended, oldest first."""

    def find_known(self, runner: RunnerEntry) -> EndEvidence | None:
        """Return what is known to show that a runner has ended, without a check.

        Args:
            runner: The runner, as it was when a request was sent to it.
        """
        if self.crash_detector.has_crashed(runner):
            return EndEvidence.CRASHED
        if self.view.has_restarted(runner):
            return EndEvidence.RESTARTED
        incarnation = get_incarnation(runner)
        if self.view.is_listed(runner):
            self._found.pop(incarnation, None)
            return None
        return self._found.get(incarnation)

    async def async_find(self, runner: RunnerEntry) -> EndEvidence | None:
        """Return what shows that a runner has ended; None if nothing does.

        A runner that accepts new requests isn't checked here, but for a crash once its
        connections break.

        Args:
            runner: The runner, as it was when a request was sent to it.
        """
        known = self.find_known(runner)
        if known is not None or self.view.find_open_runner(runner.runner_id):
            return known
        incarnation = get_incarnation(runner)
        check = self._checks.get(incarnation)
        if check is None:
            check = asyncio.get_running_loop().create_future()
            self._checks[incarnation] = check
            self.start_task(self._async_run_check(runner, check))
        return await asyncio.shield(check)

    async def async_wait(self, runner: RunnerEntry) -> EndEvidence:
        """Return once something shows that a silent runner has ended.

        Args:
            runner: The runner, as it was when a request was sent to it.
        """
        while True:
            period_s = LISTED_POLL_S
            evidence = self.find_known(runner)
            if evidence is None and not self.view.is_listed(runner):
                evidence = await self.async_find(runner)
                period_s = UNLISTED_CHECK_PERIOD_S
            if evidence is not None:
                return evidence
            await asyncio.sleep(period_s)

    async def _async_run_check(
        self, runner: RunnerEntry, check: "asyncio.Future[EndEvidence | None]"
    ) -> None:
        incarnation = get_incarnation(runner)
        evidence: EndEvidence | None = None
        try:
            evidence = await self._async_check(runner)
        finally:
            del self._checks[incarnation]
            if evidence is not None and not self.view.is_listed(runner):
                if len(self._found) >= MAX_REMEMBERED_ENDS:
                    del self._found[next(iter(self._found))]
                self._found[incarnation] = evidence
            if not check.done():
                check.set_result(evidence)

    async def _async_check(self, runner: RunnerEntry) -> EndEvidence | None:
        """Return what new connections show about a runner."""
        started_at = self.connector.clock()
        result = await async_probe(runner.address)
        if result is ProbeResult.LISTENING:
            return None
        if result is ProbeResult.UNREACHABLE and self.view.is_listed(runner):
            # A lost host writes no status reports, so that its entry is removed soon.
            return None
        if not await self.connector.async_has_reach(runner, started_at):
            return None
        return EndEvidence(result.value)


def log_end(request_id: str, runner: RunnerEntry, evidence: EndEvidence) -> None:
    """Log that a runner that holds a request is taken for ended."""
    life = get_incarnation(runner).text
    log_event(
        log.RunnerEndFound(request_id=request_id, life=life, evidence=evidence.value)
    )
