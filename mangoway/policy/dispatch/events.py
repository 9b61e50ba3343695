"""Events that the dispatch core handles."""

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
    """A caller's request was received and validated."""

    request: Request


@frozen(kw_only=True)
class RequestCancelled:
    """The caller closed its connection."""

    request_id: RequestId


@frozen(kw_only=True)
class AttemptProgressed:
    """An upstream delivered more tokens of an answer."""

    attempt_id: AttemptId
    tokens: int
    """Tokens of the answer delivered so far, including those of earlier attempts."""


@frozen(kw_only=True)
class AttemptSucceeded:
    """An attempt delivered its complete answer."""

    attempt_id: AttemptId


@frozen(kw_only=True)
class AttemptFailed:
    """An attempt ended without a complete answer."""

    attempt_id: AttemptId
    verdict: Verdict
    failure: Failure
    tokens: int = 0
    """Tokens of the answer delivered before the failure, as in `AttemptProgressed`."""


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
    """It is unknown whether the claim was written; the key counts as taken."""

    UNAVAILABLE = "unavailable"
    """The claim was certainly not written."""


@frozen(kw_only=True)
class KeyClaimed:
    """A claim of a plain idempotency key ended."""

    request_id: RequestId
    outcome: str
    """One of the values of `ClaimOutcome`."""


@frozen(kw_only=True)
class UpstreamListChanged:
    """The list of upstreams changed; the event holds the complete list."""

    upstreams: tuple[UpstreamAddress, ...]


@frozen(kw_only=True)
class UpstreamLeaving:
    """An upstream is leaving, as reported by itself, a peer or the host list."""

    upstream_id: UpstreamId


@frozen(kw_only=True)
class EngineDescribed:
    """An engine sent its description."""

    description: EngineDescription


@frozen(kw_only=True)
class EngineReported:
    """A load report was received from the engine or through a peer."""

    report: EngineReport


@frozen(kw_only=True)
class GatewayCountChanged:
    """The number of live gateways of the cell changed (this one included)."""

    count: int


@frozen(kw_only=True)
class PeerKeysReceived:
    """A gateway that leaves handed over some or all records of its idempotency keys."""

    home: IncarnationId
    keys: "tuple[KeyRecord, ...]"
    last: bool = True


@frozen(kw_only=True)
class HomesChanged:
    """The live gateway incarnations or the successors of those that left changed."""

    live: frozenset[IncarnationId]
    successors: "tuple[Successor, ...]" = ()


@frozen(kw_only=True)
class Successor:
    """The incarnation that took over the keys of one that left by a planned stop."""

    home: IncarnationId
    successor: IncarnationId


@frozen(kw_only=True)
class KeyRecord:
    """The record of one idempotency key, as one gateway hands it over to another."""

    key: IdempotencyKey
    caller: CallerId
    """Caller that the key belongs to; each caller has its own key space."""

    fingerprint: int
    expires_at: float
    """Unix time in seconds until which the record must be kept."""

    verdict: Verdict | None
    """Verdict of its failure; None if it ran and its answer is kept."""

    answer_id: RequestId | None = None
    """Request whose stored answer is replayed to resubmissions."""


@frozen(kw_only=True)
class ConfigurationChanged:
    """A newer configuration is active."""

    configuration: Configuration


@frozen(kw_only=True)
class StopRequested:
    """A planned stop of this gateway began; new requests go to other gateways."""


@frozen(kw_only=True)
class Ticked:
    """Time has advanced; sent at the time of the last `WakeAt`, or later."""


@frozen(kw_only=True)
class ArtifactDemand:
    """Demand for one artifact since the last report."""

    artifact: Artifact
    arrived: int
    queued: int
    """Requests that wait at the time of the report."""

    tokens: int
    """Maximum number of tokens that the arrived requests may generate."""

    refused: int
    """Requests that were rejected for lack of capacity."""


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
