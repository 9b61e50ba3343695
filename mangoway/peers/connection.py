"""Connections to a peer that are replaced when they become silent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field
from grpclib.client import Channel

from ..models.errors import ErrorCode, MangowayError
from ..models.verdict import Verdict
from ..util.address import split_address
from .peers_grpc import PeersStub


@define(eq=False)
class PeerConnection:
    """One connection to a peer, with the number of its open calls.

    A retired connection accepts no new calls and is closed when its last call ends,
    so that a silent call does not abort another one that still makes progress.
    """

    channel: Channel
    stub: PeersStub
    open_calls: int = 0
    retired: bool = False
    last_received_at: float = 0.0
    last_used_at: float = 0.0

    def record_received(self) -> None:
        """Record that a message from the peer was received."""
        self.last_received_at = asyncio.get_running_loop().time()

    def retire(self) -> None:
        """Accept no new calls, and close once none is open."""
        self.retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.retired and self.open_calls == 0:
            self.channel.close()


@define(eq=False)
class CurrentConnection:
    """The current connection to one address."""

    address: str
    _connection: PeerConnection | None = field(default=None, init=False)

    @asynccontextmanager
    async def async_use(self) -> AsyncIterator[PeerConnection]:
        """Use the current connection for one call; open a new one if necessary.

        Raises:
            MangowayError: If the address has no port; nothing was sent.
        """
        connection = self._get()
        connection.open_calls += 1
        connection.last_used_at = asyncio.get_running_loop().time()
        try:
            yield connection
        finally:
            connection.open_calls -= 1
            connection._close_if_unused()

    def replace(self, connection: PeerConnection) -> None:
        """Retire a silent or broken connection; later calls open a new one."""
        connection.retire()
        if self._connection is connection:
            self._connection = None

    def close(self) -> None:
        """Retire the current connection."""
        if self._connection is not None:
            self.replace(self._connection)

    def is_idle(self, since: float) -> bool:
        """Return whether no call is open and none was started after `since`."""
        connection = self._connection
        return connection is None or (
            connection.open_calls == 0 and connection.last_used_at < since
        )

    def _split_address(self) -> tuple[str, int]:
        try:
            return split_address(self.address)
        except ValueError as error:
            raise MangowayError(
                ErrorCode.PEER_UNREACHABLE,
                f"{self.address!r} is not an address: {error}",
                Verdict.NOT_RUN,
            ) from error

    def _get(self) -> PeerConnection:
        if self._connection is None:
            channel = Channel(*self._split_address())
            self._connection = PeerConnection(channel, PeersStub(channel))
        return self._connection
