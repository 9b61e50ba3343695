"""Changes of a runner's memory ledger; each returns the ledger to write."""

from attrs import evolve

from ...models.artifact import Artifact
from ...models.identifiers import FenceNumber, OrderId
from ...models.order import Ledger, LedgerEntry
from ...models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
)
from .evidence import Evidence


def create_ledger(description: EngineDescription, kv_cache_floor_mb: int) -> Ledger:
    """Return the empty ledger of a runner that has none."""
    return Ledger(
        upstream=description.upstream,
        incarnation=description.incarnation,
        size_mb=description.memory_mb,
        kv_cache_floor_mb=kv_cache_floor_mb,
        fence=FenceNumber(0),
    )


def find_entry(ledger: Ledger, artifact: Artifact) -> LedgerEntry | None:
    """Return the entry of an artifact."""
    for entry in (*ledger.resident, *ledger.reserved):
        if entry.artifact == artifact:
            return entry
    return None


def list_entries(ledger: Ledger) -> tuple[LedgerEntry, ...]:
    """Return all entries."""
    return (*ledger.resident, *ledger.reserved)


def is_marked(ledger: Ledger, artifact: Artifact) -> bool:
    """Return whether an unload of an artifact may still take effect."""
    return any(
        entry.artifact == artifact and entry.order is not None
        for entry in ledger.resident
    )


def reserve_load(
    ledger: Ledger, artifact: Artifact, memory_mb: int, order: OrderId
) -> Ledger | None:
    """Return the ledger with a load reserved; None if it does not fit.

    Memory of an entry that is there already is not taken twice, but may be lent to
    residents that nobody entered: a runner that is over takes no load at all.
    """
    old = find_entry(ledger, artifact)
    held_mb = 0 if old is None else old.memory_mb
    needed_mb = max(memory_mb, held_mb)
    if needed_mb - held_mb > ledger.free_mb:
        return None
    fence = FenceNumber(ledger.fence + 1)
    entry = LedgerEntry(
        artifact=artifact, memory_mb=needed_mb, order=order, reserved_fence=fence
    )
    return evolve(
        ledger,
        fence=fence,
        resident=_without(ledger.resident, artifact),
        reserved=(*_without(ledger.reserved, artifact), entry),
    )


def mark_unload(ledger: Ledger, artifact: Artifact, order: OrderId) -> Ledger | None:
    """Return the ledger with an unload marked; None if the artifact is not there.

    The memory stays taken until the engine is known to have let it go.
    """
    old = find_entry(ledger, artifact)
    if old is None:
        return None
    fence = FenceNumber(ledger.fence + 1)
    entry = evolve(old, order=order, reserved_fence=fence)
    return evolve(
        ledger,
        fence=fence,
        resident=(*_without(ledger.resident, artifact), entry),
        reserved=_without(ledger.reserved, artifact),
    )


def is_load_confirmed(entry: LedgerEntry, report: EngineReport, checks: bool) -> bool:
    """Return whether a report that shows a reserved artifact speaks of its load.

    An engine that checks fences may show the artifact from before, with an older
    unload still on its way; only the new fence makes that unload harmless.
    """
    return not checks or report.fence >= entry.reserved_fence


def settle_ledger(
    ledger: Ledger,
    description: EngineDescription,
    report: EngineReport,
    evidence: Evidence,
) -> Ledger:
    """Return the ledger with all changes that the evidence allows.

    Loads that a report shows become resident, residents nobody entered are adopted,
    and entries are dropped once they are gone and no load of them can follow.
    """
    checks = description.checks_fences
    shown = {resident.artifact: resident for resident in report.residents}
    resident: list[LedgerEntry] = []
    reserved: list[LedgerEntry] = []
    for entry in ledger.resident:
        kept = _settle_resident(
            entry, shown.get(entry.artifact), report, evidence, checks
        )
        if kept is not None:
            resident.append(kept)
    for entry in ledger.reserved:
        present = shown.get(entry.artifact)
        if present is None:
            if not evidence.is_load_over(entry, False, report, checks):
                reserved.append(entry)
            continue
        grown = evolve(entry, memory_mb=max(entry.memory_mb, present.memory_mb))
        is_open = evidence.loads.is_open(entry.artifact)
        if is_open or not is_load_confirmed(entry, report, checks):
            reserved.append(grown)
        else:
            resident.append(evolve(grown, order=None))
    fence = FenceNumber(max(ledger.fence, report.fence))
    entered = {entry.artifact for entry in list_entries(ledger)}
    resident.extend(
        LedgerEntry(artifact=artifact, memory_mb=found.memory_mb, reserved_fence=fence)
        for artifact, found in shown.items()
        if artifact not in entered
    )
    return evolve(
        ledger,
        incarnation=description.incarnation,
        size_mb=description.memory_mb,
        fence=fence,
        resident=tuple(resident),
        reserved=tuple(reserved),
    )


def _settle_resident(
    entry: LedgerEntry,
    present: ResidentArtifact | None,
    report: EngineReport,
    evidence: Evidence,
    checks: bool,
) -> LedgerEntry | None:
    marked = entry.order is not None
    over = marked and evidence.is_unload_over(entry, report, checks)
    if present is not None:
        memory_mb = max(entry.memory_mb, present.memory_mb)
        cleared = over and present.state is not Residency.UNLOADING
        order = None if cleared else entry.order
        return evolve(entry, memory_mb=memory_mb, order=order)
    if not evidence.is_load_over(entry, marked, report, checks):
        return entry
    if marked and not checks and not over:
        # The memory is free, but a late copy of the unload would hit a new load.
        return evolve(entry, memory_mb=0)
    return None


def clear_mark(ledger: Ledger, artifact: Artifact, order: OrderId) -> Ledger:
    """Return the ledger without the mark of an unload that was never sent."""
    resident = tuple(
        evolve(entry, order=None)
        if entry.artifact == artifact and entry.order == order
        else entry
        for entry in ledger.resident
    )
    return evolve(ledger, resident=resident)


def _without(
    entries: tuple[LedgerEntry, ...], artifact: Artifact
) -> tuple[LedgerEntry, ...]:
    return tuple(entry for entry in entries if entry.artifact != artifact)
