"""The core that grants requests for plain services that are short of room.

A service has state only while it is short of room: from the first report of an edge
until its shortage has ended and no granted request runs.
"""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

from ...models.routing import RoutingTable
from ...models.runner import RunnerEntry
from ..scheduling.events import EdgeDisconnected, FleetUpdated, Grant, Tick
from .events import (
    CHOOSE_LOCALLY,
    PlainAction,
    PlainEvent,
    PlainGrantEnded,
    PlainGrantQueued,
    PlainGrantRequest,
    PlainShortage,
    ShortageReported,
)
from .requests import RequestKey
from .service import PlainService

Handler = Callable[["PlainCore", Any, float], list[PlainAction]]
_handlers: dict[type, Handler] = {}


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of an event class."""

    def register(handler: Handler) -> Handler:
        _handlers[kind] = handler
        return handler

    return register


@define(eq=False)
class PlainCore:
    """Queues requests for plain services and grants them to runners."""

    data_centres: Mapping[str, str] = field(factory=dict)
    """Data centre of each edge."""

    get_share_rank: Callable[[PlainGrantRequest], float] = lambda request: 0.0
    """Returns the rank of a request's customer by what it has used of its share;
    smaller goes first among requests of equal priority."""

    on_shortage: Callable[[PlainService, bool], None] = lambda service, begins: None
    """Called with a service when its shortage begins, and when its state is dropped
    since it has room again."""

    services: dict[str, PlainService] = field(factory=dict, init=False)
    """The services that are short of room."""

    _entries: tuple[RunnerEntry, ...] = field(default=(), init=False)
    _table: RoutingTable | None = field(default=None, init=False)
    _plain_names: frozenset[str] = field(default=frozenset(), init=False)

    def handle(self, event: PlainEvent, now: float) -> list[PlainAction]:
        """Handle one event at time `now` (seconds, never decreasing)."""
        return _handlers[type(event)](self, event, now)

    @property
    def has_plain_services(self) -> bool:
        """Return whether the configuration has plain services."""
        return bool(self._plain_names)

    def list_shortages(self, now: float) -> list[PlainShortage]:
        """Return the current shortages, for an edge that has just connected."""
        return [
            PlainShortage(service=name, left_s=service.shortage.measure_left(now))
            for name, service in self.services.items()
            if service.shortage.is_active(now)
        ]

    def get_service(self, name: str) -> PlainService | None:
        """Return a service, with new state if it has none; None if it isn't plain."""
        service = self.services.get(name)
        if service is None and name in self._plain_names:
            service = PlainService(name, self.data_centres)
            service.update_runners(self._list_entries(name))
            self.services[name] = service
        return service

    def update_fleet(self, event: FleetUpdated) -> None:
        """Apply the current configuration and runners."""
        if event.table is not self._table:
            profiles = event.table.services.items()
            self._plain_names = frozenset(
                name for name, profile in profiles if profile.engine is None
            )
        self._table = event.table
        self._entries = event.runners
        for name, service in self.services.items():
            service.update_runners(self._list_entries(name))

    def _list_entries(self, service: str) -> list[RunnerEntry]:
        return [each for each in self._entries if each.service == service]


def _leave_to_edge(key: RequestKey) -> Grant:
    """Return a grant that leaves the choice of the runner to the edge."""
    edge, request_id = key
    return Grant(edge=edge, request_id=request_id, runner_id=CHOOSE_LOCALLY)


def _serve(service: PlainService, now: float) -> list[PlainAction]:
    """Return what the time and the room of a service's runners allow."""
    return [*service.check_times(now), *service.serve(now)]


@handles(PlainGrantRequest)
def _handle_grant_request(
    core: PlainCore, event: PlainGrantRequest, now: float
) -> list[PlainAction]:
    service = core.get_service(event.service)
    if service is None or not service.runners:
        # The edge knows a newer configuration or fleet.
        return [_leave_to_edge((event.edge, event.request_id))]
    actions = _serve(service, now)
    if not service.shortage.has_begun:
        # The edge knows of the shortage from an earlier scheduler.
        actions += _record_report(core, service, now)
    share_rank = core.get_share_rank(event)
    decided, is_queued = service.add_request(event, share_rank, now)
    actions += decided
    if is_queued:
        queued = PlainGrantQueued(edge=event.edge, request_id=event.request_id)
        actions.append(queued)
    return actions


@handles(PlainGrantEnded)
def _handle_ended(
    core: PlainCore, event: PlainGrantEnded, now: float
) -> list[PlainAction]:
    actions: list[PlainAction] = []
    key = (event.edge, event.request_id)
    for service in core.services.values():
        service.end_request(key, event.kind, now)
        actions += _serve(service, now)
    return actions


@handles(ShortageReported)
def _handle_report(
    core: PlainCore, event: ShortageReported, now: float
) -> list[PlainAction]:
    service = core.get_service(event.service)
    return [] if service is None else _record_report(core, service, now)


def _record_report(
    core: PlainCore, service: PlainService, now: float
) -> list[PlainAction]:
    if not service.shortage.record_report(now):
        return []
    core.on_shortage(service, True)
    return [_make_shortage(service, now)]


def _make_shortage(service: PlainService, now: float) -> PlainShortage:
    left_s = service.shortage.measure_left(now)
    return PlainShortage(service=service.name, left_s=left_s)


@handles(EdgeDisconnected)
def _handle_edge_disconnected(
    core: PlainCore, event: EdgeDisconnected, now: float
) -> list[PlainAction]:
    actions: list[PlainAction] = []
    for service in core.services.values():
        service.remove_edge(event.edge, now)
        actions += _serve(service, now)
    return actions


@handles(FleetUpdated)
def _handle_fleet(
    core: PlainCore, event: FleetUpdated, now: float
) -> list[PlainAction]:
    core.update_fleet(event)
    actions: list[PlainAction] = []
    for service in core.services.values():
        if not service.runners:
            # No end of a request would ever grant those that wait.
            actions += [_leave_to_edge(each) for each in service.queue.clear()]
        actions += _serve(service, now)
    return actions


@handles(Tick)
def _handle_tick(core: PlainCore, event: Tick, now: float) -> list[PlainAction]:
    actions: list[PlainAction] = []
    for name, service in list(core.services.items()):
        service.drop_unended(now)
        actions += _serve(service, now)
        if service.shortage.renew_if_due(now):
            actions.append(_make_shortage(service, now))
        elif service.is_idle and service.shortage.is_forgotten(now):
            del core.services[name]
            core.on_shortage(service, False)
    return actions
