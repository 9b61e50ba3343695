"""Polls the engines of a cell for descriptions and reports."""

import asyncio
import heapq
from collections.abc import Iterable
from typing import Protocol

from attrs import define, field

from ..models.errors import MangowayError
from ..models.identifiers import IncarnationId, UpstreamId
from ..models.upstream import EngineDescription, EngineReport, UpstreamAddress
from ..util.tasks import Tasks
from .const import (
    BUSY_POLL_PERIOD_S,
    MAX_POLLS_PER_SECOND,
    POLL_CONCURRENCY,
    POLL_EARLY_TOLERANCE_S,
    POLL_PERIOD_S,
    SILENT_AFTER_S,
    STANDBY_POLL_PERIOD_S,
)


class EngineReader(Protocol):
    """Reads descriptions and reports of engines.

    Raises:
        MangowayError: If an engine does not answer before the timeout.
    """

    async def async_describe(self, address: str) -> EngineDescription:
        """Read an engine's description."""
        ...

    async def async_read_report(self, address: str) -> EngineReport:
        """Read an engine's report."""
        ...


class EngineListener(Protocol):
    """Receives descriptions, reports and failures from the poller."""

    def async_handle_description(self, description: EngineDescription) -> None:
        """Handle the description of an engine that is new or was restarted."""
        ...

    def async_handle_report(self, report: EngineReport) -> None:
        """Handle a report."""
        ...

    def async_handle_silence(self, upstream: UpstreamId, error: MangowayError) -> None:
        """Handle an engine that has not answered for `SILENT_AFTER_S`."""
        ...


@define(eq=False)
class PolledEngine:
    """Polling state of one engine."""

    address: UpstreamAddress
    failing_since: float | None = None
    """Time of the first failure since the last answer; None if there was none."""

    incarnation: IncarnationId | None = None
    silent: bool = False
    busy_until: float = 0.0
    due: float | None = None
    """Time of its next poll; None while it is polled."""


@define(eq=False, kw_only=True)
class EnginePoller:
    """Polls all listed engines, and those with orders in progress more often.

    An engine that does not answer delays only its own polls.
    """

    reader: EngineReader
    listener: EngineListener
    tasks: Tasks
    standby: bool = False
    """Whether engines without orders are polled rarely, since a standby controller
    makes no decisions from their reports."""

    _engines: dict[UpstreamId, PolledEngine] = field(factory=dict, init=False)
    _scheduled_polls: list[tuple[float, UpstreamId]] = field(factory=list, init=False)
    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)
    _poll_slots: asyncio.Semaphore = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._poll_slots = asyncio.Semaphore(POLL_CONCURRENCY)

    @property
    def engines(self) -> tuple[PolledEngine, ...]:
        """Return the listed engines."""
        return tuple(self._engines.values())

    def find_address(self, upstream: UpstreamId) -> str | None:
        """Return the address of a listed engine."""
        engine = self._engines.get(upstream)
        return None if engine is None else engine.address.address

    def is_silent(self, upstream: UpstreamId) -> bool:
        """Return whether an engine has not answered for `SILENT_AFTER_S`."""
        engine = self._engines.get(upstream)
        return engine is not None and engine.silent

    def async_set_engines(self, addresses: Iterable[UpstreamAddress]) -> None:
        """Replace the list of polled engines."""
        now = _now()
        listed = {address.id: address for address in addresses}
        for upstream in tuple(self._engines):
            if upstream not in listed:
                del self._engines[upstream]
        for upstream, address in listed.items():
            engine = self._engines.get(upstream)
            if engine is None:
                engine = PolledEngine(address)
                self._engines[upstream] = engine
                self._schedule_poll(engine, now)
            engine.address = address

    def async_set_standby(self, standby: bool) -> None:
        """Set the standby mode; when it ends, poll all engines immediately."""
        self.standby = standby
        if standby:
            return
        for engine in self._engines.values():
            if engine.due is not None:
                self._schedule_poll(engine, _now())

    def async_poll_often(self, upstream: UpstreamId, duration_s: float) -> None:
        """Poll an engine now, and often for a duration, as an order is in progress."""
        engine = self._engines.get(upstream)
        if engine is not None:
            engine.busy_until = max(engine.busy_until, _now() + duration_s)
            if engine.due is not None:
                self._schedule_poll(engine, _now())

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._async_wait()
            due_until = _now() + POLL_EARLY_TOLERANCE_S
            while self._scheduled_polls and self._scheduled_polls[0][0] <= due_until:
                due, upstream = heapq.heappop(self._scheduled_polls)
                engine = self._engines.get(upstream)
                if engine is not None and engine.due == due:
                    engine.due = None
                    await self._poll_slots.acquire()
                    self.tasks.async_start(self._async_poll(engine))

    async def _async_wait(self) -> None:
        self._changed.clear()
        timeout_s = (
            self._scheduled_polls[0][0] - _now() if self._scheduled_polls else None
        )
        if timeout_s is not None and timeout_s <= POLL_EARLY_TOLERANCE_S:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _async_poll(self, engine: PolledEngine) -> None:
        try:
            await self._async_read(engine)
        finally:
            self._poll_slots.release()
            self._schedule_next_poll(engine)

    async def _async_read(self, engine: PolledEngine) -> None:
        address = engine.address.address
        try:
            if engine.incarnation is None:
                self._handle_description(
                    engine, await self.reader.async_describe(address)
                )
            report = await self.reader.async_read_report(address)
        except MangowayError as error:
            self._record_failure(engine, error)
            return
        engine.failing_since = None
        engine.silent = False
        if report.incarnation != engine.incarnation:
            # The engine restarted between the two answers; its new description is
            # read before its reports are used.
            engine.incarnation = None
            return
        self.listener.async_handle_report(report)

    def _handle_description(
        self, engine: PolledEngine, description: EngineDescription
    ) -> None:
        engine.incarnation = description.incarnation
        self.listener.async_handle_description(description)

    def _record_failure(self, engine: PolledEngine, error: MangowayError) -> None:
        if engine.failing_since is None:
            engine.failing_since = _now()
        if engine.silent or _now() - engine.failing_since < SILENT_AFTER_S:
            return
        engine.silent = True
        engine.incarnation = None
        self.listener.async_handle_silence(engine.address.id, error)

    def _schedule_next_poll(self, engine: PolledEngine) -> None:
        now = _now()
        period_s = BUSY_POLL_PERIOD_S if _is_busy(engine, now) else self._find_period()
        self._schedule_poll(engine, now + period_s)

    def _find_period(self) -> float:
        period_s = STANDBY_POLL_PERIOD_S if self.standby else POLL_PERIOD_S
        return max(period_s, len(self._engines) / MAX_POLLS_PER_SECOND)

    def _schedule_poll(self, engine: PolledEngine, due: float) -> None:
        engine.due = due
        heapq.heappush(self._scheduled_polls, (due, engine.address.id))
        self._changed.set()


def _is_busy(engine: PolledEngine, now: float) -> bool:
    if engine.silent:
        return False
    is_failing = engine.failing_since is not None
    return is_failing or engine.incarnation is None or now < engine.busy_until


def _now() -> float:
    return asyncio.get_running_loop().time()
