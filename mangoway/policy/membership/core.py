"""Exchange of heartbeats: which processes are live, suspected, leaving or gone."""

from math import ceil
from random import Random

from attrs import define, evolve, field

from ...models.identifiers import HostId, IncarnationId
from ...models.member import Member, MemberState, ProcessRole, Suspicion
from .actions import (
    MembersChanged,
    MembershipAction,
    ReplyHeartbeat,
    SendHeartbeat,
    WakeAt,
)
from .const import (
    FANOUT,
    FULL_SYNC_S,
    HEARTBEAT_S,
    MAX_BEATS_PER_S,
    MIN_FREEZE_S,
    SMALL_CELL_FANOUT,
    SMALL_CELL_PEERS,
)
from .detector import FailureDetector
from .events import (
    ConnectionRefused,
    HeartbeatReceived,
    HostListUpdated,
    LeaveRequested,
    MembershipEvent,
    OwnMemberChanged,
    PeerAnswered,
    SendFailed,
    Ticked,
)
from .listing import HostListing
from .table import Entry, MemberTable, ProcessKey, get_process_key


@define
class MembershipCore:
    """Exchanges heartbeats and detects silent peers; one instance per process.

    A peer that fails probes is suspected: gateways leave it out of address answers, and
    all else goes on as before. It counts as gone only after `SILENCE_S`.
    """

    _own: Member
    _random: Random
    _table: MemberTable = field(factory=MemberTable)
    _listing: HostListing = field(factory=HostListing)
    _sent_changes: dict[str, int] = field(factory=dict)
    """Number of the last change that was sent to each peer address."""

    _detector: FailureDetector = field(init=False)
    _refuted_beat: int = -1
    """Latest suspicion of this process that it has refuted."""

    _next_heartbeat_at: float | None = None
    _wake_at: float | None = None
    _next_sync_at: float = 0.0
    _is_changed: bool = True

    def __attrs_post_init__(self) -> None:
        self._detector = FailureDetector(self._own.peer_address, self._random)

    @property
    def own(self) -> Member:
        """Return the entry of this process."""
        return self._own

    @property
    def is_replaced(self) -> bool:
        """Return whether a later process of this host and role replaced this one."""
        entry = self._table.find(self._own_key)
        return entry is not None and entry.member.incarnation != self._own.incarnation

    @property
    def members(self) -> tuple[Member, ...]:
        """Return all members, including this one, with their state as seen here."""
        return tuple(self._get_view(entry) for entry in self._table.list_entries())

    def handle(self, event: MembershipEvent, now: float) -> list[MembershipAction]:
        """Process one event at time `now` (seconds, never decreasing)."""
        actions: list[MembershipAction] = []
        self._handle_freeze(now)
        self._merge_own(now)
        match event:
            case HeartbeatReceived():
                actions += self._handle_heartbeat(event, now)
            case SendFailed():
                self._reset_sent_changes(event.peer)
            case PeerAnswered():
                self._detector.record_contact(event.address, now)
            case ConnectionRefused():
                self._detector.end_probe(event.address)
                actions += self._suspect(event.address, True, now)
            case HostListUpdated():
                self._update_listing(event)
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
                actions += self._start_leaving(event.successor, now)
            case Ticked():
                pass
        actions += self._send_heartbeats(now)
        actions += self._advance_probes(now)
        actions += self._refute_suspicion(now)
        self._is_changed |= self._table.expire_silent(self._own_key, now)
        if self._is_changed:
            self._is_changed = False
            actions.append(MembersChanged(members=self.members))
        return actions + self._schedule()

    @property
    def _own_key(self) -> ProcessKey:
        return get_process_key(self._own)

    def _get_view(self, entry: Entry) -> Member:
        view = entry.get_view()
        if view.state is MemberState.LIVE and self._listing.is_leaving(view):
            return evolve(view, state=MemberState.LEAVING)
        return view

    def _handle_freeze(self, now: float) -> None:
        """Don't count time in which this process was frozen as silence of others."""
        if (
            self._next_heartbeat_at is None
            or now < self._next_heartbeat_at + MIN_FREEZE_S
        ):
            return
        self._table.discount_freeze(now - self._next_heartbeat_at, now)
        self._next_sync_at = now

    def _merge_own(self, now: float) -> None:
        if not self.is_replaced:
            self._is_changed |= self._table.merge(self._own, None, now)

    def _change_own(self, own: Member, now: float) -> None:
        self._own = evolve(own, beat=own.beat + 1)
        self._merge_own(now)

    def _update_listing(self, event: HostListUpdated) -> None:
        previous = self.members
        incarnations = {
            entry.member.peer_address: entry.member.incarnation
            for entry in self._table.list_entries()
        }
        self._listing.update(event.hosts, incarnations)
        self._is_changed |= self.members != previous

    def _handle_heartbeat(
        self, event: HeartbeatReceived, now: float
    ) -> list[MembershipAction]:
        source = next(
            (m.peer_address for m in event.members if m.host == event.sender), None
        )
        if source is not None:
            self._detector.record_contact(source, now)
        for member in event.members:
            self._is_changed |= self._table.merge(member, source, now)
        if not event.wants_reply:
            return []
        return [ReplyHeartbeat(members=self._list_changed_members(source))]

    def _reset_sent_changes(self, peer: HostId) -> None:
        for entry in self._table.list_entries():
            if entry.member.host == peer:
                self._sent_changes.pop(entry.member.peer_address, None)

    def _drop_gone_peers(self, live: list[str]) -> None:
        self._sent_changes = {
            peer: self._sent_changes[peer]
            for peer in live
            if peer in self._sent_changes
        }

    def _start_leaving(
        self, successor: IncarnationId | None, now: float
    ) -> list[MembershipAction]:
        """Notify every live peer at once, so that new work stops within seconds."""
        leaving = evolve(self._own, state=MemberState.LEAVING, successor=successor)
        self._change_own(leaving, now)
        return [self._send(address) for address in self._list_live()]

    def _send_heartbeats(self, now: float) -> list[MembershipAction]:
        if self._next_heartbeat_at is not None and now < self._next_heartbeat_at:
            return []
        # The jitter keeps processes that started together from sending together.
        self._next_heartbeat_at = now + HEARTBEAT_S * self._random.uniform(0.9, 1.1)
        if not self.is_replaced:
            self._change_own(self._own, now)
        actions: list[MembershipAction] = []
        live = self._list_live()
        fanout = SMALL_CELL_FANOUT if len(live) <= SMALL_CELL_PEERS else FANOUT
        chosen = self._random.sample(live, min(fanout, len(live)))
        if chosen and now >= self._next_sync_at:
            self._next_sync_at = now + FULL_SYNC_S * self._random.uniform(0.5, 1.5)
            self._drop_gone_peers(live)
            self._sent_changes.pop(chosen[0], None)
        actions += [self._send(address) for address in chosen]
        actions += self._contact_unknown(live)
        actions += self._detector.start_probes(self._list_probed(), now)
        return actions

    def _schedule(self) -> list[MembershipAction]:
        """Request a tick at the next heartbeat or repeated probe."""
        times = (self._next_heartbeat_at, self._detector.wake_at)
        wake_at = min(time for time in times if time is not None)
        if wake_at == self._wake_at:
            return []
        self._wake_at = wake_at
        return [WakeAt(time=wake_at)]

    def _advance_probes(self, now: float) -> list[MembershipAction]:
        if self._detector.wake_at is None:
            return []
        actions: list[MembershipAction] = []
        probes, failed = self._detector.advance(self._list_trusted(), now)
        actions += probes
        for address in failed:
            actions += self._suspect(address, False, now)
        return actions

    def _suspect(
        self, address: str, is_refused: bool, now: float
    ) -> list[MembershipAction]:
        """Mark the live process at an address as suspected, and notify all peers."""
        actions: list[MembershipAction] = []
        for entry in list(self._table.list_entries()):
            member = entry.member
            if member.peer_address != address or not self._is_known_live(entry):
                continue
            if member.is_suspected and not (is_refused and not member.is_refused):
                continue
            # Heartbeats that are still being relayed must not refute the suspicion.
            elapsed_s = now - entry.last_heartbeat_at
            beat = member.beat + ceil(MAX_BEATS_PER_S * elapsed_s) + 1
            suspicion = Suspicion(beat, is_refused)
            suspected = evolve(member, suspicion=suspicion)
            self._is_changed |= self._table.merge(suspected, None, now)
            actions += [self._send(peer) for peer in self._list_live()]
        return actions

    def _is_known_live(self, entry: Entry) -> bool:
        """Return whether heartbeats of another process are received."""
        if get_process_key(entry.member) == self._own_key:
            return False
        return not entry.is_silent and entry.member.state is not MemberState.GONE

    def _refute_suspicion(self, now: float) -> list[MembershipAction]:
        """Announce a heartbeat that refutes a suspicion of this process.

        It is announced once, also if an earlier heartbeat is beyond the suspicion: that
        one takes seconds to reach all.
        """
        entry = self._table.find(self._own_key)
        if entry is None or self.is_replaced:
            return []
        suspicion = entry.member.suspicion
        if suspicion is None or suspicion.beat <= self._refuted_beat:
            return []
        self._refuted_beat = suspicion.beat
        beat = max(self._own.beat, suspicion.beat)
        self._change_own(evolve(self._own, beat=beat), now)
        return [self._send(address) for address in self._list_live()]

    def _contact_unknown(self, live: list[str]) -> list[MembershipAction]:
        """Send a heartbeat to one address without a known live process.

        This is how a process joins, and how the parts of a partitioned network find
        each other again.
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
        self._sent_changes.pop(address, None)
        return [self._send(address)]

    def _send(self, address: str) -> SendHeartbeat:
        return SendHeartbeat(
            peer_address=address, members=self._list_changed_members(address)
        )

    def _list_changed_members(self, address: str | None) -> tuple[Member, ...]:
        """Return the entries to send to a peer: the own one, and others that changed.

        These are the changes since the last heartbeat to the address, or all entries
        if there is no address. If a later process has replaced this one, its entry is
        among the changes, and the own one is left out.
        """
        since = 0 if address is None else self._sent_changes.get(address, 0)
        changed = self._table.list_changes(since, address)
        if address is not None:
            self._sent_changes[address] = self._table.last_change
        others = [
            member for member in changed if get_process_key(member) != self._own_key
        ]
        replacing = [
            member for member in changed if get_process_key(member) == self._own_key
        ]
        own = replacing if self.is_replaced else [self._own]
        return (*own, *others)

    def _list_probed(self) -> list[str]:
        """Return the addresses of gateways that address answers may contain."""
        return sorted(
            entry.member.peer_address
            for entry in self._table.list_entries()
            if entry.member.state is MemberState.LIVE
            and entry.member.role is ProcessRole.GATEWAY
            and self._is_known_live(entry)
            and not entry.member.is_suspected
        )

    def _list_trusted(self) -> list[str]:
        """Return the addresses of peers with heartbeats that are not suspected."""
        return sorted(
            entry.member.peer_address
            for entry in self._table.list_entries()
            if self._is_known_live(entry) and not entry.member.is_suspected
        )

    def _list_live(self) -> list[str]:
        """Return the addresses of peers with heartbeats, including leaving ones."""
        return sorted(
            entry.member.peer_address
            for entry in self._table.list_entries()
            if self._is_known_live(entry)
        )
