"""Tests of probes of an address."""

import pytest

from mangoway.edge import address_probe
from mangoway.edge.address_probe import ProbeResult, async_probe
from mangoway.http1.client import ConnectFailedError, Connection, async_connect

from ..upstreams.raw_server import RawServer, answer
from .unreachable import open_hanging_address, reserve_refusing_address


class TestProbe:
    """What new connections show."""

    async def test_listening(self) -> None:
        async with RawServer(answer()) as server:
            assert await async_probe(server.address) is ProbeResult.LISTENING

    async def test_refused(self) -> None:
        with reserve_refusing_address() as address:
            assert await async_probe(address) is ProbeResult.REFUSED

    async def test_unreachable(self) -> None:
        async with open_hanging_address() as address:
            assert await async_probe(address) is ProbeResult.UNREACHABLE

    async def test_one_lost_packet_proves_nothing(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A runner whose first packet was lost would count as lost itself."""
        attempts = 0

        async def lose_first(address: str, now: float, timeout_s: float) -> Connection:
            nonlocal attempts
            attempts += 1
            if attempts == 1:
                raise ConnectFailedError("lost", timed_out=True)
            return await async_connect(address, now, timeout_s)

        monkeypatch.setattr(address_probe, "async_connect", lose_first)
        async with RawServer(answer()) as server:
            assert await async_probe(server.address) is ProbeResult.LISTENING
