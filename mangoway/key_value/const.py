"""Constants of the adapters for key-value services."""

from typing import Final

from .store import CallRank

READ_ATTEMPTS: Final = 3
WRITE_ATTEMPTS: Final = 4
"""Maximum number of attempts of a write until its result is settled."""

MAX_HISTORY_VERSIONS: Final = 16
"""Maximum number of versions of a key that are searched for a write whose response was
lost."""

BACKOFF_BASE_S: Final = 0.05
BACKOFF_CAP_S: Final = 5.0

BUDGET_BURST_S: Final = 2.0
"""Number of calls that may be made in a burst, as seconds of the allowed rate."""

BUDGET_WAIT_S: Final = 0.5
"""Longest time for which a call waits for the budget; a call that would have to wait
longer is rejected at once."""

BUDGET_RESERVES: Final = {
    CallRank.SAFETY: 0.0,
    CallRank.CONFIGURATION: 0.2,
    CallRank.CLAIM: 0.4,
    CallRank.BACKGROUND: 0.6,
}
"""Share of the burst that a rank leaves to the ranks above it."""

WATCH_PROGRESS_S: Final = 2.0
"""Time without a response after which a watch requests a progress report."""

WATCH_SILENCE_S: Final = 3.0
"""Time without a response after which a watch is replaced; also the timeout for sending
one of its requests."""

NONCE_BYTES: Final = 12

LEASE_KEY_CHECK_S: Final = 10.0
"""Time after which a renewal also reads the key. Two holders cost failed writes, though
the ledgers keep them from harm."""

LEASE_ID_BITS: Final = 62
"""Number of random bits of a lease id, which must be a positive 64-bit integer."""
