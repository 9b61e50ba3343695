"""Constants of the protocol between processes."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 1.0
"""Longest time to open a connection to a peer."""

EXCHANGE_TIMEOUT_S: Final = 1.0
"""Longest time for the reply to a heartbeat."""

CALL_TIMEOUT_S: Final = 3.0
"""Longest time for any other call that is answered in one message."""

PING_PERIOD_S: Final = 1.0
"""Longest time between two frames of a forwarded answer."""

SILENCE_S: Final = 3.0
"""Time without a frame after which a forwarded request's connection is given up."""

IDLE_CLOSE_S: Final = 60.0
"""Time after which an unused connection is closed."""

HAND_OVER_TIMEOUT_S: Final = 20.0
"""Longest time for a whole hand-over of idempotency keys."""

HAND_OVER_CHUNK_RECORDS: Final = 500
"""Records of idempotency keys in one message."""

HAND_OVER_CHUNK_BYTES: Final = 262_144
"""Bytes of stored answers in one message."""

HAND_OVER_LIMIT_BYTES: Final = 128 << 20
"""Bytes of all hand-overs that a process receives at one time."""

MAX_REPORTS_PER_HEARTBEAT: Final = 88
"""Newest runner reports in one heartbeat; what is left out comes from others.

Two heartbeats a second of so many reports, some 12 bytes each, leave room for the
members' entries within 3 KB a second.
"""

MAX_FIRST_REPORTS: Final = 2048
"""Runner reports in the first heartbeat to a peer: all that are known."""

SAME_REPORT_S: Final = 0.05
"""Reports of a runner that are closer in time than this count as the same one.

Relays age a report by its time on the way, so the same report reaches a process
with slightly different times.
"""

MAX_SESSIONS: Final = 4096
"""Sender sessions whose slots a receiver remembers."""

MAX_SLOTS: Final = 16_384
"""Slots of one session; a sender that needs more begins a new session."""

MAX_HOPS: Final = 2
"""Gateways that a request may be forwarded to, one after the other."""

OWN_SLOT: Final = 0
"""Slot of the sender's own entry."""


WATCH_PAUSE_S: Final = 1.0
"""Pause before an ended watch of the head key is begun again."""

MAX_EXPLANATIONS: Final = 200
"""Entries in one answer to an operator's question."""

CLOSE_IDLE_PERIOD_S: Final = 10.0
"""Time between two looks for connections that are not used."""

SESSION_BITS: Final = 63
"""Bits of a heartbeat session number."""
