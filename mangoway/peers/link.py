"""One connection to a peer, replaced when it goes silent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define, field
from grpclib.client import Channel

from ..util.address import split_address
from .peers_grpc import PeersStub


@define(eq=False)
class Link:
    """A connection with its open calls.

    A retired link takes no new calls and is closed when its last call ends, so
    that a call which still makes progress is not cut off with a silent one.
    """

    channel: Channel
    stub: PeersStub
    calls: int = 0
    retired: bool = False
    heard_at: float = 0.0
    used_at: float = 0.0

    def note_heard(self) -> None:
        """Note that the peer sent something."""
        self.heard_at = asyncio.get_running_loop().time()

    def retire(self) -> None:
        """Take no new calls; close as soon as none is open."""
        self.retired = True
        self._close_if_unused()

    def _close_if_unused(self) -> None:
        if self.retired and self.calls == 0:
            self.channel.close()


@define(eq=False)
class LinkHolder:
    """The current link to one address."""

    address: str
    _link: Link | None = field(default=None, init=False)

    @asynccontextmanager
    async def async_use(self) -> AsyncIterator[Link]:
        """Use the current link for one call, opening a new one if need be."""
        link = self._get()
        link.calls += 1
        link.used_at = asyncio.get_running_loop().time()
        try:
            yield link
        finally:
            link.calls -= 1
            link._close_if_unused()

    def replace(self, link: Link) -> None:
        """Let later calls open a new connection; this one went silent or broke."""
        link.retire()
        if self._link is link:
            self._link = None

    def close(self) -> None:
        """Retire the current link."""
        if self._link is not None:
            self.replace(self._link)

    def is_idle(self, since: float) -> bool:
        """Tell whether no call is open and none was begun after `since`."""
        link = self._link
        return link is None or (link.calls == 0 and link.used_at < since)

    def _get(self) -> Link:
        if self._link is None:
            channel = Channel(*split_address(self.address))
            self._link = Link(channel, PeersStub(channel))
        return self._link
