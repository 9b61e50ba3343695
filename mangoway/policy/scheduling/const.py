"""Thresholds of scheduling, with their units and reasons."""

from typing import Final

# Pacing of prompts.

BACKLOG_LIMIT_S: Final = 0.006
"""Reading time of the prompts that a runner should still have to read, up to which it
gets another one: as long as a grant and the prompt take to reach it, so that it need
not idle, and hardly two prompts are read in one step beside its streams."""

PRESSURE_BACKLOG_LIMIT_S: Final = 0.012
"""The same while requests wait for all runners: then a runner must not idle, and longer
limits stall its streams."""

PRESSURE_WAITING_PER_RUNNER: Final = 3.0
"""Waiting requests for each runner from which the pressed limit holds in full."""

PREFILL_S_PER_TOKEN: Final = 1 / 29_000
"""First guess of a runner's reading speed, that of a large model."""

FIRST_EVENT_OVERHEAD_S: Final = 0.012
"""First guess of the part of the time to a first event that is not reading: ways, one
decoding step and the answer of the edge."""

USABLE_SLOT_SHARE: Final = 0.95
"""Part of a runner's slots that is used; the rest is for what edges choose alone."""

USABLE_KV_SHARE: Final = 0.92
"""Part of a runner's KV memory that is planned for: beyond it the runner preempts."""

OTHER_DATA_CENTRE_COST_S: Final = 0.004
"""Reading time that a runner in another data centre must spare to be chosen; a way
there and back takes 2.8 ms, and the bytes are priced."""

RUNNING_REQUEST_COST_S: Final = 0.0004
"""Reading time that one running request at a runner is held to be worth: each makes
a step longer by some 25 microseconds, over the few dozen steps of an answer."""

STALL_WINDOW_S: Final = 0.3
"""Time over which prompts that a runner reads add up to one stall of its streams: a
common longest pause between events that is still on time."""

STALL_LIMIT_S: Final = 0.2
"""Reading time within that window from which the streams beside it are late: the rest
of the pause goes to the steps of an event, some 30 ms, and to the error of the
estimate."""

STALL_COST_S: Final = 0.02
"""Reading time that the stall of one stream is held to be worth. A late stream loses
two thirds of its worth, as much as some ten places in a queue of short prompts."""

STALL_RATE_COST_S: Final = 0.01
"""Reading time that a runner must spare, to get a prompt, for each stall a second that
it had lately."""

STALL_DECAY_S: Final = 8.0
"""Time in which the count of a runner's stalls falls to a third: a long stream's."""

# Queueing and refusing.

LOAD_MARGIN: Final = 1.08
LOAD_MARGIN_S: Final = 0.06
"""Factor and time by which a load takes longer than announced, from its answer on. A
request that comes before the model is ready is refused and repeated."""

ADAPTER_LOAD_S: Final = 0.015
"""Time from the answer to an adapter's order until it can be used: 5 to 10 ms, and
longer while many are fetched."""

MIN_REFUSAL_BACKOFF_S: Final = 0.06
MAX_REFUSAL_BACKOFF_S: Final = 1.0
"""Bounds of the time for which a runner that refused a request as not run isn't asked
for the same model again: a load that takes a little longer than expected is over in the
first, and one that is changing its models in seconds."""

USABLE_PATIENCE_SHARE: Final = 0.85
"""Part of a caller's patience in which a request must be started to be worth its
place; the rest covers the estimate's error."""

MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 4.0
"""Bounds of what refused callers are told; they honour up to a third of their time."""

RETRY_SPREAD: Final = 0.3
"""Part by which times to come back are spread, so that callers don't return as one."""

REFUSAL_MATCH_S: Final = 2 * MAX_RETRY_AFTER_S
"""Time after a refusal in which the same prompt is held to be the same caller's: what
it was told, with the spread, and its way."""

MAX_REMEMBERED_REFUSALS: Final = 4096
"""Refused requests that are remembered; at 500 refusals a second those of 8 s."""

# Placement.

FAST_RATE_DECAY_S: Final = 3.0
SLOW_RATE_DECAY_S: Final = 10.0
"""Times in which a model's estimated demand falls to a third; the larger of the two
estimates counts. Demand moves to other models within 4 to 6 seconds, and rare models
are asked for each few seconds."""

SHORT_TREND_DECAY_S: Final = 2.0
LONG_TREND_DECAY_S: Final = 5.0
"""The same of the two averages whose difference shows a trend. At 10 clumped requests a
second the first errs by 3 a second: a shorter one would see trends that are none."""

MAX_TREND_HORIZON_S: Final = 3.0
"""Longest time for which a trend is held to go on: half of the 6 s in which demand
moves from one model to another."""

MIN_RESIDENCE_S: Final = 2.0
"""Time for which a loaded model stays: a little longer than the dearest common load."""

UNLOAD_S: Final = 0.05
"""Time from the answer to an unload until the next order: a busy runner refuses it."""

CALM_COPY_PREFILL_SHARE: Final = 0.6
PAUSED_COPY_PREFILL_SHARE: Final = 0.35
"""Seconds of reading a second that one copy of a model is to take, where few streams
pause for too long and where many do. A lower share takes places from models that have
none; an engine that reads much between two tokens has to be kept from reading all the
time."""

COPY_SLOT_SHARE: Final = 0.8
"""Part of a runner's slots that the streams of one copy are to keep in the mean; the
rest is for clumps."""

LOW_PAUSE_SHARE: Final = 0.02
HIGH_PAUSE_SHARE: Final = 0.1
"""Shares of streams that pause for too long between which the one turns into the
other: one in fifty comes from frozen hosts and crashes as well."""

PAUSE_DECAY_S: Final = 6.0
"""Time in which the count of pauses falls to a third: a few streams' length."""

PRIOR_PAUSE_SHARE: Final = 0.05
PRIOR_STREAMS_PER_S: Final = 1.0
"""Share of pauses that is expected before streams have ended, and how many streams a
second it counts as."""

POPULAR_REQUESTS_PER_S: Final = 2.0
"""Requests a second from which a model gets a second copy whatever they take, since the
loss of its only runner would refuse as many until it is loaded again."""

SECOND_COPY_LOSS_SHARE: Final = 0.05
"""Share of a popular model's requests that the loss of its second copy is held to cost:
the chance that the runner with the first is lost or busy while another is loaded."""

BUSY_RUNNER_COST_S: Final = 4.0
"""Load time that a runner must save, to get a model, for each of its seconds a second
that are taken: popular models are to be on different runners."""

PLANNING_HORIZON_S: Final = 5.0
"""Time for which a change of models is held to pay or cost: demand moves in about this
time."""

MIN_SWAP_GAIN: Final = 2.0
"""Factor by which what a copy brings must exceed what it takes away, so that two models
that are asked for alike don't take each other's places."""

MIN_PRELOAD_REQUESTS: Final = 1.0
"""Requests that would wait during a load from which a model that nobody holds is loaded
before one waits. Lower, a chance pair of requests lets rare models take each other's
places."""

MAX_NEEDS_PER_PLAN: Final = 16
"""Models with too few copies for which one plan looks for a runner, those first that
lose most; the others follow in the next one, some hundredths of a second later."""

MAX_FILLS_PER_PLAN: Final = 8
"""Runners with free room that one plan fills. After many restart at once an order a
plan would take seconds to fill them, and each costs a look at all models."""

MIN_COPY_REQUESTS_PER_S: Final = 0.1
"""Requests a second below which a model gets no copy before one waits for it: a load
takes less than 10 s (see AHEAD_LOSS)."""

TICK_S: Final = 0.05
"""Time between two looks at the queue and the placement."""

STORE_LOAD_SHARE: Final = 0.9
"""Part of the weight store's rate of loads that is used."""

STORE_WINDOW_S: Final = 5.0
"""Window over which the weight store's rate of loads is counted."""

STORE_FIRST_SHARE: Final = 0.2
STORE_FIRST_LOADS: Final = 3.0
"""Part of that, and loads at least, which a scheduler begins in the first window in
which it orders: the one before may have used all, and the store allows a tenth more
than its rate, and three loads."""

MAX_RARE_LOAD_SHARE: Final = 0.34
"""Part of the runners that loads of rare models from the weight store may keep at once,
so that a model whose demand rises finds one for its first load."""

MIN_REQUESTS_PER_S: Final = 0.01
"""Requests a second below which a model counts as not asked for: one in some 40 s."""

IDLE_REQUESTS_PER_S: Final = 0.02
"""Requests a second that a model is expected to get at least, and again for each of its
adapters: a model with many is offered to many, and demand may move to it at any time.
With 16 adapters it counts a little more than a rare model that is in use."""

ADAPTER_RESERVE_SHARE: Final = 1.0
"""Part of the adapter places whose memory is kept free of models."""

PREFETCH_IDLE_S: Final = 10.0
"""Time without a request after which a service counts as idle, so that its runners may
fetch copies for later: the longest time in which demand is still remembered."""

MAX_PREFETCH_SHARE: Final = 0.34
"""Part of the runners that fetch copies ahead at once: each has unloaded a model for
it, which may be asked for just then."""
