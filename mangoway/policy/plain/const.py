"""Thresholds of the shared capacity of plain services."""

from typing import Final

SHORTAGE_S: Final = 3.0
"""Time for which a shortage lasts after the last sign of it. Bursts last 5 to 11 s;
with a much shorter time, the edges would choose runners on their own between two
bursts' peaks, and runners would reject requests each time."""

RENEW_S: Final = SHORTAGE_S / 2
"""Time left of a shortage below which it is renewed if it goes on, so that a renewal
arrives well before the edges let it expire."""

EXPIRY_MARGIN_S: Final = 0.3
"""Time by which a shortage ends earlier at the edges than at the scheduler; messages
take some milliseconds, and an edge that stalls for longer is rare."""

REPORT_S: Final = 0.5
"""Minimum time between two reports of one edge about a service. The scheduler needs
only a few reports of all edges, and no more messages than these are sent."""

REPORT_WINDOW_S: Final = 2.0
MIN_REPORTS: Final = 2
"""Reports, and the time within which they must arrive, that begin a shortage. A runner
that stops or has one slow request causes single reports."""

MAX_ROOM_FACTOR: Final = 4 / 3
"""Maximum assumed room of a runner, in its slots. The excess waits in the runner's own
queue, so that no slot is idle between the end of a request and the next one's arrival,
which is some milliseconds later."""

MIN_ROOM: Final = 1.0
"""Minimum assumed room of a runner: without any request, its room would never be found
to have grown."""

ROOM_DECREASE: Final = 0.7
"""Factor of the assumed room after a rejection by the runner. A smaller one leaves
slots idle when the other senders are few."""

ROOM_INCREASE: Final = 1.0
"""Slots by which the assumed room rises while as many requests are served as it
holds."""

INITIAL_SERVICE_S: Final = 0.08
"""Service time that is assumed before any was measured; plain calls take some 60 to 90
ms."""

SERVICE_TIME_WEIGHT: Final = 0.1
"""Weight of a new measurement in a runner's mean service time. Runners with six slots
serve some 100 requests per second, so the mean follows a slow moment within 0.2 s."""

ARRIVAL_WINDOW_S: Final = 0.5
"""Time over which the rate of arrivals is averaged."""

MIN_LATE_SHARE: Final = 0.05
"""Minimum share of the capacity that is assumed to be left for requests that are late
already; the arrivals of requests that can be on time vary."""

MAX_BLOCKED: Final = 8
"""Requests that are skipped in search of one that may go to a runner with room; it
bounds the cost of a decision. Requests are skipped only if they have failed at that
runner before."""

UNENDED_GRANT_S: Final = 1.0
"""Time after its caller's deadline at which a granted request is assumed to have ended.
Edges report each end well before."""

LATE_DEVIATIONS: Final = 1.5
"""Mean deviations beyond the mean service time at which a request must start to count
as on time. In a burst, requests start just before this time; with no margin, half of
them would be late."""

MAX_LATE_SHARE: Final = 0.15
ANSWER_WEIGHT: Final = 0.1
"""Share of late answers from which an edge reports a shortage, and the weight of the
last answer in it. Two late answers within some four reach it. Single ones are no sign
of a shortage: the work of one answer in a hundred takes longer than a short objective
even at an idle runner."""

SLOWNESS_MEMORY_S: Final = 5.0
"""Time after which a late answer hardly counts at an edge with few requests. Each of 80
edges receives some answers per second in a burst, and bursts last 5 to 11 s."""
