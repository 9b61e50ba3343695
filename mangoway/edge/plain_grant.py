"""The grant of one request for a plain service that is short of room."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import define, field

from ..models.routing import Route, RouteKind, ServiceProfile
from ..models.runner import RunnerEntry
from ..policy.plain.events import PlainGrantRequest
from ..policy.scheduling.events import EndKind, Grant, Reject
from .admission import Caller
from .delivery import Delivery
from .plain_grant_provider import PlainGrantProvider
from .request_log import RequestLog


class PlainRequest(Protocol):
    """What a grant needs to know of its request."""

    log: RequestLog
    route: Route
    caller: Caller
    service: ServiceProfile
    delivery: Delivery
    deadline: float
    """Deadline of the response, in the event loop's time."""


@define(eq=False)
class PlainGrant:
    """Requests and ends the grants of one request, and reports a shortage."""

    provider: PlainGrantProvider
    request: PlainRequest
    async_may_use: Callable[[RunnerEntry], Awaitable[bool]]
    """Returns whether a granted runner accepts the request."""

    _request_id: str | None = field(default=None, init=False)
    """Request id of the received grant."""

    _started_at: float | None = field(default=None, init=False)
    """When the runner of the current attempt was found."""

    @property
    def is_needed(self) -> bool:
        """Return whether the service is short of room and a scheduler grants.

        Streams need no grant: their objective is for the first event, and the time for
        which they take a slot is unknown.
        """
        scheduler = self.provider.scheduler
        if scheduler is None or self.request.route.kind is RouteKind.STREAMING:
            return False
        return scheduler.is_short(self.request.service.name)

    async def async_find(self, excluded: set[str]) -> RunnerEntry | Reject | None:
        """Request a grant.

        Args:
            excluded: Runners that must not get the request.

        Returns:
            The granted runner or the rejection; None if the edge must choose a runner.
        """
        scheduler = self.provider.scheduler
        if scheduler is None:
            return None
        requested_at = _read_clock()
        grant_request = self._make_request(
            scheduler.edge, scheduler.make_request_id(), excluded
        )
        response = await scheduler.async_request(grant_request)
        self.request.log.queued_s += _read_clock() - requested_at
        if not isinstance(response, Grant):
            return response
        self._request_id = grant_request.request_id
        entry = self.provider.view.find_open_runner(response.runner_id)
        if entry is not None and await self.async_may_use(entry):
            return entry
        self.end(EndKind.LEFT)
        return None

    def record_start(self) -> None:
        """Record that a runner was found."""
        self._started_at = _read_clock()

    def record_result(self, kind: EndKind) -> None:
        """End the grant, and report a rejection or a late answer of the runner."""
        self.end(kind)
        started_at, self._started_at = self._started_at, None
        scheduler, service = self.provider.scheduler, self.request.service.name
        if scheduler is None or started_at is None:
            return
        if kind is EndKind.NOT_RUN:
            scheduler.report(service)
        route = self.request.route
        if kind.was_served and route.kind is not RouteKind.STREAMING:
            is_late = _read_clock() - started_at > route.objective_s
            scheduler.record_answer(service, late=is_late)

    def end(self, kind: EndKind) -> None:
        """Release the grant."""
        request_id, self._request_id = self._request_id, None
        if request_id is not None and self.provider.scheduler is not None:
            self.provider.scheduler.end(request_id, kind)

    def _make_request(
        self, edge: str, request_id: str, excluded: set[str]
    ) -> PlainGrantRequest:
        now = _read_clock()
        request, route = self.request, self.request.route
        elapsed_s = now - request.delivery.arrived_at
        avoided = self.provider.find_avoided(request.service.name)
        return PlainGrantRequest(
            request_id=request_id,
            edge=edge,
            service=request.service.name,
            priority=request.caller.choose_priority(route),
            route_priority=route.priority,
            objective_left_s=route.objective_s - elapsed_s,
            patience_left_s=max(0.0, request.deadline - now),
            excluded=tuple(sorted(excluded | avoided)),
            customer=request.caller.name or "",
        )


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
