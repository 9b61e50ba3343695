"""Interface of the decision cores."""

from typing import Protocol, TypeVar

EventT_contra = TypeVar("EventT_contra", contravariant=True)
ActionT = TypeVar("ActionT")


class Core(Protocol[EventT_contra, ActionT]):
    """A state machine without I/O: maps events and the time to actions."""

    def handle(self, event: EventT_contra, now: float) -> list[ActionT]:
        """Process one event at time `now` (seconds, never decreasing)."""
        ...
