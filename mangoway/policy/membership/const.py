"""Constants of the membership core."""

from typing import Final

BEAT_S: Final = 1.0
"""Period of heartbeats."""

FANOUT: Final = 2
"""Peers to which a process sends at each beat."""

SILENCE_S: Final = 8.0
"""Time without a new beat after which a process counts as gone."""

FULL_SYNC_S: Final = 30.0
"""Period at which all entries are sent to one random peer."""

GONE_KEPT_S: Final = 900.0
"""Time for which the entry of a gone process is kept, with its successor."""

FREEZE_S: Final = 3.0
"""Lateness of a wake-up from which the own process counts as having been frozen."""
