"""What the controller knows of one runner."""

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
from .const import LOAD_APPEAR_S, MAX_RETRY_S, REPORT_FRESH_S
from .evidence import Evidence
from .ledgers import is_load_confirmed, list_entries


class CopyState(Enum):
    """State of an artifact on a runner as the planner sees it."""

    READY = "ready"
    LOADING = "loading"
    DRAINING = "draining"
    """An unload may still take effect; never counted as a copy."""

    LOST = "lost"
    """The ledger holds its memory, but the engine does not show it."""


@frozen(kw_only=True)
class PendingOrder:
    """An order that waits for its ledger write, its checks or its answer."""

    id: OrderId
    kind: OrderKind
    artifact: Artifact
    memory_mb: int
    asked_at: float
    """Time at which its ledger write was asked for."""

    fence: FenceNumber
    replaces: bool = False
    """Whether it is an unload over the mark of an earlier one."""


@frozen(kw_only=True)
class PendingWrite:
    """A ledger write without a result so far."""

    ledger: Ledger
    order: PendingOrder | None
    """Order to send once the write took effect."""


@define
class Retry:
    """Waiting time after failures, doubled each time."""

    until: float = 0.0
    wait_s: float = 0.5

    def fail(self, now: float, least_s: float) -> None:
        """Note a failure."""
        self.wait_s = min(max(self.wait_s * 2, least_s), MAX_RETRY_S)
        self.until = now + self.wait_s


@define
class Runner:
    """One runner: where it is, what it says, its ledger and pending steps."""

    id: UpstreamId
    data_centre: DataCentreId
    listed: bool = True
    leaving: bool = False
    silent: bool = False
    description: EngineDescription | None = None
    report: EngineReport | None = None
    """Newest report of the described incarnation."""

    ledger: Ledger | None = None
    revision: Revision = Revision(0)
    is_ledger_known: bool = False
    """Whether `ledger` and `revision` were read since the last doubt."""

    reads: int = 0
    """Reads of the ledger without a result."""

    read_after: float = 0.0
    write: PendingWrite | None = None
    conflicts: int = 0
    """Writes in a row that another controller's write came before."""

    write_after: float = 0.0
    holds_back: bool = False
    """Whether no write is tried until `write_after`, after conflicts."""

    evidence: Evidence = field(factory=Evidence)
    sent: dict[OrderId, PendingOrder] = field(factory=dict)
    """Orders that were sent and have no answer."""

    appear_by: dict[Artifact, float] = field(factory=dict)
    """Time by which a load has to show in a report."""

    ready_at: dict[Artifact, float] = field(factory=dict)
    """Time at which a copy was first seen ready."""

    is_settled: bool = False
    """Whether only a change, but no time, can alter what is to be done here."""

    retries: dict[Artifact, Retry] = field(factory=dict)
    unsent: dict[Artifact, PendingOrder] = field(factory=dict)
    """Unloads of this controller that were marked, or may have been, but not sent."""

    @property
    def is_leaving(self) -> bool:
        """Return whether anything says that the runner leaves."""
        return self.leaving or (self.report is not None and self.report.leaving)

    @property
    def is_steerable(self) -> bool:
        """Return whether its ledger may be written and orders sent to it."""
        return (
            self.listed
            and not self.silent
            and self.description is not None
            and self.report is not None
            and self.is_ledger_known
        )

    @property
    def is_free(self) -> bool:
        """Return whether its ledger may be written: nothing is pending, no conflict."""
        if self.holds_back:
            return False
        return self.is_steerable and self.write is None and self.reads == 0

    @property
    def takes_loads(self) -> bool:
        """Return whether new loads may go to it."""
        return self.is_steerable and not self.is_leaving

    @property
    def free_mb(self) -> int:
        """Return the memory that a new reservation may take."""
        return 0 if self.ledger is None else self.ledger.free_mb

    @property
    def checks_fences(self) -> bool:
        """Return whether the engine refuses old orders."""
        return self.description is not None and self.description.checks_fences

    def is_fresh(self, now: float) -> bool:
        """Return whether the newest report proves what it shows."""
        return self.report is not None and (
            now - self.report.reported_at <= REPORT_FRESH_S
        )

    def is_busy_with(self, artifact: Artifact) -> bool:
        """Return whether an order for an artifact waits for its answer."""
        return self.evidence.loads.is_open(artifact) or self.evidence.unloads.is_open(
            artifact
        )

    def may_try(self, artifact: Artifact, now: float) -> bool:
        """Return whether no failure of an order for an artifact is too recent."""
        retry = self.retries.get(artifact)
        return retry is None or retry.until <= now

    def list_copies(self, now: float) -> dict[Artifact, CopyState]:
        """Return the state of each artifact in the ledger; empty if unusable."""
        if not self.is_steerable or self.ledger is None or self.report is None:
            return {}
        shown = {found.artifact: found for found in self.report.residents}
        marked = {entry.artifact for entry in self.ledger.resident if entry.order}
        copies: dict[Artifact, CopyState] = {}
        for entry in list_entries(self.ledger):
            copies[entry.artifact] = self._find_state(
                entry, entry.artifact in marked, shown.get(entry.artifact), now
            )
        for artifact, state in copies.items():
            base = copies.get(artifact.base)
            if state is CopyState.READY and base is not CopyState.READY:
                copies[artifact] = base or CopyState.LOST
        return copies

    def _find_state(
        self,
        entry: LedgerEntry,
        marked: bool,
        found: ResidentArtifact | None,
        now: float,
    ) -> CopyState:
        if marked:
            return CopyState.DRAINING
        if found is not None and found.state is Residency.UNLOADING:
            return CopyState.DRAINING
        confirmed = (
            entry.order is None
            or self.report is None
            or is_load_confirmed(entry, self.report, self.checks_fences)
        )
        if found is not None and confirmed:
            if found.state is Residency.READY:
                return CopyState.READY
            return CopyState.LOADING
        if self.evidence.loads.is_open(entry.artifact):
            return CopyState.LOADING
        if now < self.appear_by.get(entry.artifact, 0.0):
            return CopyState.LOADING
        return CopyState.LOST

    def expect(self, artifact: Artifact, now: float) -> None:
        """Give a load time to show in a report."""
        self.appear_by[artifact] = now + LOAD_APPEAR_S

    def forget(self, now: float) -> None:
        """Drop what is kept of artifacts that are not in the ledger."""
        if self.ledger is None:
            return
        self.evidence.forget(self.ledger, now)
        kept = {entry.artifact for entry in list_entries(self.ledger)}
        for times in (self.appear_by, self.ready_at):
            for artifact in [one for one in times if one not in kept]:
                del times[artifact]
        over = [one for one, retry in self.retries.items() if retry.until <= now]
        for artifact in over:
            if artifact not in kept:
                del self.retries[artifact]
