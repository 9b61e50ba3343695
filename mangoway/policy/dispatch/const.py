"""Constants of the dispatch core."""

from typing import Final

# Demand.
DEMAND_PERIOD_S: Final = 1.0

# Queues.
QUEUE_MAX_PER_TARGET: Final = 2_000
"""Maximum number of waiting requests of one target."""
QUEUE_MAX_TOTAL: Final = 20_000
"""Maximum number of waiting requests of all targets."""
RESERVED_STARTS_PER_URGENT: Final = 0.25
"""Reserved starts of critical patient requests per urgent start, at equal weights."""
RESERVE_MAX_CREDIT: Final = 4.0
"""Largest number of reserved starts that an upstream accumulates."""
CRITICAL_MIN_SLACK_S: Final = 20.0
"""Patient requests with less slack than this are critical."""
CRITICAL_SLACK_SHARE: Final = 0.3
"""Patient requests with less slack than this share of the time from arrival to
deadline are critical as well."""
PATIENT_LOAD_MAX: Final = 0.6
"""Load share of an upstream below which patient requests with slack are started.

The rest is kept free for urgent requests, whose first token can't wait for a slot."""
PROMPT_TOKEN_COST: Final = 0.125
"""Work of a prompt token relative to a generated token."""

RECENT_WORK_HALF_LIFE_S: Final = 5.0
"""Age at which the work of a target on a shared upstream counts half."""
RECENT_WORK_TARGETS_MAX: Final = 64
"""Targets whose recent work is kept per upstream."""

WEIGHT_MIN: Final = 1e-3
"""Minimum weight of a caller; lower weights are raised to it."""

# Estimates.
ESTIMATE_WEIGHT: Final = 0.1
"""Weight of a new sample in a moving average."""
ESTIMATE_HALF_LIFE_S: Final = 30.0
"""Time without samples after which an average has decayed to half.

Without decay an average that is too high would reject all requests, and no sample
could correct it."""
RATE_HALF_LIFE_S: Final = 4.0
BACKLOG_SETTLING_S: Final = 4.0
"""Minimum age of a backlog for its measured drain rate to be used."""
MIN_DURATION_SHARE: Final = 0.7
"""Share of the mean duration that is used as a request's minimum duration.

Waiting requests are rejected early only if this share of their estimated wait makes
them miss the deadline."""
LOAD_ESTIMATE_S: Final = 20.0
"""Assumed duration of a model load before the first one was observed."""
LOAD_ESTIMATE_WEIGHT: Final = 0.3
"""Weight of a new load in the average duration of loads."""
LOAD_REACTION_S: Final = 3.0
"""Expected delay before a load begins, if no engine loads the artifact yet."""

# Retry-After.
RETRY_AFTER_MIN_S: Final = 0.5
RETRY_AFTER_MAX_S: Final = 120.0
RETRY_AFTER_JITTER: Final = 0.25
"""Largest share by which `Retry-After` is extended at random."""
RETRY_AFTER_NO_UPSTREAM_S: Final = 5.0

# Choice.
CHOICE_CANDIDATES: Final = 3
AFFINITY_BONUS: Final = 0.25
"""Load share that a fully cached prefix makes up for."""
REMOTE_LOAD_COST: Final = 0.08
"""Load share added to the score of an upstream in another data centre."""
PREFIX_MAX_BLOCKS: Final = 32
"""Leading blocks of a prompt that are indexed and looked up."""
PREFIX_MAX_PER_UPSTREAM: Final = 20_000
"""Maximum number of blocks indexed for one upstream."""
PREFIX_MAX_TOTAL: Final = 40_000
"""Blocks indexed for all upstreams together, divided evenly among them."""
REPORT_STALE_S: Final = 10.0
"""Age at which a load report is no longer used."""

# Upstreams.
EARLIER_INCARNATIONS_MAX: Final = 8
"""Earlier incarnations of one upstream whose late reports are recognized."""
UNLISTED_UPSTREAMS_MAX: Final = 1_000
"""Upstreams whose state is kept after they left the list."""

# Windows.
SERVICE_MAX_RUNNING: Final = 128
"""Requests that an upstream without a description is assumed to run at once.

Hosts of plain services send no description."""
WINDOW_DECREASE: Final = 0.7
"""Factor on the scale of a window after a rejection as busy."""
WINDOW_INCREASE: Final = 0.02
"""Amount added to the scale of a window after a success."""
WINDOW_MIN_SCALE: Final = 0.05

# Breakers.
BREAKER_FAILURES: Final = 3
"""Consecutive failures after which a breaker trips."""
BREAKER_OPEN_MIN_S: Final = 1.0
BREAKER_OPEN_MAX_S: Final = 30.0
BREAKER_MAX_OPEN_SHARE: Final = 0.5
"""Maximum share of a service's upstreams, or of the engines, with an open breaker.

More failing upstreams indicate a common cause (see `Fleet.may_trip`)."""

# Retries.
RETRY_RATIO: Final = 0.1
"""Retry credits that the budget gains per first attempt."""
RETRY_CREDITS_PER_SECOND: Final = 5.0
"""Retry credits that the budget gains per second."""
RETRY_MAX_CREDITS: Final = 200.0
"""Maximum number of retry credits in the budget."""
RETRY_MAX_ATTEMPTS: Final = 5
RETRY_BACKOFF_S: Final = 0.05
RETRY_BACKOFF_MAX_S: Final = 2.0

DELAYED_RETRIES_MAX: Final = 5_000
"""Maximum number of requests that wait for a retry at the same time."""

# Attempts.
CANCEL_TIMEOUT_S: Final = 10.0
"""Time after which a cancelled attempt counts as ended without any report."""
SILENCE_TIMEOUT_URGENT_S: Final = 5.0
SILENCE_TIMEOUT_PATIENT_S: Final = 20.0
PRIORITY_URGENT: Final = 100
PRIORITY_CRITICAL: Final = 50
PRIORITY_PATIENT: Final = 0
PREEMPTIONS_MAX: Final = 2
"""Maximum number of times that a request is preempted by urgent requests."""

# Idempotency keys.
KEY_CLOCK_SKEW_S: Final = 30.0
"""Largest clock difference that key issue times and hand-overs tolerate."""
KEY_LENGTH_MAX: Final = 256
"""Maximum number of characters of an idempotency key."""
KEY_RETENTION_MIN_S: Final = 120.0
"""Minimum retention of records; a lower configured value is raised to it."""
ADOPTED_KEY_MAX_AGE_S: Final = 60.0
"""Age at hand-over up to which a key without a record may run at the successor.

It is below the minimum retention, so the home can't have dropped its record yet."""
ADOPTED_HOMES_MAX: Final = 256
"""Maximum number of homes whose takeover by this process is recorded."""
SUCCESSORS_MAX_HOPS: Final = 16
"""Maximum length of a chain of successors that is followed."""

# Reason codes of `Explain`.
REASON_DISPATCHED: Final = "dispatched"
REASON_RESUMED: Final = "resumed"
REASON_RETRIED: Final = "retried"
REASON_PREEMPTED: Final = "preempted"
REASON_EVICTED: Final = "evicted_from_queue"
REASON_QUEUED: Final = "queued"
REASON_LATE_EVENT_DROPPED: Final = "late_event_dropped"
REASON_CONTINUED_DETACHED: Final = "carried_on_after_hang_up"
REASON_REJECTED_PREFIX: Final = "refused_"
"""Followed by the error code."""
REASON_NOT_RETRIED_PREFIX: Final = "not_retried_"
"""Followed by the obstacle (see `find_retry_obstacle`)."""
REASON_BREAKER_TRIPPED: Final = "breaker_tripped"
