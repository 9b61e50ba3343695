"""TCP relay that closes or mutes open connections while new ones work."""

import argparse
import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from aiohttp import web
from attrs import define

from .serving import StandIn, run_stand_in

CHUNK_BYTES = 65536
NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a closed socket sends a reset."""


@define
class RelaySwitches:
    """Failures of the network between two ends."""

    refuse_new: bool = False
    """Whether new connections are closed at once."""

    delay_s: float = 0.0
    """Delay of each chunk of data, in both directions."""

    drop_to_target: bool = False
    """Whether data to the target is dropped: a failure of one direction."""

    drop_from_target: bool = False
    """Whether data from the target is dropped."""


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset, also if nothing is left to be read or sent."""
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


class Relay(StandIn):
    """Forwards connections to one target; `address` is for control."""

    switches: RelaySwitches

    def __init__(self, target: str) -> None:
        super().__init__(RelaySwitches())
        self.target = target
        self.relay_address = ""
        self.resets = False
        """Whether cut connections end with a reset, as a network breaks them, and those
        that one end reset do so at the other. If not, they may end like complete
        ones."""

        self.refuses: Callable[[asyncio.StreamWriter], bool] = lambda client: False
        """Returns whether to close a new connection at once, given its client's end."""

        self._clients: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        """The target's end of each connection by the client's end."""

        self._clients_by_port: dict[int, asyncio.StreamWriter] = {}
        """The client's end of each connection by the port from which it is relayed."""

        self._accepted = 0
        self._open: set[asyncio.StreamWriter] = set()
        self._muted: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.app.router.add_post("/admin/cut", self._async_cut)
        self.app.router.add_post("/admin/mute", self._async_mute)

    def addresses(self) -> dict[str, str]:
        """Return the relayed address, and the address for control."""
        return {"address": self.relay_address, "admin": self.address}

    def truth(self) -> dict[str, Any]:
        """Return the number of accepted connections, and of open and muted ends.

        A connection that is relayed has two ends: the client's and the target's.
        """
        return {
            "accepted": self._accepted,
            "open": len(self._open),
            "muted": len(self._muted),
        }

    async def async_start(self, listen: str = "127.0.0.1:0") -> str:
        """Listen for connections to relay, and at another port for control.

        Returns:
            The address for control.
        """
        host, _, port = listen.rpartition(":")
        self._server = await asyncio.start_server(self._async_accept, host, int(port))
        self.relay_address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        return await super().async_start()

    async def async_stop(self) -> None:
        """Close every connection and stop."""
        if self._server is not None:
            self._server.close()
        self.cut()
        await super().async_stop()

    def cut(self) -> None:
        """Close every open connection at both ends."""
        for writer in tuple(self._open):
            if self.resets:
                reset(writer.transport)
            else:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening, and close every open connection once its data is sent."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._open):
            writer.close()

    def heal(self) -> None:
        """End all failures, and close all connections if some may have lost data.

        A TCP connection doesn't continue behind a gap.
        """
        has_lost_data = self.switches.drop_to_target or self.switches.drop_from_target
        self.switches = RelaySwitches()
        if has_lost_data:
            self.cut()

    def mute(self) -> None:
        """Drop all further data on every open connection, without closing it."""
        self._muted.update(self._open)

    def list_open(self) -> list[asyncio.StreamWriter]:
        """Return the clients' ends of the open connections."""
        return list(self._clients)

    def find_client(self, port: int) -> asyncio.StreamWriter | None:
        """Return the client's end of the connection that is relayed from a port."""
        return self._clients_by_port.get(port)

    def mute_connection(self, client: asyncio.StreamWriter) -> None:
        """Drop all further data on one connection, without closing it."""
        self._muted.update((client, self._clients[client]))

    async def _async_cut(self, request: web.Request) -> web.Response:
        self.cut()
        return web.json_response({})

    async def _async_mute(self, request: web.Request) -> web.Response:
        self.mute()
        return web.json_response({})

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # asyncio reports a handler that is cancelled as an error.
        with suppress(asyncio.CancelledError):
            await self._async_relay(reader, writer)

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        host, _, port = self.target.rpartition(":")
        if self.switches.refuse_new or self.refuses(writer):
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._open.update((writer, target_writer))
        self._clients[writer] = target_writer
        target_port = target_writer.get_extra_info("sockname")[1]
        self._clients_by_port[target_port] = writer
        await asyncio.gather(
            self._async_copy(reader, target_writer, to_target=True),
            self._async_copy(target_reader, writer, to_target=False),
        )
        self._open -= {writer, target_writer}
        del self._clients[writer]
        del self._clients_by_port[target_port]
        self._muted -= {writer, target_writer}

    def _drops(self, to_target: bool) -> bool:
        switches = self.switches
        return switches.drop_to_target if to_target else switches.drop_from_target

    async def _async_copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_target: bool,
    ) -> None:
        """Copy the data of one direction until either end closes."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.switches.delay_s)
                if writer in self._muted or self._drops(to_target):
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            if self.resets:
                reset(writer.transport)
        if writer not in self._muted:
            writer.close()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--target", required=True)
    run_stand_in(lambda options: Relay(options.target), parser)
