"""Thresholds for the detection of requests that crash their runners."""

from typing import Final

from ...models.crash import RunStage

EARLY_RUN_S: Final = 0.5
"""Time from its first event during which a run counts as just begun. Requests that
crash runners do so at the start of their runs, mostly before the first event; other
requests have mostly run for longer when a crash interrupts them."""

SUSPICION_POINTS: Final = {
    RunStage.NOTHING_SENT: 5,
    RunStage.OUTPUT_STARTED: 4,
    RunStage.OUTPUT_ONGOING: 3,
}
"""Points that a crash counts against a request, by the progress of its run."""

MAX_SUSPICION_POINTS: Final = max(SUSPICION_POINTS.values())

BLOCK_POINTS: Final = 15
"""Points without a successful run from which a request is blocked: three crashes before
its runs sent anything, four if any run had just begun to, five if any had run for
longer. Operators allow such a request to crash three runners, and three more once all
processes may have the statements. With equal points for all stages, many harmless
requests would be blocked where runners are killed one after the other."""

CONTENT_BLOCK_POINTS: Final = 25
"""The same for all requests with one content, from any sender: five crashes that
interrupted any of them before its run sent anything, and no successful run. Many
callers may request the same path without a body, so three crashes just after a start
are weak evidence."""

MAX_CHARGES: Final = 4096
"""Stored pairs of a request and a crash: those of 40 runners that crash with 100
requests each. The oldest are dropped first; charges of blocked requests are stored
separately."""

MAX_CLEARANCES: Final = 1024
"""Stored clearances: a quarter of the charges, since a clearance is only sent to other
processes for a request with at least two crashes."""

MAX_CLEARED_INCARNATIONS: Final = 128
"""Runner incarnations that the clearance of one request lists, 3.5 kB in the store. The
crash statements in the store cover some 85 crashes."""

MAX_BLOCKED: Final = 256
"""Blocked requests at a time; the oldest are dropped first. One such request per day is
an incident."""

MAX_SERVED: Final = 4096
SERVED_RETENTION_S: Final = 60.0
"""Recently served requests that are kept, and for how long. If a crash interrupts an
equal request, that one is not the cause: a request that many callers send is in
progress at each runner that is killed. At 50 requests per second on one host, the
number covers a minute."""

BLOCK_S: Final = 3600.0
"""Time for which a request is blocked: by then its runners have been repaired. Each
such hour costs up to three runners."""

PROBE_AFTER_S: Final = 1.0
"""Time from the first rejection of a request with a blocked property until one is let
through as a probe: until then, clearances of other processes may arrive."""

PROBE_INTERVAL_S: Final = 3.0
"""Time between two probes of a property: another crash may have interrupted the first,
which has begun to send by then."""

MAX_PROBES: Final = 2
"""Probes of a property while it is blocked. Each may crash a runner, and operators
allow three runs after the fifth crash."""

RETRY_AFTER_BLOCK_S: Final = BLOCK_S
"""Retry-after time of a blocked request: the time that remains is not tracked."""

CRASH_RETENTION_S: Final = 600.0
"""Time for which crashes are counted: a caller that resends such a request by hand does
so within a few minutes."""
