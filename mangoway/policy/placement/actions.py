"""Actions that the placement core returns."""

from attrs import frozen

from ...models.artifact import Artifact
from ...models.identifiers import Revision, UpstreamId
from ...models.order import Ledger, Order


@frozen(kw_only=True)
class ReadLedger:
    """Read a runner's ledger; `LedgerRead` or `LedgerUnavailable` follows."""

    upstream_id: UpstreamId


@frozen(kw_only=True)
class WriteLedger:
    """Write a ledger if its key still has this revision (0: if it is absent).

    `LedgerWritten`, `LedgerConflicted` or `LedgerUnavailable` follows.
    """

    ledger: Ledger
    expected: Revision


@frozen(kw_only=True)
class SendOrder:
    """Send an order; `OrderAnswered` or `OrderFailed` follows."""

    order: Order


@frozen(kw_only=True)
class Explain:
    """Why an artifact was moved, or could not be; kept in bounded memory."""

    artifact: Artifact | None
    upstream_id: UpstreamId | None
    reason: str
    """Stable reason code, lower case with underscores."""

    detail: str = ""


@frozen(kw_only=True)
class WakeAt:
    """Send `Ticked` at this time (replaces any earlier one)."""

    time: float


PlacementAction = ReadLedger | WriteLedger | SendOrder | Explain | WakeAt
