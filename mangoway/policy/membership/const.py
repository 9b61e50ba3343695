"""Constants of the membership core."""

from typing import Final

HEARTBEAT_S: Final = 1.0
"""Period of heartbeats."""

MAX_BEATS_PER_S: Final = 2.0
"""Maximum rate at which a heartbeat counter rises, with changes between heartbeats."""

SMALL_CELL_PEERS: Final = 20
"""Live peers up to which a cell counts as small."""

SMALL_CELL_FANOUT: Final = 2
"""Peers to which a process sends each heartbeat in a small cell."""

FANOUT: Final = 1
"""Peers to which a process sends each heartbeat in a larger cell, to limit the traffic;
each peer replies."""

SILENCE_S: Final = 10.0
"""Time without a new heartbeat after which a process counts as gone."""

FULL_SYNC_S: Final = 30.0
"""Period at which all entries are sent to one random peer."""

GONE_RETENTION_S: Final = 900.0
"""Time for which the entry of a gone process is kept, since it names the successor."""

MIN_FREEZE_S: Final = 3.0
"""Delay of a wake-up from which this process counts as having been frozen."""

PROBED_NEIGHBOURS: Final = 2
"""Peers that a process probes in each period; as many others probe it."""

PROBE_TIMEOUT_S: Final = 0.3
"""Time for the response to a probe; also the delay of a wake-up from which this process
counts as too slow to judge others."""

PROBE_RETRIES: Final = 5
"""Times that a silent peer is probed again, directly and through others, before it is
suspected.

A process that stands still for a moment, or loses some messages, must not be suspected.
A failure is detected within a period of heartbeats and 1.8 s.
"""

PROBE_RELAYS: Final = 5
"""Peers that are requested to probe a silent peer at each retry."""

MAX_SUSPECTED_SHARE: Final = 0.5
"""Share of the gateways that may be left out of answers as silent; if more of them are,
the own checks are the likelier fault, and callers do better with all addresses."""
