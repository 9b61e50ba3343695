"""Estimates of durations and rates per target, and of model loads."""

import math
from collections.abc import Callable

from attrs import define, field

from ...models.artifact import Artifact
from ...models.request import Target
from .const import (
    ESTIMATE_HALF_LIFE_S,
    ESTIMATE_WEIGHT,
    LOAD_ESTIMATE_S,
    LOAD_ESTIMATE_WEIGHT,
    LOAD_REACTION_S,
    MIN_DURATION_SHARE,
    RATE_HALF_LIFE_S,
)
from .entries import Attempt, Entry


@define(eq=False)
class DecayingAverage:
    """A moving average that decays while there are no samples."""

    value: float | None = None
    updated_at: float = 0.0

    def add(self, sample: float, now: float) -> None:
        """Add a sample."""
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
        return self.value * math.exp2(-age / ESTIMATE_HALF_LIFE_S)


@define(eq=False)
class RateMeter:
    """Events per second; the weight of an event decays with its age."""

    value: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self.value = self.get(now) + math.log(2) / RATE_HALF_LIFE_S
        self.updated_at = now

    def get(self, now: float) -> float:
        """Return the rate."""
        age = max(0.0, now - self.updated_at)
        return self.value * math.exp2(-age / RATE_HALF_LIFE_S)


@define(eq=False)
class TargetEstimate:
    """Averages of one target."""

    first_token_s: DecayingAverage = field(factory=DecayingAverage)
    """Time from the start of an attempt to its first token."""

    token_s: DecayingAverage = field(factory=DecayingAverage)
    """Time between two tokens of one request."""

    used_share: DecayingAverage = field(factory=DecayingAverage)
    """Generated tokens as a share of the request's maximum."""

    duration_s: DecayingAverage = field(factory=DecayingAverage)
    starts: RateMeter = field(factory=RateMeter)


@define(eq=False)
class Estimates:
    """Estimates of all requested targets, and of model loads."""

    _targets: dict[Target, TargetEstimate] = field(factory=dict)
    _load_s: float = LOAD_ESTIMATE_S
    _loading_since: dict[Artifact, float] = field(factory=dict)

    def get(self, target: Target) -> TargetEstimate:
        """Return the estimate of a target."""
        estimate = self._targets.get(target)
        if estimate is None:
            estimate = self._targets[target] = TargetEstimate()
        return estimate

    def retain(self, is_kept: Callable[[Target], bool]) -> None:
        """Drop the estimates of all targets but those that `is_kept` accepts."""
        self._targets = {
            target: estimate
            for target, estimate in self._targets.items()
            if is_kept(target)
        }

    def record_first_token(self, attempt: Attempt, target: Target, now: float) -> None:
        """Record the time to the first token of an attempt."""
        attempt.first_token_at = now
        self.get(target).first_token_s.add(now - attempt.started_at, now)

    def record_success(self, attempt: Attempt, entry: Entry, now: float) -> None:
        """Record the durations of an answer that a single attempt delivered."""
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

    def estimate_latest_start(self, entry: Entry, now: float) -> float:
        """Return the latest start that can still meet the deadlines.

        The estimated duration is low on purpose: a request that can meet its deadline
        must not be rejected, while a start that misses it costs only some capacity.
        """
        request = entry.request
        latest = request.deadline - self._estimate_remaining_s(entry, now)
        if request.first_token_deadline is None or entry.tokens:
            return latest
        first_token_s = self.get(request.target).first_token_s.get(now)
        first = request.first_token_deadline - first_token_s * MIN_DURATION_SHARE
        return min(latest, first)

    def _estimate_remaining_s(self, entry: Entry, now: float) -> float:
        request = entry.request
        estimate = self.get(request.target)
        if not request.max_tokens:
            return estimate.duration_s.get(now) * MIN_DURATION_SHARE
        wanted = request.max_tokens * estimate.used_share.get(now) - entry.tokens
        decoding = max(0.0, wanted) * estimate.token_s.get(now)
        return (estimate.first_token_s.get(now) + decoding) * MIN_DURATION_SHARE

    # Model loads.

    def record_loading(self, artifact: Artifact, loading: bool, now: float) -> None:
        """Record whether an engine is loading an artifact that has no ready copy."""
        if loading:
            self._loading_since.setdefault(artifact, now)
        else:
            self._loading_since.pop(artifact, None)

    def record_loaded(self, artifact: Artifact, now: float) -> None:
        """Record the duration of a finished load, if its start was observed."""
        since = self._loading_since.pop(artifact, None)
        if since is not None:
            self._load_s += (now - since - self._load_s) * LOAD_ESTIMATE_WEIGHT

    def estimate_load_s(self, artifact: Artifact, now: float) -> float:
        """Return the estimated time until an artifact without a copy is ready."""
        load_s = self._load_s
        since = self._loading_since.get(artifact)
        if since is None:
            return LOAD_REACTION_S + load_s
        return max(1.0, load_s - (now - since))
