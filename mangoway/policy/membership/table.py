"""Table of the members known to one process."""

from collections.abc import Iterator

from attrs import define, evolve, field

from ...models.identifiers import HostId
from ...models.member import Member, MemberState, ProcessRole, Suspicion
from .const import GONE_RETENTION_S, SILENCE_S

ProcessKey = tuple[HostId, ProcessRole]
"""Key of a process: a gateway and a controller of one host are different processes."""

STATE_RANKS = {MemberState.LIVE: 0, MemberState.LEAVING: 1, MemberState.GONE: 2}


def get_process_key(member: Member) -> ProcessKey:
    """Return the key of a process, which stays the same after a restart."""
    return member.host, member.role


@define
class Entry:
    """A member, with the time and the source of its last update."""

    member: Member
    last_heartbeat_at: float
    """When its heartbeat counter last increased."""

    change: int
    """Number of the last change of this entry."""

    source: str | None
    """Peer address that sent the last change; None for own changes."""

    is_silent: bool = False
    """Whether its heartbeats have been missing for too long; not shared with peers."""

    def get_view(self) -> Member:
        """Return the member with its state as seen by this process."""
        if self.is_silent:
            return evolve(self.member, state=MemberState.GONE, ready=False)
        return self.member


@define
class MemberTable:
    """Entries by process; only a process itself reports that it leaves."""

    _entries: dict[ProcessKey, Entry] = field(factory=dict)
    _last_change: int = 0

    @property
    def last_change(self) -> int:
        """Return the number of the latest change."""
        return self._last_change

    def merge(self, member: Member, source: str | None, now: float) -> bool:
        """Merge an entry; return whether anything but the heartbeat counter changed."""
        key = get_process_key(member)
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = Entry(member, now, self._next_change(), source)
            return True
        merged = merge_members(entry.member, member)
        if merged == entry.member:
            return False
        previous = _clear_beat(entry.get_view())
        if (
            is_newer_incarnation(merged, entry.member)
            or merged.beat > entry.member.beat
        ):
            entry.last_heartbeat_at = now
            entry.is_silent = False
        entry.member = merged
        entry.change = self._next_change()
        entry.source = source
        return previous != _clear_beat(entry.get_view())

    def find(self, key: ProcessKey) -> Entry | None:
        """Return the entry of a process."""
        return self._entries.get(key)

    def list_entries(self) -> Iterator[Entry]:
        """Yield all entries."""
        yield from self._entries.values()

    def list_changes(self, since: int, receiver: str | None) -> tuple[Member, ...]:
        """Return the entries changed after change number `since`.

        Those that came from the receiver itself are left out, but for its own entry
        with a suspicion, which it may have to refute. So are silent entries, which it
        would consider live.
        """
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.change > since
            and not entry.is_silent
            and (
                receiver is None
                or entry.source != receiver
                or _must_refute(entry.member, receiver)
            )
        )

    def expire_silent(self, own: ProcessKey, now: float) -> bool:
        """Mark silent entries and drop old ones; return whether any entry changed."""
        changed = False
        for key, entry in list(self._entries.items()):
            if key == own:
                continue
            silent_s = now - entry.last_heartbeat_at
            if silent_s >= GONE_RETENTION_S:
                del self._entries[key]
                changed = True
            elif silent_s >= SILENCE_S and not entry.is_silent:
                entry.is_silent = True
                changed = True
        return changed

    def discount_freeze(self, frozen_s: float, now: float) -> None:
        """Don't count time in which this process was frozen as silence of others."""
        for entry in self._entries.values():
            if not entry.is_silent:
                entry.last_heartbeat_at = min(now, entry.last_heartbeat_at + frozen_s)

    def _next_change(self) -> int:
        self._last_change += 1
        return self._last_change


def _must_refute(member: Member, address: str) -> bool:
    return member.peer_address == address and member.suspicion is not None


def _clear_beat(member: Member) -> Member:
    """Return a member without its heartbeat counter, for comparisons.

    Its suspicion is kept only if it holds.
    """
    suspicion = member.suspicion if member.is_suspected else None
    return evolve(member, beat=0, suspicion=suspicion)


def is_newer_incarnation(one: Member, other: Member) -> bool:
    """Return whether `one` is a later incarnation than `other`."""
    if one.incarnation == other.incarnation:
        return False
    return (one.started_at, one.incarnation) > (other.started_at, other.incarnation)


def merge_members(known: Member, received: Member) -> Member:
    """Return the newer of two entries of a process; its state is never reverted."""
    if known.incarnation != received.incarnation:
        return received if is_newer_incarnation(received, known) else known
    newer = received if received.beat > known.beat else known
    return evolve(
        newer,
        state=max(known.state, received.state, key=STATE_RANKS.__getitem__),
        successor=received.successor or known.successor,
        suspicion=_merge_suspicions(known.suspicion, received.suspicion),
    )


def _merge_suspicions(
    known: Suspicion | None, received: Suspicion | None
) -> Suspicion | None:
    if known is None or received is None:
        return known or received
    return max(known, received)
