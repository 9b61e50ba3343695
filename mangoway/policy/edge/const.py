"""Thresholds of the decisions of an edge, with their units and reasons."""

from typing import Final

RETRY_BUDGET_USED: Final = 0.7
"""Part of the fleet's retry budget that is used; the rest covers what processes count
differently at the edges of the window and repeats sent while members come and go."""

BEGINNER_PART: Final = (1 - RETRY_BUDGET_USED) / RETRY_BUDGET_USED / 2
"""Part of its allowance that a process uses until it has seen a whole window: the one
that chose before may have used all of its own, and the edges alone and the next
scheduler may both begin within it: together they must stay within the fleet's."""

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
