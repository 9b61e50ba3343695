"""Actions that the dispatch core returns."""

from attrs import frozen

from ...models.errors import Failure
from ...models.identifiers import (
    AttemptId,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    UpstreamId,
)
from .events import ArtifactDemand


@frozen(kw_only=True)
class StartAttempt:
    """Send a request to an upstream."""

    attempt_id: AttemptId
    request_id: RequestId
    upstream_id: UpstreamId
    priority: int
    """Engine priority; higher goes first."""

    resume_from: int = 0
    """Tokens already delivered; the engine continues after them."""

    timeout_s: float
    """Seconds until the deadline of the request."""

    silence_s: float
    """Seconds without progress after which the connection is closed."""


@frozen(kw_only=True)
class CancelAttempt:
    """Cancel an attempt at its upstream; `AttemptCancelled` follows."""

    attempt_id: AttemptId


@frozen(kw_only=True)
class Reject:
    """Answer a request with a failure; the core keeps no state of it afterwards."""

    request_id: RequestId
    failure: Failure


@frozen(kw_only=True)
class FinishRequest:
    """End a request whose answer is complete.

    If `keep_answer` is set, the dispatcher stores the answer under the request's id
    until `DeleteAnswer`.
    """

    request_id: RequestId
    keep_answer: bool = False


@frozen(kw_only=True)
class ReplayAnswer:
    """Answer a resubmission with the stored answer of an earlier request."""

    request_id: RequestId
    answer_id: RequestId


@frozen(kw_only=True)
class JoinRequest:
    """Let a resubmission share the answer of a request in progress.

    The dispatcher copies the answer or the failure of `leader_id` to `request_id`.
    """

    request_id: RequestId
    leader_id: RequestId


@frozen(kw_only=True)
class DeleteAnswer:
    """Delete a stored answer."""

    answer_id: RequestId


@frozen(kw_only=True)
class ClaimKey:
    """Claim a plain idempotency key in the key-value service; `KeyClaimed` follows."""

    request_id: RequestId
    key: IdempotencyKey


@frozen(kw_only=True)
class ForwardToHome:
    """Forward a request to the gateway incarnation that its key names."""

    request_id: RequestId
    home: IncarnationId


@frozen(kw_only=True)
class ForwardToPeer:
    """Forward a new request to another live gateway, since this one is stopping."""

    request_id: RequestId


@frozen(kw_only=True)
class ReportDemand:
    """Report the demand of the last period to the controller."""

    period_s: float
    demands: tuple[ArtifactDemand, ...]


@frozen(kw_only=True)
class Explain:
    """Record the reason for a decision about a request; kept in bounded memory."""

    request_id: RequestId
    reason: str
    """Stable reason code, lower case with underscores."""

    upstream_id: UpstreamId | None = None
    detail: str = ""


@frozen(kw_only=True)
class LogBreakerChange:
    """Log that the circuit breaker of an upstream opened or closed."""

    upstream_id: UpstreamId
    failures: int
    """Consecutive failures that opened it; 0 if it closed."""


@frozen(kw_only=True)
class WakeAt:
    """Send `Ticked` at this time; replaces any earlier `WakeAt`."""

    time: float


DispatchAction = (
    StartAttempt
    | CancelAttempt
    | Reject
    | FinishRequest
    | ReplayAnswer
    | JoinRequest
    | DeleteAnswer
    | ClaimKey
    | ForwardToHome
    | ForwardToPeer
    | ReportDemand
    | Explain
    | LogBreakerChange
    | WakeAt
)
