"""Events that the dispatch core takes."""

from attrs import frozen

from ...models.artifact import Artifact
from ...models.errors import Failure
from ...models.identifiers import (
    AttemptId,
    CallerId,
    IdempotencyKey,
    IncarnationId,
    RequestId,
    UpstreamId,
)
from ...models.offer import Configuration
from ...models.request import Request
from ...models.upstream import EngineDescription, EngineReport, UpstreamAddress
from ...models.verdict import Verdict


@frozen(kw_only=True)
class RequestArrived:
    """A caller's request was read and checked."""

    request: Request


@frozen(kw_only=True)
class RequestCancelled:
    """The caller hung up."""

    request_id: RequestId


@frozen(kw_only=True)
class AttemptProgressed:
    """An upstream delivered more of an answer."""

    attempt_id: AttemptId
    tokens: int
    """Tokens of the whole answer delivered so far, earlier attempts included."""


@frozen(kw_only=True)
class AttemptSucceeded:
    """An attempt delivered its answer whole."""

    attempt_id: AttemptId


@frozen(kw_only=True)
class AttemptFailed:
    """An attempt ended without its answer."""

    attempt_id: AttemptId
    verdict: Verdict
    failure: Failure
    tokens: int = 0
    """Tokens of the whole answer delivered before it failed."""


@frozen(kw_only=True)
class AttemptCancelled:
    """An attempt that the core cancelled has ended at the upstream."""

    attempt_id: AttemptId
    tokens: int = 0


class ClaimOutcome:
    """Outcomes of claiming a plain idempotency key (see `KeyClaimed`)."""

    CLAIMED = "claimed"
    TAKEN = "taken"
    UNSETTLED = "unsettled"
    """Whether it was written is unknown; the key counts as taken."""

    UNAVAILABLE = "unavailable"
    """It certainly was not written."""


@frozen(kw_only=True)
class KeyClaimed:
    """The key-value service answered a claim, or it could not be asked."""

    request_id: RequestId
    outcome: str
    """One of `ClaimOutcome`."""


@frozen(kw_only=True)
class UpstreamListChanged:
    """The whole list of upstreams that are known now."""

    upstreams: tuple[UpstreamAddress, ...]


@frozen(kw_only=True)
class UpstreamLeaving:
    """An upstream said that it leaves, or a peer or the host list said so."""

    upstream_id: UpstreamId


@frozen(kw_only=True)
class EngineDescribed:
    """An engine described itself."""

    description: EngineDescription


@frozen(kw_only=True)
class EngineReported:
    """A load report arrived, from the engine or through a peer."""

    report: EngineReport


@frozen(kw_only=True)
class GatewayCountChanged:
    """The number of live gateways of the cell changed (this one included)."""

    count: int


@frozen(kw_only=True)
class PeerKeysReceived:
    """A leaving home handed over its records of idempotency keys, or some of them."""

    home: IncarnationId
    keys: "tuple[KeyRecord, ...]"
    last: bool = True


@frozen(kw_only=True)
class HomesChanged:
    """The live gateway incarnations, and who answers for those that left."""

    live: frozenset[IncarnationId]
    successors: "tuple[Successor, ...]" = ()


@frozen(kw_only=True)
class Successor:
    """A live incarnation that answers for one that left in a planned way."""

    home: IncarnationId
    successor: IncarnationId


@frozen(kw_only=True)
class KeyRecord:
    """What a home knows of one idempotency key, as it is handed over."""

    key: IdempotencyKey
    caller: CallerId
    """Caller that the key belongs to; callers' keys never meet."""

    fingerprint: int
    expires_at: float
    """Unix seconds until which the record must be kept."""

    verdict: Verdict | None
    """None: it ran and the answer is kept; else the verdict of its failure."""

    answer_id: RequestId | None = None
    """Request whose stored answer is replayed."""


@frozen(kw_only=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@frozen(kw_only=True)
class StopRequested:
    """This gateway leaves: it takes no new requests of its own."""


@frozen(kw_only=True)
class Ticked:
    """Time passed; sent at the time of the last `WakeAt`, or later."""


@frozen(kw_only=True)
class ArtifactDemand:
    """Demand for one artifact since the last digest."""

    artifact: Artifact
    arrived: int
    queued: int
    tokens: int
    refused: int


DispatchEvent = (
    RequestArrived
    | RequestCancelled
    | AttemptProgressed
    | AttemptSucceeded
    | AttemptFailed
    | AttemptCancelled
    | KeyClaimed
    | UpstreamListChanged
    | UpstreamLeaving
    | EngineDescribed
    | EngineReported
    | GatewayCountChanged
    | PeerKeysReceived
    | HomesChanged
    | ConfigurationChanged
    | StopRequested
    | Ticked
)
