"""Checks of the order of streams: what their callers received, event by event."""

import re
from enum import Enum
from typing import Final

from attrs import define, field, frozen

EVENT_COUNT: Final = 12
"""Number of events of a stream."""

EVENT: Final = re.compile(
    r"(?:id: (\S+)\n)?data: (\w+) (\d+)(?: r(\d+))?(?: (v\S*))?\n\n"
)
EXAMPLES: Final = 3
"""Streams that a violation names."""


class Disorder(Enum):
    """How a stream can be out of order."""

    MISSING = "missing"
    """An event isn't where it is due."""

    REPEATED = "repeated"
    """An event comes again."""

    JOINED = "joined"
    """Events of two runs, or of two software versions, are joined."""

    SHORT = "short"
    """The stream ends as if complete before its last event."""


class EventIds(Enum):
    """IDs that runners give to the events of their streams."""

    RISING = "rising"
    SPARSE = "sparse"
    """Numbers that rise by more than one."""

    TEXT = "text"
    """Texts that aren't numbers."""

    PARTIAL = "partial"
    """Numbers that rise by one, at each third event only."""

    def make(self, number: int) -> str:
        """Return the ID of an event; empty if it has none."""
        if self is EventIds.SPARSE:
            return str(1_000 + 7 * number * number)
        if self is EventIds.TEXT:
            return f"e{number:03}"
        if self is EventIds.PARTIAL:
            return str(number // 3 + 1) if number % 3 == 1 else ""
        return str(number)

    def find(self, event_id: str) -> int:
        """Return the number of the event with an ID; 0 if there is none."""
        numbers = range(1, EVENT_COUNT + 1 if event_id else 1)
        return next((each for each in numbers if self.make(each) == event_id), 0)


@frozen
class Event:
    """One event, as its caller received it."""

    number: int
    run: str = ""
    """Run that generated it; empty if it doesn't say so."""

    version: str = ""
    """Software version of its runner; empty if it doesn't say so."""

    event_id: str = ""


@frozen(kw_only=True)
class Response:
    """The events of one response, which may be the rest of a stream."""

    events: tuple[Event, ...]
    after: int = 0
    """Event that its request named as the last one; 0 for a new stream."""

    has_ended: bool = False
    """Whether it ended as if complete."""

    may_resume: bool = True
    """Whether another run may go on with the stream."""


@define
class OrderReport:
    """How many streams were judged, and which were out of order in which way."""

    judged: int = 0
    found: dict[Disorder, list[str]] = field(
        factory=lambda: {each: [] for each in Disorder}
    )
    """What was wrong in each stream."""

    joined_tries: list[str] = field(factory=list)
    """Streams that are joined from two versions by the tries of their callers only."""

    def add(
        self, name: str, responses: list[Response], starts: dict[str, set[int]]
    ) -> None:
        """Judge a stream by all responses that brought its events.

        A caller names the last event whose ID it has seen, so that events after that
        one may come again in the next response.

        Args:
            name: Name of the stream.
            responses: The responses.
            starts: Events after which runners began each run, or went on with it.
        """
        self.judged += 1
        disorders = set().union(*(judge(each, starts) for each in responses))
        for each in sorted(disorders, key=lambda disorder: disorder.value):
            self.found[each].append(name)
        versions = {event.version for each in responses for event in each.events}
        if len(versions) > 1 and Disorder.JOINED not in disorders:
            self.joined_tries.append(name)

    def count(self) -> dict[str, int]:
        """Return the number of streams out of order, by what was wrong."""
        counts = {each.value: len(names) for each, names in self.found.items()}
        counts[Disorder.JOINED.value] += len(self.joined_tries)
        return counts

    def list_violations(self, joined_allowed: int = 0) -> list[str]:
        """Return one violation for each way of being out of order that was seen.

        Args:
            joined_allowed: Number of streams that callers may have joined from two
                versions by resuming them.
        """
        found = dict(self.found)
        if len(self.joined_tries) > joined_allowed:
            found[Disorder.JOINED] = found[Disorder.JOINED] + self.joined_tries
        return [
            f"order-{each.value}: {len(names)} of {self.judged} streams, such as "
            + ", ".join(names[:EXAMPLES])
            for each, names in found.items()
            if names
        ]


def parse_events(text: str) -> tuple[tuple[Event, ...], str]:
    """Return the complete events of a response's text, and all other text."""
    events = tuple(
        Event(int(match[3]), match[4] or "", match[5] or "", match[1] or "")
        for match in EVENT.finditer(text)
    )
    return events, EVENT.sub("", text)


def encode_event(request_id: str, event: Event) -> str:
    """Return the text of an event of a request."""
    words = [request_id, str(event.number), event.run and f"r{event.run}"]
    words.append(event.version)
    id_line = f"id: {event.event_id}\n" if event.event_id else ""
    return f"{id_line}data: {' '.join(each for each in words if each)}\n\n"


def judge(response: Response, starts: dict[str, set[int]]) -> set[Disorder]:
    """Return what is wrong with the order of one response.

    Args:
        response: The response.
        starts: Numbers of the events after which runners began each run, or went on
            with it.
    """
    found = set()
    last = Event(response.after)
    numbers: set[int] = set()
    runs: set[str] = set()
    for event in response.events:
        if event.number in numbers or event.number <= response.after:
            found.add(Disorder.REPEATED)
        elif event.number != last.number + 1:
            found.add(Disorder.MISSING)
        elif event.run != last.run and not _may_follow(event, last, starts):
            found.add(Disorder.JOINED)
        is_other_run = event.run != last.run and bool(numbers)
        if is_other_run and (event.run in runs or not response.may_resume):
            found.add(Disorder.JOINED)
        numbers.add(event.number)
        runs.add(event.run)
        last = event
    if len({each.version for each in response.events}) > 1:
        found.add(Disorder.JOINED)
    received = max(numbers, default=response.after)
    if response.has_ended and received < EVENT_COUNT:
        found.add(Disorder.SHORT)
    return found


def _may_follow(event: Event, last: Event, starts: dict[str, set[int]]) -> bool:
    """Return whether a run went on, or began, after the last event."""
    return event.run not in starts or last.number in starts[event.run]
