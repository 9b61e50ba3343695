"""Descriptions, reports and orders of engines, for a controller.

`client.py` serves callers' requests; this one is apart since a controller must not
pay for the imports of the streaming client.
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
    fail_malformed,
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
    """Talks to engines by address (`a.b.c.d:port`), each time on a new connection.

    Every method raises `MangowayError`; the verdict is NOT_RUN only if the engine
    certainly did not act.
    """

    clock: Callable[[], float]

    async def async_describe(self, address: str) -> EngineDescription:
        """Read what an engine says of itself."""
        return decode_description(await self._async_get(address, PATH_DESCRIPTION))

    async def async_read_report(self, address: str) -> EngineReport:
        """Read an engine's report.

        It is dated from before it was asked for: a process that was paused while
        the answer waited must not take it for newer than it is.
        """
        asked_at = self.clock()
        body = await self._async_get(address, PATH_REPORT)
        return decode_report(body, asked_at)

    async def async_send_order(
        self, address: str, order: Order, send_before: float = inf
    ) -> OrderAnswer:
        """Send an order, unless the loop time is past `send_before`.

        Raises:
            MangowayError: NOT_RUN if it never reached the engine; otherwise it may
                still take effect. The connection is closed by then.
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
            raise fail_malformed(f"answer of order {answer.order_id} to {order.id}")
        return answer

    async def _async_get(self, address: str, path: str) -> bytes:
        request = ExchangeRequest(
            method="GET", address=address, path=path, timeout_s=CONTROL_TIMEOUT_S
        )
        return await async_exchange(request)
