"""How many streams are late by pauses, and how much runners may read beside them.

Prompts that a runner reads delay the tokens of its streams. How much depends on the
engine: on how much it reads between two tokens, and on how many tokens make an event.
Neither is declared, so the share of reading is chosen by the pauses that are seen.
"""

from attrs import define, field

from .const import (
    CALM_COPY_PREFILL_SHARE,
    HIGH_PAUSE_SHARE,
    LOW_PAUSE_SHARE,
    PAUSE_DECAY_S,
    PAUSED_COPY_PREFILL_SHARE,
    PRIOR_PAUSE_SHARE,
    PRIOR_STREAMS_PER_S,
)
from .demand import DecayingRate


@define(eq=False)
class StreamPauses:
    """Streams of a service that ended lately, and those that paused for too long."""

    _streams: DecayingRate = field(
        factory=lambda: DecayingRate(PAUSE_DECAY_S), init=False
    )
    _paused: DecayingRate = field(
        factory=lambda: DecayingRate(PAUSE_DECAY_S), init=False
    )

    def record_stream(self, now: float, *, paused: bool) -> None:
        """Count a stream that ended."""
        self._streams.add(1, now)
        if paused:
            self._paused.add(1, now)

    def get_paused_share(self, now: float) -> float:
        """Return the share of streams that paused for too long."""
        paused = self._paused.get_rate(now) + PRIOR_PAUSE_SHARE * PRIOR_STREAMS_PER_S
        return paused / (self._streams.get_rate(now) + PRIOR_STREAMS_PER_S)

    def choose_copy_prefill_share(self, now: float) -> float:
        """Return the seconds of reading a second that a copy of a model may take."""
        change = PAUSED_COPY_PREFILL_SHARE - CALM_COPY_PREFILL_SHARE
        return CALM_COPY_PREFILL_SHARE + self._measure_excess(now) * change

    def _measure_excess(self, now: float) -> float:
        """Return 0 where few streams pause for too long, and 1 where many do."""
        excess = (self.get_paused_share(now) - LOW_PAUSE_SHARE) / (
            HIGH_PAUSE_SHARE - LOW_PAUSE_SHARE
        )
        return min(1.0, max(0.0, excess))
