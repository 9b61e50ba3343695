"""Places requests with the scheduling core in this process."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..models.runner import RunnerEntry
from ..policy.scheduling.core import SchedulingCore
from ..policy.scheduling.events import (
    Action,
    EndKind,
    Event,
    FirstEventSeen,
    FleetUpdated,
    Grant,
    GrantRequest,
    Refuse,
    RequestAdopted,
    RequestEnded,
    Tick,
)
from .grant_provider import Answer, OpenAsks

TICK_S: Final = 0.05
"""Time between two looks at a queue that waits."""


@define(eq=False)
class LocalGrantProvider:
    """Feeds a core with the requests of one edge."""

    core: SchedulingCore
    edge: str
    clock: Callable[[], float]
    read_fleet: Callable[[], FleetUpdated | None] = lambda: None
    """Returns the fleet if it has changed since the last call. It changes often, and
    while a scheduler leads nobody needs it here."""

    _asks: OpenAsks = field(factory=OpenAsks, init=False)
    _timer: asyncio.TimerHandle | None = field(default=None, init=False)

    def handle(self, event: Event) -> None:
        """Feed the core with an event, on the fleet as it is now."""
        fleet = self.read_fleet()
        if fleet is not None:
            self._carry_out(self.core.handle(fleet, self.clock()))
        self._carry_out(self.core.handle(event, self.clock()))

    def ask(
        self,
        grant_request: GrantRequest,
        future: "asyncio.Future[Answer] | None" = None,
    ) -> "asyncio.Future[Answer]":
        """Ask for a place."""
        future = self._asks.add(grant_request, future)
        self.handle(grant_request)
        self._arm()
        return future

    def note_first_event(self, request_id: str) -> None:
        """Say that the first event of a granted request came."""
        self.handle(FirstEventSeen(edge=self.edge, request_id=request_id))

    def end(self, request_id: str, kind: EndKind) -> None:
        """Say that a request is over."""
        self._asks.drop(request_id)
        self.handle(RequestEnded(edge=self.edge, request_id=request_id, kind=kind))

    def consume_quota(self, customer: str, amount: float) -> float:
        """Take an amount of a quota; returns the seconds until there is enough."""
        self.handle(Tick())
        return self.core.state.quotas.try_consume(customer, amount, self.clock())

    def take_permit(self, runner: RunnerEntry) -> float:
        """Take a turn at a limited runner; returns the seconds until there is one."""
        limits, now = self.core.state.limits, self.clock()
        life = (runner.runner_id, runner.started_ms)
        if limits.measure_wait(*life, now) > 0:
            return limits.reserve_retry_after(*life, now)
        limits.record_request(*life, now)
        return 0.0

    def allow_overdraft(self, exhausted: list[str]) -> None:
        """Let customers come into debt for a moment, unless they had nothing left."""
        self.core.state.quotas.allow_overdraft(exhausted, self.clock())

    def adopt(self, grant_request: GrantRequest, runner_id: str, reading: bool) -> None:
        """Count a request that runs at a runner which another chose."""
        self.handle(
            RequestAdopted(
                grant_request=grant_request, runner_id=runner_id, reading=reading
            )
        )

    def forget(self, request_id: str) -> None:
        """Count a request no more, since a scheduler does."""
        ended = RequestEnded(edge=self.edge, request_id=request_id, kind=EndKind.LEFT)
        self.handle(ended)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant | Refuse) and not self._asks.resolve(action):
                ended = RequestEnded(
                    edge=self.edge, request_id=action.request_id, kind=EndKind.LEFT
                )
                self._carry_out(self.core.handle(ended, self.clock()))

    def _arm(self) -> None:
        if self._timer is None and len(self._asks):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.handle(Tick())
        self._arm()
