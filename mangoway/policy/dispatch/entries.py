"""Requests in progress and their attempts."""

from enum import Enum

from attrs import define, field

from ...models.identifiers import AttemptId, CallerId, RequestId, UpstreamId
from ...models.request import Request, WorkClass
from ...models.verdict import Verdict
from .const import PROMPT_TOKEN_COST
from .timers import Timer
from .tracked_keys import TrackedKey


class EntryState(Enum):
    """State of a request in progress."""

    NEW = "new"
    CLAIMING = "claiming"
    QUEUED = "queued"
    DELAYED = "delayed"
    RUNNING = "running"
    ENDED = "ended"


@define(eq=False)
class Entry:
    """One request in progress."""

    request: Request
    weight: float
    """Weight of its caller."""

    state: EntryState = EntryState.NEW
    verdict: Verdict = Verdict.NOT_RUN
    """Merged verdict of all attempts that ended."""

    tokens: int = 0
    """Tokens of the answer delivered so far."""

    attempts: int = 0
    preemptions: int = 0
    attempt: "Attempt | None" = None
    tried_upstreams: set[UpstreamId] = field(factory=set)
    timer: Timer | None = None
    queued_at: float = 0.0
    latest_start: float = 0.0
    """Latest time at which an attempt can start and still meet the deadlines."""

    critical_at: float = 0.0
    """Time from which the request is critical, if it is patient."""

    sequence: int = 0
    """Order of insertion into the queue; unique there."""

    tracked_key: TrackedKey | None = None
    """Record of its idempotency key, if it needs one."""

    free_retry: bool = False
    """Whether its next retry costs no budget, since the upstream did not fail."""

    detached: bool = False
    """Whether it continues without its caller, since its answer is kept."""

    def has_slack(self, now: float) -> bool:
        """Return whether the request is patient and not critical yet."""
        return not self.urgent and self.critical_at > now

    @property
    def urgent(self) -> bool:
        """Return whether the request is of the urgent class."""
        return self.request.work_class is WorkClass.URGENT

    @property
    def caller(self) -> CallerId:
        """Return the caller of the request."""
        return self.request.caller

    @property
    def cost(self) -> float:
        """Return the maximum work of the request, in generated tokens."""
        request = self.request
        return max(1.0, request.max_tokens + request.prompt_tokens * PROMPT_TOKEN_COST)


@define(eq=False)
class Attempt:
    """One attempt of a request at one upstream."""

    id: AttemptId
    upstream_id: UpstreamId
    request_id: RequestId
    started_at: float
    entry: Entry | None
    """None if the request no longer waits for this attempt."""

    resumed_from: int = 0
    first_token_at: float | None = None
    preempting: bool = False
    probe: bool = False
    """Whether it probes an upstream whose breaker is half open."""

    timer: Timer | None = None
