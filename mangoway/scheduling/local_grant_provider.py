"""Grants by a scheduling core in this process."""

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
    Reject,
    RequestAdopted,
    RequestEnded,
    Tick,
)
from .grant_provider import GrantResponse, PendingRequests

TICK_S: Final = 0.05
"""Time between two ticks of the core while requests wait."""


@define(eq=False)
class LocalGrantProvider:
    """Grants the requests of one edge with a scheduling core of its own."""

    core: SchedulingCore
    edge: str
    clock: Callable[[], float]
    read_fleet: Callable[[], FleetUpdated | None] = lambda: None
    """Returns the fleet if it has changed since the last call. It is read on demand
    because it changes often and isn't needed here while a scheduler leads."""

    _pending: PendingRequests = field(factory=PendingRequests, init=False)
    _timer: asyncio.TimerHandle | None = field(default=None, init=False)

    def handle(self, event: Event) -> None:
        """Update the core's fleet, then handle an event with the core."""
        fleet = self.read_fleet()
        if fleet is not None:
            self._execute(self.core.handle(fleet, self.clock()))
        self._execute(self.core.handle(event, self.clock()))

    def request_grant(
        self,
        grant_request: GrantRequest,
        future: "asyncio.Future[GrantResponse] | None" = None,
    ) -> "asyncio.Future[GrantResponse]":
        """Request a grant."""
        future = self._pending.add(grant_request, future)
        self.handle(grant_request)
        self._start_timer()
        return future

    def report_first_event(self, request_id: str) -> None:
        """Report that the first event of a granted request arrived."""
        self.handle(FirstEventSeen(edge=self.edge, request_id=request_id))

    def end_request(
        self, request_id: str, kind: EndKind, events: int = 0, event_s: float = 0.0
    ) -> None:
        """Report that a request has ended."""
        self._pending.remove(request_id)
        self.handle(
            RequestEnded(
                edge=self.edge,
                request_id=request_id,
                kind=kind,
                events=events,
                event_s=event_s,
            )
        )

    def consume_quota(self, customer: str, amount: float) -> float:
        """Consume an amount of a quota; return the seconds until it is available."""
        self.handle(Tick())
        return self.core.state.quotas.try_consume(customer, amount, self.clock())

    def consume_permit(self, runner: RunnerEntry) -> float:
        """Consume a permit of a limited runner; return the seconds until one exists."""
        limits, now = self.core.state.limits, self.clock()
        incarnation = (runner.runner_id, runner.started_ms)
        if limits.measure_wait(*incarnation, now) > 0:
            return limits.reserve_retry_after(*incarnation, now)
        limits.record_request(*incarnation, now)
        return 0.0

    def allow_overdraft(self, exhausted: list[str]) -> None:
        """Let customers overdraw their quotas briefly, except the exhausted ones."""
        self.core.state.quotas.allow_overdraft(exhausted, self.clock())

    def adopt(
        self, grant_request: GrantRequest, runner_id: str, prefilling: bool
    ) -> None:
        """Count a running request that another provider has granted."""
        self.handle(
            RequestAdopted(
                grant_request=grant_request, runner_id=runner_id, prefilling=prefilling
            )
        )

    def move(self, grant_request: GrantRequest, runner_id: str) -> None:
        """Count a running stream at the runner where it continues."""
        self.remove_request(grant_request.request_id)
        self.adopt(grant_request, runner_id, prefilling=False)

    def remove_request(self, request_id: str) -> None:
        """Stop counting a request that a scheduler counts now."""
        ended = RequestEnded(edge=self.edge, request_id=request_id, kind=EndKind.LEFT)
        self.handle(ended)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Grant | Reject) and not self._pending.resolve(action):
                ended = RequestEnded(
                    edge=self.edge, request_id=action.request_id, kind=EndKind.LEFT
                )
                self._execute(self.core.handle(ended, self.clock()))

    def _start_timer(self) -> None:
        if self._timer is None and len(self._pending):
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.handle(Tick())
        self._start_timer()
