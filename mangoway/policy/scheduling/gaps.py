"""How many streams are late by pauses, and how much runners may read beside them.

Prompts that a runner reads delay the tokens of its streams. How much depends on the
engine: on how much it reads between two tokens, and on how many tokens make an event.
Neither is declared, so the share of reading is chosen by the pauses that are seen.
"""

from attrs import define, field

from .const import (
    CALM_COPY_WORK_S,
    GAPS_FALL_S,
    HIGH_GAP_SHARE,
    LOADED_COPY_WORK_S,
    LOW_GAP_SHARE,
    PRIOR_GAP_SHARE,
    PRIOR_STREAMS_PER_S,
)
from .demand import Rate


@define(eq=False)
class Gaps:
    """Streams of a service that ended lately, and those that paused for too long."""

    _streams: Rate = field(factory=lambda: Rate(GAPS_FALL_S), init=False)
    _paused: Rate = field(factory=lambda: Rate(GAPS_FALL_S), init=False)

    def note(self, now: float, *, paused: bool) -> None:
        """Count a stream that ended."""
        self._streams.add(1, now)
        if paused:
            self._paused.add(1, now)

    def get_share(self, now: float) -> float:
        """Return the share of streams that paused for too long."""
        paused = self._paused.decay(now) + PRIOR_GAP_SHARE * PRIOR_STREAMS_PER_S
        return paused / (self._streams.decay(now) + PRIOR_STREAMS_PER_S)

    def choose_copy_work(self, now: float) -> float:
        """Return the seconds of reading a second that a copy of a model may take."""
        change = LOADED_COPY_WORK_S - CALM_COPY_WORK_S
        return CALM_COPY_WORK_S + self._rate_excess(now) * change

    def _rate_excess(self, now: float) -> float:
        """Return 0 where few streams pause for too long, and 1 where many do."""
        excess = (self.get_share(now) - LOW_GAP_SHARE) / (
            HIGH_GAP_SHARE - LOW_GAP_SHARE
        )
        return min(1.0, max(0.0, excess))
