"""Client of model engines for completions, descriptions, reports and orders."""

from collections.abc import AsyncGenerator, Callable

import orjson

from ..models.identifiers import AttemptId
from ..models.order import Order
from ..models.upstream import EngineDescription, EngineReport
from ..upstreams.session import UpstreamCall, UpstreamSession, make_status_error
from ..util.statuses import is_success
from .codec import (
    decode_description,
    decode_order_answer,
    decode_report,
    encode_attempt,
    encode_order,
    make_malformed_error,
)
from .const import (
    CONTENT_TYPE_JSON,
    CONTROL_TIMEOUT_S,
    ORDER_TIMEOUT_S,
    PATH_CANCEL,
    PATH_COMPLETIONS,
    PATH_DESCRIPTION,
    PATH_ORDERS,
    PATH_REPORT,
)
from .messages import CompletionAttempt, CompletionChunk, OrderAnswer
from .stream import StreamDecoder


class EngineClient:
    """Client of engines, which are given by address (`ip:port`).

    Every method raises `MangowayError`; its verdict is NOT_RUN only if it is certain
    that the engine did not act.
    """

    def __init__(self, session: UpstreamSession, clock: Callable[[], float]) -> None:
        self._session = session
        self._clock = clock

    async def async_describe(self, address: str) -> EngineDescription:
        """Read an engine's description: its identity and capabilities."""
        return decode_description(await self._async_get(address, PATH_DESCRIPTION))

    async def async_read_report(self, address: str) -> EngineReport:
        """Read an engine's report on its load, memory and cache."""
        body = await self._async_get(address, PATH_REPORT)
        return decode_report(body, self._clock())

    async def async_send_order(
        self, address: str, order: Order, timeout_s: float = ORDER_TIMEOUT_S
    ) -> OrderAnswer:
        """Send an order on a new connection and return the answer.

        Raises:
            MangowayError: NOT_RUN if the order never reached the engine; otherwise
                it may still take effect. The connection is closed in both cases.
        """
        body = encode_order(order)
        answer = decode_order_answer(
            await self._async_post(address, PATH_ORDERS, body, timeout_s, fresh=True)
        )
        if answer.order_id != order.id:
            raise make_malformed_error(
                f"received the answer to order {answer.order_id} for order {order.id}"
            )
        return answer

    async def async_cancel(self, address: str, attempt_id: AttemptId) -> None:
        """Cancel an attempt at its engine."""
        body = orjson.dumps({"request_id": attempt_id})
        await self._async_post(address, PATH_CANCEL, body, CONTROL_TIMEOUT_S)

    async def async_complete(
        self, address: str, attempt: CompletionAttempt
    ) -> AsyncGenerator[list[CompletionChunk], None]:
        """Stream a completion, yielding the chunks of each read as one list.

        The iterator ends without an error only after the engine has sent the end mark
        of the stream.
        """
        call = UpstreamCall(
            method="POST",
            address=address,
            path=PATH_COMPLETIONS,
            body=encode_attempt(attempt),
            headers=CONTENT_TYPE_JSON,
            timeout_s=attempt.timeout_s,
            silence_s=attempt.silence_s,
            streamed=True,
        )
        decoder = StreamDecoder(attempt.id, attempt.resume_from)
        async with self._session.async_open(call) as response:
            if not is_success(response.status):
                raise make_status_error(response)
            async for data in response.content.iter_any():
                chunks = decoder.feed(data)
                if chunks:
                    yield chunks
            if not decoder.done:
                raise make_malformed_error("the stream ended before its end mark")

    async def _async_get(self, address: str, path: str) -> bytes:
        return await self._session.async_fetch(
            UpstreamCall(
                method="GET",
                address=address,
                path=path,
                timeout_s=CONTROL_TIMEOUT_S,
                silence_s=CONTROL_TIMEOUT_S,
            )
        )

    async def _async_post(
        self,
        address: str,
        path: str,
        body: bytes,
        timeout_s: float,
        fresh: bool = False,
    ) -> bytes:
        return await self._session.async_fetch(
            UpstreamCall(
                method="POST",
                address=address,
                path=path,
                body=body,
                headers=CONTENT_TYPE_JSON,
                timeout_s=timeout_s,
                silence_s=timeout_s,
                fresh=fresh,
            )
        )
