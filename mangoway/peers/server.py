"""The gRPC server for other processes."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterable, Callable
from contextlib import aclosing
from typing import Protocol, TypeVar

from attrs import define, field
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream

from ..models.errors import MangowayError
from ..observability.connection_log import ConnectionLog
from ..observability.metrics import Metrics
from ..policy.connections import ConnectionTable, choose_limits
from ..util.descriptors import read_max_descriptors
from ..util.listener import ACCEPTED_PER_TURN, BACKLOG, open_listener
from . import peers_pb2 as pb
from .const import HAND_OVER_LIMIT_BYTES, PING_PERIOD_S
from .forward_codec import decode_request, encode_failure, encode_frame
from .messages import ForwardedFrame, ForwardedRequest
from .peers_grpc import PeersBase
from .protocol import LimitedServer, PeerLimits

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


class ForwardReceiver(Protocol):
    """Handles requests that other gateways forward."""

    def async_receive(
        self, request: ForwardedRequest
    ) -> AsyncGenerator[ForwardedFrame, None]:
        """Yield the parts of the response; closed early if the peer disconnects.

        Raises:
            MangowayError: If the request fails; the peer receives the same failure.
        """
        ...


class HeartbeatReceiver(Protocol):
    """Handles heartbeats."""

    def async_receive_heartbeat(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        """Handle a heartbeat and return the reply."""
        ...


class ProbeReceiver(Protocol):
    """Handles probes."""

    async def async_handle_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        """Respond, after probing the requested target if there is one."""
        ...


class ConfigurationReceiver(Protocol):
    """Handles fetches and pushes of configurations."""

    def async_read_document(
        self, request: pb.FetchConfigurationRequest
    ) -> pb.ConfigurationDocument:
        """Return the configuration in force if it is newer than the requester's."""
        ...

    def async_receive_document(
        self, document: pb.ConfigurationDocument
    ) -> pb.PushConfigurationReply:
        """Handle a pushed configuration and return the version in force."""
        ...


class DemandReceiver(Protocol):
    """Handles demand reports."""

    def async_receive_demand(self, report: pb.DemandReport) -> pb.DemandReply:
        """Handle a gateway's report."""
        ...


class KeyReceiver(Protocol):
    """Receives the idempotency keys of a home that is leaving."""

    async def async_receive_keys(
        self, chunks: AsyncIterable[pb.KeyChunk]
    ) -> pb.HandOverReply:
        """Receive a complete hand-over; nothing is stored if `chunks` raises."""
        ...


class StatusReader(Protocol):
    """Handles operators' queries."""

    def async_read_status(self) -> pb.StatusReply:
        """Return the status of this process."""
        ...

    def async_explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Return the explanation of this process's decisions."""
        ...


@define(kw_only=True)
class PeerReceivers:
    """Receivers of each kind of call; None if this process doesn't serve it."""

    heartbeats: HeartbeatReceiver | None = None
    probes: ProbeReceiver | None = None
    configuration: ConfigurationReceiver | None = None
    forwards: ForwardReceiver | None = None
    keys: KeyReceiver | None = None
    demand: DemandReceiver | None = None
    status: StatusReader | None = None


def make_peer_limits(metrics: Metrics) -> PeerLimits:
    """Return the limits of a process by its descriptors, which log what they close."""
    connection_log = ConnectionLog("peers", metrics)
    return PeerLimits(
        table=ConnectionTable(choose_limits(read_max_descriptors()).peers),
        on_displaced=connection_log.record_displaced,
        on_rejected=connection_log.record_rejected,
    )


@define(eq=False)
class PeerServer:
    """Listens for other processes until it is stopped."""

    receivers: PeerReceivers
    limits: PeerLimits = field(factory=PeerLimits)
    port: int = field(default=0, init=False)
    """Listening port; 0 before the start."""

    _server: LimitedServer | None = field(default=None, init=False)

    async def async_start(self, host: str, port: int) -> None:
        """Listen on an address.

        Raises:
            OSError: If the address can't be used.
        """
        listener = open_listener(host, port)
        self.port = listener.getsockname()[1]
        self._server = LimitedServer([PeerService(self.receivers)], self.limits)
        await self._server.start(sock=listener, backlog=ACCEPTED_PER_TURN)
        # The server has lowered the number of connections that wait to be accepted.
        listener.listen(BACKLOG)

    async def async_stop(self) -> None:
        """Stop listening and cancel open calls."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
            self._server = None


class PeerService(PeersBase):
    """Passes each call to its receiver; responds UNIMPLEMENTED if there is none."""

    def __init__(self, receivers: PeerReceivers) -> None:
        self._receivers = receivers
        self._handed_over_bytes = 0

    async def Exchange(self, stream: Stream[pb.Heartbeat, pb.Heartbeat]) -> None:
        """Handle a heartbeat."""
        receiver = _require(self._receivers.heartbeats)
        await _async_handle(stream, receiver.async_receive_heartbeat)

    async def Probe(self, stream: Stream[pb.ProbeRequest, pb.ProbeReply]) -> None:
        """Respond to a probe, or probe another process."""
        receiver = _require(self._receivers.probes)
        request = await _async_read(stream)
        await stream.send_message(await receiver.async_handle_probe(request))

    async def Forward(
        self, stream: Stream[pb.ForwardedRequest, pb.ForwardedFrame]
    ) -> None:
        """Stream the response to a forwarded request, with pings while it waits."""
        receiver = _require(self._receivers.forwards)
        message = await _async_read(stream)
        sender = _FrameSender(stream)
        pings = asyncio.get_running_loop().create_task(sender.async_ping())
        try:
            await _async_forward(receiver, decode_request(message), sender)
        finally:
            pings.cancel()

    async def FetchConfiguration(
        self, stream: Stream[pb.FetchConfigurationRequest, pb.ConfigurationDocument]
    ) -> None:
        """Reply with the configuration in force."""
        receiver = _require(self._receivers.configuration)
        await _async_handle(stream, receiver.async_read_document)

    async def PushConfiguration(
        self, stream: Stream[pb.ConfigurationDocument, pb.PushConfigurationReply]
    ) -> None:
        """Handle a pushed configuration."""
        receiver = _require(self._receivers.configuration)
        await _async_handle(stream, receiver.async_receive_document)

    async def HandOverKeys(self, stream: Stream[pb.KeyChunk, pb.HandOverReply]) -> None:
        """Receive a home's idempotency keys, all or none."""
        receiver = _require(self._receivers.keys)
        try:
            reply = await receiver.async_receive_keys(self._async_read(stream))
        except MangowayError as error:
            raise GRPCError(Status.FAILED_PRECONDITION, str(error)) from error
        await stream.send_message(reply)

    async def _async_read(
        self, stream: Stream[pb.KeyChunk, pb.HandOverReply]
    ) -> AsyncGenerator[pb.KeyChunk, None]:
        """Yield the messages of a hand-over; raise if it is incomplete or too large."""
        size = 0
        last = False
        try:
            async for chunk in stream:
                size += chunk.ByteSize()
                self._count_handed_over(chunk.ByteSize())
                last = chunk.last
                yield chunk
        finally:
            self._handed_over_bytes -= size
        if not last:
            raise GRPCError(
                Status.DATA_LOSS, "the hand-over ended without its last message"
            )

    def _count_handed_over(self, size: int) -> None:
        self._handed_over_bytes += size
        if self._handed_over_bytes > HAND_OVER_LIMIT_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"concurrent hand-overs exceed {HAND_OVER_LIMIT_BYTES} bytes",
            )

    async def ReportDemand(
        self, stream: Stream[pb.DemandReport, pb.DemandReply]
    ) -> None:
        """Handle a demand report."""
        receiver = _require(self._receivers.demand)
        await _async_handle(stream, receiver.async_receive_demand)

    async def ReadStatus(
        self, stream: Stream[pb.StatusRequest, pb.StatusReply]
    ) -> None:
        """Reply with the status of this process."""
        receiver = _require(self._receivers.status)
        await _async_handle(stream, lambda _: receiver.async_read_status())

    async def Explain(self, stream: Stream[pb.ExplainRequest, pb.ExplainReply]) -> None:
        """Reply with the explanation of this process's decisions."""
        receiver = _require(self._receivers.status)
        await _async_handle(stream, receiver.async_explain)


@define(eq=False)
class _FrameSender:
    """Sends frames one at a time, and pings while there are none to send."""

    _stream: Stream[pb.ForwardedRequest, pb.ForwardedFrame]
    _lock: asyncio.Lock = field(factory=asyncio.Lock, init=False)
    _sent: int = field(default=0, init=False)

    async def async_send(self, frame: pb.ForwardedFrame) -> None:
        """Send one frame."""
        async with self._lock:
            await self._stream.send_message(frame)
        self._sent += 1

    async def async_ping(self) -> None:
        """Send a ping after each period in which nothing else was sent."""
        while True:
            sent = self._sent
            await asyncio.sleep(PING_PERIOD_S)
            if sent == self._sent:
                await self.async_send(pb.ForwardedFrame(ping=pb.ForwardedPing()))


async def _async_forward(
    receiver: ForwardReceiver, request: ForwardedRequest, sender: _FrameSender
) -> None:
    try:
        async with aclosing(receiver.async_receive(request)) as frames:
            async for frame in frames:
                await sender.async_send(encode_frame(frame))
    except MangowayError as error:
        failure = encode_failure(error.failure)
        await sender.async_send(pb.ForwardedFrame(failure=failure))
    else:
        await sender.async_send(pb.ForwardedFrame(end=pb.ForwardedEnd()))


async def _async_handle(
    stream: Stream[RequestT, ReplyT], handler: Callable[[RequestT], ReplyT]
) -> None:
    request = await _async_read(stream)
    await stream.send_message(_call_handler(handler, request))


async def _async_read(stream: Stream[RequestT, ReplyT]) -> RequestT:
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "the request message is missing")
    return request


def _call_handler(handler: Callable[[RequestT], ReplyT], request: RequestT) -> ReplyT:
    try:
        return handler(request)
    except MangowayError as error:
        raise GRPCError(Status.FAILED_PRECONDITION, str(error)) from error


def _require(receiver: RequestT | None) -> RequestT:
    if receiver is None:
        raise GRPCError(Status.UNIMPLEMENTED, "this process does not serve the call")
    return receiver
