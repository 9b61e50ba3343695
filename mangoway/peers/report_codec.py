"""Conversion of runner reports to heartbeat columns and back."""

from collections.abc import Iterable

from attrs import evolve

from ..models.artifact import Artifact
from ..models.identifiers import FenceNumber, IncarnationId, UpstreamId
from ..models.upstream import EngineReport, Residency, ResidentArtifact
from . import peers_pb2 as pb
from .reports import ReportEntry, ReportTracker
from .slots import SenderSlots, SentState, SlotTable

AGE_UNITS_PER_S = 100

_STATE_NUMBERS = {
    Residency.LOADING: pb.RESIDENT_STATE_LOADING,
    Residency.READY: pb.RESIDENT_STATE_READY,
    Residency.UNLOADING: pb.RESIDENT_STATE_UNLOADING,
}
_STATES_BY_NUMBER = {number: state for state, number in _STATE_NUMBERS.items()}


class ReportEncoder:
    """Adds reports to one heartbeat, with the names not yet sent to the peer."""

    def __init__(
        self, table: SlotTable, sent: SentState, heartbeat: pb.Heartbeat, now: float
    ) -> None:
        self._table = table
        self._sent = sent
        self._heartbeat = heartbeat
        self._now = now

    def add(self, entries: Iterable[ReportEntry]) -> None:
        """Add entries of the report tracker."""
        for entry in entries:
            self._add_load(entry)
            self._add_residency(entry)

    def _add_load(self, entry: ReportEntry) -> None:
        report = entry.report
        loads = self._heartbeat.loads
        age_s = max(0.0, self._now - report.reported_at)
        loads.runners.append(self._add_name(report.upstream))
        loads.ages.append(round(age_s * AGE_UNITS_PER_S))
        loads.running.append(report.running)
        loads.waiting.append(report.waiting)
        loads.kv_cache_used_mb.append(report.kv_cache_used_mb)
        loads.residency_digests.append(entry.digest)

    def _add_residency(self, entry: ReportEntry) -> None:
        report = entry.report
        runner = self._add_name(report.upstream)
        if self._sent.residencies.get(runner) == entry.digest:
            return
        self._sent.residencies[runner] = entry.digest
        residency = self._heartbeat.residencies.add(
            runner=runner,
            incarnation=self._add_name(report.incarnation),
            fence=report.fence,
            leaving=report.leaving,
        )
        for resident in report.residents:
            residency.artifacts.append(self._add_name(str(resident.artifact)))
            residency.memory_mb.append(resident.memory_mb)
            residency.states.append(_STATE_NUMBERS[resident.state])

    def _add_name(self, text: str) -> int:
        """Return the slot of a name; add the name unless the peer has it."""
        slot = self._table.get_name_slot(text)
        if slot not in self._sent.names:
            self._sent.names.add(slot)
            self._heartbeat.names.add(slot=slot, text=text)
        return slot


class ReportDecoder:
    """Decodes the reports of one heartbeat.

    `unknown_names` and `unknown_residencies` collect the slots that the sender has to
    resend; reports that need them are left out.
    """

    def __init__(
        self, sender_slots: SenderSlots, report_tracker: ReportTracker, now: float
    ) -> None:
        self._sender_slots = sender_slots
        self._report_tracker = report_tracker
        self._now = now
        self.unknown_names: set[int] = set()
        self.unknown_residencies: set[int] = set()
        self.report_times: dict[UpstreamId, float] = {}
        """Time of the sender's report of each runner, even if it is not newer."""

    def decode(self, heartbeat: pb.Heartbeat) -> list[EngineReport]:
        """Return the reports that are newer than the tracked ones."""
        self._store_names(heartbeat.names)
        residencies = {row.runner: row for row in heartbeat.residencies}
        loads = heartbeat.loads
        columns = zip(
            loads.runners,
            loads.ages,
            loads.running,
            loads.waiting,
            loads.kv_cache_used_mb,
            loads.residency_digests,
            strict=True,
        )
        reports: list[EngineReport] = []
        for runner, age, running, waiting, used_mb, digest in columns:
            reported_at = self._now - age / AGE_UNITS_PER_S
            if not self._record_report_time(runner, reported_at):
                continue
            base = self._find_base(runner, digest, residencies.get(runner))
            if base is None:
                continue
            report = evolve(
                base,
                reported_at=reported_at,
                running=running,
                waiting=waiting,
                kv_cache_used_mb=used_mb,
                cache_changes=(),
            )
            reports.append(report)
        return reports

    def _record_report_time(self, runner: int, reported_at: float) -> bool:
        """Record the time of the sender's report; return whether it may be newer.

        Most reports are received from several peers, and decoding each of them would
        take most of the processor time of a heartbeat.
        """
        upstream = self._sender_slots.names.get(runner)
        if upstream is None:
            return True
        self.report_times[UpstreamId(upstream)] = reported_at
        return self._report_tracker.is_newer(UpstreamId(upstream), reported_at)

    def _store_names(self, names: Iterable[pb.Name]) -> None:
        for name in names:
            self._sender_slots.names.store(name.slot, name.text)

    def _find_base(
        self, runner: int, digest: int, residency: pb.Residency | None
    ) -> EngineReport | None:
        """Return a report with a runner's residency; None if the sender must resend it.

        The load in the returned report is not that of the heartbeat.
        """
        upstream = self._find_text(runner)
        if upstream is None:
            return None
        if residency is not None:
            return self._decode_residency(UpstreamId(upstream), residency)
        known = self._report_tracker.get(UpstreamId(upstream))
        if known is None or known.digest != digest:
            self.unknown_residencies.add(runner)
            return None
        return known.report

    def _decode_residency(
        self, upstream: UpstreamId, row: pb.Residency
    ) -> EngineReport | None:
        incarnation = self._find_text(row.incarnation)
        texts = [self._find_text(slot) for slot in row.artifacts]
        if incarnation is None or None in texts:
            self.unknown_residencies.add(row.runner)
            return None
        residents = tuple(
            ResidentArtifact(
                artifact=Artifact.parse(text or ""),
                memory_mb=memory_mb,
                state=_STATES_BY_NUMBER[state],
            )
            for text, memory_mb, state in zip(
                texts, row.memory_mb, row.states, strict=True
            )
        )
        return EngineReport(
            upstream=upstream,
            incarnation=IncarnationId(incarnation),
            reported_at=0.0,
            running=0,
            waiting=0,
            fence=FenceNumber(row.fence),
            residents=residents,
            leaving=row.leaving,
        )

    def _find_text(self, slot: int) -> str | None:
        text = self._sender_slots.names.get(slot)
        if text is None:
            self.unknown_names.add(slot)
        return text
