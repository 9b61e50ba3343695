"""Delays between attempts, with jitter so that clients do not retry simultaneously."""

import random

from .const import BACKOFF_BASE_S, BACKOFF_CAP_S


def pick_backoff_s(failures: int, random_source: random.Random) -> float:
    """Return the delay in seconds after a number of consecutive failures."""
    if failures == 0:
        return 0.0
    # The exponent is limited, since the power would overflow in a long outage.
    limit = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return random_source.uniform(limit / 2, limit)
