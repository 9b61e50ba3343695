"""The interface that all decision cores share."""

from typing import Protocol, TypeVar

EventT_contra = TypeVar("EventT_contra", contravariant=True)
ActionT = TypeVar("ActionT")


class Core(Protocol[EventT_contra, ActionT]):
    """A pure state machine: events and the time go in, actions come out."""

    def handle(self, event: EventT_contra, now: float) -> list[ActionT]:
        """Take one event at time `now` (seconds, never decreasing)."""
        ...
