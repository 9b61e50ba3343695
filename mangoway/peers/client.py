"""Calls to one peer, with a precise verdict on every failure."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Iterable
from typing import TypeVar

from attrs import define, field
from grpclib.client import ServiceMethod, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from . import peers_pb2 as pb
from .const import (
    CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    EXCHANGE_TIMEOUT_S,
    HAND_OVER_TIMEOUT_S,
    IDLE_CLOSE_S,
    SILENCE_S,
)
from .link import Link, LinkHolder
from .peers_grpc import PeersStub

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")

BROKEN = (OSError, StreamTerminatedError, ProtocolError)


@define(eq=False)
class PeerClient:
    """Calls to the process at one address.

    Every method raises `MangowayError` with code PEER_UNREACHABLE, PEER_SILENT or
    PEER_FAILED. Its verdict is NOT_RUN if the request was certainly never sent,
    else MAY_HAVE_RUN.
    """

    address: str
    _holder: LinkHolder = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._holder = LinkHolder(self.address)

    async def async_exchange(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        """Send a heartbeat and return the peer's."""
        return await self._async_call(
            lambda stub: stub.Exchange, (heartbeat,), EXCHANGE_TIMEOUT_S
        )

    async def async_fetch_configuration(
        self, request: pb.FetchConfigurationRequest
    ) -> pb.ConfigurationDocument:
        """Read the configuration that the peer has in force."""
        return await self._async_call(
            lambda stub: stub.FetchConfiguration, (request,), CALL_TIMEOUT_S
        )

    async def async_push_configuration(
        self, document: pb.ConfigurationDocument
    ) -> pb.PushConfigurationReply:
        """Give the peer a configuration."""
        return await self._async_call(
            lambda stub: stub.PushConfiguration, (document,), CALL_TIMEOUT_S
        )

    async def async_hand_over(self, chunks: Iterable[pb.KeyChunk]) -> pb.HandOverReply:
        """Give the peer the records of this home's idempotency keys."""
        return await self._async_call(
            lambda stub: stub.HandOverKeys, chunks, HAND_OVER_TIMEOUT_S
        )

    async def async_report_demand(self, report: pb.DemandReport) -> pb.DemandReply:
        """Tell a controller what callers asked for."""
        return await self._async_call(
            lambda stub: stub.ReportDemand, (report,), CALL_TIMEOUT_S
        )

    async def async_read_status(self) -> pb.StatusReply:
        """Read what the peer knows."""
        return await self._async_call(
            lambda stub: stub.ReadStatus, (pb.StatusRequest(),), CALL_TIMEOUT_S
        )

    async def async_explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Read why the peer did something."""
        return await self._async_call(
            lambda stub: stub.Explain, (request,), CALL_TIMEOUT_S
        )

    async def async_forward(
        self, request: pb.ForwardedRequest
    ) -> AsyncGenerator[pb.ForwardedFrame, None]:
        """Send a caller's request and yield the frames of its answer, pings too.

        Ends after the peer's last frame. Silence for `SILENCE_S` raises PEER_SILENT.
        """
        call = _Call(self.address)
        async with self._holder.async_use() as link:
            try:
                async with link.stub.Forward.open() as stream:
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await _async_open(stream)
                    call.sent = True
                    async with asyncio.timeout(SILENCE_S):
                        await stream.send_message(request, end=True)
                    while True:
                        async with asyncio.timeout(SILENCE_S):
                            frame = await stream.recv_message()
                        if frame is None:
                            return
                        link.note_heard()
                        yield frame
            except TimeoutError as error:
                self._holder.replace(link)
                raise call.make_silent() from error
            except BROKEN as error:
                self._holder.replace(link)
                raise call.make_broken(error) from error
            except GRPCError as error:
                raise call.make_failed(error) from error

    def close(self) -> None:
        """Close the connection as soon as no call is open."""
        self._holder.close()

    def is_idle(self, since: float) -> bool:
        """Tell whether no call is open and none was begun after `since`."""
        return self._holder.is_idle(since)

    async def _async_call(
        self,
        choose: Callable[[PeersStub], ServiceMethod[RequestT, ReplyT]],
        messages: Iterable[RequestT],
        timeout_s: float,
    ) -> ReplyT:
        call = _Call(self.address)
        started_at = asyncio.get_running_loop().time()
        async with self._holder.async_use() as link:
            try:
                async with asyncio.timeout(timeout_s):
                    return await _async_converse(link, choose, messages, call)
            except TimeoutError as error:
                if link.heard_at <= started_at:
                    self._holder.replace(link)
                raise call.make_silent() from error
            except BROKEN as error:
                self._holder.replace(link)
                raise call.make_broken(error) from error
            except GRPCError as error:
                raise call.make_failed(error) from error


@define(eq=False)
class PeerClients:
    """One client per address."""

    _clients: dict[str, PeerClient] = field(factory=dict, init=False)

    def get(self, address: str) -> PeerClient:
        """Return the client of an address."""
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address)
            self._clients[address] = client
        return client

    def close_idle(self, now: float) -> None:
        """Close and forget clients that were not used for `IDLE_CLOSE_S`."""
        since = now - IDLE_CLOSE_S
        for address, client in tuple(self._clients.items()):
            if client.is_idle(since):
                client.close()
                del self._clients[address]

    def close(self) -> None:
        """Close every client."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()


@define(eq=False)
class _Call:
    """What is known of a call in case it fails."""

    address: str
    sent: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return whether the peer may have taken the request."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN

    def make_silent(self) -> MangowayError:
        """Return the error of a call that got no reply in its time."""
        code = ErrorCode.PEER_SILENT if self.sent else ErrorCode.PEER_UNREACHABLE
        return MangowayError(code, f"no reply from {self.address}", self.verdict)

    def make_broken(self, error: Exception) -> MangowayError:
        """Return the error of a call whose connection could not be used."""
        detail = f"connection to {self.address}: {error}"
        return MangowayError(ErrorCode.PEER_UNREACHABLE, detail, self.verdict)

    def make_failed(self, error: GRPCError) -> MangowayError:
        """Return the error of a call that the peer answered with a failure."""
        detail = f"{self.address} answered {error.status.name}: {error.message}"
        return MangowayError(ErrorCode.PEER_FAILED, detail, self.verdict)


async def _async_converse(
    link: Link,
    choose: Callable[[PeersStub], ServiceMethod[RequestT, ReplyT]],
    messages: Iterable[RequestT],
    call: _Call,
) -> ReplyT:
    async with choose(link.stub).open() as stream:
        await _async_open(stream)
        call.sent = True
        for message in messages:
            await stream.send_message(message)
        await stream.end()
        reply = await stream.recv_message()
        link.note_heard()
        if reply is None:
            raise StreamTerminatedError("no reply")
        return reply


async def _async_open(stream: Stream[RequestT, ReplyT]) -> None:
    """Send the head of a call."""
    try:
        await stream.send_request()
    except AttributeError as error:
        # The library hands out a connection that its peer has just closed; it has
        # no transport any more, so nothing was sent.
        raise ConnectionResetError("closed before the call") from error
