"""The entries that one process holds of all others."""

from collections.abc import Iterator

from attrs import define, evolve, field

from ...models.identifiers import HostId
from ...models.member import Member, MemberState, ProcessRole
from .const import GONE_KEPT_S, SILENCE_S

ProcessKey = tuple[HostId, ProcessRole]
"""A gateway and a controller of one host are different processes."""

STATE_RANKS = {MemberState.LIVE: 0, MemberState.LEAVING: 1, MemberState.GONE: 2}


def name_key(member: Member) -> ProcessKey:
    """Return what stays the same when a process is restarted."""
    return member.host, member.role


@define
class Entry:
    """A member with when and from whom its last news came."""

    member: Member
    heard_at: float
    """Time at which its beat last rose."""

    change: int
    """Number of the last change of this entry."""

    source: str | None
    """Peer address that the last change came from; None for own news."""

    is_silent: bool = False
    """Whether its beats stayed away too long; a judgement of this process only."""

    def make_view(self) -> Member:
        """Return the member as this process judges it."""
        if self.is_silent:
            return evolve(self.member, state=MemberState.GONE, ready=False)
        return self.member


@define
class MemberTable:
    """Entries by process; only a process itself says that it leaves."""

    _entries: dict[ProcessKey, Entry] = field(factory=dict)
    _changes: int = 0

    @property
    def last_change(self) -> int:
        """Return the number of the latest change."""
        return self._changes

    def merge(self, member: Member, source: str | None, now: float) -> bool:
        """Take an entry if it is news; return whether anything but the beat changed."""
        key = name_key(member)
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = Entry(member, now, self._count(), source)
            return True
        merged = merge_members(entry.member, member)
        if merged == entry.member:
            return False
        before = entry.make_view()
        if is_newer_life(merged, entry.member) or merged.beat > entry.member.beat:
            entry.heard_at = now
            entry.is_silent = False
        entry.member = merged
        entry.change = self._count()
        entry.source = source
        return evolve(before, beat=0) != evolve(entry.make_view(), beat=0)

    def find(self, key: ProcessKey) -> Entry | None:
        """Return the entry of a process."""
        return self._entries.get(key)

    def list_entries(self) -> Iterator[Entry]:
        """Yield all entries."""
        yield from self._entries.values()

    def list_changes(self, since: int, to: str | None) -> tuple[Member, ...]:
        """Return the entries changed since a change that a peer doesn't know.

        Silent entries are left out: a receiver would take them for live.
        """
        return tuple(
            entry.member
            for entry in self._entries.values()
            if entry.change > since
            and not entry.is_silent
            and (to is None or entry.source != to)
        )

    def judge(self, own: ProcessKey, now: float) -> bool:
        """Mark silent entries and drop old ones; return whether any changed."""
        changed = False
        for key, entry in list(self._entries.items()):
            if key == own:
                continue
            quiet_s = now - entry.heard_at
            if quiet_s >= GONE_KEPT_S:
                del self._entries[key]
                changed = True
            elif quiet_s >= SILENCE_S and not entry.is_silent:
                entry.is_silent = True
                changed = True
        return changed

    def forgive(self, frozen_s: float, now: float) -> None:
        """Leave out of account the time in which the own process was frozen."""
        for entry in self._entries.values():
            if not entry.is_silent:
                entry.heard_at = min(now, entry.heard_at + frozen_s)

    def _count(self) -> int:
        self._changes += 1
        return self._changes


def is_newer_life(one: Member, other: Member) -> bool:
    """Return whether `one` is a later incarnation than `other`."""
    if one.incarnation == other.incarnation:
        return False
    return (one.started_at, one.incarnation) > (other.started_at, other.incarnation)


def merge_members(held: Member, news: Member) -> Member:
    """Return the newer of two entries of a process; a state never goes back."""
    if held.incarnation != news.incarnation:
        return news if is_newer_life(news, held) else held
    newer = news if news.beat > held.beat else held
    state = max(held.state, news.state, key=STATE_RANKS.__getitem__)
    return evolve(newer, state=state, successor=news.successor or held.successor)
