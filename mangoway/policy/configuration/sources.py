"""Fetches in progress and backoff after failures, for each source."""

from collections.abc import Iterable
from math import inf

from attrs import define, field

from ...models.identifiers import HostId
from .const import FETCH_TIMEOUT_S, INITIAL_BACKOFF_S, MAX_BACKOFF_S

Source = HostId | None
"""A peer, or None for the key-value service."""


@define
class SourceState:
    """State of one source."""

    timeout_at: float | None = None
    """When the fetch in progress times out; None without one."""

    retry_at: float = -inf
    failures: int = 0
    """Consecutive failures since the last response."""


@define
class SourceTable:
    """Fetches of one process, at most one at a time from each source."""

    _states: dict[Source, SourceState] = field(factory=dict)

    def start(self, source: Source, now: float) -> None:
        """Record that a fetch was sent."""
        self._get_or_create(source).timeout_at = now + FETCH_TIMEOUT_S

    def succeed(self, source: Source) -> None:
        """Reset a source after a response."""
        self._states.pop(source, None)

    def fail(self, source: Source, now: float) -> None:
        """Record a failure and start the backoff of the source."""
        state = self._get_or_create(source)
        state.timeout_at = None
        backoff_s = min(INITIAL_BACKOFF_S * 2.0**state.failures, MAX_BACKOFF_S)
        state.failures += 1
        state.retry_at = now + backoff_s

    def expire(self, now: float) -> None:
        """Fail the fetches that have timed out."""
        for source, state in self._states.items():
            if state.timeout_at is not None and state.timeout_at <= now:
                self.fail(source, now)

    def keep_only(self, peers: Iterable[HostId]) -> None:
        """Drop peers that are no longer live."""
        kept = {None, *peers}
        self._states = {
            source: state for source, state in self._states.items() if source in kept
        }

    def is_busy(self, source: Source) -> bool:
        """Return whether a fetch from a source is in progress."""
        state = self._states.get(source)
        return state is not None and state.timeout_at is not None

    def is_free(self, source: Source, now: float) -> bool:
        """Return whether a fetch from a source may be sent now."""
        state = self._states.get(source)
        if state is None:
            return True
        return state.timeout_at is None and state.retry_at <= now

    def has_failed(self, source: Source) -> bool:
        """Return whether a source has failed since its last response."""
        state = self._states.get(source)
        return state is not None and state.failures > 0

    def find_next_time(self, now: float) -> float:
        """Return when the next fetch times out or may be retried."""
        times = [
            state.retry_at if state.timeout_at is None else state.timeout_at
            for state in self._states.values()
        ]
        return min((time for time in times if time > now), default=inf)

    def _get_or_create(self, source: Source) -> SourceState:
        return self._states.setdefault(source, SourceState())
