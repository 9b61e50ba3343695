"""Newest report of each runner, shared between processes."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice

import xxhash
from attrs import define, field, frozen

from ..models.identifiers import UpstreamId
from ..models.upstream import EngineReport
from .const import SAME_REPORT_S


@frozen(kw_only=True)
class ReportEntry:
    """A report with what is needed to pass it on."""

    report: EngineReport
    digest: int
    """Digest of the residency, so that a receiver sees whether it has it."""

    update: int
    """Number of the update that brought it."""

    source: int
    """Session that it came from; 0 if this process asked the engine itself."""


@define(eq=False)
class ReportTracker:
    """Newest report of each runner, in the order in which they came."""

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
        """Call `listener` with each newer report that a peer passes on."""
        self._listeners.append(listener)

    def add_if_newer(self, report: EngineReport, source: int = 0) -> bool:
        """Keep a report unless a newer one, or the same one, is here."""
        known = self._entries.get(report.upstream)
        if not self.is_news(report.upstream, report.reported_at):
            return False
        self._updates += 1
        self._entries[report.upstream] = ReportEntry(
            report=report,
            digest=_find_digest(report, known),
            update=self._updates,
            source=source,
        )
        self._entries.move_to_end(report.upstream)
        if source:
            for listener in self._listeners:
                listener(report)
        return True

    def is_news(self, upstream: UpstreamId, reported_at: float) -> bool:
        """Tell whether a report of a runner at a time is newer than the one here."""
        known = self._entries.get(upstream)
        if known is None:
            return True
        return reported_at > known.report.reported_at + SAME_REPORT_S

    def get(self, upstream: UpstreamId) -> ReportEntry | None:
        """Return the newest entry of a runner."""
        return self._entries.get(upstream)

    def retain(self, keep: frozenset[UpstreamId]) -> None:
        """Drop every runner that is not in `keep`."""
        for upstream in tuple(self._entries):
            if upstream not in keep:
                del self._entries[upstream]

    def list_since(self, update: int, limit: int) -> list[ReportEntry]:
        """Return the newest entries after an update, in the order they came.

        Where there are more than the limit, the older ones are left out: they are
        the next to be replaced.
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
    """Return a short digest of what does not change with the load."""
    texts = [report.incarnation, str(report.fence), str(report.leaving)]
    texts.extend(
        f"{resident.artifact}={resident.memory_mb}:{resident.state.value}"
        for resident in report.residents
    )
    return xxhash.xxh32_intdigest("\n".join(texts).encode())


def _find_digest(report: EngineReport, known: ReportEntry | None) -> int:
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
