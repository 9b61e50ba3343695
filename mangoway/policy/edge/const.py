"""Thresholds of the decisions of an edge."""

from typing import Final

SAVED_SHARE: Final = 0.45
REFILL_SHARE: Final = 0.05
WINDOW_SHARE: Final = 0.45
"""Shares of a service's fixed allowance of retries: the maximum that edges may save up,
the refill of savings per window, and the retries that they may send in each window
regardless of savings. The rest covers requests that are counted later than they were
sent, and hosts that are added."""

SHARE_HORIZON_WINDOWS: Final = 6.0
"""Windows for which an edge keeps its share without news of the fleet, and for which an
edge that has left is still counted. Store outages are long, and an edge without a share
sends no retries."""

MEMBERS_POLL_S: Final = 0.5
"""Interval between two reads of the members."""

RETRY_AFTER_BUDGET_S: Final = 0.5
"""Retry-after time if the retry budget is exhausted: by then, callers' requests have
earned some credits."""

MIN_RETRY_TIME_S: Final = 0.05
"""Minimum time before the deadline for another attempt: a plain call takes some 20 to
90 ms."""

MAX_KEPT_SILENT_S: Final = 0.3
"""Time for which the connection to a silent runner is kept after its stream was sent to
another one. Runners reject requests within milliseconds. A run that goes on elsewhere
must have ended where it was after 0.4 s."""

FAILURES_TO_AVOID: Final = 3
"""Consecutive failures after which a runner is avoided. At an error rate of 14%, which
some calls have regardless of the runner, three in a row occur once in 360 calls."""

AVOIDED_RETRY_INTERVAL_S: Final = 1.0
"""Interval between two attempts at a runner that is avoided; runners with partial
failures recover within seconds."""

MAX_AVOIDED_SHARE: Final = 0.5
"""Maximum share of a service's runners that is avoided at the same time; if more fail,
the runners are not the cause, and avoiding them would reject requests that could have
run."""

RETRY_AFTER_OUTAGE_S: Final = 0.5
"""Retry-after time if no runner is known: entries and members change within about a
second."""

RETRY_AFTER_START_S: Final = 0.3
"""Retry-after time if no configuration has been loaded yet: a start takes a few hundred
milliseconds to read it."""

MIN_LOCAL_GATEWAYS: Final = 2
"""Minimum number of edges in a caller's data centre for an answer with only those; with
a single one, its loss would leave the callers of the data centre without an address."""

MAX_GATEWAYS: Final = 16
"""Maximum number of addresses in one answer: enough that the loss of a third leaves a
choice."""

MIN_UNREACHABLE_RUNNERS: Final = 3
"""Runners to which connections must fail in a row until this host counts as cut off
from all of them. Two runners may fail together, for example on one rack."""

DOWN_S: Final = 5.0
"""Time for which a runner counts as down after it failed while another was reached:
the entry of a crashed runner stays for some heartbeats."""

MIN_KEPT_OPEN_S: Final = 0.05
"""Minimum time for which a connection of a check must stay open. Something on the way
that accepts connections to runners which it can't reach mostly resets them at once."""

MAX_KEPT_OPEN_S: Final = 1.0
"""Maximum of that time. Connections that end later without data are mostly those of
runners that crash, and callers are served through peers meanwhile."""

KEPT_OPEN_RATIO: Final = 2.0
"""That time in relation to the slowest recent reset of a connection without data. The
next reset may be slower."""

RESET_MEMORY_S: Final = 5.0
"""Time without resets after which the slowest one is forgotten. A check of a host that
is cut off takes less than two seconds."""

RECENTLY_REACHED_S: Final = 0.25
"""Time after an opened connection to any runner in which a failure needs no check of
the others. Busy edges open several connections a second."""

MAX_UNREACHABLE_ATTEMPTS: Final = 3
"""Attempts of one request that may fail to connect before it is sent through a peer, or
rejected. A refused connection takes a millisecond, so that a request without this limit
repeats it thousands of times."""

MAX_RELAY_PEERS: Final = 3
"""Peers that are tried for one request: the first may be cut off from the runners like
this host."""

PEER_AVOIDED_S: Final = 1.0
"""Time for which a peer is avoided that reached no runner or could not be connected to:
cuts last some seconds, and each further try delays a request."""

RETRY_AFTER_UNREACHABLE_S: Final = 0.5
"""Retry-after time if neither this host nor a peer reaches a runner: a host that is
connected again notices it sooner."""

RETENTION_TIMEOUTS: Final = 2.0
"""Time for which the origin of a stream is kept, in timeouts of the longest route: a
caller may resume a stream until its time is over, and starts with one request."""

RECORDS_INTERVAL_S: Final = 0.1
"""Time between two datagrams with the origins of streams that begin meanwhile. A stream
that loses its host before they are sent can't be resumed."""

MAX_FIRST_PEERS: Final = 64
"""Peers that are asked for the origin of a stream at first: most callers resume their
streams in the same data centre."""

ORIGIN_QUERY_INTERVAL_S: Final = 0.06
"""Time after which peers that have not answered are asked again, and all others too.
Datagrams are lost now and then."""

ORIGIN_QUERY_TIMEOUT_S: Final = 0.25
"""Time limit of the search for the origin of a stream. Hosts that have just been lost
don't answer, and callers wait for two seconds at most."""

RETRY_AFTER_ORIGIN_S: Final = 0.3
"""Retry-after time of a stream whose origin was not found, as peers did not answer or
the store doesn't list the versions yet."""

MIN_RESTART_S: Final = 0.03
"""Least time from the end of a runner's process until another one accepts connections
at its address. A bare interpreter that is started at once listens after 38 to 59 ms. A
connection that is accepted sooner was accepted by the process that was there before."""

MAX_UNHELD_BYTES: Final = 32_768
"""Size of a response whose end the kernel of its runner can always send at once. The
rest of a longer one, and its end, may wait there while its caller reads slowly, also
after the process has ended."""
