"""Tests of calls to peers: silence, refused connections and verdicts."""

import asyncio
import socket
from collections.abc import AsyncGenerator

import pytest

from mangoway.models.errors import ErrorCode, MangowayError
from mangoway.models.identifiers import IncarnationId, RequestId
from mangoway.models.verdict import Verdict
from mangoway.peers import client as client_module
from mangoway.peers import peers_pb2 as pb
from mangoway.peers import server as server_module
from mangoway.peers.client import PeerClient, PeerClients
from mangoway.peers.forwarding import Forwarder
from mangoway.peers.messages import (
    ForwardedFrame,
    ForwardedHead,
    ForwardedHeader,
    ForwardedRequest,
)
from mangoway.peers.server import PeerReceivers

from ..fakes.addresses import UNUSABLE_ADDRESSES
from .conftest import Relay

REQUEST = ForwardedRequest(
    request_id=RequestId("r-1"),
    home=IncarnationId("home.1"),
    method="POST",
    path="/v1/completions?x=1",
    headers=(ForwardedHeader("Idempotency-Key", "home.1:7"),),
    body=b"{}",
    timeout_s=5.0,
)


class HeartbeatStub:
    """Replies to heartbeats with an empty one."""

    def async_receive_heartbeat(self, heartbeat: pb.Heartbeat) -> pb.Heartbeat:
        return pb.Heartbeat(session=9)


class ScriptedReceiver:
    """Responds to forwarded requests as a test sets it up."""

    def __init__(self) -> None:
        self.received: list[ForwardedRequest] = []
        self.closed = asyncio.Event()
        self.error: MangowayError | None = None
        self.wait_s = 0.0
        self.hang = False

    async def async_receive(
        self, request: ForwardedRequest
    ) -> AsyncGenerator[ForwardedFrame, None]:
        self.received.append(request)
        try:
            yield ForwardedHead(status=200)
            await asyncio.sleep(self.wait_s)
            if self.error is not None:
                raise self.error
            yield b"part"
            if self.hang:
                await asyncio.Event().wait()
            yield b"end"
        finally:
            self.closed.set()


@pytest.fixture
def forwarded(receivers: PeerReceivers) -> ScriptedReceiver:
    receiver = ScriptedReceiver()
    receivers.forwards = receiver
    return receiver


def _find_closed_port() -> int:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        port: int = bound.getsockname()[1]
        return port


async def _async_collect(address: str) -> list[ForwardedFrame]:
    clients = PeerClients()
    try:
        stream = Forwarder(clients).async_forward(address, REQUEST)
        return [frame async for frame in stream]
    finally:
        clients.close()


class TestSilence:
    """Connections that became silent."""

    async def test_silent_connection_is_replaced(
        self, relay: Relay, receivers: PeerReceivers, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(client_module, "EXCHANGE_TIMEOUT_S", 0.2)
        receivers.heartbeats = HeartbeatStub()
        client = PeerClient(relay.address)
        await client.async_exchange(pb.Heartbeat(session=1))
        relay.silence()
        with pytest.raises(MangowayError) as raised:
            await client.async_exchange(pb.Heartbeat(session=1))
        assert raised.value.code is ErrorCode.PEER_SILENT
        assert raised.value.failure.verdict is Verdict.MAY_HAVE_RUN
        reply = await client.async_exchange(pb.Heartbeat(session=1))
        assert reply.session == 9
        assert relay.connections == 2
        client.close()

    async def test_silent_forward_may_have_run(
        self, relay: Relay, forwarded: ScriptedReceiver, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(client_module, "SILENCE_S", 0.3)
        forwarded.hang = True
        clients = PeerClients()
        stream = Forwarder(clients).async_forward(relay.address, REQUEST)
        frames = [await anext(stream), await anext(stream)]
        relay.silence()
        with pytest.raises(MangowayError) as raised:
            await anext(stream)
        assert frames == [ForwardedHead(status=200), b"part"]
        assert raised.value.code is ErrorCode.PEER_SILENT
        assert raised.value.failure.verdict is Verdict.MAY_HAVE_RUN
        clients.close()

    async def test_pings_keep_a_slow_response_alive(
        self, relay: Relay, forwarded: ScriptedReceiver, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(client_module, "SILENCE_S", 0.4)
        monkeypatch.setattr(server_module, "PING_PERIOD_S", 0.05)
        forwarded.wait_s = 1.0
        frames = await _async_collect(relay.address)
        assert frames == [ForwardedHead(status=200), b"part", b"end"]


class TestVerdict:
    """Verdicts of failed forwarded requests."""

    async def test_refused_connection_is_not_run(self) -> None:
        with pytest.raises(MangowayError) as raised:
            await _async_collect(f"127.0.0.1:{_find_closed_port()}")
        assert raised.value.code is ErrorCode.PEER_UNREACHABLE
        assert raised.value.failure.verdict is Verdict.NOT_RUN

    async def test_connection_closed_before_the_call_is_not_run(
        self, relay: Relay, receivers: PeerReceivers
    ) -> None:
        receivers.heartbeats = HeartbeatStub()
        client = PeerClient(relay.address)
        await client.async_exchange(pb.Heartbeat(session=1))
        async with client._current_connection.async_use() as connection:
            protocol = await connection.channel.__connect__()
        protocol.processor.connection.close()
        with pytest.raises(MangowayError) as raised:
            await client.async_exchange(pb.Heartbeat(session=1))
        assert raised.value.code is ErrorCode.PEER_UNREACHABLE
        assert raised.value.failure.verdict is Verdict.NOT_RUN
        assert (await client.async_exchange(pb.Heartbeat(session=1))).session == 9
        client.close()

    async def test_connection_lost_after_sending_may_have_run(
        self, relay: Relay, forwarded: ScriptedReceiver
    ) -> None:
        forwarded.hang = True
        clients = PeerClients()
        stream = Forwarder(clients).async_forward(relay.address, REQUEST)
        await anext(stream)
        await anext(stream)
        await relay.async_stop()
        with pytest.raises(MangowayError) as raised:
            await anext(stream)
        assert raised.value.failure.verdict is Verdict.MAY_HAVE_RUN
        clients.close()

    @pytest.mark.parametrize("verdict", list(Verdict))
    async def test_failure_of_the_peer_is_forwarded_unchanged(
        self, relay: Relay, forwarded: ScriptedReceiver, verdict: Verdict
    ) -> None:
        forwarded.error = MangowayError(ErrorCode.OVERLOADED, "full", verdict, 2.5)
        with pytest.raises(MangowayError) as raised:
            await _async_collect(relay.address)
        assert raised.value.failure == forwarded.error.failure

    async def test_peer_that_does_not_serve_the_call_may_have_run(
        self, relay: Relay
    ) -> None:
        with pytest.raises(MangowayError) as raised:
            await _async_collect(relay.address)
        assert raised.value.code is ErrorCode.PEER_FAILED
        assert raised.value.failure.verdict is Verdict.MAY_HAVE_RUN


class TestForward:
    """Forwarded requests and their responses."""

    async def test_request_is_received_unchanged(
        self, relay: Relay, forwarded: ScriptedReceiver
    ) -> None:
        await _async_collect(relay.address)
        assert forwarded.received == [REQUEST]

    async def test_disconnect_closes_the_response_at_the_peer(
        self, relay: Relay, forwarded: ScriptedReceiver
    ) -> None:
        forwarded.hang = True
        clients = PeerClients()
        stream = Forwarder(clients).async_forward(relay.address, REQUEST)
        await anext(stream)
        await anext(stream)
        await stream.aclose()
        async with asyncio.timeout(5):
            await forwarded.closed.wait()
        clients.close()


class TestUnusableAddress:
    """Addresses at which nothing can listen, for example from an odd host list."""

    async def test_call_has_not_run(self) -> None:
        """An error of another type ended the task that called the peer."""
        for address in UNUSABLE_ADDRESSES:
            client = PeerClient(address)
            with pytest.raises(MangowayError) as raised:
                await client.async_exchange(pb.Heartbeat(session=1))
            client.close()
            assert raised.value.code is ErrorCode.PEER_UNREACHABLE
            assert raised.value.failure.verdict is Verdict.NOT_RUN
            with pytest.raises(MangowayError) as raised:
                await _async_collect(address)
            assert raised.value.failure.verdict is Verdict.NOT_RUN
