"""State of a runner at one controller."""

from enum import Enum

from attrs import define, field, frozen

from ...models.artifact import Artifact
from ...models.identifiers import (
    DataCentreId,
    FenceNumber,
    OrderId,
    Revision,
    UpstreamId,
)
from ...models.order import Ledger, LedgerEntry, OrderKind
from ...models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
)
from .const import LOAD_REPORT_TIMEOUT_S, MAX_ORDER_RETRY_DELAY_S, MAX_REPORT_AGE_S
from .ledgers import is_load_confirmed, list_entries
from .order_tracker import OrderTracker


class CopyState(Enum):
    """State of an artifact on a runner, for planning."""

    READY = "ready"
    LOADING = "loading"
    DRAINING = "draining"
    """An unload may still take effect; does not count as a copy."""

    LOST = "lost"
    """The ledger reserves its memory, but the engine does not report it."""


@frozen(kw_only=True)
class PendingOrder:
    """An order that waits for its ledger write, its checks or its answer."""

    id: OrderId
    kind: OrderKind
    artifact: Artifact
    memory_mb: int
    requested_at: float
    """Time at which its ledger write was requested."""

    fence: FenceNumber
    replaces_mark: bool = False
    """Whether it is an unload whose mark replaces that of an earlier one."""


@frozen(kw_only=True)
class PendingWrite:
    """A ledger write without a result yet."""

    ledger: Ledger
    order: PendingOrder | None
    """Order to send after the write took effect."""


@define
class RetryBackoff:
    """Delay after failed orders; doubles each time."""

    until: float = 0.0
    wait_s: float = 0.5

    def record_failure(self, now: float, min_wait_s: float) -> None:
        """Record a failure and extend the delay."""
        self.wait_s = min(max(self.wait_s * 2, min_wait_s), MAX_ORDER_RETRY_DELAY_S)
        self.until = now + self.wait_s


@define
class Runner:
    """Runner with its location, reports, ledger and pending orders."""

    id: UpstreamId
    data_centre: DataCentreId
    listed: bool = True
    leaving: bool = False
    silent: bool = False
    description: EngineDescription | None = None
    report: EngineReport | None = None
    """Latest report of the described incarnation."""

    ledger: Ledger | None = None
    lost_ledger: Ledger | None = None
    """Ledger that the store has lost, until its entries are written again."""

    revision: Revision = Revision(0)
    is_ledger_known: bool = False
    """Whether `ledger` and `revision` can be relied on.

    False before the first read, after a write without a definite result, after an
    order was rejected for its stale fence, and after the lease was gained or lost.
    """

    pending_reads: int = 0
    """Number of ledger reads without a result."""

    read_retry_at: float = 0.0
    pending_write: PendingWrite | None = None
    conflicts: int = 0
    """Number of consecutive writes that conflicted with another controller's write."""

    write_retry_at: float = 0.0
    is_backing_off: bool = False
    """Whether writes are delayed until `write_retry_at` after conflicts."""

    order_tracker: OrderTracker = field(factory=OrderTracker)
    sent_orders: dict[OrderId, PendingOrder] = field(factory=dict)
    """Orders that were sent and have no answer yet."""

    load_deadlines: dict[Artifact, float] = field(factory=dict)
    """Time by which each load has to appear in a report."""

    ready_since: dict[Artifact, float] = field(factory=dict)
    """Time at which each copy was first seen ready."""

    is_steady: bool = False
    """Whether only a change of state, not elapsed time, can require new actions."""

    retries: dict[Artifact, RetryBackoff] = field(factory=dict)
    unsent_unloads: dict[Artifact, PendingOrder] = field(factory=dict)
    """Unloads of this controller that are or may be marked but were not sent."""

    @property
    def is_leaving(self) -> bool:
        """Return whether the runner's address or report marks it as leaving."""
        return self.leaving or (self.report is not None and self.report.leaving)

    @property
    def is_controllable(self) -> bool:
        """Return whether the ledger may be written and orders may be sent."""
        return (
            self.listed
            and not self.silent
            and self.description is not None
            and self.report is not None
            and self.is_ledger_known
        )

    @property
    def is_free(self) -> bool:
        """Return whether the ledger may be written now, without conflict or delay."""
        if self.is_backing_off:
            return False
        return (
            self.is_controllable
            and self.pending_write is None
            and self.pending_reads == 0
        )

    @property
    def accepts_loads(self) -> bool:
        """Return whether the runner may get new loads."""
        return self.is_controllable and not self.is_leaving

    @property
    def free_mb(self) -> int:
        """Return the memory that a new reservation may take."""
        return 0 if self.ledger is None else self.ledger.free_mb

    @property
    def checks_fences(self) -> bool:
        """Return whether the engine rejects orders with an older fence."""
        return self.description is not None and self.description.checks_fences

    def is_fresh(self, now: float) -> bool:
        """Return whether the latest report is recent enough to count as proof."""
        return self.report is not None and (
            now - self.report.reported_at <= MAX_REPORT_AGE_S
        )

    def is_busy_with(self, artifact: Artifact) -> bool:
        """Return whether an order for an artifact has no answer yet."""
        return self.order_tracker.loads.is_open(
            artifact
        ) or self.order_tracker.unloads.is_open(artifact)

    def may_retry(self, artifact: Artifact, now: float) -> bool:
        """Return whether an artifact's delay after failed orders is over."""
        retry = self.retries.get(artifact)
        return retry is None or retry.until <= now

    def list_copies(self, now: float) -> dict[Artifact, CopyState]:
        """Return the state of each artifact in the ledger.

        The result is empty if the ledger or the report cannot be used.
        """
        if not self.is_controllable or self.ledger is None or self.report is None:
            return {}
        reported = {resident.artifact: resident for resident in self.report.residents}
        marked = {entry.artifact for entry in self.ledger.resident if entry.order}
        copies: dict[Artifact, CopyState] = {}
        for entry in list_entries(self.ledger):
            copies[entry.artifact] = self._find_state(
                entry, entry.artifact in marked, reported.get(entry.artifact), now
            )
        for artifact, state in copies.items():
            base = copies.get(artifact.base)
            if state is CopyState.READY and base is not CopyState.READY:
                copies[artifact] = base or CopyState.LOST
        return copies

    def _find_state(
        self,
        entry: LedgerEntry,
        is_marked: bool,
        reported_artifact: ResidentArtifact | None,
        now: float,
    ) -> CopyState:
        if is_marked:
            return CopyState.DRAINING
        if (
            reported_artifact is not None
            and reported_artifact.state is Residency.UNLOADING
        ):
            return CopyState.DRAINING
        is_confirmed = (
            entry.order is None
            or self.report is None
            or is_load_confirmed(entry, self.report, self.checks_fences)
        )
        if reported_artifact is not None and is_confirmed:
            if reported_artifact.state is Residency.READY:
                return CopyState.READY
            return CopyState.LOADING
        if self.order_tracker.loads.is_open(entry.artifact):
            return CopyState.LOADING
        if now < self.load_deadlines.get(entry.artifact, 0.0):
            return CopyState.LOADING
        return CopyState.LOST

    def set_load_deadline(self, artifact: Artifact, now: float) -> None:
        """Set the time by which a load has to appear in a report."""
        self.load_deadlines[artifact] = now + LOAD_REPORT_TIMEOUT_S

    def expire_records(self, now: float) -> None:
        """Remove the records of artifacts that are not in the ledger."""
        if self.ledger is None:
            return
        self.order_tracker.expire(self.ledger, now)
        retained = {entry.artifact for entry in list_entries(self.ledger)}
        for times in (self.load_deadlines, self.ready_since):
            for artifact in [each for each in times if each not in retained]:
                del times[artifact]
        expired = [each for each, retry in self.retries.items() if retry.until <= now]
        for artifact in expired:
            if artifact not in retained:
                del self.retries[artifact]
