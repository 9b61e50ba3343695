"""Constants of the key-value adapters."""

from typing import Final

from .store import CallRank

READ_TRIES: Final = 3
WRITE_TRIES: Final = 4
"""Times that a write is sent until its result is settled."""

HISTORY_STEPS: Final = 16
"""Versions of a key that are looked through for a write whose answer was lost."""

BACKOFF_BASE_S: Final = 0.05
BACKOFF_CAP_S: Final = 5.0

BUDGET_BURST_S: Final = 2.0
"""Seconds of the rate that may be spent at once."""

BUDGET_WAIT_S: Final = 0.5
"""Longest time a call waits for the budget before it is refused."""

BUDGET_RESERVES: Final = {
    CallRank.SAFETY: 0.0,
    CallRank.CONFIGURATION: 0.2,
    CallRank.CLAIM: 0.4,
    CallRank.BACKGROUND: 0.6,
}
"""Share of the burst that a rank leaves to the ranks above it."""

WATCH_PROGRESS_S: Final = 2.0
"""Period in which a quiet watch is asked how far it is."""

WATCH_SILENCE_S: Final = 3.0
"""Time after which a watch that does not answer is replaced."""

NONCE_BYTES: Final = 12

LEASE_ID_BITS: Final = 62
