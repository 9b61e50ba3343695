"""Crowds at the listeners of gateways and controllers for other processes."""

import asyncio
import struct
from contextlib import suppress
from pathlib import Path

import pytest
from h2.config import H2Configuration
from h2.connection import H2Connection

from ..stand_ins.fleet import Fleet
from ..stand_ins.launcher import Process
from .crowd import gather_crowd, watch
from .host import FREE_DESCRIPTORS, MAX_DESCRIPTORS, MAX_MEMORY_MB
from .test_gateway import async_is_served, start_fleet

SENDERS = 16
SENT_BYTES = 24 << 20
SENDING_S = 4.0
OPENERS = 400
MESSAGE_BYTES = 48 << 20
"""Bytes of a message that each sender has sent when it stops."""

PROGRAMS = ["gateway", "controller"]
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x00\x04\x00" + bytes(4)
PING = b"\x00\x00\x08\x06\x00" + bytes(12)
HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":path", "/mangoway.peers.Peers/Exchange"),
    (":authority", "h"),
    ("te", "trailers"),
    ("content-type", "application/grpc+proto"),
]


def find_process(fleet: Fleet, program: str) -> Process:
    """Return the only gateway or controller."""
    [process] = fleet.gateways if program == "gateway" else fleet.controllers
    return process


class EndlessMessage:
    """A call whose message is announced as 4 GiB."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def async_send(self, max_bytes: int) -> None:
        """Send parts of the message for as long as the other end allows."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        http = H2Connection(H2Configuration(client_side=True))
        http.initiate_connection()
        http.send_headers(1, HEADERS)
        http.send_data(1, struct.pack(">BI", 0, (1 << 32) - 1))
        sent = 0
        try:
            while sent < max_bytes:
                size = min(
                    http.local_flow_control_window(1), http.max_outbound_frame_size
                )
                if size:
                    http.send_data(1, bytes(size))
                    sent += size
                writer.write(http.data_to_send())
                await writer.drain()
                if not size:
                    data = await reader.read(65_536)
                    if not data:
                        return
                    http.receive_data(data)
        finally:
            writer.close()


@pytest.mark.parametrize("program", PROGRAMS)
class TestPeers:
    """Clients that are no processes of the system."""

    async def test_pings_without_end(self, tmp_path: Path, program: str) -> None:
        """Their responses were kept, without a bound, while they were not read."""
        async with start_fleet(tmp_path) as (fleet, gateway):
            process = find_process(fleet, program)
            async with watch(process) as watched:
                async with gather_crowd(process.peer_address, SENDERS) as crowd:
                    await crowd.async_send(PREFACE)
                    await crowd.async_send_ahead(PING, SENT_BYTES, SENDING_S, False)
                    assert await async_is_served(gateway)
                assert process.is_running
                assert watched.peak_mb < MAX_MEMORY_MB

    async def test_message_without_end(self, tmp_path: Path, program: str) -> None:
        """A message was kept until it was complete, whatever its length."""
        async with start_fleet(tmp_path) as (fleet, gateway):
            process = find_process(fleet, program)
            async with watch(process) as watched:
                calls = [
                    EndlessMessage(process.peer_address).async_send(MESSAGE_BYTES)
                    for _ in range(4)
                ]
                with suppress(TimeoutError):
                    async with asyncio.timeout(3 * SENDING_S):
                        await asyncio.gather(*calls, return_exceptions=True)
                assert await async_is_served(gateway)
                assert process.is_running
                assert watched.peak_mb < MAX_MEMORY_MB

    async def test_silent_connections(self, tmp_path: Path, program: str) -> None:
        """They took all descriptors of the process."""
        async with start_fleet(tmp_path, MAX_DESCRIPTORS) as (fleet, gateway):
            process = find_process(fleet, program)
            async with watch(process) as watched:
                async with gather_crowd(process.peer_address, OPENERS):
                    assert await async_is_served(gateway)
                assert process.is_running
                assert watched.descriptors <= MAX_DESCRIPTORS - FREE_DESCRIPTORS
