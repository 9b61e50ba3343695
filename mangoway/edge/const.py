"""Constants of an edge."""

from typing import Final

MIN_SILENCE_S: Final = 0.25
MAX_SILENCE_S: Final = 1.0
SILENCE_OBJECTIVES: Final = 2.5
"""Silence of a runner, as a multiple of the route's objective and within these bounds,
after which another runner is searched for if the request may be retried. Callers
abandon a stream after two seconds or more without an event, so half of that time must
be left for the other runner."""

ALTERNATIVE_TIMEOUT_S: Final = 0.4
"""Time limit of the search for another runner while the current one is silent."""

MAX_GRANT_REQUESTS: Final = 3
"""Maximum number of grant requests in a row for one attempt. Another one is sent if the
granted runner is known here to leave or to be in a cooldown; the scheduler receives the
same information within milliseconds."""

MAX_IDLE_PER_RUNNER: Final = 8
"""Idle connections kept to one runner. Runners accept about 100 to 600 connections in
total. With 83 edges this stays within the limit of large runners, as few edges are busy
at once."""

MAX_BUFFERED_BODY_BYTES: Final = 8 << 20
"""Largest response that is buffered before it is forwarded."""

MAX_STREAM_BYTES: Final = 32 << 20
"""Largest response that is forwarded as it arrives, ten times the longest outputs. Its
longest time is the timeout of its route."""

MAX_EVENT_BYTES: Final = 1 << 20
"""Largest event of a stream; one holds a few tokens."""

MAX_EVENT_S: Final = 3.0
"""Time from the first byte of an event until it is complete. Runners send an event at
once, and callers leave after a pause of two seconds."""

MAX_STREAM_EVENTS: Final = 65_536
"""Events of one response, more than the tokens of the longest outputs. Without a limit,
a faulty runner could use the processor up to the deadline."""

EVENTS_PER_TURN: Final = 32
"""Events that are forwarded before other tasks run, which takes about a millisecond."""

DIRECTORY_TTL_S: Final = 1
"""Time for which callers cache a response of the directory. Some cache it three times
as long, and an edge that stops serves only for its grace period of 8 s."""

CRASHING_REQUEST_REASON: Final = "it makes its runners crash"
"""Reason for rejecting a request that is blocked after its runners crashed."""

RETRY_BUDGET_SPENT_REASON: Final = "the retry budget is spent"
"""Reason for rejecting a request that needs a retry for which no credit is left."""

CLOSED_RUNNER_REASON: Final = "the runner takes no more"
"""Reason for rejecting a request whose granted runner leaves or has a cooldown."""

NO_VERSION_REASON: Final = "no runner has the software version that began the stream"
"""Reason for not sending a stream on that could only go on at another version."""

UNKNOWN_ORIGIN_REASON: Final = (
    "nobody knows the software version that began the stream; begin the stream anew"
)
"""Reason for not sending on a stream that may have begun at another version."""

MAX_STATE_AGE_SHARE: Final = 0.7
"""Share of the time until a revoked key must be rejected, for which a host continues to
serve without updates from the store. The rest covers a store whose watches receive
nothing for a second."""

MAX_CERTAIN_AGE_S: Final = 1.5
"""Age of a host's state, in seconds, up to which a missing key counts as unknown. State
relayed by others is about a second old; beyond this age, a newer configuration may
contain the key."""

RETRY_AFTER_OUTDATED_STATE_S: Final = 0.3
"""Delay until a retry at another host; meanwhile this host reports that it isn't
ready."""

STREAM_END_S: Final = 0.3
"""Time after a run was stopped within which its runner must have closed the stream.
Callers leave after a pause of two seconds."""

DRAIN_MARGIN_S: Final = 0.3
"""Time before the end of a leaving runner's drain from which it receives nothing: other
processes may have learnt of its leaving earlier."""

DEFAULT_DRAIN_S: Final = 3.0
"""Seconds for which a runner serves after its leaving is known, as the platform has
it."""

MAX_IDLE_PER_PEER: Final = 16
"""Idle connections kept to one peer. Only an edge that is cut off from the runners
opens any, and it sends all of its requests to a few peers."""

PEER_SILENCE_S: Final = 0.5
"""Silence of a peer after which it is checked whether it is still announced."""

UNREACHABLE_REASON: Final = "no runner can be reached"
"""Reason for rejecting a request for which neither this host nor a peer reaches a
runner."""

STOPPING_REASON: Final = "this host stops"
"""Reason for rejecting a request that this host would cut off when it stops."""

RETRY_AFTER_STOP_S: Final = 0.1
"""Retry delay of requests rejected by a stopping edge: short, since another edge can
serve them, but not zero, so that retries are spread when an edge restarts."""
