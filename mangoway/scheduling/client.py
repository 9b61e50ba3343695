"""The edge's end: asks the scheduler, and chooses alone when that is silent."""

import asyncio

from attrs import define, field

from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.scheduling.events import (
    Adopted,
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
class Placed:
    """A request that was asked for, and what became of it."""

    asked: Asked
    link: Link | None
    """Who places it: a link, or None for the local placer."""

    future: "asyncio.Future[Answer]"

    runner_id: str | None = None
    reading: bool = True


@define(eq=False)
class SchedulerClient:
    """A placer that uses the scheduler while it answers, and a local one otherwise."""

    leader: LeaderLink
    local: LocalPlacer
    incarnation: str
    _asks: OpenAsks = field(factory=OpenAsks, init=False)
    _placed: dict[str, Placed] = field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.leader.on_message = self._take
        self.leader.on_leading = self._adopt
        self.leader.on_lost = self._move

    def ask(self, asked: Asked) -> "asyncio.Future[Answer]":
        """Ask for a place."""
        link = self.leader.link
        if link is None or not link.is_open or not self.leader.leading:
            link = None
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        future.add_done_callback(self._note_answer)
        self._placed[asked.request_id] = Placed(asked, link, future)
        if link is None:
            return self.local.ask(asked, future)
        link.send(asked)
        return self._asks.add(asked, future)

    def note_first_event(self, request_id: str) -> None:
        """Say that the first event of a granted request came."""
        placed = self._placed.get(request_id)
        if placed is None:
            return
        placed.reading = False
        if placed.link is not None:
            message = FirstEventSeen(edge=self.incarnation, request_id=request_id)
            placed.link.send(message)
        else:
            self.local.note_first_event(request_id)

    def end(self, request_id: str, kind: EndKind) -> None:
        """Say that a request is over."""
        placed = self._placed.pop(request_id, None)
        if placed is None:
            return
        if placed.link is None:
            self.local.end(request_id, kind)
            return
        self._asks.drop(request_id)
        ended = Ended(edge=self.incarnation, request_id=request_id, kind=kind)
        placed.link.send(ended)

    def refuse_waiting(self, reason: str, retry_after_s: float) -> None:
        """Refuse the requests that still wait for a place."""
        for placed in list(self._placed.values()):
            if placed.runner_id is None and not placed.future.done():
                placed.future.set_result(
                    Refuse(
                        edge=self.incarnation,
                        request_id=placed.asked.request_id,
                        retry_after_s=retry_after_s,
                        reason=reason,
                    )
                )

    def _note_answer(self, future: "asyncio.Future[Answer]") -> None:
        if future.cancelled():
            return
        answer = future.result()
        placed = self._placed.get(answer.request_id)
        if placed is not None and isinstance(answer, Grant):
            placed.runner_id = answer.runner_id

    def _take(self, message: Message) -> None:
        if isinstance(message, Grant | Refuse):
            # Where nobody waits any more, the request's end is on its way.
            self._asks.resolve(message)

    def _adopt(self, link: Link) -> None:
        """Tell a scheduler that begins to lead what runs where already."""
        for placed in self._placed.values():
            if placed.runner_id is None:
                continue
            if placed.link is None:
                self.local.forget(placed.asked.request_id)
            placed.link = link
            link.send(
                Adopted(
                    asked=placed.asked,
                    runner_id=placed.runner_id,
                    reading=placed.reading,
                )
            )

    def _move(self, link: Link) -> None:
        """Let the local placer answer what the lost scheduler was asked."""
        moved = self._asks.take_all()
        if moved:
            log_event(log.LocalChoiceBegan(reason=f"{len(moved)} requests wait"))
        for placed in self._placed.values():
            if placed.link is link and placed.runner_id is not None:
                placed.link = None
                self.local.adopt(placed.asked, placed.runner_id, placed.reading)
        for asked, future in moved:
            placed = self._placed[asked.request_id]
            placed.link = None
            self.local.ask(asked, future)
