"""The edge's end: asks the scheduler, and chooses alone when that is silent."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import define, field

from ..coordination.view import FleetView
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.scheduling.events import (
    Asked,
    Ended,
    EndKind,
    FirstEventSeen,
    Grant,
    Refuse,
)
from ..util.address import split_address
from .codec import Heartbeat, Hello, Message
from .link import Link
from .local import LocalPlacer
from .placing import Answer, OpenAsks

CONNECT_TIMEOUT_S: Final = 0.3
"""Time for a connection to the scheduler, which takes some 3 ms."""

RECONNECT_S: Final = 0.1
"""Pause between two tries to connect."""

SILENCE_S: Final = 0.5
"""Silence from which the scheduler counts as gone while something is asked of it. It
sends a heartbeat each 0.15 s; callers want the first event within 0.4 s, so that what
waits can still be on time only if the scheduler falls silent before."""

CHECK_S: Final = 0.1
"""Time between two looks at how long the scheduler has been silent."""


@define(eq=False)
class SchedulerClient:
    """A placer that uses the scheduler while it answers, and a local one otherwise."""

    host: str
    incarnation: str
    view: FleetView
    local: LocalPlacer
    clock: Callable[[], float]
    _link: Link | None = field(default=None, init=False)
    _address: str = field(default="", init=False)
    _leading: bool = field(default=False, init=False)
    _asks: OpenAsks = field(factory=OpenAsks, init=False)
    _placed_by: "dict[str, Link | None]" = field(factory=dict, init=False)
    """Who placed each request: a link, or None for the local placer."""

    async def async_run(self) -> None:
        """Keep a connection to the scheduler until cancelled."""
        while True:
            await self._async_follow()
            await asyncio.sleep(CHECK_S if self._link else RECONNECT_S)

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close("this process stops")

    def ask(self, asked: Asked) -> "asyncio.Future[Answer]":
        """Ask for a place."""
        link = self._link
        if link is None or not link.is_open or not self._leading:
            self._placed_by[asked.request_id] = None
            return self.local.ask(asked)
        self._placed_by[asked.request_id] = link
        link.send(asked)
        return self._asks.add(asked)

    def note_first_event(self, request_id: str) -> None:
        """Say that the first event of a granted request came."""
        link = self._placed_by.get(request_id)
        if link is not None:
            link.send(FirstEventSeen(edge=self.incarnation, request_id=request_id))
        else:
            self.local.note_first_event(request_id)

    def end(self, request_id: str, kind: EndKind) -> None:
        """Say that a request is over."""
        link = self._placed_by.pop(request_id, None)
        if link is None:
            self.local.end(request_id, kind)
            return
        self._asks.drop(request_id)
        link.send(Ended(edge=self.incarnation, request_id=request_id, kind=kind))

    async def _async_follow(self) -> None:
        leader = self.view.leader
        address = "" if leader is None else leader.member.peer_address
        if self._link is not None:
            if address and address != self._address:
                self._link.close("another scheduler leads")
            elif self.clock() - self._link.heard_at > SILENCE_S:
                self._link.close("it is silent")
        if self._link is None and address:
            await self._async_connect(address)

    async def _async_connect(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        link = Link(self.incarnation, self._take, self._lose)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: link, host, port)
        except (OSError, TimeoutError):
            # Tried again soon; that no scheduler answers was logged when it was lost.
            return
        self._link, self._address, self._leading = link, address, False
        link.send(Hello(edge=self.incarnation, host=self.host))
        log_event(log.LinkOpened(peer=address))

    def _take(self, link: Link, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._leading = message.leading
        elif isinstance(message, Grant | Refuse) and not self._asks.resolve(message):
            # The request was withdrawn meanwhile; its end is on the way.
            return

    def _lose(self, link: Link, reason: str) -> None:
        if link is not self._link:
            return
        self._link, self._leading = None, False
        log_event(log.LinkLost(peer=self._address, reason=reason))
        moved = self._asks.take_all()
        if moved:
            log_event(log.LocalChoiceBegan(reason=f"{len(moved)} requests wait"))
        for asked, future in moved:
            self._placed_by[asked.request_id] = None
            self.local.ask(asked, future)
