"""Events of edges and schedulers.

The first digit of a number is the subject, as in `events`; the last two are 50 or more.
"""

from .event_log import LogLevel, numbered

# 1xx: the process.


@numbered(150, LogLevel.INFO)
class NodeStarted:
    """An edge or a scheduler started; its listeners are open."""

    incarnation: str
    data_centre: str
    addresses: tuple[str, ...]


@numbered(151, LogLevel.INFO)
class NodeReady:
    """An edge has a routing configuration and accepts requests."""

    version: int
    after_s: float


@numbered(152, LogLevel.INFO)
class NodeStopping:
    """A signal requested a stop; requests in progress are finished first."""

    signal: str
    in_progress: int


@numbered(153, LogLevel.INFO)
class NodeStopped:
    """The process ends; `in_progress` counts the requests that were cut off."""

    in_progress: int
    after_s: float


@numbered(154, LogLevel.INFO)
class ReloadIgnored:
    """A signal to reload was ignored: settings are read only at the start."""

    signal: str


@numbered(155, LogLevel.WARNING)
class ProcessPaused:
    """The process did not run for a while, for example while its host was suspended."""

    seconds: float


@numbered(156, LogLevel.ERROR)
class HandlerFailed:
    """A request, a message or a background task failed with an unexpected error."""

    error: str
    location: str
    """Module, line and function that raised it; empty if outside this package."""


@numbered(157, LogLevel.WARNING)
class LinesDropped:
    """Log lines were dropped because the reader of the output did not keep up."""

    lines: int


@numbered(158, LogLevel.INFO)
class StopRepeated:
    """A signal to stop was ignored, since the process is stopping already."""


# 2xx: requests.


@numbered(250, LogLevel.INFO)
class RequestServed:
    """A request received its complete response."""

    request_id: str
    identity: str
    route: str
    customer: str | None
    artifact: str
    runner_id: str
    status: int
    attempts: int
    queued_s: float
    first_s: float
    seconds: float
    longest_gap_s: float
    events: int
    end: str
    """How the end of the response was told from a lost connection: `framed` if the
    runner's response had a length or chunks, `goes_on` if its connection ended it and
    the runner goes on."""

    duplicates: int
    """Events dropped because the caller had them already."""

    gaps: int
    """Attempts at a stream that were broken off since an event was missing."""

    conflicts: int
    """Attempts at a stream that were broken off since an event belongs to another run,
    or has an id that the caller has with another content."""

    objective_s: float
    """Latency objective: time to the first event of a stream, or to the complete
    response otherwise. A longer time counts as late."""

    gap_objective_s: float
    """Longest pause of a stream that counts as on time; 0 if the route sets none."""


@numbered(251, LogLevel.WARNING, limited_by="kind")
class RequestRejected:
    """A request was rejected and has not run."""

    request_id: str
    identity: str
    kind: str
    """Kind of the route; empty without one."""

    route: str | None
    customer: str | None
    artifact: str
    status: int
    reason: str
    retry_after_s: float | None
    attempts: int
    rejected_by: tuple[str, ...]
    """Runners, and hosts of peers, that stated that they have not run it; empty if it
    was sent nowhere."""

    seconds: float
    version: int | None


@numbered(252, LogLevel.WARNING)
class RequestFailed:
    """A request failed after it may have run."""

    request_id: str
    identity: str
    route: str
    customer: str | None
    status: int | None
    reason: str
    runner_id: str | None
    attempts: int
    events: int
    duplicates: int
    """As in `RequestServed`; so are the next two fields."""

    gaps: int
    conflicts: int
    seconds: float


@numbered(253, LogLevel.INFO)
class RequestAbandoned:
    """The caller disconnected before the response was complete."""

    request_id: str
    route: str
    attempts: int
    events: int
    seconds: float


@numbered(254, LogLevel.INFO, limited_by="kind")
class AttemptFailed:
    """An attempt at a runner failed; `decision` says what follows."""

    request_id: str
    identity: str
    kind: str
    runner_id: str
    verdict: str
    reason: str
    decision: str
    attempts: int
    events: int


@numbered(255, LogLevel.WARNING)
class ForeignResponseSkipped:
    """A runner sent the response of another request; it was skipped."""

    request_id: str
    runner_id: str
    foreign_id: str
    """Request that it names; empty if it names none."""


@numbered(256, LogLevel.INFO)
class RepeatSent:
    """A request that was already sent to a runner is sent to a runner again."""

    request_id: str
    service: str
    runner_id: str
    cause: str
    """How the attempt before ended: it failed, was rejected ("refused"), was silent, or
    its stream broke ("resumed")."""

    attempts: int


@numbered(257, LogLevel.INFO)
class RetryBudgetSummed:
    """An edge's share of the retry budget of a service, logged after it was used."""

    service: str
    requests: int
    repeats: int
    refused: int
    """Retries not sent for lack of credit.

    The numbers of requests, retries (`repeats`) and these are counts since the start.
    """

    left: float
    """Retries that the edge may send now."""

    share: float
    """Share of the edge in the fleet's allowance, 0 to 1; 0 if it does not know the
    current members."""


@numbered(258, LogLevel.INFO)
class RequestRelayed:
    """An edge that reaches no runner sent a request through a peer, which responded."""

    request_id: str
    peer: str
    """Host of the peer, whose log has the request under the same id."""

    outcome: str
    """"served", "answered" (with the error in `status`) or "failed"."""

    status: int | None
    reason: str


@numbered(259, LogLevel.INFO)
class StreamResumed:
    """A stream of which its caller has received a part is sent to a runner."""

    request_id: str
    origin_id: str
    """ID of the request that brought the first event."""

    resumed_by: str
    """"caller" if the caller sent a new request for the rest, or "edge"."""

    runner_id: str
    origin_version: str
    """Software version of the runner that wrote the first event; empty if unknown."""

    version: str
    """Software version of this runner; empty if it states none."""

    told_by: str
    """Who has a record of the first event: "own", or the address of another edge. Empty
    if only one version could have written it."""

    basis: str
    """What this rests on: a record, or whose knowledge that there is one version."""


@numbered(260, LogLevel.WARNING)
class StreamOriginUnknown:
    """A stream is not resumed, since no edge knows what software version began it."""

    request_id: str
    origin_id: str
    """ID of the request that brought the first event, as the caller states it."""

    unanswered: int
    """Edges that were asked and have not answered."""

    versions: tuple[str, ...]
    """Known versions that may have begun it, each after its service. If there is one,
    no evidence shows that there was no other."""


@numbered(265, LogLevel.INFO, limited_by="kind")
class AttemptNotRun:
    """An attempt was taken for not run; the fields say what this rests on."""

    request_id: str
    kind: str
    """Kind of the route."""

    upstream_id: str
    """The runner, or the host of the peer."""

    status: int | None
    """Status of the response; None if no connection was opened."""

    states_not_run: bool
    """Whether the response states that the request has not run."""

    names_request: bool
    """Whether the response names the request."""

    local_port: int
    """Port of this end of the connection; 0 without one."""

    earlier_requests: int
    """Requests sent on the connection before."""

    skipped: int
    """Responses to other requests that came before this one."""

    reason: str


@numbered(266, LogLevel.WARNING)
class UnreadRequestRejected:
    """A request was rejected before it was read completely; nothing was sent."""

    request_id: str
    """Empty if its head was not read."""

    status: int
    reason: str


@numbered(267, LogLevel.ERROR)
class PromiseWithheld:
    """A wrong promise that a request has not run was replaced by a failure."""

    request_id: str
    status: int


# 3xx: runners.


@numbered(268, LogLevel.WARNING)
class UncertainEndBroken:
    """A response that ended with its connection is taken for cut off.

    It had neither a length nor chunks, and its runner doesn't prove to go on.
    """

    request_id: str
    life: str
    """Incarnation of the runner."""

    found: str
    """`ended` (its process), `replaced` (by another process at its address) or
    `unknown`."""

    events: int
    """Events of the stream that the caller has."""

    judged_s: float
    """Time for which the end was held back."""


@numbered(350, LogLevel.INFO)
class RunnerSeen:
    """A runner was found or has restarted, or its draining state changed."""

    runner_id: str
    service: str
    address: str
    draining: bool
    models: int
    started_ms: int
    """Start of its current incarnation, in Unix milliseconds; 0 if not reported."""

    software_version: str
    """Empty if not reported."""


@numbered(351, LogLevel.INFO)
class RunnerGone:
    """A runner was removed from those in use."""

    runner_id: str
    reason: str


@numbered(352, LogLevel.WARNING)
class RunnerAvoided:
    """A runner failed too often; it gets only occasional attempts."""

    runner_id: str
    failures: int
    reason: str


@numbered(353, LogLevel.INFO)
class RunnerTrusted:
    """A runner that was avoided has answered successfully."""

    runner_id: str


@numbered(354, LogLevel.WARNING)
class RunnerCrashed:
    """A runner crashed: connections to it broke, and its host refuses a new one."""

    life: str
    """Runner id and start of the incarnation that ended."""

    service: str
    requests: tuple[str, ...]
    """One line per request of this edge at the runner: identity, seconds since it was
    sent, and seconds that it ran after its first event (0 without one)."""

    parts: tuple[str, ...]
    """One line per part of their prompts that other requests may share: its ID, and the
    number of these requests that have it."""


@numbered(355, LogLevel.INFO)
class RunnerReset:
    """Connections to a runner broke, but a new one is not refused: it did not crash."""

    life: str
    service: str
    requests: int


@numbered(356, LogLevel.ERROR)
class CrashingRequestHeld:
    """Requests are blocked at all runners, since runners that ran them crashed."""

    identities: tuple[str, ...]
    lives: tuple[str, ...]
    """Incarnations of runners that crashed with it."""


@numbered(357, LogLevel.INFO)
class RunnerLimitSeen:
    """The rate limit that is assumed for a runner changed or ended."""

    runner_id: str
    limit: float | None
    """Requests per second that it accepts from all hosts together; null for no
    limit."""

    told_by: str | None
    """The process that reported it; none if this one read it in a response."""


@numbered(358, LogLevel.WARNING)
class SignalDropped:
    """A signal in a runner's response is invalid and is ignored."""

    runner_id: str
    field: str
    value: str


@numbered(359, LogLevel.INFO)
class RunnerLeavingSeen:
    """A runner's response reports that it is leaving; it gets no new requests."""

    runner_id: str
    told_by: str | None
    """The process that reported it; none if this one read it in a response."""


@numbered(360, LogLevel.INFO)
class RunnerRestSeen:
    """A runner rejected a request with a cooldown, in which this edge sends it none."""

    runner_id: str
    rest_s: float


@numbered(361, LogLevel.WARNING)
class RunnerReachLost:
    """An edge could not connect to several runners in a row, and to no other one."""

    unreachable: int
    known: int


@numbered(362, LogLevel.INFO)
class RunnerReachRegained:
    """An edge that had lost its connections to all runners has reached one again."""

    lost_s: float


@numbered(363, LogLevel.INFO)
class RunnerEndFound:
    """An edge takes a runner that holds a request of its own for ended."""

    request_id: str
    life: str
    """Runner id and start of the incarnation."""

    evidence: str
    """`crashed`, `restarted`, `refused` or `unreachable`."""


# 4xx: scheduling and placement.


@numbered(450, LogLevel.INFO)
class LeadershipTaken:
    """This scheduler leads: it holds the scheduler's key."""

    fence: int
    orders_after_s: float
    """Time until its first order, since orders of the previous leader may be late."""


@numbered(451, LogLevel.WARNING)
class LeadershipLost:
    """This scheduler no longer leads: it lost the scheduler's key or its lease."""

    fence: int


@numbered(460, LogLevel.INFO)
class LeadershipMissed:
    """An attempt to acquire the scheduler's key failed, or its response was lost."""

    reason: str


@numbered(461, LogLevel.INFO)
class QuotasSummed:
    """Balances of customers' quotas, those with the fewest seconds left first."""

    share: float
    """Share of each quota that this scheduler grants."""

    balances: tuple[str, ...]


@numbered(452, LogLevel.WARNING)
class FenceRefused:
    """A runner rejected an order because it has seen a higher fence number."""

    fence: int


@numbered(453, LogLevel.INFO)
class PlacementOrdered:
    """An order is sent to a runner, for the given reason."""

    runner_id: str
    load: bool
    model: str
    adapter: str
    reason: str
    order_count: int
    fence: int
    waiting: int


@numbered(454, LogLevel.INFO)
class PlacementAnswered:
    """A runner answered an order."""

    runner_id: str
    model: str
    adapter: str
    answer: str
    seconds: float


@numbered(464, LogLevel.INFO)
class AdapterUnloadFinished:
    """An adapter is gone whose unload had waited for runs; its slot is free now."""

    runner_id: str
    model: str
    adapter: str
    waited_s: float


@numbered(455, LogLevel.WARNING)
class PlacementUnanswered:
    """A runner did not answer an order; a later report shows whether it took effect."""

    runner_id: str
    model: str
    adapter: str
    reason: str


@numbered(456, LogLevel.INFO)
class LinkOpened:
    """An edge, or a standby scheduler, connected to the scheduler."""

    peer: str


@numbered(457, LogLevel.WARNING)
class LinkLost:
    """A connection between the scheduler and an edge or a standby is lost or silent."""

    peer: str
    reason: str


@numbered(458, LogLevel.INFO)
class LocalChoiceBegan:
    """An edge selects runners itself, since no scheduler responds."""

    reason: str


@numbered(459, LogLevel.INFO)
class PlacementSummed:
    """The leading scheduler's view of a service: models with most load, and runners."""

    service: str
    waiting: int
    models: tuple[str, ...]
    """One line per model: copies / desired copies, requests per second, prefill
    seconds per second, waiting requests."""

    runners: tuple[str, ...]
    """One line per runner: running requests, prefill backlog in seconds, models."""


# 5xx: configuration.


@numbered(550, LogLevel.INFO)
class RoutingApplied:
    """A routing configuration is in force in this process."""

    version: int
    routes: int


# 6xx: members.


@numbered(650, LogLevel.INFO)
class LeaderSeen:
    """The holder of the scheduler's key changed, according to the store."""

    host: str | None
    incarnation: str | None
    fence: int | None


# 7xx: the platform.


@numbered(750, LogLevel.WARNING)
class StoreLost:
    """The platform's store does not respond; its last known state stays in use."""

    reason: str


@numbered(751, LogLevel.INFO)
class StoreRegained:
    """The platform's store responds again."""

    revision: int


@numbered(752, LogLevel.INFO)
class StoreHistoryLost:
    """The store no longer holds some changes; the whole state is read again."""

    reason: str


@numbered(753, LogLevel.WARNING)
class LeaseEnded:
    """The lease of this process ended; a new one is created."""

    lease_id: int
    reason: str


@numbered(754, LogLevel.INFO)
class LeaseKept:
    """The lease could not be ended at the stop of the process; it will expire."""

    reason: str


@numbered(755, LogLevel.ERROR)
class DocumentUnreadable:
    """A value in the store is invalid; a runner with such an entry isn't used."""

    key: str
    reason: str
    times: int
    """Consecutive invalid values of this key; logged at 1, 10, 100 and so on."""


@numbered(756, LogLevel.INFO)
class EdgesRemoved:
    """The keys of edges that are not connected to this leader were removed."""

    keys: tuple[str, ...]


@numbered(757, LogLevel.INFO)
class EdgesKept:
    """The keys of disconnected edges could not be removed; their leases expire."""

    reason: str


@numbered(758, LogLevel.WARNING)
class StatementDropped:
    """The oldest crash statement was dropped: too many wait to be written."""

    key: str


@numbered(759, LogLevel.INFO)
class StatementsKept:
    """Crash statements could not be updated in the store; this is retried."""

    reason: str


@numbered(760, LogLevel.WARNING)
class StoreEraSeen:
    """The store is known to have come back from a copy, without the later writes."""

    era: int
    previous_era: int
    """0 if no era was known, as in a process that starts."""


@numbered(761, LogLevel.INFO)
class StoreStateIgnored:
    """A reading of the store was ignored, since it is older than the known state."""

    era: int
    revision: int
    known_era: int
    known_revision: int


@numbered(762, LogLevel.WARNING)
class StoreRestored:
    """The state of a store that came back from a copy is in use."""

    era: int
    revision: int
    lost_keys: int
    """Known keys that the store lacks."""

    held_keys: int
    """Keys that it has again, and that are not used until they are written again."""

    rewritten_keys: int
    """Keys that the leader writes again."""

    retained: tuple[str, ...]
    """Keys whose known values are newer and stay in use."""


@numbered(763, LogLevel.INFO)
class VersionsRecorded:
    """This process wrote in the store which software versions the runners have."""

    versions: tuple[str, ...]
    """Each after its service."""

    lease_s: float
    """Time for which the store keeps them."""


@numbered(764, LogLevel.WARNING)
class VersionsNotRecorded:
    """The runners' software versions can't be written in the store until event 763."""

    reason: str


@numbered(765, LogLevel.INFO)
class EraUnmarked:
    """The mark that lost writes were repeated was not written; this is retried."""

    era: int
    reason: str


@numbered(766, LogLevel.INFO)
class ShortTermKept:
    """The key of this leader's first seconds was not removed; this is retried."""

    reason: str
