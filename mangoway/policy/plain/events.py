"""Events and actions of the core that shares the capacity of plain services."""

from typing import Final

from attrs import frozen

from ..scheduling.events import (
    EdgeDisconnected,
    EndKind,
    FleetUpdated,
    Grant,
    Reject,
    Tick,
)

CHOOSE_LOCALLY: Final = ""
"""Runner id of a grant whose runner the edge chooses, as the scheduler knows none."""


@frozen(kw_only=True)
class PlainGrantRequest:
    """Request of an edge for a grant at a runner of a plain service."""

    request_id: str
    edge: str
    """Incarnation of the edge that received the request."""

    service: str
    priority: int
    """Rank of the customer, or of the route if customers have no ranks; 0 is served
    first."""

    route_priority: int
    """Rank of the route among requests of customers of equal rank."""

    objective_left_s: float
    """Time until the response is late; negative if it is late already."""

    patience_left_s: float
    """Time until the caller leaves."""

    excluded: tuple[str, ...] = ()
    """Runners that failed or rejected this request, or that the edge avoids."""

    customer: str = ""
    """Customer of the request; empty if unknown."""


@frozen(kw_only=True)
class PlainGrantEnded:
    """A granted request has ended at its runner, or a waiting one was withdrawn."""

    edge: str
    request_id: str
    kind: EndKind


@frozen(kw_only=True)
class ShortageReported:
    """A runner of a plain service rejected a request of an edge, or answered late."""

    edge: str
    service: str


@frozen(kw_only=True)
class PlainGrantQueued:
    """The request waits for a runner; a grant or a rejection follows."""

    edge: str
    request_id: str


@frozen(kw_only=True)
class PlainShortage:
    """A plain service is short of room, so its requests need grants."""

    service: str
    left_s: float
    """Time after which the shortage ends unless it is renewed."""


PlainEvent = (
    PlainGrantRequest
    | PlainGrantEnded
    | ShortageReported
    | EdgeDisconnected
    | FleetUpdated
    | Tick
)
PlainAction = Grant | Reject | PlainGrantQueued | PlainShortage
