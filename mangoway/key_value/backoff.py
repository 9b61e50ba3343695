"""Waits between tries, jittered so that clients do not come back together."""

import random

from .const import BACKOFF_BASE_S, BACKOFF_CAP_S


def pick_backoff_s(failures: int, source: random.Random) -> float:
    """Return the seconds to wait after so many failures in a row."""
    if failures == 0:
        return 0.0
    # The exponent is bounded, since a long outage would overflow the power.
    limit = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return source.uniform(limit / 2, limit)
