"""Constants of the protocol between processes."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 1.0
"""Longest time to open a connection to a peer."""

EXCHANGE_TIMEOUT_S: Final = 1.0
"""Longest time for the reply to a heartbeat."""

CALL_TIMEOUT_S: Final = 3.0
"""Longest time for any other call with a single reply."""

PING_PERIOD_S: Final = 1.0
"""Longest time between two frames of a forwarded response."""

SILENCE_S: Final = 3.0
"""Time without a frame after which a forwarded request fails as silent."""

IDLE_CLOSE_S: Final = 60.0
"""Time after which an unused connection is closed."""

HAND_OVER_TIMEOUT_S: Final = 20.0
"""Longest time for a whole hand-over of idempotency keys."""

HAND_OVER_CHUNK_RECORDS: Final = 500
"""Records of idempotency keys in one message."""

HAND_OVER_CHUNK_BYTES: Final = 262_144
"""Bytes of stored responses in one message."""

HAND_OVER_LIMIT_BYTES: Final = 128 << 20
"""Bytes of all hand-overs that a process receives concurrently."""

MAX_REPORTS_PER_HEARTBEAT: Final = 88
"""Newest runner reports in one heartbeat; other peers send those that are left out.

Two heartbeats a second with this many reports of some 12 bytes leave room for the
members' entries within 3 KB a second.
"""

MAX_FIRST_REPORTS: Final = 2048
"""Runner reports in the first heartbeat to a peer; enough for all known ones."""

DUPLICATE_REPORT_WINDOW_S: Final = 0.05
"""Reports of a runner that are closer in time than this count as the same report.

Each relay adds latency to a report's age, so the same report arrives with slightly
different times.
"""

MAX_SESSIONS: Final = 4096
"""Largest number of sender sessions whose slots a receiver keeps."""

MAX_SLOTS: Final = 16_384
"""Slots of one session; a sender that needs more starts a new session."""

MAX_HOPS: Final = 2
"""Gateways that a request may be forwarded to in succession."""

OWN_SLOT: Final = 0
"""Slot of the sender's own entry."""


WATCH_RESTART_DELAY_S: Final = 1.0
"""Delay before an ended watch of the head key is restarted."""

MAX_EXPLANATIONS: Final = 200
"""Entries in one reply to an operator's query."""

CLOSE_IDLE_PERIOD_S: Final = 10.0
"""Time between two checks for unused connections."""

SESSION_BITS: Final = 63
"""Bits of a heartbeat session number."""
