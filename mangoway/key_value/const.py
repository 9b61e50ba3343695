"""Constants of the adapters for key-value services."""

from typing import Final

from .store import CallRank

READ_ATTEMPTS: Final = 3
WRITE_ATTEMPTS: Final = 4
"""Maximum number of times that a write is sent until its result is settled."""

MAX_HISTORY_VERSIONS: Final = 16
"""Maximum number of versions of a key searched for a write with a lost response."""

BACKOFF_BASE_S: Final = 0.05
BACKOFF_CAP_S: Final = 5.0

BUDGET_BURST_S: Final = 2.0
"""Size of the burst, as seconds of the rate."""

BUDGET_WAIT_S: Final = 0.5
"""Longest time for which a call waits for the budget before it is rejected."""

BUDGET_RESERVES: Final = {
    CallRank.SAFETY: 0.0,
    CallRank.CONFIGURATION: 0.2,
    CallRank.CLAIM: 0.4,
    CallRank.BACKGROUND: 0.6,
}
"""Share of the burst that a rank leaves to the ranks above it."""

WATCH_PROGRESS_S: Final = 2.0
"""Time without events after which a progress report of a watch is requested."""

WATCH_SILENCE_S: Final = 3.0
"""Time without any response after which a watch is replaced."""

NONCE_BYTES: Final = 12

LEASE_ID_BITS: Final = 62
