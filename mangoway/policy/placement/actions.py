"""Actions that the placement core returns."""

from math import inf

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
    """Send an order; `OrderAnswered` or `OrderFailed` follows.

    The shell closes the connection of an order that has no answer after
    `ORDER_TIMEOUT_S`. An order that it does not get to send before `send_before`
    must not be sent; `OrderFailed` with NOT_RUN follows then.
    """

    order: Order
    send_before: float = inf


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
