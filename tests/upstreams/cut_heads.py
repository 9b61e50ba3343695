"""Responses whose server stops within their head and closes the connection."""

import asyncio
import socket
import struct

import pytest

from .raw_server import Script

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
FIELDS = b"X-Request-Id: q1\r\nX-Response-Signature: s1\r\nX-Other: abc\r\n"
LENGTH = b"Content-Length: 0\r\n"
HEADS = {
    "length_first": STATUS_LINE + LENGTH + FIELDS,
    "length_last": STATUS_LINE + FIELDS + LENGTH,
    "no_length": STATUS_LINE + FIELDS,
    "chunked": STATUS_LINE + b"Transfer-Encoding: chunked\r\n" + FIELDS,
}
"""Heads without their last, empty line. Where they state a length, it is that of the
empty body that a cut would leave."""


def list_cuts(head: bytes) -> list[bytes]:
    """Return the beginnings of a head: within and after each line."""
    lines = head.splitlines(keepends=True)
    starts = [b"".join(lines[:number]) for number in range(len(lines) + 1)]
    within = [start + line[:-4] for start, line in zip(starts, lines, strict=False)]
    half_end = [start + line[:-1] for start, line in zip(starts, lines, strict=False)]
    return [*starts, *within, *half_end, head + b"\r"]


PARTS = sorted({part for head in HEADS.values() for part in list_cuts(head)})
CUTS = [
    pytest.param(part, reset, id=f"{number}-{'rst' if reset else 'fin'}")
    for number, part in enumerate(PARTS)
    for reset in (False, True)
]


def cut_head(part: bytes, *, reset: bool) -> Script:
    """Return a script that writes the begin of a head and ends the connection."""

    async def run(_: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(part)
        await writer.drain()
        # What was written arrives before the end, also before a reset.
        await asyncio.sleep(0.005)
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        else:
            writer.close()

    return run
