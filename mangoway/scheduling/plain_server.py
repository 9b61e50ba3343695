"""The scheduler's side of grants for plain services that are short of room."""

from collections.abc import Callable

from attrs import define, field

from ..observability import plain_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.plain.core import PlainCore
from ..policy.plain.events import (
    PlainAction,
    PlainEvent,
    PlainGrantEnded,
    PlainGrantQueued,
    PlainShortage,
)
from ..policy.plain.service import PlainService
from ..policy.scheduling.events import EndKind, Grant, Reject, Tick
from .plain_metrics import PlainMetrics


@define(eq=False)
class PlainGrantServer:
    """Passes messages about plain services to their core and sends its answers."""

    core: PlainCore
    clock: Callable[[], float]
    send: Callable[[str, Grant | Reject | PlainGrantQueued], bool]
    """Sends a message to an edge; returns whether the edge is connected."""

    send_shortage: Callable[[PlainShortage, set[str]], None]
    """Sends a shortage to some edges."""

    enabled: bool = True
    edges: set[str] = field(factory=set, init=False)
    """Connected edges that understand the messages."""

    _metrics: PlainMetrics | None = field(default=None, init=False)
    _began_at: dict[str, float] = field(factory=dict, init=False)
    """When each current shortage began."""

    def __attrs_post_init__(self) -> None:
        self.core.on_shortage = self._handle_shortage

    @property
    def is_offered(self) -> bool:
        """Return whether edges may report a shortage.

        A single edge knows all requests, so a grant would tell it nothing.
        """
        return self.enabled and len(self.edges) > 1 and self.core.has_plain_services

    def use_metrics(self, metrics: Metrics) -> None:
        """Count in the metrics of this process from now on."""
        self._metrics = PlainMetrics(metrics)

    def handle(self, event: PlainEvent) -> None:
        """Handle an event with the core and send its answers."""
        for action in self.core.handle(event, self.clock()):
            self._execute(action)
        if isinstance(event, Tick) and self._metrics and self.core.services:
            self._metrics.update(self.core.services)

    def _execute(self, action: PlainAction) -> None:
        if isinstance(action, PlainShortage):
            self.send_shortage(action, self.edges)
            return
        if not self.send(action.edge, action) and isinstance(action, Grant):
            ended = PlainGrantEnded(
                edge=action.edge, request_id=action.request_id, kind=EndKind.LEFT
            )
            self.handle(ended)

    def _handle_shortage(self, service: PlainService, begins: bool) -> None:
        if begins:
            slots = sum(each.slots for each in service.runners.values())
            self._began_at[service.name] = self.clock()
            log_event(
                log.PlainShortageBegan(
                    service=service.name, runners=len(service.runners), slots=slots
                )
            )
            return
        if self._metrics is not None:
            self._metrics.drop(service)
        began_at = self._began_at.pop(service.name, None)
        if began_at is not None:
            log_event(
                log.PlainShortageEnded(
                    service=service.name,
                    granted=service.granted,
                    rejected=service.rejected,
                    seconds=round(self.clock() - began_at, 2),
                )
            )
