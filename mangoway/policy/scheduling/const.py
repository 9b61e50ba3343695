"""Thresholds of the scheduling policy, with their units and reasons."""

from typing import Final

# Prompt dispatch.

BACKLOG_LIMIT_S: Final = 0.006
"""Prefill backlog of a runner up to which it receives another prompt. A grant and the
prompt take about this long to reach the runner, so it does not idle, and it seldom
prefills two prompts in one step beside its streams."""

PRESSURE_BACKLOG_LIMIT_S: Final = 0.012
"""The same limit while requests wait for all runners. A runner must not idle then, and
higher limits stall its streams."""

PRESSURE_WAITING_PER_RUNNER: Final = 3.0
"""Waiting requests per runner from which the limit under pressure applies in full."""

PREFILL_S_PER_TOKEN: Final = 1 / 29_000
"""Prior estimate of the prefill time per token, that of a large model."""

FIRST_EVENT_OVERHEAD_S: Final = 0.012
"""Prior estimate of the share of the time to the first event that is not prefill:
network delays, one decoding step and the response of the edge."""

USABLE_SLOT_SHARE: Final = 0.95
"""Share of a runner's slots that is granted; the rest is left for grants that edges
make themselves."""

USABLE_KV_SHARE: Final = 0.92
"""Share of a runner's KV memory that is planned for; beyond it the runner preempts."""

OTHER_DATA_CENTRE_COST_S: Final = 0.004
"""Prefill time that a runner in another data centre must save to be chosen. A round
trip between data centres takes 2.8 ms, and the traffic is billed."""

RUNNING_REQUEST_COST_S: Final = 0.0004
"""Cost of one running request at a runner, as prefill time. Each running request
lengthens a step by some 25 microseconds, over the few dozen steps of an answer."""

STALL_WINDOW_S: Final = 0.3
"""Window over which the prefill times of a runner's prompts add up to one stall of its
streams: the longest pause between events that a common objective allows."""

STALL_LIMIT_S: Final = 0.2
"""Prefill time within that window above which the streams beside it are late. The rest
of the pause is taken by the steps of an event, some 30 ms, and by the error of the
estimate."""

STALL_COST_S: Final = 0.02
"""Cost of stalling one stream, as prefill time. A late stream loses two thirds of its
value, as much as some ten positions in a queue of short prompts."""

STALL_RATE_COST_S: Final = 0.01
"""Prefill time that a runner must save to be chosen, for each recent stall per
second."""

STALL_DECAY_S: Final = 8.0
"""Time in which a runner's stall rate decays to a third, about the length of a long
stream."""

# Queueing and rejections.

LOAD_MARGIN_FACTOR: Final = 1.08
LOAD_MARGIN_S: Final = 0.06
"""Factor and time by which a load is assumed to take longer than the model's profile
states, counted from the response to its order. A request that arrives before the model
is ready is rejected and retried."""

ADAPTER_LOAD_S: Final = 0.015
"""Time from the response to an adapter's order until the adapter can be used: 5 to 10
ms, and longer while many adapters are fetched."""

MIN_REJECTION_BACKOFF_S: Final = 0.06
MAX_REJECTION_BACKOFF_S: Final = 1.0
"""Bounds of the time for which a runner that rejected a request without running it
receives no further request for the same model. A load that takes a little longer than
expected ends within the lower bound; a change of models takes seconds."""

USABLE_PATIENCE_SHARE: Final = 0.85
"""Share of a caller's patience within which a request must start to be worth a grant;
the rest covers the error of the estimate."""

MIN_RETRY_AFTER_S: Final = 0.2
MAX_RETRY_AFTER_S: Final = 4.0
"""Bounds of the Retry-After of rejected callers, who honour it up to a third of their
timeout."""

RETRY_SPREAD: Final = 0.3
"""Share by which the retry times of rejected callers are spread, so that they do not
all return at once."""

REJECTION_MATCH_S: Final = 2 * MAX_RETRY_AFTER_S
"""Time after a rejection within which a request with the same prompt is counted as the
same caller's retry: its Retry-After with the spread, and network delays."""

MAX_REMEMBERED_REJECTIONS: Final = 4096
"""Rejected requests that are remembered: at 500 rejections per second, those of 8 s."""

# Model placement.

FAST_RATE_DECAY_S: Final = 3.0
SLOW_RATE_DECAY_S: Final = 10.0
"""Times in which a model's estimated demand decays to a third; the larger of the two
estimates is used. Demand moves to other models within 4 to 6 seconds, and rare models
receive a request every few seconds."""

SHORT_TREND_DECAY_S: Final = 2.0
LONG_TREND_DECAY_S: Final = 5.0
"""Decay times of the two averages whose difference shows a trend. At 10 clustered
requests per second the first has an error of 3 per second; a shorter one would show
trends that do not exist."""

MAX_TREND_HORIZON_S: Final = 3.0
"""Longest time over which a trend is extrapolated: half of the 6 s in which demand
moves from one model to another."""

MIN_RESIDENCE_S: Final = 2.0
"""Minimum time for which a loaded model stays, a little longer than the slowest common
load."""

UNLOAD_S: Final = 0.05
"""Time from the response to an unload until the next order; a busy runner rejects
orders."""

CALM_COPY_PREFILL_SHARE: Final = 0.6
PAUSED_COPY_PREFILL_SHARE: Final = 0.35
"""Prefill seconds per second that one copy of a model is planned for, where few streams
pause for too long and where many do. A lower share takes memory from models that have
no copy; an engine that prefills many tokens between two output tokens must not prefill
all the time."""

COPY_SLOT_SHARE: Final = 0.8
"""Share of a runner's slots that the streams of one copy should occupy on average; the
rest absorbs bursts."""

LOW_PAUSE_SHARE: Final = 0.02
HIGH_PAUSE_SHARE: Final = 0.1
"""Shares of streams with too long a pause between which the planned prefill share
changes from one value to the other. Frozen hosts and crashes alone cause a share of one
in fifty."""

PAUSE_DECAY_S: Final = 6.0
"""Time in which the count of pauses decays to a third: the length of a few streams."""

PRIOR_PAUSE_SHARE: Final = 0.05
PRIOR_STREAMS_PER_S: Final = 1.0
"""Share of paused streams that is assumed before any streams have ended, and the number
of streams per second that this assumption counts as."""

POPULAR_REQUESTS_PER_S: Final = 2.0
"""Requests per second from which a model has a second copy whatever their prefill time,
since the loss of its only runner would cause as many rejections until the model is
loaded again."""

SECOND_COPY_LOSS_SHARE: Final = 0.05
"""Share of a popular model's requests that the loss of its second copy is assumed to
cost: the probability that the runner with the first copy is lost or busy while another
copy loads."""

BUSY_RUNNER_COST_S: Final = 4.0
"""Load time that a runner must save to be chosen for a model, per prefill second per
second of the models that it holds already. Popular models should be on different
runners."""

PLANNING_HORIZON_S: Final = 5.0
"""Time over which the gain or loss of a change of models is counted; demand moves in
about this time."""

MIN_SWAP_GAIN_FACTOR: Final = 2.0
"""Factor by which the gain of a copy must exceed the loss of the copies that it
replaces, so that two models with equal demand do not replace each other repeatedly."""

MIN_DRAIN_GAIN: Final = 4.0
"""Further requests per second from which a model may take the room of one in use. Its
runner accepts no other order until the requests with that one have ended, some two
seconds, in which it could have loaded another model."""

MIN_PRELOAD_REQUESTS: Final = 1.0
"""Number of requests expected during a load from which a model without a copy is loaded
before a request waits for it. With a lower value, a chance pair of requests makes rare
models replace each other."""

MAX_NEEDS_PER_PLAN: Final = 16
"""Models with too few copies for which one plan selects a runner, most urgent first.
The others follow in the next plan, some hundredths of a second later."""

MAX_FILLS_PER_PLAN: Final = 8
"""Runners with free memory that one plan fills. After many restart at once, a single
order per plan would take seconds to fill them, and each runner costs a pass over all
models."""

MIN_COPY_REQUESTS_PER_S: Final = 0.1
"""Requests per second below which a model receives no copy before a request waits for
it, as a load takes less than 10 s (see MIN_PRELOAD_REQUESTS)."""

TICK_S: Final = 0.05
"""Time between two evaluations of the queue and the placement."""

STORE_LOAD_SHARE: Final = 0.9
"""Share of the weight store's load rate that is used."""

STORE_WINDOW_S: Final = 5.0
"""Window over which the load rate of the weight store is counted."""

STORE_FIRST_SHARE: Final = 0.2
STORE_FIRST_LOADS: Final = 3.0
"""Share of the rate, and minimum number of loads, that a scheduler uses in the first
window in which it sends orders. The previous scheduler may have used the whole rate,
and the store tolerates a tenth more than its rate and three loads."""

MAX_RARE_LOAD_SHARE: Final = 0.34
"""Share of the runners that loads of rare models from the weight store may occupy at
once, so that a model with rising demand finds a runner for its first load."""

MIN_REQUESTS_PER_S: Final = 0.01
"""Requests per second below which a model counts as having no demand: one in some 40
s."""

IDLE_REQUESTS_PER_S: Final = 0.02
"""Requests per second that every model is assumed to receive at least, and the same
again for each of its adapters. A model with many adapters is offered to many callers,
and demand may move to it at any time. With 16 adapters it counts a little more than a
rare model in use."""

ADAPTER_RESERVE_SHARE: Final = 1.0
"""Share of the adapter slots whose memory is not used for models."""

PREFETCH_IDLE_S: Final = 10.0
"""Time without a request after which a service counts as idle, so that its runners may
prefetch copies. It is the longest decay time of the demand estimates."""

MAX_PREFETCH_SHARE: Final = 0.34
"""Share of the runners that prefetch at once. Each of them has unloaded a model for the
prefetch, and a request for that model may arrive at any time."""
