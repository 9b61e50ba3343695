"""HTTP pages of an edge: the gateway directory and the readiness check."""

from collections.abc import Callable
from random import Random

from attrs import define

from ..coordination.view import FleetView
from ..http1.exchange import Exchange
from ..http1.messages import Request
from ..platform.pages import PATH_READY, decode_address_request, encode_addresses
from ..policy.edge.gateways import choose_gateways
from .const import DIRECTORY_TTL_S
from .responses import STATUS_NO_ROUTE, STATUS_NOT_RUN, make_response


@define(eq=False)
class DirectoryPage:
    """Lists the edges that callers should use."""

    view: FleetView
    random: Random

    async def async_handle(self, request: Request, exchange: Exchange) -> None:
        """Respond with the edges that a caller should use."""
        query = decode_address_request(request)
        if query is None:
            exchange.answer(STATUS_NO_ROUTE, *make_response("no such page"))
            return
        edges = self.view.list_reachable_edges()
        named = choose_gateways(edges, query.data_centre, self.random)
        if not named:
            exchange.answer(STATUS_NOT_RUN, *make_response("no edge is known yet"))
            return
        addresses = [each.caller_address for each in named]
        exchange.answer(200, *encode_addresses(addresses, DIRECTORY_TTL_S))


@define(eq=False)
class ReadyPage:
    """Reports to the platform whether this edge accepts requests."""

    is_ready: Callable[[], bool]

    async def async_handle(self, request: Request, exchange: Exchange) -> None:
        """Respond whether the edge is ready."""
        if request.path != PATH_READY:
            exchange.answer(STATUS_NO_ROUTE, *make_response("no such page"))
            return
        status = 200 if self.is_ready() else STATUS_NOT_RUN
        exchange.answer(
            status, *make_response("ready" if status == 200 else "not ready")
        )
