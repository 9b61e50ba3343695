"""Events that the placement core takes."""

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
    """This controller holds the lease of its cell; a hint only."""


@frozen(kw_only=True)
class LeaseLost:
    """This controller no longer holds the lease."""


@frozen(kw_only=True)
class LedgerRead:
    """A ledger was read; None with revision 0 if the key is absent."""

    upstream_id: UpstreamId
    ledger: Ledger | None
    revision: Revision


@frozen(kw_only=True)
class LedgerWritten:
    """A ledger write took effect (ambiguous writes are settled by read-back)."""

    upstream_id: UpstreamId
    ledger: Ledger
    revision: Revision


@frozen(kw_only=True)
class LedgerConflicted:
    """A ledger write certainly did not take effect: the revision had moved on."""

    upstream_id: UpstreamId
    ledger: Ledger | None
    revision: Revision


@frozen(kw_only=True)
class LedgerUnavailable:
    """A read or write got no settled result; a write may have taken effect."""

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

    NOT_RUN: it certainly never reached the engine.
    """

    order_id: OrderId
    upstream_id: UpstreamId
    verdict: Verdict


@frozen(kw_only=True)
class RunnersListed:
    """The whole list of runners of the cell that are known now."""

    runners: tuple[UpstreamAddress, ...]


@frozen(kw_only=True)
class EngineDescribed:
    """An engine described itself."""

    description: EngineDescription


@frozen(kw_only=True)
class EngineReported:
    """An engine's report arrived."""

    report: EngineReport


@frozen(kw_only=True)
class EngineSilent:
    """An engine did not answer its probes for the stated time."""

    upstream_id: UpstreamId


@frozen(kw_only=True)
class ArtifactRate:
    """Demand for one artifact as one gateway saw it in a period."""

    artifact: Artifact
    arrived: int
    queued: int
    tokens: int
    refused: int


@frozen(kw_only=True)
class DemandReported:
    """A gateway's demand digest."""

    gateway: HostId
    incarnation: IncarnationId
    period_s: float
    rates: tuple[ArtifactRate, ...]


@frozen(kw_only=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@frozen(kw_only=True)
class Ticked:
    """Time passed; sent at the time of the last `WakeAt`, or later."""


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
