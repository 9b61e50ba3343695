"""Thresholds of that decision, with their units and where they come from."""

from typing import Final

from ...models.crash import RunStage

BEGIN_S: Final = 0.5
"""Time from its first event for which a run has only just begun. Requests that make
runners crash were seen to do so 0.05 to 0.1 s after their runs began, before an event
came; others have run for a second and more when a crash cuts them off."""

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
know it. Ten drawn fleets whose runners are killed each second refused 1,024 of 26,874
innocent requests with three crashes whatever the run, 234 of 26,904 where only runs
that went on counted less, and 131 of 26,849 with these points."""

POINTS_TO_HOLD_CONTENT: Final = 25
"""The same for all requests with a content, whoever sends them: five crashes beside any
of them, and none that ended well. One path may be asked by many callers without a body,
and three crashes beside three of them just after a start held back 25 innocent requests
in a run of a minute."""

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
