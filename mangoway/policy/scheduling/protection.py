"""Services whose streams are transferred or backed up."""

from typing import TYPE_CHECKING

from ...models.routing import RoutingTable
from .events import GrantRequest

if TYPE_CHECKING:
    from .features import Features


def find_transferring(table: RoutingTable, features: "Features") -> frozenset[str]:
    """Return the services whose running streams may be transferred."""
    if not features.stream_transfers:
        return frozenset()
    return frozenset(
        name
        for name, profile in table.services.items()
        if profile.engine is not None
        and profile.engine.moves
        and table.protects_streams(name)
    )


def find_backing_up(table: RoutingTable, features: "Features") -> frozenset[str]:
    """Return the services whose streams get a backup runner."""
    if not features.stream_backups:
        return frozenset()
    return frozenset(
        name
        for name, profile in table.services.items()
        if profile.engine is not None
        and profile.engine.backups
        and table.protects_streams(name)
    )


def find_pause_limit_s(table: RoutingTable, grant_request: GrantRequest) -> float:
    """Return the longest pause of a request's stream that isn't late.

    Returns:
        The limit in seconds of the service's streaming route of the request's priority,
        or the longest limit of its streaming routes if no route has that priority.
    """
    routes = [
        route
        for route in table.routes
        if route.gap_objective_s > 0
        and any(share.service == grant_request.service for share in route.shares)
    ]
    same = [each for each in routes if each.priority == grant_request.route_priority]
    return max((each.gap_objective_s for each in same or routes), default=0.0)
