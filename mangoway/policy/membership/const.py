"""Constants of the membership core."""

from typing import Final

BEAT_S: Final = 1.0
"""Period of heartbeats."""

SMALL_CELL: Final = 20
"""Live peers up to which the fan-out is SMALL_CELL_FANOUT."""

SMALL_CELL_FANOUT: Final = 2
"""Peers to which a process sends at each beat in a small cell."""

FANOUT: Final = 1
"""Peers to which it does so in a larger one, where bytes count; each replies."""

SILENCE_S: Final = 10.0
"""Time without a new beat after which a process counts as gone."""

FULL_SYNC_S: Final = 30.0
"""Period at which all entries are sent to one random peer."""

GONE_KEPT_S: Final = 900.0
"""Time for which the entry of a gone process is kept, with its successor."""

FREEZE_S: Final = 3.0
"""Lateness of a wake-up from which the own process counts as having been frozen."""
