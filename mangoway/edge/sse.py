"""Cuts a stream of server-sent events into whole events."""

from attrs import frozen

END = b"\n\n"
ID_FIELD = b"id:"


@frozen
class StreamEvent:
    """One event, with the bytes that it was sent in."""

    data: bytes
    event_id: str | None

    @property
    def number(self) -> int | None:
        """Return the id as a number; None if it is none."""
        text = self.event_id
        return int(text) if text is not None and text.isdigit() else None


class EventSplitter:
    """Collects bytes until events are complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with these bytes."""
        joined = (self._rest + data) if self._rest else data
        parts = joined.split(END)
        self._rest = parts.pop()
        return [StreamEvent(part + END, _find_id(part)) for part in parts]


def _find_id(event: bytes) -> str | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
