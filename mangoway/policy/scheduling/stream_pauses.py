"""Chooses the prefill share of runners from the pauses in streams.

The prefill of prompts delays the tokens of the streams at a runner. The delay depends
on how many tokens the engine prefills between two output tokens and on how many tokens
form an event. Neither is declared, so the share of prefill is chosen from the observed
pauses.
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
    """Recently ended streams of a service, and those that paused for too long."""

    paused_any: bool = field(default=False, init=False)
    """Whether any stream has paused for too long; most runners have none."""

    _streams: DecayingRate = field(
        factory=lambda: DecayingRate(PAUSE_DECAY_S), init=False
    )
    _paused: DecayingRate = field(
        factory=lambda: DecayingRate(PAUSE_DECAY_S), init=False
    )

    def record_stream(self, now: float, *, paused: bool) -> None:
        """Record a stream that has ended."""
        self._streams.add(1, now)
        if paused:
            self.paused_any = True
            self._paused.add(1, now)

    def get_paused_share(self, now: float) -> float:
        """Return the share of streams that paused for too long."""
        paused = self._paused.get_rate(now) + PRIOR_PAUSE_SHARE * PRIOR_STREAMS_PER_S
        return paused / (self._streams.get_rate(now) + PRIOR_STREAMS_PER_S)

    def choose_copy_prefill_share(self, now: float) -> float:
        """Return the prefill seconds per second that one copy of a model may use."""
        change = PAUSED_COPY_PREFILL_SHARE - CALM_COPY_PREFILL_SHARE
        return CALM_COPY_PREFILL_SHARE + self._measure_excess(now) * change

    def _measure_excess(self, now: float) -> float:
        """Return 0 if few streams pause for too long, up to 1 if many do."""
        excess = (self.get_paused_share(now) - LOW_PAUSE_SHARE) / (
            HIGH_PAUSE_SHARE - LOW_PAUSE_SHARE
        )
        return min(1.0, max(0.0, excess))
