"""Constants of the dispatch core."""

from typing import Final

# Demand.
DEMAND_PERIOD_S: Final = 1.0

# Queues.
QUEUE_MAX_PER_TARGET: Final = 2_000
QUEUE_MAX_TOTAL: Final = 20_000
RESERVE_PER_URGENT: Final = 0.25
"""Starts that critical patient work earns per urgent start, at equal weights."""
RESERVE_MAX_CREDIT: Final = 4.0
CRITICAL_MIN_SLACK_S: Final = 20.0
"""Patient work with less slack than this counts as critical."""
CRITICAL_SLACK_SHARE: Final = 0.3
"""Share of the time between arrival and deadline with the same effect."""
PATIENT_MAX_LOAD: Final = 0.6
"""Load share of an upstream up to which patient work with slack is started there.

The rest stays open for urgent work, whose first token can't wait for a slot."""
PROMPT_TOKEN_COST: Final = 0.125
"""Work of a prompt token relative to a generated one."""

USE_HALF_TIME_S: Final = 5.0
"""Age at which a target's work on a shared upstream counts half."""
USES_MAX: Final = 64
"""Targets whose work on one upstream is remembered."""

WEIGHT_MIN: Final = 1e-3
"""Least weight of a caller; lower ones count as this."""

# Estimates.
ESTIMATE_WEIGHT: Final = 0.1
"""Weight of a new sample in a moving average."""
ESTIMATE_HALF_TIME_S: Final = 30.0
"""Time without samples after which an average counts half.

Otherwise a bad average would refuse all requests, and no sample could mend it."""
RATE_HALF_TIME_S: Final = 4.0
BACKLOG_SETTLED_S: Final = 4.0
"""Age of a backlog after which its measured drain rate is believed."""
DURATION_OPTIMISM: Final = 0.7
"""Share of the mean duration that a request is taken to need at least."""
LOAD_ESTIMATE_S: Final = 20.0
LOAD_ESTIMATE_WEIGHT: Final = 0.3
LOAD_REACTION_S: Final = 3.0
"""Time until a load begins for an artifact that nobody loads yet."""

# Retry-After.
RETRY_AFTER_MIN_S: Final = 0.5
RETRY_AFTER_MAX_S: Final = 120.0
RETRY_AFTER_JITTER: Final = 0.25
RETRY_AFTER_NO_UPSTREAM_S: Final = 5.0

# Choice.
CHOICE_CANDIDATES: Final = 3
AFFINITY_BONUS: Final = 0.25
"""Most load share that a cached prefix outweighs."""
REMOTE_COST: Final = 0.08
"""Load share that another data centre costs."""
PREFIX_MAX_BLOCKS: Final = 32
"""Leading blocks of a prompt that are looked up."""
PREFIX_MAX_PER_UPSTREAM: Final = 20_000
PREFIX_MAX_TOTAL: Final = 40_000
"""Blocks known of all upstreams together, each of which has an even share."""
REPORT_STALE_S: Final = 10.0
"""Age at which a load report says nothing any more."""

# Upstreams.
RETIRED_MAX: Final = 8
"""Earlier incarnations of one upstream that are remembered."""
UNLISTED_MAX: Final = 1_000
"""Upstreams that left the list and are remembered."""

# Windows.
SERVICE_MAX_RUNNING: Final = 128
WINDOW_DECREASE: Final = 0.7
WINDOW_INCREASE: Final = 0.02
WINDOW_MIN_SCALE: Final = 0.05

# Breakers.
BREAKER_FAILURES: Final = 3
BREAKER_OPEN_MIN_S: Final = 1.0
BREAKER_OPEN_MAX_S: Final = 30.0
BREAKER_MAX_OPEN_SHARE: Final = 0.5
"""Share of the upstreams of a kind that may be open; more is a brown-out."""

# Retries.
RETRY_RATIO: Final = 0.1
RETRY_PER_SECOND: Final = 5.0
RETRY_MAX_TOKENS: Final = 200.0
RETRY_MAX_ATTEMPTS: Final = 5
RETRY_BACKOFF_S: Final = 0.05
RETRY_BACKOFF_MAX_S: Final = 2.0

DELAYED_MAX: Final = 5_000
"""Requests that may wait for a retry at once."""

# Attempts.
CANCEL_GRACE_S: Final = 10.0
"""Time after which a cancelled attempt that never ended is written off."""
SILENCE_URGENT_S: Final = 5.0
SILENCE_PATIENT_S: Final = 20.0
PRIORITY_URGENT: Final = 100
PRIORITY_CRITICAL: Final = 50
PRIORITY_PATIENT: Final = 0
PREEMPTIONS_MAX: Final = 2
"""Times that one request may be cancelled for urgent work."""

# Idempotency keys.
KEY_CLOCK_SKEW_S: Final = 30.0
"""Largest difference of clocks that key issue times and hand-overs allow for."""
KEY_LENGTH_MAX: Final = 256
KEY_RETENTION_MIN_S: Final = 120.0
"""Records are kept at least this long, whatever the configuration says."""
KEY_ADOPTED_FRESH_S: Final = 60.0
"""Age at hand-over up to which an unknown key of a home that left may run.

It is below the shortest retention, so its record can't have been dropped before."""
ADOPTED_MAX: Final = 256
"""Homes taken over by one process that are remembered."""
SUCCESSORS_MAX_HOPS: Final = 16

# Reason codes of `Explain`.
REASON_DISPATCHED: Final = "dispatched"
REASON_RESUMED: Final = "resumed"
REASON_RETRIED: Final = "retried"
REASON_PREEMPTED: Final = "preempted"
REASON_EVICTED: Final = "evicted_from_queue"
REASON_QUEUED: Final = "queued"
REASON_LATE_EVENT: Final = "late_event_dropped"
REASON_CARRIED_ON: Final = "carried_on_after_hang_up"
REASON_REFUSED_PREFIX: Final = "refused_"
"""Followed by the error code."""
REASON_NOT_RETRIED_PREFIX: Final = "not_retried_"
"""Followed by the obstacle (see `find_retry_obstacle`)."""
REASON_BREAKER_TRIPPED: Final = "breaker_tripped"
