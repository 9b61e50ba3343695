"""Client of one peer, with an exact verdict on every failure."""

import asyncio
from collections.abc import AsyncGenerator, Callable, Iterable
from typing import TypeVar

from attrs import define, field
from grpclib.client import ServiceMethod, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..util.address import CONNECT_ERRORS
from . import peers_pb2 as pb
from .connection import CurrentConnection, PeerConnection
from .const import (
    CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    EXCHANGE_TIMEOUT_S,
    HAND_OVER_TIMEOUT_S,
    IDLE_CLOSE_S,
    SILENCE_S,
)
from .peers_grpc import PeersStub

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")

CONNECTION_ERRORS = (OSError, StreamTerminatedError, ProtocolError)


@define(eq=False)
class PeerClient:
    """Calls to the process at one address.

    Every call raises `MangowayError` with code PEER_UNREACHABLE, PEER_SILENT or
    PEER_FAILED. Its verdict is NOT_RUN if the request was certainly not sent, otherwise
    MAY_HAVE_RUN.
    """

    address: str
    _current_connection: CurrentConnection = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._current_connection = CurrentConnection(self.address)

    async def async_exchange(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        """Send a heartbeat and return the peer's heartbeat."""
        return await self._async_call(
            lambda stub: stub.Exchange, (heartbeat,), EXCHANGE_TIMEOUT_S
        )

    async def async_probe(
        self, request: pb.ProbeRequest, timeout_s: float
    ) -> pb.ProbeReply:
        """Check whether the peer responds, or let it check another process."""
        return await self._async_call(lambda stub: stub.Probe, (request,), timeout_s)

    async def async_fetch_configuration(
        self, request: pb.FetchConfigurationRequest
    ) -> pb.ConfigurationDocument:
        """Return the configuration in force at the peer."""
        return await self._async_call(
            lambda stub: stub.FetchConfiguration, (request,), CALL_TIMEOUT_S
        )

    async def async_push_configuration(
        self, document: pb.ConfigurationDocument
    ) -> pb.PushConfigurationReply:
        """Send a configuration to the peer."""
        return await self._async_call(
            lambda stub: stub.PushConfiguration, (document,), CALL_TIMEOUT_S
        )

    async def async_hand_over(self, chunks: Iterable[pb.KeyChunk]) -> pb.HandOverReply:
        """Send the records of this home's idempotency keys to the peer."""
        return await self._async_call(
            lambda stub: stub.HandOverKeys, chunks, HAND_OVER_TIMEOUT_S
        )

    async def async_report_demand(self, report: pb.DemandReport) -> pb.DemandReply:
        """Report callers' demand to a controller."""
        return await self._async_call(
            lambda stub: stub.ReportDemand, (report,), CALL_TIMEOUT_S
        )

    async def async_read_status(self) -> pb.StatusReply:
        """Return the peer's status."""
        return await self._async_call(
            lambda stub: stub.ReadStatus, (pb.StatusRequest(),), CALL_TIMEOUT_S
        )

    async def async_explain(self, request: pb.ExplainRequest) -> pb.ExplainReply:
        """Return the peer's explanation of its decisions."""
        return await self._async_call(
            lambda stub: stub.Explain, (request,), CALL_TIMEOUT_S
        )

    async def async_forward(
        self, request: pb.ForwardedRequest
    ) -> AsyncGenerator[pb.ForwardedFrame, None]:
        """Send a caller's request and yield the frames of the response, pings included.

        Ends after the peer's last frame. Raises PEER_SILENT if no frame is received for
        `SILENCE_S`.
        """
        call = _Call(self.address)
        async with self._current_connection.async_use() as connection:
            try:
                async with connection.stub.Forward.open() as stream:
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
                        connection.record_received()
                        yield frame
            except TimeoutError as error:
                self._current_connection.replace(connection)
                raise call.make_timeout_error() from error
            except CONNECTION_ERRORS as error:
                self._current_connection.replace(connection)
                raise call.make_connection_error(error) from error
            except GRPCError as error:
                raise call.make_peer_error(error) from error

    def close(self) -> None:
        """Close the connection once no call is open."""
        self._current_connection.close()

    def is_idle(self, since: float) -> bool:
        """Return whether no call is open and none was started after `since`."""
        return self._current_connection.is_idle(since)

    async def _async_call(
        self,
        choose_method: Callable[[PeersStub], ServiceMethod[RequestT, ReplyT]],
        messages: Iterable[RequestT],
        timeout_s: float,
    ) -> ReplyT:
        call = _Call(self.address)
        started_at = asyncio.get_running_loop().time()
        async with self._current_connection.async_use() as connection:
            try:
                async with asyncio.timeout(timeout_s):
                    return await _async_exchange_messages(
                        connection, choose_method, messages, call
                    )
            except TimeoutError as error:
                # A connection on which other calls received messages isn't silent.
                if connection.last_received_at <= started_at:
                    self._current_connection.replace(connection)
                raise call.make_timeout_error() from error
            except CONNECTION_ERRORS as error:
                self._current_connection.replace(connection)
                raise call.make_connection_error(error) from error
            except GRPCError as error:
                raise call.make_peer_error(error) from error


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
        """Close and remove clients that were not used for `IDLE_CLOSE_S`."""
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
    """State of a call, for the error if it fails."""

    address: str
    sent: bool = False

    @property
    def verdict(self) -> Verdict:
        """Return the verdict: NOT_RUN until the request may have been sent."""
        return Verdict.MAY_HAVE_RUN if self.sent else Verdict.NOT_RUN

    def make_timeout_error(self) -> MangowayError:
        """Return the error of a call without a reply before the timeout."""
        code = ErrorCode.PEER_SILENT if self.sent else ErrorCode.PEER_UNREACHABLE
        return MangowayError(code, f"no reply from {self.address}", self.verdict)

    def make_connection_error(self, error: Exception) -> MangowayError:
        """Return the error of a call whose connection failed."""
        detail = f"connection to {self.address}: {error}"
        return MangowayError(ErrorCode.PEER_UNREACHABLE, detail, self.verdict)

    def make_peer_error(self, error: GRPCError) -> MangowayError:
        """Return the error of a call to which the peer responded with an error."""
        detail = f"{self.address} responded {error.status.name}: {error.message}"
        return MangowayError(ErrorCode.PEER_FAILED, detail, self.verdict)


async def _async_exchange_messages(
    connection: PeerConnection,
    choose_method: Callable[[PeersStub], ServiceMethod[RequestT, ReplyT]],
    messages: Iterable[RequestT],
    call: _Call,
) -> ReplyT:
    async with choose_method(connection.stub).open() as stream:
        await _async_open(stream)
        call.sent = True
        for message in messages:
            await stream.send_message(message)
        await stream.end()
        reply = await stream.recv_message()
        connection.record_received()
        if reply is None:
            raise StreamTerminatedError("the peer ended the call without a reply")
        return reply


async def _async_open(stream: Stream[RequestT, ReplyT]) -> None:
    """Open a connection if there is none, and send the headers of a call."""
    try:
        await stream.send_request()
    except AttributeError as error:
        # grpclib may use a connection that the peer has just closed; it has no
        # transport any more, so nothing was sent.
        raise ConnectionResetError("closed by the peer before the call") from error
    except CONNECT_ERRORS as error:
        if isinstance(error, OSError):
            raise
        raise ConnectionError(f"cannot connect: {error!r}") from error
