"""Which events of a stream its caller has, over all runners that send them.

Ids are whole numbers that rise by one, as far as runners keep to the protocol. Others
and missing ones are told apart by their place. An event in a place that the caller has
must have the same content; otherwise it belongs to another run, or the runner counts
from another start.
"""

from array import array
from enum import Enum
from typing import Final

from attrs import define, field, frozen

DIGEST_MASK: Final = 0xFFFFFFFF
"""Four bytes for each event: hosts hold those of thousands of streams."""

Key = int | str | None
Place = tuple[Key, int]
"""An id, and how many events without an id have followed it."""


class Placement(Enum):
    """What an event is to the caller."""

    NEW = "new"
    DUPLICATE = "duplicate"
    """The caller has it."""

    GAP = "gap"
    """An event before it is missing."""

    CONFLICT = "conflict"
    """The caller has another event in its place."""


@frozen
class PassedEvent:
    """An event without a number that was passed on."""

    digest: int
    attempt: int


@define(eq=False)
class EventOrder:
    """The events of one stream that were passed on, or that its caller had before."""

    _last_number: int | None = None
    """Number of the last event that the caller has; None if it has none."""

    _first_number: int | None = field(default=None, init=False)
    """Number of the first event that was passed on."""

    _digests: "array[int]" = field(factory=lambda: array("I"), init=False)
    """Of the events with numbers, from the first one."""

    _others: dict[Place, PassedEvent] = field(factory=dict, init=False)
    """Events without numbers by their place."""

    _attempt: int = field(default=0, init=False)
    _passed_key: Key = field(default=None, init=False)
    """Id of the last event with one that was passed on."""

    _place: Place = field(default=(None, 0), init=False)
    """Place of the last event of the current attempt."""

    is_resumable: bool = field(default=True, init=False)
    """Whether the last id says where the stream goes on."""

    def begin_attempt(self) -> None:
        """Expect the events of another runner, after the last id."""
        self._attempt += 1
        self._place = (self._passed_key, 0)

    def place(self, event_id: str | None, number: int | None, data: bytes) -> Placement:
        """Return what the next event of the current attempt is to the caller.

        A new one counts as passed on.

        Args:
            event_id: Its id; None without one.
            number: Its id as a number; None if it isn't one.
            data: Its content.
        """
        digest = hash(data) & DIGEST_MASK
        if number is not None:
            self._place = (number, 0)
            return self._place_number(number, digest)
        if event_id is None:
            key, followers = self._place
            self._place = (key, followers + 1)
        else:
            self._place = (event_id, 0)
        known = self._others.get(self._place)
        if known is not None and known.attempt < self._attempt:
            is_same = known.digest == digest
            return Placement.DUPLICATE if is_same else Placement.CONFLICT
        self._others[self._place] = PassedEvent(digest, self._attempt)
        if event_id is not None:
            self._passed_key = event_id
        self.is_resumable = self._passed_key is not None and known is None
        return Placement.NEW

    def _place_number(self, number: int, digest: int) -> Placement:
        last = self._last_number
        if last is not None and number > last + 1:
            return Placement.GAP
        if last is not None and number <= last:
            index = -1 if self._first_number is None else number - self._first_number
            if index < 0 or self._digests[index] == digest:
                return Placement.DUPLICATE
            return Placement.CONFLICT
        if self._first_number is None:
            self._first_number = number
        self._digests.append(digest)
        self._last_number = self._passed_key = number
        self.is_resumable = True
        return Placement.NEW
