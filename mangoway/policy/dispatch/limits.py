"""Rate limits of callers."""

from collections.abc import Mapping

from attrs import define, field

from ...models.identifiers import CallerId
from ...models.offer import CallerOffer


@define(eq=False)
class TokenBucket:
    """A token bucket that starts full; `rate` is in tokens per second."""

    rate: float
    burst: float
    updated_at: float
    tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tokens = self.burst

    def try_acquire(self, now: float) -> float:
        """Consume a token; return 0, or the seconds until one is available."""
        self._refill(now)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate

    def reconfigure(self, rate: float, burst: float, now: float) -> None:
        """Change the limits; tokens that were consumed stay consumed."""
        self._refill(now)
        used = self.burst - self.tokens
        self.rate = rate
        self.burst = burst
        self.tokens = max(0.0, burst - used)

    def _refill(self, now: float) -> None:
        earned = (now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + max(0.0, earned))
        self.updated_at = max(now, self.updated_at)


@define(eq=False)
class CallerLimits:
    """The token buckets of all callers that have a rate limit."""

    _buckets: dict[CallerId, TokenBucket] = field(factory=dict)

    def configure(self, callers: Mapping[CallerId, CallerOffer], now: float) -> None:
        """Apply a new configuration; the tokens that callers consumed are kept."""
        old = self._buckets
        self._buckets = {}
        for caller, offer in callers.items():
            rate = offer.requests_per_second
            if rate is None or rate <= 0:
                continue
            burst = float(max(1.0, rate if offer.burst is None else offer.burst))
            bucket = old.get(caller)
            if bucket is None:
                bucket = TokenBucket(rate, burst, now)
            else:
                bucket.reconfigure(rate, burst, now)
            self._buckets[caller] = bucket

    def try_acquire(self, caller: CallerId, now: float) -> float:
        """Count a request; return 0, or the seconds until it is admitted."""
        bucket = self._buckets.get(caller)
        return 0.0 if bucket is None else bucket.try_acquire(now)
