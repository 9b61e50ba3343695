"""Thresholds of runners' rate limits and cooldowns."""

from typing import Final

MIN_REQUESTS_PER_S: Final = 0.25
"""Minimum rate to a limited runner, even at a limit of zero: the removal of the limit
is reported only in responses."""

BURST_S: Final = 0.5
"""Size of the burst that a limited runner may get beyond the first request, in seconds
of its limit."""

RECENT_REQUESTS_S: Final = 1.2
"""Time before a limit was received whose requests count against it, so that an
overloaded runner doesn't get as many again while it still processes these."""

UNCHARGED_S: Final = 2.0
UNCHARGED_REQUESTS: Final = 4.0
"""Recent requests that are not charged: as many as the limit allows in these seconds,
plus a fixed number. If all were charged, the runner would be idle until the excess is
paid off."""

DISCONNECTED_SHARE: Final = 0.3
"""Share of a limit that disconnected edges, those without a link to a scheduler, use
together, in addition to what the scheduler grants to all others."""

MAX_DISCONNECTED_EDGES: Final = 2
"""Maximum number of edges that divide that share of one runner's limit: divided among
hundreds, it would be less than one request for each."""

MIN_LIMITED_S: Final = 1.0
"""Time after which a limit or a cooldown is considered in placement; some last only for
moments."""

LIMIT_RETENTION_S: Final = 60.0
"""Time for which the limit of a runner without an entry is kept: longer than a store
outage during which entries expire."""

MAX_LIMITED_SHARE: Final = 0.5
"""Largest share of a service's runners that placement avoids because they are limited:
with more, the other runners lack the capacity for their models."""

MIN_COOLDOWN_EDGE_SHARE: Final = 0.5
"""Share of the edges to which a runner must have sent a cooldown for placement to avoid
it: the other edges still use its models."""

MAX_LIMIT_RETRY_AFTER_S: Final = 4.0
"""Maximum retry-after time that is computed from a limit; the same as
`MAX_RETRY_AFTER_S`, which applies to the other rejections of the scheduling core."""

MAX_BRITTLE_REST_S: Final = 5.0
"""Longest cooldown after a rejection by a runner that ends if it rejects too many. One
that may reject none gets a request of each edge this often."""
