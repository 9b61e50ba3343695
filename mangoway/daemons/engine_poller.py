"""Reads descriptions and reports of the runners of a cell."""

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
    MAX_POLLS_PER_SECOND,
    POLL_BUSY_PERIOD_S,
    POLL_CONCURRENCY,
    POLL_PERIOD_S,
    POLL_SLACK_S,
    SILENT_AFTER_S,
    STANDBY_PERIOD_S,
)


class EngineReader(Protocol):
    """Reads what engines say of themselves.

    Raises:
        MangowayError: If an engine does not answer in its time.
    """

    async def async_describe(self, address: str) -> EngineDescription:
        """Read an engine's description."""
        ...

    async def async_read_report(self, address: str) -> EngineReport:
        """Read an engine's report."""
        ...


class EngineListener(Protocol):
    """Takes what the poller learned."""

    def async_meet(self, description: EngineDescription) -> None:
        """Take the description of an engine met first, or after a restart."""
        ...

    def async_take_report(self, report: EngineReport) -> None:
        """Take a report."""
        ...

    def async_note_silent(self, upstream: UpstreamId, error: MangowayError) -> None:
        """Take note that an engine has not answered for long."""
        ...


@define(eq=False)
class PolledEngine:
    """One engine as the poller knows it."""

    address: UpstreamAddress
    failing_since: float | None = None
    """Time of the first failure since the last answer."""

    incarnation: IncarnationId | None = None
    silent: bool = False
    busy_until: float = 0.0
    due: float | None = None
    """Time of its next turn; None while it is asked."""


@define(eq=False, kw_only=True)
class EnginePoller:
    """Asks every listed engine in turn, the ones with orders under way more often.

    An engine that does not answer holds up only its own turn.
    """

    reader: EngineReader
    listener: EngineListener
    tasks: Tasks
    standby: bool = False
    """Whether engines at rest are asked rarely, since nothing is decided on it."""

    _engines: dict[UpstreamId, PolledEngine] = field(factory=dict, init=False)
    _turns: list[tuple[float, UpstreamId]] = field(factory=list, init=False)
    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)
    _places: asyncio.Semaphore = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._places = asyncio.Semaphore(POLL_CONCURRENCY)

    @property
    def engines(self) -> tuple[PolledEngine, ...]:
        """Return the listed engines."""
        return tuple(self._engines.values())

    def find_address(self, upstream: UpstreamId) -> str | None:
        """Return the address of a listed engine."""
        engine = self._engines.get(upstream)
        return None if engine is None else engine.address.address

    def is_silent(self, upstream: UpstreamId) -> bool:
        """Tell whether an engine has not answered for long."""
        engine = self._engines.get(upstream)
        return engine is not None and engine.silent

    def async_set_engines(self, addresses: Iterable[UpstreamAddress]) -> None:
        """Poll these engines from now on, and no others."""
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
                self._plan(engine, now)
            engine.address = address

    def async_set_standby(self, standby: bool) -> None:
        """Ask rarely from now on; or as usual, and every engine at once."""
        self.standby = standby
        if standby:
            return
        for engine in self._engines.values():
            if engine.due is not None:
                self._plan(engine, _now())

    def async_hurry(self, upstream: UpstreamId, for_s: float) -> None:
        """Ask an engine now and often for a while, since an order is under way."""
        engine = self._engines.get(upstream)
        if engine is not None:
            engine.busy_until = max(engine.busy_until, _now() + for_s)
            if engine.due is not None:
                self._plan(engine, _now())

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._async_wait()
            soon = _now() + POLL_SLACK_S
            while self._turns and self._turns[0][0] <= soon:
                due, upstream = heapq.heappop(self._turns)
                engine = self._engines.get(upstream)
                if engine is not None and engine.due == due:
                    engine.due = None
                    await self._places.acquire()
                    self.tasks.async_start(self._async_poll(engine))

    async def _async_wait(self) -> None:
        self._changed.clear()
        timeout_s = self._turns[0][0] - _now() if self._turns else None
        if timeout_s is not None and timeout_s <= POLL_SLACK_S:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _async_poll(self, engine: PolledEngine) -> None:
        try:
            await self._async_ask(engine)
        finally:
            self._places.release()
            self._plan_next(engine)

    async def _async_ask(self, engine: PolledEngine) -> None:
        address = engine.address.address
        try:
            if engine.incarnation is None:
                self._meet(engine, await self.reader.async_describe(address))
            report = await self.reader.async_read_report(address)
        except MangowayError as error:
            self._note_failure(engine, error)
            return
        engine.failing_since = None
        engine.silent = False
        if report.incarnation != engine.incarnation:
            # It restarted between the two answers: describe it before it is used.
            engine.incarnation = None
            return
        self.listener.async_take_report(report)

    def _meet(self, engine: PolledEngine, description: EngineDescription) -> None:
        engine.incarnation = description.incarnation
        self.listener.async_meet(description)

    def _note_failure(self, engine: PolledEngine, error: MangowayError) -> None:
        if engine.failing_since is None:
            engine.failing_since = _now()
        if engine.silent or _now() - engine.failing_since < SILENT_AFTER_S:
            return
        engine.silent = True
        engine.incarnation = None
        self.listener.async_note_silent(engine.address.id, error)

    def _plan_next(self, engine: PolledEngine) -> None:
        now = _now()
        period_s = POLL_BUSY_PERIOD_S if _is_busy(engine, now) else self._find_period()
        self._plan(engine, now + period_s)

    def _find_period(self) -> float:
        period_s = STANDBY_PERIOD_S if self.standby else POLL_PERIOD_S
        return max(period_s, len(self._engines) / MAX_POLLS_PER_SECOND)

    def _plan(self, engine: PolledEngine, due: float) -> None:
        engine.due = due
        heapq.heappush(self._turns, (due, engine.address.id))
        self._changed.set()


def _is_busy(engine: PolledEngine, now: float) -> bool:
    if engine.silent:
        return False
    is_failing = engine.failing_since is not None
    return is_failing or engine.incarnation is None or now < engine.busy_until


def _now() -> float:
    return asyncio.get_running_loop().time()
