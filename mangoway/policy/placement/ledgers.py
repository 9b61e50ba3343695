"""Changes to a runner's memory ledger; each returns the ledger to write."""

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
from .order_tracker import OrderTracker


def create_ledger(description: EngineDescription, kv_cache_floor_mb: int) -> Ledger:
    """Return an empty ledger for a runner that has none."""
    return Ledger(
        upstream=description.upstream,
        incarnation=description.incarnation,
        size_mb=description.memory_mb,
        kv_cache_floor_mb=kv_cache_floor_mb,
        fence=FenceNumber(0),
    )


def find_entry(ledger: Ledger, artifact: Artifact) -> LedgerEntry | None:
    """Return the entry of an artifact, or None."""
    for entry in (*ledger.resident, *ledger.reserved):
        if entry.artifact == artifact:
            return entry
    return None


def list_entries(ledger: Ledger) -> tuple[LedgerEntry, ...]:
    """Return all entries."""
    return (*ledger.resident, *ledger.reserved)


def is_older(ledger: Ledger, known: Ledger) -> bool:
    """Return whether a ledger is an earlier state of a known one.

    Each order raises the fence of the ledger, which never falls otherwise.
    """
    return ledger.fence < known.fence


def restore_entries(ledger: Ledger, lost: Ledger) -> Ledger:
    """Return a ledger with the entries and the fence that the store has lost.

    Of two entries of an artifact the one of the later order is kept. Entries of the
    older ledger stay until reports prove that they are over.
    """
    fences = {each.artifact: each.reserved_fence for each in list_entries(lost)}
    resident, reserved = (
        tuple(
            each
            for each in entries
            if each.artifact not in fences
            or each.reserved_fence > fences[each.artifact]
        )
        for entries in (ledger.resident, ledger.reserved)
    )
    kept = {each.artifact for each in (*resident, *reserved)}
    return evolve(
        ledger,
        fence=FenceNumber(max(ledger.fence, lost.fence)),
        resident=resident + tuple(e for e in lost.resident if e.artifact not in kept),
        reserved=reserved + tuple(e for e in lost.reserved if e.artifact not in kept),
    )


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

    Memory of an existing entry is not counted twice. It may already be used by
    residents that were not in the ledger, so a runner whose ledger exceeds its size
    gets no load at all.
    """
    old = find_entry(ledger, artifact)
    reserved_mb = 0 if old is None else old.memory_mb
    needed_mb = max(memory_mb, reserved_mb)
    if needed_mb - reserved_mb > ledger.free_mb:
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
    """Return the ledger with an unload marked; None if the artifact has no entry.

    The memory stays reserved until the engine has provably freed it.
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


def is_load_confirmed(
    entry: LedgerEntry, report: EngineReport, checks_fences: bool
) -> bool:
    """Return whether a report that contains a reserved artifact confirms its load.

    An engine that checks fences may report the artifact from an earlier load while an
    older unload may still arrive; only the new fence makes that unload harmless.
    """
    return not checks_fences or report.fence >= entry.reserved_fence


def reconcile_ledger(
    ledger: Ledger,
    description: EngineDescription,
    report: EngineReport,
    order_tracker: OrderTracker,
) -> Ledger:
    """Return the ledger with all changes that a report and the tracker prove safe.

    Reported loads become resident, reported artifacts without an entry are added, and
    entries are removed once they are not reported and no load of them can follow.
    """
    checks_fences = description.checks_fences
    reported = {resident.artifact: resident for resident in report.residents}
    resident: list[LedgerEntry] = []
    reserved: list[LedgerEntry] = []
    for entry in ledger.resident:
        kept = _reconcile_resident(
            entry, reported.get(entry.artifact), report, order_tracker, checks_fences
        )
        if kept is not None:
            resident.append(kept)
    for entry in ledger.reserved:
        reported_artifact = reported.get(entry.artifact)
        if reported_artifact is None:
            if not order_tracker.is_load_over(entry, False, report, checks_fences):
                reserved.append(entry)
            continue
        updated = evolve(
            entry, memory_mb=max(entry.memory_mb, reported_artifact.memory_mb)
        )
        is_open = order_tracker.loads.is_open(entry.artifact)
        if is_open or not is_load_confirmed(entry, report, checks_fences):
            reserved.append(updated)
        else:
            resident.append(evolve(updated, order=None))
    fence = FenceNumber(max(ledger.fence, report.fence))
    entered = {entry.artifact for entry in list_entries(ledger)}
    resident.extend(
        LedgerEntry(
            artifact=artifact, memory_mb=present.memory_mb, reserved_fence=fence
        )
        for artifact, present in reported.items()
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


def _reconcile_resident(
    entry: LedgerEntry,
    reported_artifact: ResidentArtifact | None,
    report: EngineReport,
    order_tracker: OrderTracker,
    checks_fences: bool,
) -> LedgerEntry | None:
    is_unload_marked = entry.order is not None
    is_unload_over = is_unload_marked and order_tracker.is_unload_over(
        entry, report, checks_fences
    )
    if reported_artifact is not None:
        memory_mb = max(entry.memory_mb, reported_artifact.memory_mb)
        is_cleared = (
            is_unload_over and reported_artifact.state is not Residency.UNLOADING
        )
        order = None if is_cleared else entry.order
        return evolve(entry, memory_mb=memory_mb, order=order)
    if not order_tracker.is_load_over(entry, is_unload_marked, report, checks_fences):
        return entry
    if is_unload_marked and not checks_fences and not is_unload_over:
        # The memory is free, but a late unload would remove a newly loaded copy.
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
