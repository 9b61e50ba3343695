"""Client with which a controller reads descriptions and reports, and sends orders.

It is separate from `client.py`, so that a controller does not import the client that
streams completions.
"""

from collections.abc import Callable
from math import inf

from attrs import define

from ..models.order import Order
from ..models.upstream import EngineDescription, EngineReport
from ..upstreams.exchange import ExchangeRequest, async_exchange
from .codec import (
    decode_description,
    decode_order_answer,
    decode_report,
    encode_order,
    make_malformed_error,
)
from .const import (
    CONTENT_TYPE_JSON,
    CONTROL_TIMEOUT_S,
    ORDER_TIMEOUT_S,
    PATH_DESCRIPTION,
    PATH_ORDERS,
    PATH_REPORT,
)
from .messages import OrderAnswer


@define(eq=False)
class EngineControl:
    """Client of engines by address (`ip:port`), with a new connection for each call.

    Every method raises `MangowayError`; its verdict is NOT_RUN only if it is certain
    that the engine did not act.
    """

    clock: Callable[[], float]

    async def async_describe(self, address: str) -> EngineDescription:
        """Read an engine's description: its identity and capabilities."""
        return decode_description(await self._async_get(address, PATH_DESCRIPTION))

    async def async_read_report(self, address: str) -> EngineReport:
        """Read an engine's report on its load, memory and cache.

        The report's time is computed from the time before the request, so that a
        process that is paused before it reads the response does not date the report
        too late.
        """
        requested_at = self.clock()
        body = await self._async_get(address, PATH_REPORT)
        return decode_report(body, requested_at)

    async def async_send_order(
        self, address: str, order: Order, send_before: float = inf
    ) -> OrderAnswer:
        """Send an order unless the loop time is past `send_before`; return the answer.

        Raises:
            MangowayError: NOT_RUN if the order never reached the engine; otherwise
                it may still take effect. The connection is closed in both cases.
        """
        request = ExchangeRequest(
            method="POST",
            address=address,
            path=PATH_ORDERS,
            body=encode_order(order),
            headers=CONTENT_TYPE_JSON,
            timeout_s=ORDER_TIMEOUT_S,
            send_before=send_before,
        )
        answer = decode_order_answer(await async_exchange(request))
        if answer.order_id != order.id:
            raise make_malformed_error(
                f"received the answer to order {answer.order_id} for order {order.id}"
            )
        return answer

    async def _async_get(self, address: str, path: str) -> bytes:
        request = ExchangeRequest(
            method="GET", address=address, path=path, timeout_s=CONTROL_TIMEOUT_S
        )
        return await async_exchange(request)
