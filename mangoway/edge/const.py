"""Constants of an edge, with their units and reasons."""

from typing import Final

MIN_SILENCE_S: Final = 0.25
MAX_SILENCE_S: Final = 1.0
SILENT_OBJECTIVES: Final = 2.5
"""While a runner sends nothing for this many objectives, within these bounds, another
is looked for where the request may be repeated. Callers leave a stream after two
seconds or more without an event, so that half of it must be left for another runner."""

OTHER_PLACE_S: Final = 0.4
"""Time for which another runner is looked for while the present one is silent."""

PLACES_ASKED: Final = 3
"""Places that are asked for one after the other while each is at a runner that this
host knows to leave or to rest: who grants hears of it within milliseconds."""

MAX_IDLE_PER_RUNNER: Final = 8
"""Idle connections kept to one runner. Runners accept some 100 to 600 from all callers
together; with 83 edges this stays in bounds for the large ones, as few are busy."""

MAX_BUFFERED_BODY_BYTES: Final = 8 << 20
"""Largest answer that is read whole before it is passed on."""

DIRECTORY_TTL_S: Final = 1
"""Time for which callers keep an answer of the directory. Some keep it three times as
long, and a gateway that stops can serve only for its grace time of 8 s."""

CRASHING_REQUEST_REASON: Final = "it makes its runners crash"
"""Why a request is refused that the crashes of its runners tell against."""

BUDGET_SPENT: Final = "the retry budget is spent"
"""Why a request is refused that needs a repeat for which the edge has no credit."""

KNOWLEDGE_SHARE: Final = 0.7
"""Part of the time after which a key that was taken away must let nobody in, for which
a host serves on without hearing the store. The rest is for a store whose watches hear
nothing for a second."""

SURE_AGE_S: Final = 1.5
"""Age of a host's knowledge, in seconds, up to which a key that it lacks is unknown.
What others pass on is about a second old; beyond, a newer configuration may have it."""

RETRY_AFTER_STALE_S: Final = 0.3
"""When to come back, to another host: this one says meanwhile that it isn't ready."""
