"""What requests have taken so far, per target."""

import math
from collections.abc import Callable

from attrs import define, field

from ...models.artifact import Artifact
from ...models.request import Target
from .const import (
    DURATION_OPTIMISM,
    ESTIMATE_HALF_TIME_S,
    ESTIMATE_WEIGHT,
    LOAD_ESTIMATE_S,
    LOAD_ESTIMATE_WEIGHT,
    LOAD_REACTION_S,
    RATE_HALF_TIME_S,
)
from .entries import Attempt, Entry


@define(eq=False)
class Average:
    """A moving average that fades while there are no samples."""

    value: float | None = None
    updated_at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Take a sample."""
        if self.value is None:
            self.value = sample
        else:
            self.value += (sample - self.value) * ESTIMATE_WEIGHT
        self.updated_at = now

    def get(self, now: float) -> float:
        """Return the average; 0 before the first sample."""
        if self.value is None:
            return 0.0
        age = max(0.0, now - self.updated_at)
        return self.value * math.exp2(-age / ESTIMATE_HALF_TIME_S)


@define(eq=False)
class RateMeter:
    """Events per second, older ones counting less."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self.value = self.get(now) + math.log(2) / RATE_HALF_TIME_S
        self.updated_at = now

    def get(self, now: float) -> float:
        """Return the rate."""
        age = max(0.0, now - self.updated_at)
        return self.value * math.exp2(-age / RATE_HALF_TIME_S)


@define(eq=False)
class TargetEstimate:
    """Averages of one target."""

    first_token_s: Average = field(factory=Average)
    """Time from the start of an attempt to its first token."""

    token_s: Average = field(factory=Average)
    """Time between tokens of one request."""

    used_share: Average = field(factory=Average)
    """Tokens generated as a share of the most that was asked for."""

    duration_s: Average = field(factory=Average)
    starts: RateMeter = field(factory=RateMeter)


@define(eq=False)
class Estimates:
    """Estimates of all targets that were asked for, and of loads."""

    _targets: dict[Target, TargetEstimate] = field(factory=dict)
    _load_s: float = LOAD_ESTIMATE_S
    _loading_since: dict[Artifact, float] = field(factory=dict)

    def get(self, target: Target) -> TargetEstimate:
        """Return the estimate of a target."""
        estimate = self._targets.get(target)
        if estimate is None:
            estimate = self._targets[target] = TargetEstimate()
        return estimate

    def forget_others(self, is_kept: Callable[[Target], bool]) -> None:
        """Keep only the estimates of some targets, say of those still offered."""
        self._targets = {
            target: estimate
            for target, estimate in self._targets.items()
            if is_kept(target)
        }

    def record_first_token(self, attempt: Attempt, target: Target, now: float) -> None:
        """Take the time of an attempt's first token."""
        attempt.first_token_at = now
        self.get(target).first_token_s.add(now - attempt.started_at, now)

    def record_success(self, attempt: Attempt, entry: Entry, now: float) -> None:
        """Take the figures of an answer that one attempt gave whole."""
        estimate = self.get(entry.request.target)
        if attempt.resumed_from:
            return
        estimate.duration_s.add(now - attempt.started_at, now)
        if attempt.first_token_at is None or entry.tokens < 2:
            return
        token_s = (now - attempt.first_token_at) / (entry.tokens - 1)
        estimate.token_s.add(token_s, now)
        if entry.request.max_tokens:
            share = min(1.0, entry.tokens / entry.request.max_tokens)
            estimate.used_share.add(share, now)

    def find_latest_start(self, entry: Entry, now: float) -> float:
        """Return the time after which a start could no longer meet the deadlines.

        The estimates are low on purpose: a request that could have been met must not
        be refused, while one that is started in vain costs some capacity.
        """
        request = entry.request
        latest = request.deadline - self._find_remaining_s(entry, now)
        if request.first_token_deadline is None or entry.tokens:
            return latest
        first_token_s = self.get(request.target).first_token_s.get(now)
        first = request.first_token_deadline - first_token_s * DURATION_OPTIMISM
        return min(latest, first)

    def _find_remaining_s(self, entry: Entry, now: float) -> float:
        request = entry.request
        estimate = self.get(request.target)
        if not request.max_tokens:
            return estimate.duration_s.get(now) * DURATION_OPTIMISM
        wanted = request.max_tokens * estimate.used_share.get(now) - entry.tokens
        decoding = max(0.0, wanted) * estimate.token_s.get(now)
        return (estimate.first_token_s.get(now) + decoding) * DURATION_OPTIMISM

    # Loads.

    def note_loading(self, artifact: Artifact, loading: bool, now: float) -> None:
        """Follow whether some engine is loading an artifact that nobody has ready."""
        if loading:
            self._loading_since.setdefault(artifact, now)
        else:
            self._loading_since.pop(artifact, None)

    def note_ready(self, artifact: Artifact, now: float) -> None:
        """Take the time that a load took, if its start was seen."""
        since = self._loading_since.pop(artifact, None)
        if since is not None:
            self._load_s += (now - since - self._load_s) * LOAD_ESTIMATE_WEIGHT

    def find_load_s(self, artifact: Artifact, now: float) -> float:
        """Return the estimated time until an artifact without a copy is ready."""
        whole = self._load_s
        since = self._loading_since.get(artifact)
        if since is None:
            return LOAD_REACTION_S + whole
        return max(1.0, whole - (now - since))
