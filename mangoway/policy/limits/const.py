"""Thresholds of runners' limits, with their units and reasons."""

from typing import Final

LEAST_RATE: Final = 0.25
"""Requests a second that a limited runner gets at least: only its answers say when the
limit ends, also one of zero."""

BURST_S: Final = 0.5
"""Time whose requests a limited runner may get at once, beyond the first one."""

RECENT_REQUESTS_S: Final = 1.2
"""Time before a limit was read whose requests count against it: a runner in need is not
sent as many again while it still works on these."""

FREE_S: Final = 2.0
FREE_REQUESTS: Final = 4.0
"""Time whose requests at the limit, and requests beyond, are not held against the next
ones: a runner that pauses for as long as it was sent too many is idle meanwhile."""

LONE_PART: Final = 0.3
"""Part of a limit that edges which reach no scheduler use together, beside a scheduler
that grants to all others."""

LONE_EDGES: Final = 2
"""Edges that have that part of one runner: shared among hundreds, it would be less than
a request for each."""

MIN_LIMITED_S: Final = 1.0
"""Time after which a limit counts when models are placed; some last for moments."""

FORGET_S: Final = 60.0
"""Time for which the limit of a runner is remembered that isn't known any more: longer
than an outage of the store in which entries lapse."""

MAX_LIMITED_SHARE: Final = 0.5
"""Largest part of a service's runners that placement does without since they are
limited: with more, the others can't take their models."""

MIN_COOLDOWN_EDGE_SHARE: Final = 0.5
"""Part of the edges that a runner must want nothing of for placement to do without it:
the others still use what it holds."""

MAX_LIMIT_RETRY_AFTER_S: Final = 4.0
"""Longest time to come back that is worked out from a limit, as for other refusals."""
