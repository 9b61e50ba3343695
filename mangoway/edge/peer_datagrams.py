"""Datagrams between edges."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..util.address import parse_address, split_address

MAX_UNSENT_BYTES: Final = 262_144
"""Unsent bytes above which datagrams are dropped; any datagram may be lost."""


@define(eq=False)
class PeerDatagrams(asyncio.DatagramProtocol):
    """A socket for datagrams to and from other edges."""

    handle: Callable[[bytes, str], None]
    """Called with each datagram and the address of its sender."""

    _transport: Any = field(default=None, init=False)
    """The socket's transport; None unless it is open."""

    async def async_listen(self, address: str) -> None:
        """Listen on an address.

        Raises:
            OSError: If the address can't be used.
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )

    def connection_made(self, transport: Any) -> None:
        """Store the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Pass a datagram on."""
        host = f"[{addr[0]}]" if ":" in addr[0] else addr[0]
        self.handle(data, f"{host}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen; its answer will be missed."""

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram unless the socket is closed or full or the address unusable.

        The event loop would close the socket at an address that it can't encode, and
        look up a name without other tasks running.
        """
        try:
            target = split_address(parse_address(address))
        except ValueError:
            return
        transport = self._transport
        if transport is None:
            return
        if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            transport.sendto(data, target)

    def close(self) -> None:
        """Close the socket."""
        transport, self._transport = self._transport, None
        if transport is not None:
            transport.close()
