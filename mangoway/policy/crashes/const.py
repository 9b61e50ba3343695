"""Thresholds of that decision, with their units and reasons."""

from typing import Final

from ...models.crash import RunStage

EARLY_RUN_S: Final = 0.5
"""Time from its first event for which a run has only just begun. Requests that make
runners crash do so at the begin of their runs, mostly before an event comes; others
have mostly run for longer when a crash cuts them off."""

POINTS: Final = {
    RunStage.NOTHING_SENT: 5,
    RunStage.BEGUN: 4,
    RunStage.GOING_ON: 3,
}
"""What a crash counts for a request, by how far its run had come."""

MOST_POINTS: Final = max(POINTS.values())

POINTS_TO_HOLD: Final = 15
"""Points without any run that ended well, from which a request is held back: three
crashes before its runs sent anything, four if any run had begun to, five if any went on
for a while. Operators allow such a request three runners, and three more once all may
know it. Where runners are killed one after the other, crashes that count alike whatever
the run hold back many innocent requests."""

POINTS_TO_HOLD_CONTENT: Final = 25
"""The same for all requests with a content, whoever sends them: five crashes beside any
of them, and none that ended well. One path may be asked by many callers without a body,
so that three crashes just after a start tell little of it."""

MAX_CHARGES: Final = 4096
"""Pairs of a request and a crash that are kept: those of 40 runners that crash with 100
requests each. The oldest go first; what is held back already is kept apart."""

MAX_CLEARANCES: Final = 1024
"""Clearances that are kept: a quarter of the charges, since a request needs two crashes
for its clearance to be told to others."""

MAX_BLOCKED: Final = 256
"""Requests that are held back at once; the oldest go first. One such request in a day
is an incident."""

MAX_REMEMBERED: Final = 4096
REMEMBERED_S: Final = 60.0
"""Requests that ended well and are remembered, and for how long. An equal one that a
crash cuts off has not made the runner crash: what many callers ask for alike is at each
runner that is killed. At 50 requests a second of one host it is a minute's."""

BLOCK_S: Final = 3600.0
"""Time for which a request is held back: by then its runners have been mended. Each
such hour costs up to three runners."""

RETRY_AFTER_BLOCK_S: Final = BLOCK_S
"""When to come back: no process knows how much of that time is over."""

CRASH_RETENTION_S: Final = 600.0
"""Time for which crashes are counted: a caller that sends such a request by hand does
so within some minutes."""
