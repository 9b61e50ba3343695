"""Constants of the protocol between processes."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 1.0
"""Longest time to open a connection for a forwarded request.

The timeouts of all other calls include the time to open a connection.
"""

EXCHANGE_TIMEOUT_S: Final = 1.0
"""Longest time for the reply to a heartbeat."""

PROBE_TIMEOUT_S: Final = 0.3
"""Longest time for the response to a probe; the next one uses a new connection."""

CALL_TIMEOUT_S: Final = 3.0
"""Longest time for any other call with a single reply, except a hand-over."""

PING_PERIOD_S: Final = 1.0
"""Longest time between two frames of a forwarded response."""

SILENCE_S: Final = 3.0
"""Time without a frame after which a forwarded request fails as silent."""

IDLE_CLOSE_S: Final = 60.0
"""Time after which an unused connection is closed."""

HAND_OVER_TIMEOUT_S: Final = 20.0
"""Longest time for a whole hand-over of idempotency keys."""

HAND_OVER_CHUNK_RECORDS: Final = 500
"""Maximum number of key records, or of parts of stored responses, in one message."""

HAND_OVER_CHUNK_BYTES: Final = 262_144
"""Maximum number of bytes of stored response bodies in one message."""

HAND_OVER_LIMIT_BYTES: Final = 128 << 20
"""Maximum number of bytes of all hand-overs that a process receives concurrently."""

MAX_REPORTS_PER_HEARTBEAT: Final = 88
"""Maximum number of runner reports in one heartbeat to a known peer.

The newest ones are sent; the peer receives those that are left out from other peers.

Two heartbeats a second with this many reports of some 12 bytes leave room for the
members' entries within 3 KB a second.
"""

MAX_FIRST_REPORTS: Final = 2048
"""Maximum number of runner reports in the first heartbeat to a peer.

It is meant to be enough for the reports of all runners.
"""

DUPLICATE_REPORT_WINDOW_S: Final = 0.05
"""Reports of a runner that are closer in time than this count as the same report.

Each relay adds latency to a report's age, so the same report arrives with slightly
different times.
"""

MAX_SESSIONS: Final = 4096
"""Maximum number of peer sessions for which a process keeps state."""

MAX_SLOTS: Final = 16_384
"""Maximum number of slots of one session; a sender that needs more starts a new one."""

MAX_HOPS: Final = 2
"""Maximum number of times that a request is forwarded, from gateway to gateway."""

OWN_SLOT: Final = 0
"""Slot of the sender's own entry."""

WATCH_RESTART_DELAY_S: Final = 1.0
"""Delay before an ended watch of the head key is restarted."""

MAX_EXPLANATIONS: Final = 200
"""Maximum number of journal entries in one reply to an operator's query."""

CLOSE_IDLE_PERIOD_S: Final = 10.0
"""Time between two checks for unused connections."""

SESSION_BITS: Final = 63
"""Number of random bits in a session number."""
