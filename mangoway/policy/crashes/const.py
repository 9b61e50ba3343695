"""Thresholds of that decision, with their units and where they come from."""

from typing import Final

CRASHES_TO_HOLD: Final = 3
"""Crashes with a request at the runner, and no run of it that ended well, from which it
is held back. Operators allow one request no more than three runners; with two, each
request that a killed runner and then a crashed one cut off would be refused."""

MAX_CHARGES: Final = 4096
"""Pairs of a request and a crash that are kept: those of 40 runners that crash with 100
requests each. The oldest go first; what is held back already is kept apart."""

MAX_CLEARANCES: Final = 1024
"""Clearances that are kept: a quarter of the charges, since a request needs two crashes
for its clearance to be told to others."""

MAX_HELD: Final = 256
"""Requests that are held back at once; the oldest go first. One such request in a day
is an incident."""

MAX_REMEMBERED: Final = 4096
REMEMBERED_S: Final = 60.0
"""Requests that ended well and are remembered, and for how long. An equal one that a
crash cuts off has not made the runner crash: what many callers ask for alike is at each
runner that is killed. At 50 requests a second of one host it is a minute's."""

HELD_S: Final = 3600.0
"""Time for which a request is held back: by then its runners have been mended. Each
such hour costs up to three runners."""

RETRY_AFTER_HELD_S: Final = HELD_S
"""When to come back: no process knows how much of that time is over."""

EVIDENCE_S: Final = 600.0
"""Time for which crashes are counted: a caller that sends such a request by hand does
so within some minutes."""
