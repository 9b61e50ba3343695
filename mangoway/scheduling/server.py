"""The scheduler's end: feeds the core and carries its actions out."""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from attrs import define, field

from ..coordination.mirror import Mirror
from ..coordination.store import Change, Changes, Snapshot
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..policy.scheduling.core import SchedulingCore
from ..policy.scheduling.events import (
    Action,
    EdgeGone,
    Ended,
    EndKind,
    Event,
    GiveOrder,
    Tick,
)
from ..util.listener import BACKLOG
from ..util.ticks import async_sleep_to_tick
from .codec import (
    ClockAsked,
    ClockTold,
    Heartbeat,
    Hello,
    Message,
    StateChanged,
    StateRead,
    Told,
    encode_frame,
)
from .link import Link

HEARTBEAT_S: Final = 0.15
MAX_HEARTBEAT_S: Final = 1.0
HEARTBEATS_PER_S: Final = 600.0
"""Time between two heartbeats to an edge, and how many the scheduler sends a second to
all of them: up to 90 edges hear one each 0.15 s, and 195 each 0.33 s, so that they
notice a lost scheduler in a second. They are encoded once for all."""

PASS_S: Final = 0.1
"""Time for which changes of the store are collected. Each message wakes each edge, and
a runner's entry may change several times while it loads; a drain has to be obeyed
within two seconds."""

IDLE_PASS_S: Final = 1.0
"""The same where no change shows: followers then only learn the store's revision, from
which they would watch themselves. It must stay well within the history of the store,
which is 20 s at most deployments."""

MAX_RECENT_CHANGES: Final = 2000
"""Changes that are kept for edges that come from another scheduler: those of a minute
in which each of 200 hosts and 80 runners changes some times."""

TICK_S: Final = 0.05
"""Time between two looks of the core at its queue and the placement."""

WHOLE_KEPT_S: Final = 1.0
"""Time for which an encoded reading of all keys is sent to others as well, with the
changes since. It takes some milliseconds to encode, for each of hundreds that start."""


@define(eq=False)
class TurnQueue:
    """Followers that wait for a reading: one a turn of the loop.

    Between two of them the loop takes what others ask, and greets who has just come.
    """

    send: Callable[[Link, int], None]
    _waiting: deque[tuple[Link, int]] = field(factory=deque, init=False)

    def add(self, link: Link, known: int) -> None:
        """Let a follower wait that knows the store up to a revision."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._serve)
        self._waiting.append((link, known))

    def _serve(self) -> None:
        self.send(*self._waiting.popleft())
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._serve)


@define(eq=False)
class SchedulerServer:
    """Serves edges; only the leading scheduler takes requests."""

    core: SchedulingCore
    clock: Callable[[], float]
    is_leading: Callable[[], bool]
    give_order: Callable[[GiveOrder], None]
    mirror: Mirror
    """What this process knows of the store, which it passes on."""

    get_kept_s: Callable[[], float]
    """Seconds for which keys that vanish are still kept, after an outage."""

    on_told: Callable[[Told], None] = lambda message: None
    """Told of statements on crashes."""

    on_edge: Callable[[str, bool], None] = lambda incarnation, connected: None
    """Told of each edge that connects, and of each whose connection breaks."""

    _links: dict[str, Link] = field(factory=dict, init=False)
    _asking: set[str] = field(factory=set, init=False)
    """Incarnations of the edges among those that follow."""

    _unpassed: dict[str, Change] = field(factory=dict, init=False)
    """The last change of each key that was not passed on yet, in their order."""

    _recent: deque[Change] = field(factory=deque, init=False)
    """The last changes, oldest first."""

    _recent_after: int | None = field(default=None, init=False)
    """Revision from which `_recent` has all changes; None before the first reading."""

    _passed_at: float = field(default=-1e9, init=False)
    """Time on the boot clock up to which all changes of the store were passed on."""

    _readings: "TurnQueue" = field(init=False)
    _whole: bytes = field(default=b"", init=False)
    """A frame with all keys of the store at a revision."""

    _whole_revision: int = field(default=-1, init=False)
    _whole_at: float = field(default=-1e9, init=False)
    _passing: asyncio.TimerHandle | None = field(default=None, init=False)
    _server: asyncio.AbstractServer | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._readings = TurnQueue(self._send_reading)

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
        if self._passing is not None:
            self._passing.cancel()
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links.values()):
            link.close("this process stops")

    def send_heartbeats(self) -> None:
        """Tell all edges that this process lives, and whether it leads."""
        self._send_to_all(self._make_heartbeat())

    def pass_snapshot(self, snapshot: Snapshot) -> None:
        """Pass a full reading of the store on."""
        self._recent.clear()
        self._recent_after = snapshot.revision
        self._send_to_all(self._make_state(snapshot, 0))

    def pass_changes(self, changes: Changes) -> None:
        """Pass changes of the store on, soon and with those that come meanwhile."""
        self._keep_recent(changes)
        first = not self._unpassed
        for change in changes.changes:
            self._unpassed.pop(change.key, None)
            self._unpassed[change.key] = change
        if self._unpassed and first and self._passing is not None:
            self._passing.cancel()
            self._passing = None
        if self._passing is None:
            loop = asyncio.get_running_loop()
            after_s = PASS_S if self._unpassed else IDLE_PASS_S
            self._passing = loop.call_later(after_s, self._pass_on)

    def _keep_recent(self, changes: Changes) -> None:
        self._recent.extend(changes.changes)
        while len(self._recent) > MAX_RECENT_CHANGES:
            self._recent_after = self._recent.popleft().revision

    def _pass_on(self) -> None:
        """Send the last change of each key."""
        self._passing = None
        changes = tuple(self._unpassed.values())
        self._unpassed.clear()
        message = StateChanged(
            changes=Changes(changes=changes, revision=self.mirror.revision or 0),
            kept_s=self.get_kept_s(),
        )
        self._send_to_all(message)

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
            if isinstance(action, GiveOrder):
                self.give_order(action)
                continue
            link = self._links.get(action.edge)
            if link is not None:
                link.send(action)
            else:
                self.handle(
                    Ended(
                        edge=action.edge,
                        request_id=action.request_id,
                        kind=EndKind.LEFT,
                    )
                )

    def _take(self, link: Link, message: Message) -> None:
        if isinstance(message, Hello):
            self._welcome(link, message)
        elif isinstance(message, Told):
            self._pass_told(link, message)
        elif isinstance(message, ClockAsked):
            clock_s = self.mirror.boot_clock()
            link.send(ClockTold(asked_at=message.asked_at, clock_s=clock_s))
        elif link.edge and not isinstance(message, Heartbeat):
            self.handle(message)  # type: ignore[arg-type]

    def _pass_told(self, link: Link, message: Told) -> None:
        """Take a statement on a crash, and tell it to all others."""
        self.on_told(message)
        frame = encode_frame([message])
        for other in tuple(self._links.values()):
            if other is not link:
                other.send_frame(frame)

    def _welcome(self, link: Link, hello: Hello) -> None:
        known = self._links.pop(hello.edge, None)
        if known is not None:
            known.close("the edge connected anew")
            self.handle(EdgeGone(edge=hello.edge))
        link.edge = hello.edge
        self._links[hello.edge] = link
        if hello.asks:
            self._asking.add(hello.edge)
            self.core.state.edge_places[hello.edge] = hello.data_centre
            self.on_edge(hello.edge, True)
        # A heartbeat at once, a reading in its turn: who is greeted late comes anew.
        link.send_frame(encode_frame([self._make_heartbeat()]))
        self._readings.add(link, hello.revision)
        log_event(log.LinkOpened(peer=hello.host))

    def _send_reading(self, link: Link, known: int) -> None:
        """Send what another process lacks that knows the store up to a revision."""
        snapshot = self.mirror.make_snapshot()
        if snapshot is None or not link.is_open:
            return
        if known or self.get_kept_s() > 0:
            link.send(self._make_welcome(snapshot, known))
            return
        link.send_frame(self._get_whole(snapshot))
        begun = self._whole_revision
        if begun < snapshot.revision:
            link.send(self._make_welcome(snapshot, begun))

    def _get_whole(self, snapshot: Snapshot) -> bytes:
        """Return a frame with all keys, of now or of a moment ago.

        Where hundreds start at once, each of them needs it while each announcement of
        the others changes it.
        """
        old = self._recent_after is None or self._whole_revision < self._recent_after
        if old or self.clock() - self._whole_at > WHOLE_KEPT_S:
            self._whole = encode_frame([self._make_state(snapshot, 0)])
            self._whole_revision = snapshot.revision
            self._whole_at = self.clock()
        return self._whole

    def _make_welcome(self, snapshot: Snapshot, known: int) -> StateRead | StateChanged:
        """Return what an edge lacks that knows the store up to a revision.

        When a scheduler is lost all edges come at once. With the names of all keys for
        each of 195 edges the next one was busy for more than a second.
        """
        if self._recent_after is None or known < self._recent_after:
            return self._make_state(snapshot, known)
        changes = tuple(each for each in self._recent if each.revision > known)
        return StateChanged(
            changes=Changes(changes=changes, revision=snapshot.revision),
            kept_s=self.get_kept_s(),
        )

    def _make_state(self, snapshot: Snapshot, known: int) -> StateRead:
        """Return a reading without the items that were known at a revision."""
        return StateRead(
            keys=tuple(item.key for item in snapshot.items),
            items=tuple(item for item in snapshot.items if item.revision > known),
            revision=snapshot.revision,
            kept_s=self.get_kept_s(),
        )

    def _make_heartbeat(self) -> Heartbeat:
        age_s = self.clock() - self.mirror.answered_at
        return Heartbeat(
            leading=self.is_leading(),
            store_age_s=age_s,
            period_s=self._choose_period(),
            known_at=self._find_passed_at(),
            exhausted=tuple(self.core.state.quotas.list_exhausted(self.clock())),
        )

    def _find_passed_at(self) -> float:
        """Return the time up to which all changes of the store were passed on."""
        if not self._unpassed:
            self._passed_at = self.mirror.known_at
        return self._passed_at

    def _choose_period(self) -> float:
        wanted_s = len(self._links) / HEARTBEATS_PER_S
        return min(MAX_HEARTBEAT_S, max(HEARTBEAT_S, wanted_s))

    def _lose(self, link: Link, reason: str) -> None:
        if link.edge and self._links.get(link.edge) is link:
            del self._links[link.edge]
            if link.edge in self._asking:
                self._asking.discard(link.edge)
                self.on_edge(link.edge, False)
            self.core.state.edge_places.pop(link.edge, None)
            log_event(log.LinkLost(peer=link.edge, reason=reason))
            self.handle(EdgeGone(edge=link.edge))
