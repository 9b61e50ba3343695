"""Server of a scheduler: passes messages to the core and executes its actions."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..coordination.mirror import Mirror
from ..models.signals import LeavingReport
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.failures import log_failure
from ..policy.customers.const import SPENDING_RETENTION_S
from ..policy.limits.tracker import LimitReport, strip_recent_requests
from ..policy.plain.core import PlainCore
from ..policy.plain.events import (
    CHOOSE_LOCALLY,
    PlainGrantEnded,
    PlainGrantRequest,
    PlainShortage,
    ShortageReported,
)
from ..policy.scheduling.core import SchedulingCore
from ..policy.scheduling.events import (
    Action,
    EdgeDisconnected,
    EndKind,
    Event,
    FleetUpdated,
    Grant,
    GrantRequest,
    RequestEnded,
    SendOrder,
    SpendingReported,
    Tick,
    TransferStream,
)
from ..util.listener import async_serve
from ..util.ticks import async_sleep_to_tick
from .codec import encode_frame
from .follower_link import FollowerLink
from .link import Link
from .link_limits import LinkLimits
from .messages import (
    ClockRequest,
    ClockResponse,
    Heartbeat,
    Hello,
    Message,
    RelayedStatement,
)
from .plain_server import PlainGrantServer
from .store_feed import StoreFeed
from .transfer_log import TransferLog

HEARTBEAT_S: Final = 0.15
MAX_HEARTBEAT_S: Final = 1.0
HEARTBEATS_PER_S: Final = 600.0
"""Time between two heartbeats to an edge, its maximum, and the heartbeats a second that
the scheduler sends to all edges together. Up to 90 edges receive one every 0.15 s, and
195 edges one every 0.33 s, so that they detect a lost scheduler within a second. Each
heartbeat is encoded once for all edges."""

TICK_S: Final = 0.05
"""Time between two ticks of the core, which check its queues and the placement."""


@define(eq=False)
class SchedulerServer:
    """Serves its followers: edges and standby schedulers.

    Edges request grants only while this scheduler reports that it leads.
    """

    core: SchedulingCore
    clock: Callable[[], float]
    is_leading: Callable[[], bool]
    """Returns whether this process grants requests, as leader or as standby."""

    send_order: Callable[[SendOrder], None]
    mirror: Mirror
    """The state of the store in this process, which it relays."""

    get_retention_s: Callable[[], float]
    """Returns the seconds for which vanished keys are still kept after an outage."""

    on_statement: Callable[[RelayedStatement], None] = lambda message: None
    """Called with each relayed crash statement."""

    on_leaving: Callable[[LeavingReport], bool] = lambda message: False
    """Called with each report of a leaving runner; returns whether it is new."""

    list_leaving: Callable[[], list[LeavingReport]] = list
    """Returns the runners that are known to be leaving."""

    on_edge_connection: Callable[[str, bool], None] = lambda incarnation, connected: (
        None
    )
    """Called with the incarnation of each edge that connects or disconnects."""

    list_absent: Callable[[], tuple[str, ...]] = tuple
    """Returns the incarnations of announced edges that are disconnected."""

    transfer_log: TransferLog = field(factory=TransferLog, init=False)
    _links: dict[str, Link] = field(factory=dict, init=False)
    """Link to each follower, by the incarnation of its process."""

    _edges: set[str] = field(factory=set, init=False)
    """Incarnations of the edges among the followers; the others are standbys."""

    _lost_at: dict[str, float] = field(factory=dict, init=False)
    """When the link to each recently connected edge was lost."""

    link_limits: LinkLimits = field(factory=LinkLimits)
    feed: StoreFeed = field(init=False)
    plain: PlainGrantServer = field(init=False)
    """Grants for plain services that are short of room."""

    _server: asyncio.AbstractServer | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.feed = StoreFeed(self.mirror, self.clock, self.get_retention_s)
        state = self.core.state
        self.plain = PlainGrantServer(
            PlainCore(state.edge_data_centres),
            self.clock,
            self._send_to,
            self._send_shortage,
            enabled=state.features.plain_grants,
        )

    async def async_start(self, listener: Any) -> None:
        """Listen for edges."""
        self._server = await async_serve(listener, self._make_link)

    def _make_link(self) -> FollowerLink:
        return FollowerLink(
            self._handle_message,
            self._handle_connection_lost,
            self.link_limits.add,
            self.link_limits.record_buffered,
            self.link_limits.on_rejected,
        )

    async def async_run(self) -> None:
        """Send heartbeats and tick the core until cancelled."""
        next_heartbeat_at = 0.0
        while True:
            now = self.clock()
            if now >= next_heartbeat_at:
                self.send_heartbeats()
                self._check_unsent()
                next_heartbeat_at = now + self._choose_period()
            try:
                self.handle(Tick())
            except Exception as error:
                # Without heartbeats, all followers would leave this scheduler.
                log_failure(error)
            self.transfer_log.update_levels(self.core.state)
            await async_sleep_to_tick(TICK_S)

    def _check_unsent(self) -> None:
        links = self._links.values()
        self.link_limits.check_unsent(
            each for each in links if isinstance(each, FollowerLink)
        )

    @property
    def edge_count(self) -> int:
        """Return the number of connected edges."""
        return len(self._edges)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self.feed.stop()
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links.values()):
            link.close("this process stops")

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all followers."""
        self._send_to_all(self._make_heartbeat())

    def _send_to_all(self, message: Message) -> None:
        """Send a message to all; it is encoded once, as that may take a millisecond."""
        if not self._links:
            return
        frame = encode_frame([message])
        for link in tuple(self._links.values()):
            link.send_frame(frame)

    def handle(self, event: Event) -> None:
        """Handle an event with the core and execute its actions."""
        self._execute(self.core.handle(event, self.clock()))
        if isinstance(event, Tick | FleetUpdated | EdgeDisconnected):
            self.plain.handle(event)

    def _send_to(self, edge: str, message: Message) -> bool:
        """Send a message to an edge; return whether it is connected."""
        link = self._links.get(edge)
        if link is not None:
            link.send(message)
        return link is not None

    def _send_shortage(self, message: PlainShortage, edges: set[str]) -> None:
        frame = encode_frame([message])
        # Sending to an edge that does not read its messages closes its link, which
        # removes it from the set.
        for edge in tuple(edges):
            link = self._links.get(edge)
            if link is not None:
                link.send_frame(frame)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendOrder):
                self.send_order(action)
                continue
            self.transfer_log.record_action(action)
            link = self._links.get(action.edge)
            if link is not None:
                link.send(action)
            elif not isinstance(action, TransferStream):
                self.handle(
                    RequestEnded(
                        edge=action.edge,
                        request_id=action.request_id,
                        kind=EndKind.LEFT,
                    )
                )

    def _handle_message(self, link: Link, message: Message) -> None:
        try:
            self._dispatch_message(link, message)
        except Exception:
            if isinstance(message, GrantRequest):
                self._leave_to_edge(link, message)
            raise

    def _leave_to_edge(self, link: Link, request: GrantRequest) -> None:
        """Withdraw a request whose handling failed; its edge grants it itself."""
        edge, request_id = request.edge, request.request_id
        link.send(Grant(edge=edge, request_id=request_id, runner_id=CHOOSE_LOCALLY))
        left = RequestEnded(edge=edge, request_id=request_id, kind=EndKind.LEFT)
        self.core.handle(left, self.clock())

    def _dispatch_message(self, link: Link, message: Message) -> None:
        if isinstance(message, Hello):
            self._handle_hello(link, message)
        elif isinstance(message, RelayedStatement):
            self._handle_statement(link, message)
        elif isinstance(message, ClockRequest):
            clock_s = self.mirror.boot_clock()
            link.send(ClockResponse(requested_at=message.requested_at, clock_s=clock_s))
        elif isinstance(message, LimitReport):
            self.handle_limit(message, link)
        elif isinstance(message, LeavingReport):
            self.handle_leaving(message, link)
        elif isinstance(
            message, PlainGrantRequest | PlainGrantEnded | ShortageReported
        ):
            self.plain.handle(message)
        elif isinstance(message, SpendingReported):
            self.handle(self._drop_counted_spending(link.edge, message))
        elif link.edge and not isinstance(message, Heartbeat):
            self.transfer_log.record_event(message)  # type: ignore[arg-type]
            self.handle(message)  # type: ignore[arg-type]

    def _drop_counted_spending(
        self, edge: str, message: SpendingReported
    ) -> SpendingReported:
        """Return the spending of an edge that was not counted here yet.

        Spending from before the link was lost was counted here. It must not be counted
        twice after a link was reset and opened again.
        """
        lost_at = self._lost_at.pop(edge, None)
        if lost_at is None:
            return message
        lost_s = self.clock() - lost_at
        return SpendingReported(
            rows=tuple(each for each in message.rows if each.age_s < lost_s)
        )

    def _record_edge_lost(self, edge: str) -> None:
        """Record when an edge was lost, for as long as its spending matters.

        Spending while this process granted nothing was counted elsewhere, so nothing is
        recorded then.
        """
        if not self.is_leading():
            return
        now = self.clock()
        self._lost_at = {
            key: at
            for key, at in self._lost_at.items()
            if at > now - SPENDING_RETENTION_S
        }
        self._lost_at[edge] = now

    def _handle_statement(self, link: Link, message: RelayedStatement) -> None:
        """Handle a crash statement and relay it to all others."""
        self.on_statement(message)
        self._relay(link, message)

    def handle_limit(self, report: LimitReport, link: Link | None = None) -> None:
        """Apply a runner's limit, and relay it to all others if it is new.

        Args:
            report: The limit that the runner has reported.
            link: Link on which it was received; None if this process has read it.
        """
        limits, incarnation = (
            self.core.state.limits,
            (report.runner_id, report.started_ms),
        )
        before = limits.get_limit(*incarnation)
        self.handle(report)
        limit = limits.get_limit(*incarnation)
        if limit == before:
            return
        told_by = None if link is None else link.edge
        log_event(
            log.RunnerLimitSeen(
                runner_id=report.runner_id, limit=limit, told_by=told_by
            )
        )
        self._relay(link, strip_recent_requests(report))

    def handle_leaving(self, report: LeavingReport, link: Link | None = None) -> None:
        """Record that a runner leaves, and relay it to all others if it is new.

        Args:
            report: The report of the runner.
            link: Link on which it was received; None if this process has read it.
        """
        if not self.on_leaving(report):
            return
        told_by = None if link is None else link.edge
        log_event(log.RunnerLeavingSeen(runner_id=report.runner_id, told_by=told_by))
        self._relay(link, report)

    def _relay(self, link: Link | None, message: Message) -> None:
        """Relay a message to all followers except its sender."""
        frame = encode_frame([message])
        for other in tuple(self._links.values()):
            if other is not link:
                other.send_frame(frame)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        if isinstance(link, FollowerLink) and not self.link_limits.accept(link):
            return
        if self.link_limits.is_check_due:
            self._check_unsent()
        previous = self._links.pop(hello.edge, None)
        if previous is not None:
            self.feed.remove(previous)
            self._record_edge_lost(hello.edge)
            previous.close("the edge reconnected")
            self.handle(EdgeDisconnected(edge=hello.edge))
        link.edge = hello.edge
        self.mirror.learn_era(hello.revision.era)
        self._links[hello.edge] = link
        if hello.requests_grants:
            self._edges.add(hello.edge)
            self.core.state.edge_data_centres[hello.edge] = hello.data_centre
            if hello.transfers_streams:
                self.core.state.transferring_edges.add(hello.edge)
            if hello.grants_plain:
                self.plain.edges.add(hello.edge)
            self.on_edge_connection(hello.edge, True)
        # The heartbeat is sent at once and the snapshot in its turn, because a follower
        # without a timely heartbeat disconnects and connects again.
        link.send_frame(encode_frame([self._make_heartbeat()]))
        self.feed.add(link, hello.revision, reads_retained=hello.states_era)
        for leaving in self.list_leaving():
            link.send(leaving)
        for report in self.core.state.limits.list_reports(self.clock()):
            link.send(report)
        if hello.grants_plain:
            for shortage in self.plain.core.list_shortages(self.clock()):
                link.send(shortage)
        log_event(log.LinkOpened(peer=hello.host))

    def _make_heartbeat(self) -> Heartbeat:
        age_s = self.clock() - self.mirror.responded_at
        return Heartbeat(
            leading=self.is_leading(),
            store_age_s=age_s,
            period_s=self._choose_period(),
            known_at=self.feed.find_relayed_at(),
            era=self.mirror.era,
            exhausted=tuple(self.core.state.quotas.list_exhausted(self.clock())),
            grants_plain=self.plain.is_offered,
            takes_transfers=self.core.state.protecting,
            absent=self.list_absent(),
        )

    def _choose_period(self) -> float:
        wanted_s = len(self._links) / HEARTBEATS_PER_S
        return min(MAX_HEARTBEAT_S, max(HEARTBEAT_S, wanted_s))

    def _handle_connection_lost(self, link: Link, reason: str) -> None:
        if isinstance(link, FollowerLink):
            self.link_limits.remove(link)
        if link.edge and self._links.get(link.edge) is link:
            del self._links[link.edge]
            self.feed.remove(link)
            self._record_edge_lost(link.edge)
            if link.edge in self._edges:
                self._edges.discard(link.edge)
                self.on_edge_connection(link.edge, False)
            self.core.state.edge_data_centres.pop(link.edge, None)
            self.core.state.transferring_edges.discard(link.edge)
            self.plain.edges.discard(link.edge)
            log_event(log.LinkLost(peer=link.edge, reason=reason))
            self.handle(EdgeDisconnected(edge=link.edge))
