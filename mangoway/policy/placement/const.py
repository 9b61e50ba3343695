"""Constants of the placement core."""

from typing import Final

ORDER_SEND_WINDOW_S: Final = 5.0
"""Longest time from asking for a ledger write to sending its order.

A controller that was paused for longer between the two drops the order, so that
others can bound when an order they find in a ledger may have been sent.
"""

ORDER_TIMEOUT_S: Final = 30.0
"""Time after which the shell closes the connection of an unanswered order."""

REPORT_LAG_S: Final = 2.0
"""Time by which a report may be older than its `reported_at` says."""

REPORT_FRESH_S: Final = 15.0
"""Age up to which a report proves that a copy is still ready."""

LOAD_APPEAR_S: Final = 10.0
"""Time an accepted or unknown load has to show in a report before it is lost."""

MAX_RETRY_S: Final = 30.0
"""Longest wait before an order that failed is tried again."""

LEDGER_RETRY_S: Final = 1.0
"""Wait before a ledger is read again after the service was unavailable."""

CONFLICT_WAIT_S: Final = 1.0
"""Wait after the second conflict in a row on a ledger, doubled each time."""

MAX_CONFLICT_WAIT_S: Final = 8.0

PLAN_PERIOD_S: Final = 0.5
"""Shortest time between two plans."""

IDLE_PERIOD_S: Final = 1.0
"""Longest time between two plans; evidence by time is looked at this often."""

BLOCKED_RETRY_S: Final = 1.0
"""Wait before a need that found no runner is tried again, doubled each time."""

MAX_BLOCKED_RETRY_S: Final = 8.0

NEEDS_PER_PLAN: Final = 16
"""Needs looked at in one plan; bounds its cost."""

ROOM_CLAIM_S: Final = 30.0
"""Time for which room that was made on a runner is kept for its artifact."""

BREAK_AFTER_S: Final = 30.0
"""Time a new version may find no room before the withdrawn one is unloaded first."""

DEMAND_PERIOD_S: Final = 1.0
"""Time between two looks at copies above the floors."""

DEMAND_LOOKS: Final = 400
"""Artifacts with demand up to which each is looked at every time."""

SURGE_FACTOR: Final = 1.5
"""Factor by which demand has risen when an artifact does not wait for its turn."""

SURGE_RPS: Final = 0.2
"""Requests per second that it has risen by besides, so that chance is no surge."""

DEMAND_REST_S: Final = 4.0
"""Time between two updates of an estimate while no digest names its artifact."""

DEMAND_RISE_S: Final = 3.0
"""Time constant with which the demand estimate rises."""

DEMAND_DEVIATIONS: Final = 2.0
"""Standard deviations by which the recent rate must be more than chance."""

DEMAND_MEAN_S: Final = 60.0
"""Time constant of the mean that trickles are judged by."""

DEMAND_FALL_S: Final = 60.0
"""Time constant with which the demand estimate falls after a peak."""

DEMAND_EXPIRY_PERIODS: Final = 3.0
"""Periods after which a gateway's digest no longer counts."""

BACKLOG_DRAIN_S: Final = 10.0
"""Time in which queued requests should be worked off by added copies."""

DEMAND_FORGET_RPS: Final = 1e-4
"""Estimated requests per second below which an artifact is forgotten."""

DEFAULT_TOKENS_PER_REQUEST: Final = 200.0
DEFAULT_TOKENS_PER_SECOND: Final = 1000.0
DEFAULT_MAX_RUNNING: Final = 8

GAIN_HORIZON_S: Final = 300.0
"""Time over which a copy's gain is summed up."""

KNEE_UTILISATION: Final = 0.9
"""Utilisation above which waiting is taken from the growth of the backlog."""

MIN_SHARE: Final = 0.25
"""Smallest share of a runner that a copy is credited with.

Gateways share a runner fairly among targets, so a hot model beside it takes less
from a copy with little demand than the runner's whole load says.
"""

HYSTERESIS: Final = 1.5
"""Factor by which the gain of a copy must exceed the loss of those it evicts."""

MIN_RESIDENCE_S: Final = 60.0
"""Time for which a copy is not evicted for demand after it got ready."""

DEMAND_LOADS_IN_PLAN: Final = 4
"""Copies above the floors that may be proposed in one look."""

MB_PER_GB: Final = 1024.0

REASONS_KEPT: Final = 1000
"""Explanations kept for operators."""
