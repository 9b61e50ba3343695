"""Short slot numbers for texts that are repeated in heartbeats."""

from collections import OrderedDict
from collections.abc import Iterator
from sys import intern

from attrs import define, field

from ..models.identifiers import IncarnationId
from ..models.member import Member
from .const import MAX_SESSIONS, MAX_SLOTS, OWN_SLOT


class SlotsExhausted(Exception):
    """A session has no slot left; the sender starts a new session."""


@define(eq=False)
class SlotTable:
    """Slots that this process assigned in its current session."""

    own: IncarnationId
    _members: dict[IncarnationId, int] = field(factory=dict, init=False)
    _names: dict[str, int] = field(factory=dict, init=False)
    _texts: list[str] = field(factory=list, init=False)

    def get_member_slot(self, incarnation: IncarnationId) -> int:
        """Return the slot of an incarnation; assign one if it has none.

        Raises:
            SlotsExhausted: If no slot is left.
        """
        if incarnation == self.own:
            return OWN_SLOT
        slot = self._members.get(incarnation)
        if slot is None:
            slot = OWN_SLOT + 1 + len(self._members)
            _check_slot(slot)
            self._members[incarnation] = slot
        return slot

    def get_name_slot(self, text: str) -> int:
        """Return the slot of a text; assign one if it has none.

        Raises:
            SlotsExhausted: If no slot is left.
        """
        slot = self._names.get(text)
        if slot is None:
            slot = len(self._texts)
            _check_slot(slot)
            self._names[text] = slot
            self._texts.append(text)
        return slot

    def get_text(self, slot: int) -> str:
        """Return the text of an assigned slot."""
        return self._texts[slot]


@define(eq=False)
class SlotSet:
    """A set of slots, one byte each, to save memory: there is one set for each peer."""

    _marks: bytearray = field(factory=bytearray, init=False)

    def __contains__(self, slot: int) -> bool:
        return slot < len(self._marks) and bool(self._marks[slot])

    def add(self, slot: int) -> None:
        """Add a slot."""
        missing = slot + 1 - len(self._marks)
        if missing > 0:
            self._marks.extend(bytes(missing))
        self._marks[slot] = 1

    def clear(self) -> None:
        """Remove all slots."""
        self._marks.clear()


@define(eq=False)
class SlotTexts:
    """Texts by slot, in a list, since slots are dense; equal texts are stored once.

    Each peer sends the same names of runners and artifacts, so copies of them would
    take most of the memory of a process in a large cell.
    """

    _texts: list[str | None] = field(factory=list, init=False)

    def get(self, slot: int) -> str | None:
        """Return the text of a slot; None if it is unknown."""
        return self._texts[slot] if slot < len(self._texts) else None

    def store(self, slot: int, text: str) -> None:
        """Store the text of a slot.

        Raises:
            ValueError: If the slot exceeds the limit of a session.
        """
        if slot >= MAX_SLOTS:
            raise ValueError(f"slot {slot} exceeds the limit of a session")
        missing = slot + 1 - len(self._texts)
        if missing > 0:
            self._texts.extend([None] * missing)
        self._texts[slot] = intern(text)


@define(eq=False)
class SentState:
    """Record of the data that a peer was sent in this process's current session."""

    session: int
    """Session of the peer."""

    successors: dict[int, IncarnationId | None] = field(factory=dict)
    """Successor in the last sent identity, by slot of the member."""

    names: SlotSet = field(factory=SlotSet)
    """Slots of names that were sent."""

    reports_up_to: int = 0
    """Number of the last update of the report tracker that was sent."""

    residencies: dict[int, int] = field(factory=dict)
    """Digest of the last sent residency, by slot of the runner."""


@define(eq=False)
class SenderSlots:
    """Members and names that a peer's slots stand for in one of its sessions."""

    members: dict[int, Member] = field(factory=dict)
    names: SlotTexts = field(factory=SlotTexts)


@define(eq=False)
class RecentSenderSlots:
    """Slots of the peers that sent heartbeats most recently, by session."""

    _slots_by_session: OrderedDict[int, SenderSlots] = field(
        factory=OrderedDict, init=False
    )

    def __iter__(self) -> Iterator[int]:
        return iter(self._slots_by_session)

    def get(self, session: int) -> SenderSlots:
        """Return the slots of a session; a new one may replace the least recent one."""
        slots = self._slots_by_session.get(session)
        if slots is None:
            slots = SenderSlots()
            self._slots_by_session[session] = slots
            if len(self._slots_by_session) > MAX_SESSIONS:
                self._slots_by_session.popitem(last=False)
        self._slots_by_session.move_to_end(session)
        return slots


def _check_slot(slot: int) -> None:
    if slot >= MAX_SLOTS:
        raise SlotsExhausted
