"""The edge's end: asks the scheduler, and chooses alone when that is silent."""

import asyncio

from attrs import define, field

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
from .codec import Message
from .leader import LeaderLink
from .link import Link
from .local import LocalPlacer
from .placing import Answer, OpenAsks


@define(eq=False)
class SchedulerClient:
    """A placer that uses the scheduler while it answers, and a local one otherwise."""

    leader: LeaderLink
    local: LocalPlacer
    incarnation: str
    _asks: OpenAsks = field(factory=OpenAsks, init=False)
    _placed_by: "dict[str, Link | None]" = field(factory=dict, init=False)
    """Who placed each request: a link, or None for the local placer."""

    def __attrs_post_init__(self) -> None:
        self.leader.on_message = self._take
        self.leader.on_lost = self._move

    def ask(self, asked: Asked) -> "asyncio.Future[Answer]":
        """Ask for a place."""
        link = self.leader.link
        if link is None or not link.is_open or not self.leader.leading:
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

    def _take(self, message: Message) -> None:
        if isinstance(message, Grant | Refuse):
            # Where nobody waits any more, the request's end is on its way.
            self._asks.resolve(message)

    def _move(self, link: Link) -> None:
        """Let the local placer answer what the lost scheduler was asked."""
        moved = self._asks.take_all()
        if moved:
            log_event(log.LocalChoiceBegan(reason=f"{len(moved)} requests wait"))
        for asked, future in moved:
            self._placed_by[asked.request_id] = None
            self.local.ask(asked, future)
