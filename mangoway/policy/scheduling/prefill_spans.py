"""The recent prefills of a runner, and the pauses that a further one causes.

Two prompts fall into the same pause between two events of a stream unless the steps of
a whole event lie between them.
"""

from collections import deque
from typing import Final

from attrs import define, field

MAX_PREFILLS: Final = 32
"""Recent prompts of a runner that are kept. More than these fit into one pause only if
each is a few dozen tokens long."""


@define
class PrefillSpan:
    """Time in which a runner prefills one prompt: expected, then as its event shows."""

    begins_at: float
    ends_at: float


@define(eq=False)
class RecentPrefills:
    """The prompts that a runner has prefilled or prefills, oldest first."""

    _spans: deque[PrefillSpan] = field(factory=lambda: deque(maxlen=MAX_PREFILLS))

    def add(self, begins_at: float, ends_at: float) -> PrefillSpan:
        """Add and return the expected span of a prompt that is sent to the runner."""
        span = PrefillSpan(begins_at, ends_at)
        self._spans.append(span)
        return span

    def measure_pause(
        self, prefill_s: float, begins_at: float, event_s: float, since: float
    ) -> float:
        """Return the longest pause of a stream that a further prompt may cause.

        Args:
            prefill_s: Prefill time of the prompt.
            begins_at: Start of its prefill.
            event_s: Time of the steps of one event.
            since: First event of the stream; earlier prompts didn't delay it.
        """
        pause_s, steps_s, at = event_s + prefill_s, 0.0, begins_at
        for span in reversed(self._spans):
            steps_s += max(0.0, at - span.ends_at)
            if steps_s >= event_s or span.ends_at <= since:
                break
            pause_s += span.ends_at - max(span.begins_at, since)
            at = span.begins_at
        return pause_s
