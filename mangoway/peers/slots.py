"""Short slot numbers for texts that heartbeats would repeat."""

from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from ..models.identifiers import IncarnationId
from ..models.member import Member
from .const import MAX_SESSIONS, MAX_SLOTS, OWN_SLOT


class SlotsExhausted(Exception):
    """A session has no slot left; the sender begins a new one."""


@define(eq=False)
class SlotTable:
    """Slots that this process gave out in its current session."""

    own: IncarnationId
    _members: dict[IncarnationId, int] = field(factory=dict, init=False)
    _names: dict[str, int] = field(factory=dict, init=False)
    _texts: list[str] = field(factory=list, init=False)

    def find_member(self, incarnation: IncarnationId) -> int:
        """Return the slot of an incarnation, a new one if it has none.

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

    def find_name(self, text: str) -> int:
        """Return the slot of a text, a new one if it has none.

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
        """Return the text of a slot that this table gave out."""
        return self._texts[slot]


@define(eq=False)
class PeerView:
    """What a peer was sent in this process's current session."""

    session: int
    """Session of the peer."""

    successors: dict[int, IncarnationId | None] = field(factory=dict)
    """Slots of members whose identity was sent, with the successor it named."""

    names: set[int] = field(factory=set)
    reports_up_to: int = 0
    """Reports up to this update of the report book were sent."""

    residencies: dict[int, int] = field(factory=dict)
    """Digest of the residency that was sent last, by slot of the runner."""


@define(eq=False)
class SenderView:
    """What a peer's slots mean, in one session of it."""

    members: dict[int, Member] = field(factory=dict)
    names: dict[int, str] = field(factory=dict)


@define(eq=False)
class SenderViews:
    """Views of the senders that were heard last, by session."""

    _views: OrderedDict[int, SenderView] = field(factory=OrderedDict, init=False)

    def __iter__(self) -> Iterator[int]:
        return iter(self._views)

    def get(self, session: int) -> SenderView:
        """Return the view of a session; the one heard longest ago may be dropped."""
        view = self._views.get(session)
        if view is None:
            view = SenderView()
            self._views[session] = view
            if len(self._views) > MAX_SESSIONS:
                self._views.popitem(last=False)
        self._views.move_to_end(session)
        return view


def _check_slot(slot: int) -> None:
    if slot >= MAX_SLOTS:
        raise SlotsExhausted
