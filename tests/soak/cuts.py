"""Cuts between processes of the system and all runners.

All processes reach a runner through the same relay, so that a connection is told apart
by the process that opened it.
"""

import asyncio
import os
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from enum import Enum
from typing import Final

from attrs import define, field

from ..stand_ins.relay import Relay

NETLINK_SOCK_DIAG: Final = 4
SOCK_DIAG_BY_FAMILY: Final = 20
"""Type of the request for one socket by its addresses, and of its response."""

NLM_F_REQUEST: Final = 1
ALL_STATES: Final = 0xFFFFFFFF
NO_COOKIE: Final = b"\xff" * 8
HEADER_FORMAT: Final = "=IHHII"
HEADER_BYTES: Final = struct.calcsize(HEADER_FORMAT)
INODE_OFFSET: Final = HEADER_BYTES + 68
"""Position of the inode in the response, see `inet_diag_msg` in linux/inet_diag.h."""

ADDRESS_PADDING: Final = bytes(12)
"""What fills an IPv4 address up to the size of an IPv6 address."""

RESPONSE_BYTES: Final = 4096


class OpenConnections(Enum):
    """What happens to connections that are open when a cut begins."""

    RESET = "reset"
    SILENT = "silent"
    """They carry no data any more, and are not closed."""

    LIVE = "live"
    """They go on, while new ones are refused."""


@define(eq=False)
class RunnerCuts:
    """Processes that are cut off from all runners; new connections are reset."""

    cut_pids: set[int] = field(factory=set, init=False)

    def refuses(self, client: asyncio.StreamWriter) -> bool:
        """Return whether a relay refuses a new connection."""
        return bool(self.cut_pids) and self._is_cut(client)

    def begin(
        self, pids: set[int], relays: list[Relay], open_connections: OpenConnections
    ) -> None:
        """Cut processes off from the runners behind some relays."""
        self.cut_pids = pids
        if open_connections is OpenConnections.LIVE:
            return
        for relay in relays:
            for client in relay.list_open():
                if not self._is_cut(client):
                    continue
                if open_connections is OpenConnections.RESET:
                    client.transport.abort()
                else:
                    relay.mute_connection(client)

    def end(self) -> None:
        """Let all processes reach the runners again."""
        self.cut_pids = set()

    def _is_cut(self, client: asyncio.StreamWriter) -> bool:
        return find_process(client, self.cut_pids) is not None


def find_process(client: asyncio.StreamWriter, pids: Iterable[int]) -> int | None:
    """Return which process opened a connection; None if it is none of these."""
    inode = _find_inode(
        client.get_extra_info("peername"), client.get_extra_info("sockname")
    )
    if inode is None:
        return None
    return next((pid for pid in pids if _has_socket(pid, inode)), None)


def _find_inode(local: tuple[str, int], remote: tuple[str, int]) -> int | None:
    """Return the inode of the socket with these addresses; None if there is none."""
    ports = struct.pack("!HH", local[1], remote[1])
    addresses = b"".join(
        socket.inet_aton(host) + ADDRESS_PADDING for host in (local[0], remote[0])
    )
    socket_id = ports + addresses + struct.pack("=I", 0) + NO_COOKIE
    body = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES)
    body += socket_id
    header = struct.pack(
        HEADER_FORMAT,
        HEADER_BYTES + len(body),
        SOCK_DIAG_BY_FAMILY,
        NLM_F_REQUEST,
        0,
        0,
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as netlink:
        netlink.send(header + body)
        response = netlink.recv(RESPONSE_BYTES)
    _, kind, *_ = struct.unpack_from(HEADER_FORMAT, response)
    if kind != SOCK_DIAG_BY_FAMILY:
        return None
    return int(struct.unpack_from("=I", response, INODE_OFFSET)[0])


def _has_socket(pid: int, inode: int) -> bool:
    """Return whether a process has a socket open."""
    name = f"socket:[{inode}]"
    # The process may end meanwhile.
    with suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with suppress(OSError):
                if os.readlink(entry.path) == name:
                    return True
    return False
