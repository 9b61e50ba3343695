"""Connections to a peer that are replaced when they become silent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field
from grpclib.client import Channel

from ..util.address import split_address
from .peers_grpc import PeersStub


@define(eq=False)
class Link:
    """A connection with the number of its open calls.

    A retired link accepts no new calls and is closed when its last call ends, so that
    a call that still makes progress is not aborted because of a silent one.
    """

    channel: Channel
    stub: PeersStub
    open_calls: int = 0
    retired: bool = False
    last_received_at: float = 0.0
    last_used_at: float = 0.0

    def record_received(self) -> None:
        """Record that a message of the peer was received."""
        self.last_received_at = asyncio.get_running_loop().time()

    def retire(self) -> None:
        """Accept no new calls, and close once none is open."""
        self.retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.retired and self.open_calls == 0:
            self.channel.close()


@define(eq=False)
class CurrentLink:
    """The current link to one address."""

    address: str
    _link: Link | None = field(default=None, init=False)

    @asynccontextmanager
    async def async_use(self) -> AsyncIterator[Link]:
        """Use the current link for one call; open a new one if necessary."""
        link = self._get()
        link.open_calls += 1
        link.last_used_at = asyncio.get_running_loop().time()
        try:
            yield link
        finally:
            link.open_calls -= 1
            link._close_if_unused()

    def replace(self, link: Link) -> None:
        """Use a new connection for later calls, since this one is silent or broken."""
        link.retire()
        if self._link is link:
            self._link = None

    def close(self) -> None:
        """Retire the current link."""
        if self._link is not None:
            self.replace(self._link)

    def is_idle(self, since: float) -> bool:
        """Return whether no call is open and none was started after `since`."""
        link = self._link
        return link is None or (link.open_calls == 0 and link.last_used_at < since)

    def _get(self) -> Link:
        if self._link is None:
            channel = Channel(*split_address(self.address))
            self._link = Link(channel, PeersStub(channel))
        return self._link
