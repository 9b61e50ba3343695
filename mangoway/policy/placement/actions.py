"""Actions that the placement core returns."""

from math import inf

from attrs import frozen

from ...models.artifact import Artifact
from ...models.identifiers import Revision, UpstreamId
from ...models.order import Ledger, Order


@frozen(kw_only=True)
class ReadLedger:
    """Request to read a runner's ledger.

    `LedgerRead` or `LedgerUnavailable` follows.
    """

    upstream_id: UpstreamId


@frozen(kw_only=True)
class WriteLedger:
    """Request to write a ledger if its key still has the expected revision.

    An expected revision of 0 means that the key must not exist.
    `LedgerWritten`, `LedgerConflicted` or `LedgerUnavailable` follows.
    """

    ledger: Ledger
    expected: Revision


@frozen(kw_only=True)
class SendOrder:
    """Request to send an order; `OrderAnswered` or `OrderFailed` follows.

    The caller of the core closes the connection of an order that has no answer
    after `ORDER_TIMEOUT_S`. An order that could not be sent before `send_before`
    must be discarded; `OrderFailed` with NOT_RUN follows then.
    """

    order: Order
    send_before: float = inf


@frozen(kw_only=True)
class Explain:
    """Explanation of why an artifact was moved or could not be moved.

    Only a limited number of explanations is kept.
    """

    artifact: Artifact | None
    upstream_id: UpstreamId | None
    reason: str
    """Stable reason code, lower case with underscores."""

    detail: str = ""


@frozen(kw_only=True)
class WakeAt:
    """Request to send `Ticked` at a time; replaces any earlier request."""

    time: float


PlacementAction = ReadLedger | WriteLedger | SendOrder | Explain | WakeAt
