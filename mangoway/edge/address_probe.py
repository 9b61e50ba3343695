"""Probe of an address by a new connection."""

import asyncio
from enum import Enum
from typing import Final

from ..http1.client import ConnectFailedError, async_connect

PROBE_TIMEOUT_S: Final = 0.2
"""Timeout of one connection. A reachable host accepts or refuses it in about 3 ms."""

PROBE_CONNECTIONS: Final = 2
"""Connections in a row that must time out before a host counts as unreachable. One lost
packet, or a pause of this process, lets a single connection time out."""


class ProbeResult(Enum):
    """What a new connection shows about an address."""

    LISTENING = "listening"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


async def async_probe(address: str) -> ProbeResult:
    """Return what new connections show about an address; they are closed at once."""
    clock = asyncio.get_running_loop().time
    for _ in range(PROBE_CONNECTIONS):
        try:
            connection = await async_connect(address, clock(), PROBE_TIMEOUT_S)
        except ConnectFailedError as error:
            if error.timed_out:
                continue
            # Any other failure is the answer of a host, for example a reset.
            return ProbeResult.REFUSED if error.refused else ProbeResult.LISTENING
        connection.close()
        return ProbeResult.LISTENING
    return ProbeResult.UNREACHABLE
