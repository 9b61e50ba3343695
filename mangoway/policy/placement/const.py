"""Constants of the placement core."""

from typing import Final

ORDER_SEND_WINDOW_S: Final = 5.0
"""Maximum time between requesting a ledger write and sending its order.

A controller that was paused for longer discards the order. Other controllers can
therefore bound the time at which an order in a ledger may have been sent.
"""

ORDER_TIMEOUT_S: Final = 30.0
"""Time after which the connection of an unanswered order is closed."""

REPORT_LAG_S: Final = 2.0
"""Time by which the data of a report may be older than its `reported_at`."""

MAX_REPORT_AGE_S: Final = 15.0
"""Maximum age of a report that counts as proof that a copy is ready."""

LOAD_REPORT_TIMEOUT_S: Final = 10.0
"""Time for an accepted load, or one of unknown outcome, to appear in a report.

After it the load counts as lost.
"""

MAX_ORDER_RETRY_DELAY_S: Final = 30.0
"""Maximum delay before a failed order is retried."""

LEDGER_RETRY_DELAY_S: Final = 1.0
"""Delay before a ledger is read again after the store was unavailable."""

CONFLICT_RETRY_DELAY_S: Final = 1.0
"""Delay after the second consecutive conflict on a ledger; doubles each time."""

MAX_CONFLICT_RETRY_DELAY_S: Final = 8.0

MIN_PLAN_PERIOD_S: Final = 0.5
"""Minimum time between two plans."""

MAX_PLAN_PERIOD_S: Final = 1.0
"""Maximum time between two plans; bounds the delay of time-based decisions."""

BLOCKED_RETRY_DELAY_S: Final = 1.0
"""Delay before a need without a runner is retried; doubles each time."""

MAX_BLOCKED_RETRY_DELAY_S: Final = 8.0

MAX_NEEDS_PER_PLAN: Final = 16
"""Maximum number of needs handled by one plan; bounds its cost."""

MEMORY_CLAIM_TIMEOUT_S: Final = 30.0
"""Time for which freed memory on a runner stays claimed for an artifact."""

UNLOAD_FIRST_AFTER_S: Final = 30.0
"""Time without room for a new version after which the old one is unloaded first."""

DEMAND_EVALUATION_PERIOD_S: Final = 1.0
"""Time between two evaluations of copies above the floors."""

MAX_ARTIFACTS_PER_EVALUATION: Final = 400
"""Number of artifacts with demand up to which each evaluation covers all.

With more artifacts, each evaluation covers about this many of them in turn.
"""

SURGE_FACTOR: Final = 1.5
"""Growth factor of demand from which an artifact is evaluated out of turn."""

MIN_SURGE_RPS: Final = 0.2
"""Additional increase that a surge requires, so that chance does not count."""

IDLE_DEMAND_UPDATE_PERIOD_S: Final = 4.0
"""Time between two updates of an estimate that no demand report contributes to.

It applies if there are more than `MAX_ARTIFACTS_PER_EVALUATION` estimates.
"""

DEMAND_RISE_TIME_CONSTANT_S: Final = 3.0
"""Time constant of the recent rate, from which the demand estimate rises."""

MIN_DEMAND_DEVIATIONS: Final = 2.0
"""Standard deviations subtracted from the recent rate to exclude chance."""

DEMAND_MEAN_TIME_CONSTANT_S: Final = 60.0
"""Time constant of the mean rate, which determines low demand."""

DEMAND_DECAY_TIME_CONSTANT_S: Final = 60.0
"""Time constant with which the demand estimate decays after a peak."""

DEMAND_REPORT_EXPIRY_PERIODS: Final = 3.0
"""Number of its periods after which a gateway's demand report expires.

It is kept for at least 3 s.
"""

BACKLOG_DRAIN_S: Final = 10.0
"""Time in which added copies should drain the queued requests."""

MIN_DEMAND_RPS: Final = 1e-4
"""Estimated requests per second below which an artifact's demand is removed."""

DEFAULT_TOKENS_PER_REQUEST: Final = 200.0
"""Assumed tokens per request of an artifact without measured demand."""

DEFAULT_TOKENS_PER_SECOND: Final = 1000.0
"""Assumed throughput of a runner that does not describe its own."""

DEFAULT_MAX_RUNNING: Final = 8
"""Assumed batch size of a runner whose description states none above 1."""

GAIN_HORIZON_S: Final = 300.0
"""Time horizon over which the gain of a copy is calculated."""

KNEE_UTILISATION: Final = 0.9
"""Utilisation above which waiting time is derived from the backlog's growth."""

MIN_RUNNER_SHARE: Final = 0.25
"""Minimum share of a runner's throughput that a copy is assumed to get.

Gateways share a runner fairly among its artifacts, so a model with high demand
takes less from a copy with low demand than the runner's total load suggests.
"""

HYSTERESIS_FACTOR: Final = 1.5
"""Factor by which the gain of a copy must exceed the loss from its evictions."""

MIN_RESIDENCE_S: Final = 60.0
"""Time after becoming ready for which a copy is not evicted for demand."""

MAX_DEMAND_LOADS_PER_EVALUATION: Final = 4
"""Maximum number of copies above the floors proposed by one evaluation."""

MB_PER_GB: Final = 1024.0

MAX_REASONS: Final = 1000
"""Maximum number of explanations kept for operators."""
