"""Tests of probes over connections: refused, silent and answered ones are told apart.

A refused connection proves that a process is gone; a silent one may only have lost its
state in between, so that the next probe has to use another.
"""

import asyncio
import socket

import pytest

from mangoway.peers import peers_pb2 as pb
from mangoway.peers.client import PeerClients
from mangoway.peers.probes import Prober
from mangoway.peers.server import PeerReceivers

from .conftest import LOOPBACK, Relay


class ProbeStub:
    """Responds to probes with a fixed outcome, after a delay."""

    def __init__(self, outcome: pb.ProbeOutcome.ValueType, delay_s: float = 0) -> None:
        self.outcome = outcome
        self.delay_s = delay_s
        self.targets: list[str] = []

    async def async_handle_probe(self, request: pb.ProbeRequest) -> pb.ProbeReply:
        self.targets.append(request.target_address)
        await asyncio.sleep(self.delay_s)
        return pb.ProbeReply(outcome=self.outcome)


def find_closed_address() -> str:
    with socket.socket() as bound:
        bound.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{bound.getsockname()[1]}"


@pytest.fixture
def prober() -> Prober:
    return Prober(PeerClients())


class TestDirectProbes:
    """Probes of a process by this one."""

    async def test_answered(
        self, relay: Relay, receivers: PeerReceivers, prober: Prober
    ) -> None:
        receivers.probes = ProbeStub(pb.PROBE_OUTCOME_ANSWERED)
        assert await prober.async_probe(relay.address) == pb.PROBE_OUTCOME_ANSWERED
        prober.clients.close()

    async def test_refused(self, prober: Prober) -> None:
        outcome = await prober.async_probe(find_closed_address())
        assert outcome == pb.PROBE_OUTCOME_REFUSED
        prober.clients.close()

    async def test_process_that_stops_refuses_after_its_connection_closed(
        self, relay: Relay, receivers: PeerReceivers, prober: Prober
    ) -> None:
        receivers.probes = ProbeStub(pb.PROBE_OUTCOME_ANSWERED)
        address = relay.address
        await prober.async_probe(address)
        await relay.async_stop()
        outcomes = [await prober.async_probe(address) for _ in range(2)]
        assert outcomes[-1] == pb.PROBE_OUTCOME_REFUSED
        prober.clients.close()

    async def test_silent_connection_is_replaced(
        self, relay: Relay, receivers: PeerReceivers, prober: Prober
    ) -> None:
        receivers.probes = ProbeStub(pb.PROBE_OUTCOME_ANSWERED)
        await prober.async_probe(relay.address)
        relay.silence()
        outcomes = [await prober.async_probe(relay.address) for _ in range(2)]
        assert outcomes == [pb.PROBE_OUTCOME_SILENT, pb.PROBE_OUTCOME_ANSWERED]
        prober.clients.close()

    async def test_process_without_probes_answers(
        self, relay: Relay, prober: Prober
    ) -> None:
        """One of the previous release responds that it doesn't know the call."""
        assert await prober.async_probe(relay.address) == pb.PROBE_OUTCOME_ANSWERED
        prober.clients.close()


class TestProbesThroughPeers:
    """Probes that a peer sends for this process."""

    async def test_outcome_of_the_peer(
        self, relay: Relay, receivers: PeerReceivers, prober: Prober
    ) -> None:
        receivers.probes = stub = ProbeStub(pb.PROBE_OUTCOME_REFUSED)
        outcome = await prober.async_probe_through(relay.address, "target:1")
        assert (outcome, stub.targets) == (pb.PROBE_OUTCOME_REFUSED, ["target:1"])
        prober.clients.close()

    async def test_peer_that_fails_says_nothing_about_the_target(
        self, prober: Prober
    ) -> None:
        outcome = await prober.async_probe_through(find_closed_address(), "target:1")
        assert outcome is None
        prober.clients.close()

    async def test_peer_without_probes_responds_but_does_not_know(
        self, relay: Relay, prober: Prober
    ) -> None:
        outcome = await prober.async_probe_through(relay.address, "target:1")
        assert outcome == pb.PROBE_OUTCOME_SILENT
        prober.clients.close()
