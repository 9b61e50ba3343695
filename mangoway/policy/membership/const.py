"""Constants of the membership core."""

from typing import Final

HEARTBEAT_S: Final = 1.0
"""Period of heartbeats."""

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
