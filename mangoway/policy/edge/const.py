"""Thresholds of the decisions of an edge, with their units and reasons."""

from typing import Final

SAVED_SHARE: Final = 0.45
ADDED_PART: Final = 0.05
WINDOW_PART: Final = 0.45
"""Parts of a service's fixed allowance of repeats: what edges may save up, what time
adds to that over a window, and what they may send in each window. The rest covers
requests that are counted later than they were sent, and hosts that are added."""

SHARE_HORIZON_WINDOWS: Final = 6.0
"""Windows for which an edge has its share without hearing of the fleet, and for which
one that has gone is counted. Stores are down for long, and an edge without a share
sends no repeat."""

MEMBERS_POLL_S: Final = 0.5
"""Time between two looks at the members."""

RETRY_AFTER_BUDGET_S: Final = 0.5
"""When to come back if no repeat may be sent: callers' requests earn some by then."""

MIN_RETRY_TIME_S: Final = 0.05
"""Time that must be left for another try: a plain call takes some 20 to 90 ms."""

FAILURES_TO_AVOID: Final = 3
"""Failures in a row after which a runner is avoided. At the 14% of errors that some
calls have on their own, three in a row come once in 360 calls."""

AVOID_S: Final = 1.0
"""Time between two tries at a runner that is avoided; grey runners recover in
seconds."""

AVOIDED_SHARE: Final = 0.5
"""Largest part of a service's runners that is avoided at once; beyond it the trouble
is not the runners', and avoiding them refuses what would have run."""

RETRY_AFTER_OUTAGE_S: Final = 0.5
"""When to come back if no runner is known: entries and members change within about a
second."""

RETRY_AFTER_START_S: Final = 0.3
"""When to come back if no configuration is known yet: a start reads it within some
hundred milliseconds."""

MIN_SAME_ZONE: Final = 2
"""Gateways of a caller's own data centre from which on only those are named; with one
alone its loss leaves the callers of the data centre without an address."""

MAX_NAMED: Final = 16
"""Addresses in one answer: enough that the loss of a third leaves a choice."""
