"""Entry point for requests: finds their routes and services, and handles them."""

import asyncio
from collections.abc import Callable, Coroutine
from itertools import count
from random import Random
from typing import Any

from attrs import define, field

from ..coordination.view import FleetView
from ..http1.connection_pool import ConnectionPool
from ..http1.exchange import Exchange
from ..http1.messages import Request
from ..models.crash import RequestIdentity
from ..models.routing import Route, RouteKind, ServiceProfile, TrafficShare
from ..observability.metrics import Metrics
from ..platform.requests import RequestFields, decode_request
from ..platform.transfers import RunnerTransfers
from ..policy.edge.const import RETRY_AFTER_ORIGIN_S, RETRY_AFTER_START_S
from ..policy.edge.origin_search import FoundOrigin
from ..policy.edge.stopping import StopSchedule
from ..scheduling.grant_provider import GrantProvider
from .admission import Admission, Caller, Rejection
from .const import (
    DEFAULT_DRAIN_S,
    RETRY_AFTER_OUTDATED_STATE_S,
    RETRY_AFTER_STOP_S,
    STOPPING_REASON,
    UNKNOWN_ORIGIN_REASON,
)
from .crash_detector import CrashDetector
from .crash_filter import CrashFilter
from .delivery import Delivery
from .identity import identify_request, identify_stream
from .plain_grant_provider import PlainGrantProvider
from .relay import PeerRelay, take_relay_mark
from .request_handler import RequestHandler
from .request_log import RequestLog
from .response_ends import ResponseEnds
from .responses import STATUS_NO_ROUTE, STATUS_NOT_RUN, make_response
from .retry_budgets import RetryBudgets
from .runner_connector import RunnerConnector
from .runner_ends import RunnerEnds
from .signal_tracker import SignalTracker
from .stream_origins import StreamOrigins

NO_CONFIGURATION = Rejection(
    status=STATUS_NOT_RUN,
    reason="no configuration yet",
    retry_after_s=RETRY_AFTER_START_S,
)
UNCERTAIN_ROUTE = Rejection(
    status=STATUS_NOT_RUN,
    reason="no such route in a configuration that may not be the newest",
    retry_after_s=RETRY_AFTER_OUTDATED_STATE_S,
)
UNKNOWN_ORIGIN = Rejection(
    status=STATUS_NOT_RUN, reason=UNKNOWN_ORIGIN_REASON, retry_after_s=None
)
LATE_ORIGIN = Rejection(
    status=STATUS_NOT_RUN,
    reason=UNKNOWN_ORIGIN_REASON,
    retry_after_s=RETRY_AFTER_ORIGIN_S,
)
STOPPING = Rejection(
    status=STATUS_NOT_RUN, reason=STOPPING_REASON, retry_after_s=RETRY_AFTER_STOP_S
)
NO_ROUTE = Rejection(status=STATUS_NO_ROUTE, reason="no such route", retry_after_s=None)


@define(eq=False)
class Forwarder:
    """Handles the requests of an edge."""

    data_centre: str
    incarnation: str
    view: FleetView
    grant_provider: GrantProvider
    """Grants requests for services with a model engine."""

    plain_grant_provider: PlainGrantProvider
    """Chooses runners for requests for all other services."""

    retry_budgets: RetryBudgets
    admission: Admission
    pool: ConnectionPool
    connector: RunnerConnector
    relay: PeerRelay
    metrics: Metrics
    crash_detector: CrashDetector
    crash_filter: CrashFilter
    signal_tracker: SignalTracker
    stream_origins: StreamOrigins
    random: Random
    start_task: Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"]
    transfers: RunnerTransfers = field(factory=RunnerTransfers)
    uses_backups: bool = True
    drain_s: float = DEFAULT_DRAIN_S
    """Seconds for which a runner is reachable after its leaving became known."""

    may_use_configuration: Callable[[], bool] = lambda: True
    """Returns whether the configuration is known to be recent enough."""

    stop_schedule: StopSchedule | None = field(default=None, init=False)
    """Times of this host's planned stop; None before it."""

    _handlers: "set[RequestHandler]" = field(factory=set, init=False)
    """Handlers of the requests in progress."""

    request_numbers: "count[int]" = field(factory=count, init=False)
    runner_ends: RunnerEnds = field(init=False)
    response_ends: ResponseEnds = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.runner_ends = RunnerEnds(
            self.view, self.crash_detector, self.connector, self.start_task
        )
        self.response_ends = ResponseEnds(
            view=self.view,
            runner_ends=self.runner_ends,
            metrics=self.metrics,
            clock=asyncio.get_running_loop().time,
            start_task=self.start_task,
        )

    async def async_handle(self, request: Request, exchange: Exchange) -> None:
        """Handle a request; cancelled when its caller disconnects."""
        now = asyncio.get_running_loop().time()
        request, relay_mark = take_relay_mark(request)
        fields = decode_request(request)
        identity = identify_request(request, fields)
        table = self.view.table
        delivery = Delivery(exchange, now, fields.request_id)
        if table is None or not self.may_use_configuration():
            request_log = self.make_log(fields, identity, None, delivery)
            _reject(delivery, request_log, NO_CONFIGURATION)
            return
        host = (request.find(b"host") or "").partition(":")[0]
        route = table.find_route(host, request.path)
        request_log = self.make_log(fields, identity, route, delivery)
        if route is None:
            is_uncertain = self.admission.may_lack_writes()
            rejection = UNCERTAIN_ROUTE if is_uncertain else NO_ROUTE
            _reject(delivery, request_log, rejection)
            return
        if not self._accepts(route, fields, now):
            _reject(delivery, request_log, STOPPING)
            return
        caller = self.admission.check(request, route)
        if isinstance(caller, Rejection):
            _reject(delivery, request_log, caller)
            return
        request_log.customer = caller.name
        found: FoundOrigin | None = None
        if fields.last_event_id and route.kind is RouteKind.STREAMING:
            found = await self._async_find_origin(request_log, route, caller)
            if found is None and not self.connector.reach.is_lost:
                return
        service = self._choose_service(route, table.services, found)
        handler = RequestHandler(
            self,
            request_log,
            request,
            fields,
            route,
            caller,
            service,
            delivery,
            protects_streams=table.protects_streams(service.name),
            relay_mark=relay_mark,
            resumed=found,
        )
        self._handlers.add(handler)
        try:
            await handler.async_run()
        finally:
            self._handlers.discard(handler)

    def end_unanswered(self) -> None:
        """Answer the requests in progress whose responses have not begun.

        This host stops now, and would cut them off otherwise.
        """
        for handler in tuple(self._handlers):
            handler.end_unanswered()

    def _accepts(self, route: Route, fields: RequestFields, now: float) -> bool:
        """Return whether a request can end before this host stops, if it does."""
        if self.stop_schedule is None:
            return True
        time_limit_s = route.limit_time(fields.time_left_s)
        return self.stop_schedule.accepts(route.kind, time_limit_s, now)

    async def _async_find_origin(
        self, request_log: RequestLog, route: Route, caller: Caller
    ) -> FoundOrigin | None:
        """Find the origin of a stream that the caller resumes.

        Returns:
            The origin; None if it is unknown. The request is then rejected, unless this
            host reaches no runner, so that a peer handles the request.
        """
        services = self.stream_origins.list_services(route)
        digest = identify_stream(caller.name, request_log.fields.origin_id)
        found = await self.stream_origins.async_find(digest, services)
        if isinstance(found, FoundOrigin):
            return found
        if not self.connector.reach.is_lost:
            request_log.log_unknown_origin(services[0], found)
            rejection = UNKNOWN_ORIGIN if found.is_final else LATE_ORIGIN
            _reject(request_log.delivery, request_log, rejection)
        return None

    def _choose_service(
        self,
        route: Route,
        services: dict[str, ServiceProfile],
        found: FoundOrigin | None,
    ) -> ServiceProfile:
        """Return the service of a request; that of its first event if it has one."""
        shares = route.shares
        if found is not None:
            began = [each for each in shares if each.service == found.origin.service]
            shares = tuple(began) or shares
        name = (
            _choose_service_name(shares, self.random)
            if len(shares) > 1
            else shares[0].service
        )
        profile = services.get(name)
        return profile or ServiceProfile(name=name, health_path="", max_connections=0)

    def make_log(
        self,
        fields: RequestFields,
        identity: RequestIdentity,
        route: Route | None,
        delivery: Delivery,
    ) -> RequestLog:
        """Return the log of a request."""
        table = self.view.table
        return RequestLog(
            metrics=self.metrics,
            fields=fields,
            identity=identity,
            route=route,
            delivery=delivery,
            version=None if table is None else table.version,
            clock=asyncio.get_running_loop().time,
        )


def _reject(delivery: Delivery, request_log: RequestLog, rejection: Rejection) -> None:
    """Respond to a request that is not sent to any runner."""
    request_log.log_rejected(
        rejection.status, rejection.reason, rejection.retry_after_s
    )
    response = make_response(rejection.reason, rejection.retry_after_s)
    delivery.send_response(rejection.status, *response)


def _choose_service_name(shares: tuple[TrafficShare, ...], random: Random) -> str:
    weights = [each.weight for each in shares]
    return random.choices(shares, weights)[0].service
