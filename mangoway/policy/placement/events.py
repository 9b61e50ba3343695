"""Events that the placement core handles."""

from attrs import frozen

from ...models.artifact import Artifact
from ...models.identifiers import (
    FenceNumber,
    HostId,
    IncarnationId,
    OrderId,
    Revision,
    UpstreamId,
)
from ...models.offer import Configuration
from ...models.order import Ledger, OrderOutcome
from ...models.upstream import EngineDescription, EngineReport, UpstreamAddress
from ...models.verdict import Verdict


@frozen(kw_only=True)
class LeaseGained:
    """This controller acquired the lease of its cell.

    Another controller may still act as if it held the lease.
    """


@frozen(kw_only=True)
class LeaseLost:
    """This controller no longer holds the lease."""


@frozen(kw_only=True)
class LedgerRead:
    """A ledger was read; it is None with revision 0 if the key is absent."""

    upstream_id: UpstreamId
    ledger: Ledger | None
    revision: Revision


@frozen(kw_only=True)
class LedgerWritten:
    """A ledger write took effect; ambiguous writes are verified by reading back."""

    upstream_id: UpstreamId
    ledger: Ledger
    revision: Revision


@frozen(kw_only=True)
class LedgerConflicted:
    """A ledger write did not take effect because the revision had changed."""

    upstream_id: UpstreamId
    ledger: Ledger | None
    revision: Revision


@frozen(kw_only=True)
class LedgerUnavailable:
    """A read or write has no definite result; a write may have taken effect."""

    upstream_id: UpstreamId


@frozen(kw_only=True)
class OrderAnswered:
    """An engine answered an order."""

    order_id: OrderId
    upstream_id: UpstreamId
    outcome: OrderOutcome
    fence: FenceNumber


@frozen(kw_only=True)
class OrderFailed:
    """An order got no answer, and its connection is closed.

    The verdict NOT_RUN means that the order never reached the engine.
    """

    order_id: OrderId
    upstream_id: UpstreamId
    verdict: Verdict


@frozen(kw_only=True)
class RunnersListed:
    """Complete list of the currently known runners of the cell."""

    runners: tuple[UpstreamAddress, ...]


@frozen(kw_only=True)
class EngineDescribed:
    """An engine sent its description."""

    description: EngineDescription


@frozen(kw_only=True)
class EngineReported:
    """An engine's report arrived."""

    report: EngineReport


@frozen(kw_only=True)
class EngineSilent:
    """An engine has not answered its probes for the configured time."""

    upstream_id: UpstreamId


@frozen(kw_only=True)
class ArtifactRate:
    """Demand for an artifact at one gateway in one period."""

    artifact: Artifact
    arrived: int
    queued: int
    """Requests that waited when the report was sent."""

    tokens: int
    """Maximum number of tokens that the arrived requests may generate."""

    refused: int
    """Requests that were rejected for lack of capacity."""


@frozen(kw_only=True)
class DemandReported:
    """A gateway's demand report arrived."""

    gateway: HostId
    incarnation: IncarnationId
    period_s: float
    rates: tuple[ArtifactRate, ...]


@frozen(kw_only=True)
class ConfigurationChanged:
    """A newer configuration took effect."""

    configuration: Configuration


@frozen(kw_only=True)
class Ticked:
    """The time of the last `WakeAt` was reached."""


PlacementEvent = (
    LeaseGained
    | LeaseLost
    | LedgerRead
    | LedgerWritten
    | LedgerConflicted
    | LedgerUnavailable
    | OrderAnswered
    | OrderFailed
    | RunnersListed
    | EngineDescribed
    | EngineReported
    | EngineSilent
    | DemandReported
    | ConfigurationChanged
    | Ticked
)
