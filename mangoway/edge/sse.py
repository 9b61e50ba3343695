"""Splitting of a stream of server-sent events into events."""

import re
from collections.abc import Iterator
from typing import Final

from attrs import frozen

EVENT_END = b"\n\n"
ID_FIELD = b"\nid:"
"""Beginning of the line with the id, with the end of the line before it."""

ID_NUMBER: Final = re.compile("[0-9]{1,18}")
"""Numbers within 64 bits; other digits or thousands of them can't be converted."""


@frozen
class StreamEvent:
    """One event, with its bytes as sent by the runner."""

    data: bytes
    event_id: str | None

    @property
    def number(self) -> int | None:
        """Return the id as a number; None if it isn't a number."""
        return parse_number(self.event_id)


def parse_number(event_id: str | None) -> int | None:
    """Return the id of an event as a number; None if it isn't a number."""
    text = event_id or ""
    return int(text) if ID_NUMBER.fullmatch(text) else None


class EventSplitter:
    """Collects bytes until events are complete."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def rest(self) -> bytearray:
        """Return the bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> Iterator[StreamEvent]:
        """Return the events that these bytes complete, each parsed when it is read.

        A faulty runner may send a large event in tiny parts, so only new bytes are
        searched for its end.
        """
        if self._rest:
            searched = len(self._rest) - len(EVENT_END) + 1
            self._rest += data
            if self._rest.find(EVENT_END, searched) < 0:
                return iter(())
            data = bytes(self._rest)
        parts = data.split(EVENT_END)
        self._rest = bytearray(parts.pop())
        return (StreamEvent(part + EVENT_END, _find_id(part)) for part in parts)


def _find_id(event: bytes) -> str | None:
    _, field, rest = (b"\n" + event).partition(ID_FIELD)
    return rest.partition(b"\n")[0].strip().decode("latin-1") if field else None
