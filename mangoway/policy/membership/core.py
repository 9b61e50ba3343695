"""Which processes are live, leaving or gone, as one process sees it."""

from random import Random

from attrs import define, evolve, field

from ...models.identifiers import HostId, IncarnationId
from ...models.member import Member, MemberState
from .actions import (
    MembersChanged,
    MembershipAction,
    ReplyHeartbeat,
    SendHeartbeat,
    WakeAt,
)
from .const import (
    BEAT_S,
    FANOUT,
    FREEZE_S,
    FULL_SYNC_S,
    SMALL_CELL,
    SMALL_CELL_FANOUT,
)
from .events import (
    HeartbeatReceived,
    HostListUpdated,
    LeaveRequested,
    MembershipEvent,
    OwnMemberChanged,
    SendFailed,
    Ticked,
)
from .listing import HostListing
from .table import Entry, MemberTable, ProcessKey, name_key


@define
class MembershipCore:
    """Spreads heartbeats and judges silence; one instance per process."""

    _own: Member
    _random: Random
    _table: MemberTable = field(factory=MemberTable)
    _listing: HostListing = field(factory=HostListing)
    _sent: dict[str, int] = field(factory=dict)
    """Last change that each peer address was sent."""

    _next_beat_at: float | None = None
    _next_sync_at: float = 0.0
    _is_changed: bool = True

    @property
    def own(self) -> Member:
        """Return the entry of this process."""
        return self._own

    @property
    def is_replaced(self) -> bool:
        """Return whether a later process of the same host and role took over."""
        entry = self._table.find(self._key)
        return entry is not None and entry.member.incarnation != self._own.incarnation

    @property
    def members(self) -> tuple[Member, ...]:
        """Return all known members as this process judges them, own one included."""
        return tuple(self._make_view(entry) for entry in self._table.list_entries())

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        """Take one event at time `now` (seconds, never decreasing)."""
        actions: list[MembershipAction] = []
        self._note_freeze(now)
        self._put_own(now)
        match event:
            case HeartbeatReceived():
                actions += self._receive(event, now)
            case SendFailed():
                self._forget_sent(event.peer)
            case HostListUpdated():
                self._note_listing(event)
            case OwnMemberChanged():
                self._change_own(
                    evolve(
                        self._own,
                        config_version=event.config_version,
                        ready=event.ready,
                    ),
                    now,
                )
            case LeaveRequested():
                actions += self._leave(event.successor, now)
            case Ticked():
                pass
        actions += self._beat(now)
        self._is_changed |= self._table.judge(self._key, now)
        if self._is_changed:
            self._is_changed = False
            actions.append(MembersChanged(members=self.members))
        return actions

    @property
    def _key(self) -> ProcessKey:
        return name_key(self._own)

    def _make_view(self, entry: Entry) -> Member:
        view = entry.make_view()
        if view.state is MemberState.LIVE and self._listing.is_leaving(view):
            return evolve(view, state=MemberState.LEAVING)
        return view

    def _note_freeze(self, now: float) -> None:
        """Do not count others as silent for time in which nothing was received."""
        if self._next_beat_at is None or now < self._next_beat_at + FREEZE_S:
            return
        self._table.forgive(now - self._next_beat_at, now)
        self._next_sync_at = now

    def _put_own(self, now: float) -> None:
        if not self.is_replaced:
            self._is_changed |= self._table.merge(self._own, None, now)

    def _change_own(self, own: Member, now: float) -> None:
        self._own = evolve(own, beat=own.beat + 1)
        self._put_own(now)

    def _note_listing(self, event: HostListUpdated) -> None:
        before = self.members
        lives = {
            entry.member.peer_address: entry.member.incarnation
            for entry in self._table.list_entries()
        }
        self._listing.update(event.hosts, lives)
        self._is_changed |= self.members != before

    def _receive(self, event: HeartbeatReceived, now: float) -> list[MembershipAction]:
        source = next(
            (m.peer_address for m in event.members if m.host == event.sender), None
        )
        for member in event.members:
            self._is_changed |= self._table.merge(member, source, now)
        if not event.wants_reply:
            return []
        return [ReplyHeartbeat(members=self._list_news(source))]

    def _forget_sent(self, peer: HostId) -> None:
        for entry in self._table.list_entries():
            if entry.member.host == peer:
                self._sent.pop(entry.member.peer_address, None)

    def _forget_gone(self, live: list[str]) -> None:
        self._sent = {peer: self._sent[peer] for peer in live if peer in self._sent}

    def _leave(
        self, successor: IncarnationId | None, now: float
    ) -> list[MembershipAction]:
        """Tell every live peer at once: new work must stop coming within seconds."""
        leaving = evolve(self._own, state=MemberState.LEAVING, successor=successor)
        self._change_own(leaving, now)
        return [self._send(address) for address in self._list_live()]

    def _beat(self, now: float) -> list[MembershipAction]:
        if self._next_beat_at is not None and now < self._next_beat_at:
            return []
        # The spread keeps processes that started together from beating together.
        self._next_beat_at = now + BEAT_S * self._random.uniform(0.9, 1.1)
        if not self.is_replaced:
            self._change_own(self._own, now)
        actions: list[MembershipAction] = [WakeAt(time=self._next_beat_at)]
        live = self._list_live()
        fanout = SMALL_CELL_FANOUT if len(live) <= SMALL_CELL else FANOUT
        chosen = self._random.sample(live, min(fanout, len(live)))
        if chosen and now >= self._next_sync_at:
            self._next_sync_at = now + FULL_SYNC_S * self._random.uniform(0.5, 1.5)
            self._forget_gone(live)
            self._sent.pop(chosen[0], None)
        actions += [self._send(address) for address in chosen]
        actions += self._probe(live)
        return actions

    def _probe(self, live: list[str]) -> list[MembershipAction]:
        """Try one address where a process may be that this one doesn't know as live.

        This is how a process joins, and how parts of a cut network find each other.
        """
        known = {*live, self._own.peer_address}
        silent = [
            entry.member.peer_address
            for entry in self._table.list_entries()
            if entry.is_silent and entry.member.peer_address not in known
        ]
        candidates = sorted({*self._listing.list_unknown(known), *silent})
        if not candidates:
            return []
        address = self._random.choice(candidates)
        self._sent.pop(address, None)
        return [self._send(address)]

    def _send(self, address: str) -> SendHeartbeat:
        return SendHeartbeat(peer_address=address, members=self._list_news(address))

    def _list_news(self, address: str | None) -> tuple[Member, ...]:
        """Return the own entry, then all others changed since the last heartbeat."""
        since = 0 if address is None else self._sent.get(address, 0)
        news = self._table.list_changes(since, address)
        if address is not None:
            self._sent[address] = self._table.last_change
        others = [member for member in news if name_key(member) != self._key]
        replacing = [member for member in news if name_key(member) == self._key]
        own = replacing if self.is_replaced else [self._own]
        return (*own, *others)

    def _list_live(self) -> list[str]:
        """Return the peer addresses of processes that beat, leaving ones included."""
        return sorted(
            entry.member.peer_address
            for entry in self._table.list_entries()
            if not entry.is_silent
            and entry.member.state is not MemberState.GONE
            and name_key(entry.member) != self._key
        )
