"""Estimates how long a stream goes on.

The caller's hint of the output length is used where there is one, otherwise the length
and pace of ended streams of the model, otherwise the time for which its requests occupy
a slot.
"""

from typing import Final

from attrs import define, field

from ...models.routing import EngineProfile
from .events import GrantRequest
from .requests import RunningRequest
from .slot_times import DecayingMean, SlotTimeEstimator

PRIOR_TOKEN_S: Final = 0.006
"""Time of an output token before any stream has ended: one step of an engine with a few
streams."""

PRIOR_STREAM_S: Final = 1.5
"""Length of a stream that nothing is known of."""

OVERDUE_SHARE: Final = 0.2
"""Share of its time so far that a stream is expected to go on if it has outlasted its
expected length. The hint is right at the median only, so half of the streams do."""


@define(eq=False)
class StreamTimeEstimator:
    """Lengths and paces of the ended streams of one service, by model."""

    _event_s: dict[str, DecayingMean] = field(factory=dict, init=False)
    _events: dict[str, DecayingMean] = field(factory=dict, init=False)
    _all_event_s: DecayingMean = field(factory=DecayingMean, init=False)

    def add_sample(self, model: str, events: int, event_s: float) -> None:
        """Add the number of events of an ended stream and the time between two."""
        if events <= 0 or event_s <= 0:
            return
        self._all_event_s.add(event_s)
        self._event_s.setdefault(model, DecayingMean()).add(event_s)
        self._events.setdefault(model, DecayingMean()).add(events)

    def estimate_s(
        self,
        grant_request: GrantRequest,
        engine: EngineProfile,
        slot_times: SlotTimeEstimator,
    ) -> float:
        """Return the expected seconds from the first event of a stream to its end."""
        event_s = self._get_event_s(grant_request.model, engine)
        hint = grant_request.prompt.expected_output_tokens
        if hint:
            limit = grant_request.prompt.max_output_tokens
            tokens = min(hint, limit or hint)
            return tokens / max(1, engine.tokens_per_event) * event_s
        events = self._events.get(grant_request.model)
        if events is not None:
            return events.value * event_s
        return slot_times.estimate(grant_request.model) or PRIOR_STREAM_S

    def estimate_longest_s(
        self, grant_request: GrantRequest, engine: EngineProfile
    ) -> float:
        """Return the seconds of a stream with the maximum output; infinite if none."""
        limit = grant_request.prompt.max_output_tokens
        if not limit:
            return float("inf")
        event_s = self._get_event_s(grant_request.model, engine)
        return limit / max(1, engine.tokens_per_event) * event_s

    def estimate_remaining_s(
        self,
        running: RunningRequest,
        engine: EngineProfile,
        slot_times: SlotTimeEstimator,
        now: float,
    ) -> float:
        """Return the expected seconds until a running stream ends."""
        grant_request = running.grant_request
        begun_at = running.first_event_at or running.granted_at
        elapsed_s = now - begun_at
        expected_s = self.estimate_s(grant_request, engine, slot_times)
        remaining_s = max(expected_s - elapsed_s, OVERDUE_SHARE * elapsed_s)
        longest_s = self.estimate_longest_s(grant_request, engine) - elapsed_s
        return max(0.0, min(remaining_s, longest_s))

    def _get_event_s(self, model: str, engine: EngineProfile) -> float:
        known = self._event_s.get(model, self._all_event_s)
        return known.value or PRIOR_TOKEN_S * max(1, engine.tokens_per_event)
