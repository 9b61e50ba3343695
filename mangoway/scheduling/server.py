"""The scheduler's end: feeds the core and carries its actions out."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..coordination.mirror import Mirror
from ..models.signals import LeavingReport
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.customers.const import MEMORY_S
from ..policy.limits.tracker import LimitReport, strip_recent_requests
from ..policy.scheduling.core import SchedulingCore
from ..policy.scheduling.events import (
    Action,
    EdgeDisconnected,
    EndKind,
    Event,
    RequestEnded,
    SendOrder,
    SpendingReported,
    Tick,
)
from ..util.listener import BACKLOG
from ..util.ticks import async_sleep_to_tick
from .codec import encode_frame
from .link import Link
from .messages import (
    ClockAsked,
    ClockTold,
    Heartbeat,
    Hello,
    Message,
    RelayedStatement,
)
from .store_feed import StoreFeed

HEARTBEAT_S: Final = 0.15
MAX_HEARTBEAT_S: Final = 1.0
HEARTBEATS_PER_S: Final = 600.0
"""Time between two heartbeats to an edge, and how many the scheduler sends a second to
all of them: up to 90 edges hear one each 0.15 s, and 195 each 0.33 s, so that they
notice a lost scheduler in a second. They are encoded once for all."""

TICK_S: Final = 0.05
"""Time between two looks of the core at its queue and the placement."""


@define(eq=False)
class SchedulerServer:
    """Serves edges; only the leading scheduler takes requests."""

    core: SchedulingCore
    clock: Callable[[], float]
    is_leading: Callable[[], bool]
    give_order: Callable[[SendOrder], None]
    mirror: Mirror
    """What this process knows of the store, which it passes on."""

    get_retention_s: Callable[[], float]
    """Seconds for which keys that vanish are still kept, after an outage."""

    on_statement: Callable[[RelayedStatement], None] = lambda message: None
    """Told of statements on crashes."""

    on_leaving: Callable[[LeavingReport], bool] = lambda message: False
    """Told of runners that say that they leave; returns whether that is new."""

    list_leaving: Callable[[], list[LeavingReport]] = list
    """Returns the runners that are known to leave."""

    on_edge_connection: Callable[[str, bool], None] = lambda incarnation, connected: (
        None
    )
    """Told of each edge that connects, and of each whose connection breaks."""

    _links: dict[str, Link] = field(factory=dict, init=False)
    _asking: set[str] = field(factory=set, init=False)
    """Incarnations of the edges among those that follow."""

    _lost_at: dict[str, float] = field(factory=dict, init=False)
    """When the connection to each edge was lost that was here lately."""

    feed: StoreFeed = field(init=False)
    _server: asyncio.AbstractServer | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.feed = StoreFeed(self.mirror, self.clock, self.get_retention_s)

    async def async_start(self, listener: Any) -> None:
        """Listen for edges."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link("", self._take, self._lose), sock=listener, backlog=BACKLOG
        )

    async def async_run(self) -> None:
        """Send heartbeats and let the core look at the time until cancelled."""
        beat_at = 0.0
        while True:
            now = self.clock()
            if now >= beat_at:
                self.send_heartbeats()
                beat_at = now + self._choose_period()
            self.handle(Tick())
            await async_sleep_to_tick(TICK_S)

    @property
    def edge_count(self) -> int:
        """Return the number of edges that are connected."""
        return len(self._asking)

    def stop(self) -> None:
        """Serve no more."""
        self.feed.stop()
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links.values()):
            link.close("this process stops")

    def send_heartbeats(self) -> None:
        """Tell all edges that this process lives, and whether it leads."""
        self._send_to_all(self._make_heartbeat())

    def _send_to_all(self, message: Message) -> None:
        """Encode a message once for all links; a long one takes a millisecond."""
        if not self._links:
            return
        frame = encode_frame([message])
        for link in tuple(self._links.values()):
            link.send_frame(frame)

    def handle(self, event: Event) -> None:
        """Feed the core with an event and carry out its actions."""
        self._carry_out(self.core.handle(event, self.clock()))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendOrder):
                self.give_order(action)
                continue
            link = self._links.get(action.edge)
            if link is not None:
                link.send(action)
            else:
                self.handle(
                    RequestEnded(
                        edge=action.edge,
                        request_id=action.request_id,
                        kind=EndKind.LEFT,
                    )
                )

    def _take(self, link: Link, message: Message) -> None:
        if isinstance(message, Hello):
            self._welcome(link, message)
        elif isinstance(message, RelayedStatement):
            self._pass_told(link, message)
        elif isinstance(message, ClockAsked):
            clock_s = self.mirror.boot_clock()
            link.send(ClockTold(asked_at=message.asked_at, clock_s=clock_s))
        elif isinstance(message, LimitReport):
            self.handle_limit(message, link)
        elif isinstance(message, LeavingReport):
            self.handle_leaving(message, link)
        elif isinstance(message, SpendingReported):
            self.handle(self._drop_known(link.edge, message))
        elif link.edge and not isinstance(message, Heartbeat):
            self.handle(message)  # type: ignore[arg-type]

    def _drop_known(self, edge: str, message: SpendingReported) -> SpendingReported:
        """Return what an edge has spent since it was lost here, if it was here before.

        What was spent before was counted here: a connection that is reset, and made
        anew, must not have it counted twice.
        """
        lost_at = self._lost_at.pop(edge, None)
        if lost_at is None:
            return message
        lost_s = self.clock() - lost_at
        return SpendingReported(
            rows=tuple(each for each in message.rows if each.age_s < lost_s)
        )

    def _note_lost(self, edge: str) -> None:
        """Note when an edge was lost, for as long as its spending matters.

        What it spent while this process granted nothing was counted elsewhere.
        """
        if not self.is_leading():
            return
        now = self.clock()
        self._lost_at = {
            key: at for key, at in self._lost_at.items() if at > now - MEMORY_S
        }
        self._lost_at[edge] = now

    def _pass_told(self, link: Link, message: RelayedStatement) -> None:
        """Take a statement on a crash, and tell it to all others."""
        self.on_statement(message)
        self._pass_on(link, message)

    def handle_limit(self, said: LimitReport, link: Link | None = None) -> None:
        """Take what a runner said of its limit, and tell all others if it is new.

        Args:
            said: What the runner has said.
            link: Who told it; None if this process has read it.
        """
        limits, life = self.core.state.limits, (said.runner_id, said.started_ms)
        before = limits.get_limit(*life)
        self.handle(said)
        limit = limits.get_limit(*life)
        if limit == before:
            return
        told_by = None if link is None else link.edge
        log_event(
            log.RunnerLimitSeen(runner_id=said.runner_id, limit=limit, told_by=told_by)
        )
        self._pass_on(link, strip_recent_requests(said))

    def handle_leaving(self, said: LeavingReport, link: Link | None = None) -> None:
        """Take that a runner leaves, and tell all others if it is new.

        Args:
            said: What the runner has said.
            link: Who told it; None if this process has read it.
        """
        if not self.on_leaving(said):
            return
        told_by = None if link is None else link.edge
        log_event(log.RunnerLeavingSeen(runner_id=said.runner_id, told_by=told_by))
        self._pass_on(link, said)

    def _pass_on(self, link: Link | None, message: Message) -> None:
        """Tell all others what one has told."""
        frame = encode_frame([message])
        for other in tuple(self._links.values()):
            if other is not link:
                other.send_frame(frame)

    def _welcome(self, link: Link, hello: Hello) -> None:
        known = self._links.pop(hello.edge, None)
        if known is not None:
            self.feed.remove(known)
            self._note_lost(hello.edge)
            known.close("the edge connected anew")
            self.handle(EdgeDisconnected(edge=hello.edge))
        link.edge = hello.edge
        self._links[hello.edge] = link
        if hello.requests_grants:
            self._asking.add(hello.edge)
            self.core.state.edge_data_centres[hello.edge] = hello.data_centre
            self.on_edge_connection(hello.edge, True)
        # A heartbeat at once, a reading in its turn: who is greeted late comes anew.
        link.send_frame(encode_frame([self._make_heartbeat()]))
        self.feed.add(link, hello.revision)
        for leaving in self.list_leaving():
            link.send(leaving)
        for said in self.core.state.limits.list_reports(self.clock()):
            link.send(said)
        log_event(log.LinkOpened(peer=hello.host))

    def _make_heartbeat(self) -> Heartbeat:
        age_s = self.clock() - self.mirror.answered_at
        return Heartbeat(
            leading=self.is_leading(),
            store_age_s=age_s,
            period_s=self._choose_period(),
            known_at=self.feed.find_passed_at(),
            exhausted=tuple(self.core.state.quotas.list_exhausted(self.clock())),
        )

    def _choose_period(self) -> float:
        wanted_s = len(self._links) / HEARTBEATS_PER_S
        return min(MAX_HEARTBEAT_S, max(HEARTBEAT_S, wanted_s))

    def _lose(self, link: Link, reason: str) -> None:
        if link.edge and self._links.get(link.edge) is link:
            del self._links[link.edge]
            self.feed.remove(link)
            self._note_lost(link.edge)
            if link.edge in self._asking:
                self._asking.discard(link.edge)
                self.on_edge_connection(link.edge, False)
            self.core.state.edge_data_centres.pop(link.edge, None)
            log_event(log.LinkLost(peer=link.edge, reason=reason))
            self.handle(EdgeDisconnected(edge=link.edge))
