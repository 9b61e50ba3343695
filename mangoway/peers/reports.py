"""Newest report of each runner, exchanged between processes."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice

import xxhash
from attrs import define, field, frozen

from ..models.identifiers import UpstreamId
from ..models.upstream import EngineReport
from .const import DUPLICATE_REPORT_WINDOW_S


@frozen(kw_only=True)
class ReportEntry:
    """A report with the data needed to relay it."""

    report: EngineReport
    digest: int
    """Digest of the residency; a receiver compares it with that of the one it has."""

    update: int
    """Number of the update that added the report."""

    source: int
    """Session of the sender; 0 if this process polled the engine itself."""


@define(eq=False)
class ReportTracker:
    """Keeps the newest report of each runner, in the order of arrival."""

    _entries: OrderedDict[UpstreamId, ReportEntry] = field(
        factory=OrderedDict, init=False
    )
    _updates: int = field(default=0, init=False)
    _listeners: list[Callable[[EngineReport], None]] = field(factory=list, init=False)

    @property
    def updates(self) -> int:
        """Return the number of the last update."""
        return self._updates

    def add_listener(self, listener: Callable[[EngineReport], None]) -> None:
        """Call `listener` with each newer report that a peer relays."""
        self._listeners.append(listener)

    def add_if_newer(self, report: EngineReport, source: int = 0) -> bool:
        """Add a report if it is newer than the tracked one; return whether it was."""
        known = self._entries.get(report.upstream)
        if not self.is_newer(report.upstream, report.reported_at):
            return False
        self._updates += 1
        self._entries[report.upstream] = ReportEntry(
            report=report,
            digest=_get_digest(report, known),
            update=self._updates,
            source=source,
        )
        self._entries.move_to_end(report.upstream)
        if source:
            for listener in self._listeners:
                listener(report)
        return True

    def is_newer(self, upstream: UpstreamId, reported_at: float) -> bool:
        """Return whether a report of this time is newer than the tracked one.

        A report from within `DUPLICATE_REPORT_WINDOW_S` of it is a duplicate.
        """
        known = self._entries.get(upstream)
        if known is None:
            return True
        return reported_at > known.report.reported_at + DUPLICATE_REPORT_WINDOW_S

    def get(self, upstream: UpstreamId) -> ReportEntry | None:
        """Return the newest entry of a runner."""
        return self._entries.get(upstream)

    def retain(self, keep: frozenset[UpstreamId]) -> None:
        """Remove every runner that is not in `keep`."""
        for upstream in tuple(self._entries):
            if upstream not in keep:
                del self._entries[upstream]

    def list_since(self, update: int, limit: int) -> list[ReportEntry]:
        """Return the newest entries after an update, in the order of arrival.

        Of more than `limit` entries, the oldest are left out, since they are the next
        ones to be replaced.
        """
        newest = list(islice(self._iterate_back_to(update), limit))
        newest.reverse()
        return newest

    def _iterate_back_to(self, update: int) -> Iterator[ReportEntry]:
        for entry in reversed(self._entries.values()):
            if entry.update <= update:
                return
            yield entry


def digest_residency(report: EngineReport) -> int:
    """Return a short digest of the data that doesn't change with the load."""
    texts = [report.incarnation, str(report.fence), str(report.leaving)]
    texts.extend(
        f"{resident.artifact}={resident.memory_mb}:{resident.state.value}"
        for resident in report.residents
    )
    return xxhash.xxh32_intdigest("\n".join(texts).encode())


def _get_digest(report: EngineReport, known: ReportEntry | None) -> int:
    if known is None or not _has_same_residency(report, known.report):
        return digest_residency(report)
    return known.digest


def _has_same_residency(report: EngineReport, known: EngineReport) -> bool:
    return (
        report.residents == known.residents
        and report.incarnation == known.incarnation
        and report.fence == known.fence
        and report.leaving == known.leaving
    )
