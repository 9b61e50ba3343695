"""Crowds at the listener of a scheduler for edges and other schedulers."""

import struct
import zlib
from pathlib import Path

from .crowd import gather_crowd, watch
from .host import FREE_DESCRIPTORS, MAX_DESCRIPTORS, Host, start_host

OPENERS = 400
SENDERS = 16
FRAME_BYTES = 16 << 20
"""Largest frame between the processes."""

EXPANDED_BYTES = 200 << 20


def make_expanding_frame() -> bytes:
    """Return a frame of some hundred kilobytes that expands to a long list."""
    packed = zlib.compress(b"[" + b" " * EXPANDED_BYTES + b"]", 9)
    return struct.pack(">I", len(packed) + 1) + b"\x01" + packed


class TestLinks:
    """Clients that are no edges."""

    async def async_play(self, host: Host, connections: int, data: bytes) -> int:
        """Let a crowd send the same bytes; return the most descriptors in use."""
        node = host.scheduler
        assert node.process is not None
        async with watch(node.process) as watched:
            async with gather_crowd(node.peer_address, connections) as crowd:
                await crowd.async_send(data)
                await host.async_check_process(watched)
            await host.async_check_process(watched)
        return watched.descriptors

    async def test_frame_that_expands(self, tmp_path: Path) -> None:
        """A frame of 200 KB took 200 MB before its sender had said who it is."""
        async with start_host(tmp_path) as host:
            await self.async_play(host, 2, make_expanding_frame())

    async def test_unfinished_frames(self, tmp_path: Path) -> None:
        """Frames that never ended were kept, whoever sent them."""
        async with start_host(tmp_path) as host:
            data = struct.pack(">I", FRAME_BYTES) + bytes(FRAME_BYTES - 1)
            await self.async_play(host, SENDERS, data)

    async def test_silent_connections(self, tmp_path: Path) -> None:
        """Connections that never said who they are took all descriptors."""
        async with start_host(tmp_path, MAX_DESCRIPTORS) as host:
            descriptors = await self.async_play(host, OPENERS, b"")
            assert descriptors <= MAX_DESCRIPTORS - FREE_DESCRIPTORS
