"""Sending of requests and idempotency keys to other gateways."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

from attrs import define

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from .client import PeerClients
from .const import MAX_HOPS
from .forward_codec import decode_frame, encode_request
from .hand_over import KeyHandOver, make_chunks
from .messages import ForwardedFailure, ForwardedFrame, ForwardedRequest


@define(eq=False)
class Forwarder:
    """Forwards requests and hands keys over through the peer clients."""

    _clients: PeerClients

    async def async_forward(
        self, address: str, request: ForwardedRequest
    ) -> AsyncGenerator[ForwardedFrame, None]:
        """Forward a request and yield the parts of the response until it is complete.

        Raises:
            MangowayError: With the peer's verdict if it responded with a failure;
                otherwise NOT_RUN if the request was certainly not sent, and
                MAY_HAVE_RUN if it may have been.
        """
        if request.hops > MAX_HOPS:
            detail = (
                f"the request would be forwarded {request.hops} times, above the limit"
            )
            raise MangowayError(ErrorCode.PEER_UNREACHABLE, detail, Verdict.NOT_RUN)
        client = self._clients.get(address)
        async with aclosing(client.async_forward(encode_request(request))) as messages:
            async for message in messages:
                if message.HasField("end"):
                    return
                frame = decode_frame(message)
                if isinstance(frame, ForwardedFailure):
                    raise _make_error(frame)
                if frame is not None:
                    yield frame
        detail = f"the response from {address} ended before it was complete"
        raise MangowayError(ErrorCode.PEER_FAILED, detail, Verdict.MAY_HAVE_RUN)

    async def async_hand_over(self, address: str, keys: KeyHandOver, now: float) -> int:
        """Send all records to a successor and return how many it accepted.

        Raises:
            MangowayError: If it is not certain that it accepted all of them.
        """
        client = self._clients.get(address)
        reply = await client.async_hand_over(make_chunks(keys, now))
        return reply.records


def _make_error(frame: ForwardedFailure) -> MangowayError:
    failure = frame.failure
    return MangowayError(
        failure.code, failure.detail, failure.verdict, failure.retry_after
    )
