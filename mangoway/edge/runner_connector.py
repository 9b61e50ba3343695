"""Connections of an edge to runners, and checks whether it reaches any runner."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator, Sequence
from itertools import islice
from random import Random
from typing import Any, Final

from attrs import define, field

from ..coordination.view import FleetView
from ..http1.client import (
    ConnectFailedError,
    Connection,
    async_connect,
)
from ..http1.connection_pool import ConnectionPool
from ..http1.const import CONNECT_TIMEOUT_S
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.edge.const import MIN_UNREACHABLE_RUNNERS
from ..policy.edge.reach import RunnerReach

SLOW_CONNECT_S: Final = 0.2
"""Time after which a connection that is not open yet starts a check of other runners. A
reachable host accepts one in about 3 ms; a lost packet is sent again after a second."""

CHECK_TIMEOUT_S: Final = 0.3
"""Timeout of the connections of a check."""

CHECKED_RUNNERS: Final = 3
"""Runners that one check connects to at once."""

REGAIN_PERIOD_S: Final = 0.25
"""Interval between two attempts to reach a runner while the reach is lost. Callers are
served through peers meanwhile, at the cost of one more hop."""


@define(eq=False)
class RunnerConnector:
    """Opens connections to runners."""

    view: FleetView
    metrics: Metrics
    pool: ConnectionPool
    clock: Callable[[], float]
    random: Random
    start_task: Callable[[Coroutine[Any, Any, None]], object]
    reach: RunnerReach = field(factory=RunnerReach, init=False)

    _opening: set[asyncio.Timeout] = field(factory=set, init=False)
    """Timeouts of the connections that are being opened for requests."""

    _check: "asyncio.Future[None] | None" = field(default=None, init=False)
    """Done when the running check has ended; None without one."""

    async def async_open(
        self,
        runner: RunnerEntry,
        *,
        request_id: str,
        retryable: bool = True,
    ) -> Connection:
        """Return an idle connection to a runner, or open one.

        An extra response to an earlier request, which may arrive late, must not pass
        for that to this one. So no connection is returned that carried a request with
        the same ID, for example an earlier attempt; without an ID, none that carried
        any request.

        Args:
            runner: The runner.
            request_id: ID of the request; empty without one.
            retryable: Whether the request may be sent again if an idle connection turns
                out to be broken.

        Raises:
            ConnectFailedError: If the connection fails, times out, or no runner can be
                reached at the moment.
        """
        if self.reach.is_lost:
            raise ConnectFailedError("no runner can be reached from this host")
        started_at = self.clock()
        if request_id:
            idle = self.pool.acquire(
                runner.address, started_at, retryable=retryable, request_id=request_id
            )
            if idle is not None:
                return idle
        slow = asyncio.get_running_loop().call_later(
            SLOW_CONNECT_S, self.start_check, started_at
        )
        try:
            connection = await self._async_connect(runner, CONNECT_TIMEOUT_S)
        except ConnectFailedError:
            self.start_check(started_at)
            raise
        finally:
            slow.cancel()
        opened_at = self.clock()
        connection.on_result = lambda reached: self._handle_result(
            runner, started_at, opened_at, reached
        )
        return connection

    async def async_has_reach(self, runner: RunnerEntry, since: float) -> bool:
        """Return whether another runner was reached since then, or is reached now.

        It is also true if no other runner is known that could tell a fault of this host
        from one of the runner, since all others are down.

        Args:
            runner: The runner that is not reached.
            since: Time in seconds.
        """
        others = [
            each
            for each in self._iterate_witnesses()
            if each.runner_id != runner.runner_id
        ]
        if not others or self.reach.was_reached_since(since):
            return True
        chosen = self._choose_for_check(others)
        return any(await asyncio.gather(*map(self._async_accepts, chosen)))

    def _iterate_witnesses(self) -> Iterator[RunnerEntry]:
        """Yield the runners whose failures would say something about this host."""
        now = self.clock()
        for each in self.view.runners.values():
            if self.view.is_open(each) and self.reach.is_witness(each.runner_id, now):
                yield each

    def start_check(self, started_at: float) -> None:
        """Check whether other runners can be reached, unless one was recently.

        Args:
            started_at: When the connection was begun that failed or is slow.
        """
        if self._check is not None or self.reach.is_lost:
            return
        if self.reach.needs_check(started_at, self.clock()):
            self._check = asyncio.get_running_loop().create_future()
            self.start_task(self._async_run_check(self._check))

    async def async_settle(self) -> None:
        """Wait for the running check, if there is one."""
        if self._check is not None:
            await asyncio.shield(self._check)

    async def _async_run_check(self, check: "asyncio.Future[None]") -> None:
        try:
            await self._async_check(self.view.list_open_runners())
        finally:
            self._check = None
            check.set_result(None)

    async def _async_check(self, runners: Sequence[RunnerEntry]) -> None:
        """Probe some runners at once."""
        chosen = self._choose_for_check(runners)
        await asyncio.gather(*map(self._async_probe, chosen))

    def _choose_for_check(self, runners: Sequence[RunnerEntry]) -> list[RunnerEntry]:
        """Return some runners, first those that have not failed yet."""
        now = self.clock()
        fresh = [
            each for each in runners if not self.reach.has_failed(each.runner_id, now)
        ]
        chosen = self.random.sample(fresh, min(CHECKED_RUNNERS, len(fresh)))
        missing = CHECKED_RUNNERS - len(chosen)
        if missing > 0:
            others = [each for each in runners if each not in chosen]
            chosen += self.random.sample(others, min(missing, len(others)))
        return chosen

    async def _async_accepts(self, runner: RunnerEntry) -> bool:
        """Return whether a runner accepts a connection, which is closed at once."""
        try:
            connection = await self._async_connect(runner, CHECK_TIMEOUT_S)
        except ConnectFailedError:
            return False
        connection.close()
        return True

    async def _async_probe(self, runner: RunnerEntry) -> None:
        """Open a connection to a runner, see whether it stays open, and close it."""
        started_at = self.clock()
        try:
            connection = await self._async_connect(runner, CHECK_TIMEOUT_S)
        except ConnectFailedError:
            return
        opened_at = self.clock()
        kept_open_s = self.reach.get_kept_open_s(opened_at)
        try:
            if await connection.async_is_kept_open(kept_open_s):
                self._record_reached(runner)
            else:
                self._record_reset(runner, started_at, opened_at)
        finally:
            connection.close()

    async def _async_regain(self) -> None:
        """Probe runners, some at a time, until one is reached."""
        while self.reach.is_lost:
            await asyncio.sleep(REGAIN_PERIOD_S)
            await self._async_check(self.view.list_open_runners())

    async def _async_connect(self, runner: RunnerEntry, timeout_s: float) -> Connection:
        """Open a connection; record it if that fails.

        Raises:
            ConnectFailedError: If the connection fails or times out, or the reach is
                lost meanwhile.
        """
        started_at = self.clock()
        try:
            return await self._async_open_in_time(runner.address, timeout_s)
        except ConnectFailedError:
            self._record_failure(runner, started_at)
            raise

    async def _async_open_in_time(self, address: str, timeout_s: float) -> Connection:
        timeout = asyncio.timeout(timeout_s)
        try:
            async with timeout:
                self._opening.add(timeout)
                return await async_connect(address, self.clock(), None)
        except TimeoutError as error:
            raise ConnectFailedError(f"cannot connect to {address} in time") from error
        finally:
            self._opening.discard(timeout)

    def _handle_result(
        self, runner: RunnerEntry, started_at: float, opened_at: float, reached: bool
    ) -> None:
        """Handle the first data on a new connection, or its end without any."""
        if reached:
            self.reach.record_data()
            self._record_reached(runner)
        else:
            self._record_reset(runner, started_at, opened_at)
            self.start_check(started_at)

    def _record_reset(
        self, runner: RunnerEntry, started_at: float, opened_at: float
    ) -> None:
        """Record a connection that was opened, and ended without data."""
        now = self.clock()
        self.reach.record_reset(now - opened_at, now)
        self._record_failure(runner, started_at)

    def _record_reached(self, runner: RunnerEntry) -> None:
        lost_s = self.reach.record_reached(runner.runner_id, self.clock())
        self.metrics.unreachable_runners.set(level=0)
        if lost_s is not None:
            log_event(log.RunnerReachRegained(lost_s=round(lost_s, 3)))

    def _record_failure(self, runner: RunnerEntry, started_at: float) -> None:
        now = self.clock()
        # More are not needed to judge the reach; large fleets have thousands.
        witnesses = islice(self._iterate_witnesses(), MIN_UNREACHABLE_RUNNERS)
        known = sum(1 for _ in witnesses)
        is_newly_lost = self.reach.record_failure(
            runner.runner_id, started_at, now, known
        )
        unreachable = self.reach.unreachable
        self.metrics.unreachable_runners.set(level=unreachable)
        if not is_newly_lost:
            return
        log_event(log.RunnerReachLost(unreachable=unreachable, known=known))
        # Connections that are open may be silent.
        self.pool.close()
        for each in self._opening:
            if not each.expired():
                each.reschedule(now)
        self.start_task(self._async_regain())
