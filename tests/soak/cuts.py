"""Cuts between processes of the system and all runners.

All processes reach a runner through the same relay, so that a connection is told apart
by the process that opened it.
"""

import asyncio
import os
from contextlib import suppress
from enum import Enum
from pathlib import Path
from typing import Final

from attrs import define, field

from ..stand_ins.relay import Relay

HEADER_LINES: Final = 1
LOCAL_ADDRESS_FIELD: Final = 1
INODE_FIELD: Final = 9


class OpenConnections(Enum):
    """What happens to connections that are open when a cut begins."""

    RESET = "reset"
    SILENT = "silent"
    """They carry no data any more, and are not closed."""

    LIVE = "live"
    """They go on, while new ones are refused."""


@define(eq=False)
class RunnerCuts:
    """Processes that are cut off from all runners; new connections are refused."""

    cut_pids: set[int] = field(factory=set, init=False)

    def refuses(self, port: int) -> bool:
        """Return whether a connection is refused.

        Args:
            port: Port at the end of the process that opens it.
        """
        return bool(self.cut_pids) and self._is_cut(port)

    def begin(
        self, pids: set[int], relays: list[Relay], open_connections: OpenConnections
    ) -> None:
        """Cut processes off from the runners behind some relays."""
        self.cut_pids = pids
        if open_connections is OpenConnections.LIVE:
            return
        for relay in relays:
            for writer in relay.list_open():
                if self._is_cut(writer.get_extra_info("peername")[1]):
                    _break(relay, writer, open_connections)

    def end(self) -> None:
        """Let all processes reach the runners again."""
        self.cut_pids = set()

    def _is_cut(self, port: int) -> bool:
        inode = _find_inode(port)
        return inode is not None and any(
            inode in _list_inodes(pid) for pid in self.cut_pids
        )


def _break(
    relay: Relay, writer: asyncio.StreamWriter, open_connections: OpenConnections
) -> None:
    if open_connections is OpenConnections.RESET:
        writer.transport.abort()
    else:
        relay.mute_connection(writer)


def _find_inode(port: int) -> str | None:
    """Return the inode of the local socket with a port; None if there is none."""
    suffix = f":{port:04X}"
    for line in Path("/proc/net/tcp").read_text().splitlines()[HEADER_LINES:]:
        fields = line.split()
        if fields[LOCAL_ADDRESS_FIELD].endswith(suffix) and fields[INODE_FIELD] != "0":
            return fields[INODE_FIELD]
    return None


def _list_inodes(pid: int) -> set[str]:
    """Return the inodes of the open sockets of a process."""
    inodes = set()
    # The process may end meanwhile.
    with suppress(OSError):
        for entry in os.scandir(f"/proc/{pid}/fd"):
            with suppress(OSError):
                target = os.readlink(entry.path)
                inodes.add(target.removeprefix("socket:[").removesuffix("]"))
    return inodes
