"""Logs what upstreams say of themselves, once for each change."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from ..models.identifiers import IncarnationId, UpstreamId
from ..models.upstream import EngineDescription, EngineReport, UpstreamAddress
from ..observability import events as log
from ..observability.event_log import log_event

SOURCE_HOST_LIST: Final = "host list"
SOURCE_UPSTREAM: Final = "upstream"


@define(eq=False)
class UpstreamLog:
    """Compares what is heard of upstreams with what was heard before."""

    _met: dict[UpstreamId, EngineDescription] = field(factory=dict, init=False)
    _leaving: set[UpstreamId] = field(factory=set, init=False)
    _over: set[UpstreamId] = field(factory=set, init=False)
    """Engines whose last report said more memory than they have."""

    def find_incarnation(self, upstream: UpstreamId) -> IncarnationId | None:
        """Return the incarnation of an engine that was met last."""
        known = self._met.get(upstream)
        return None if known is None else known.incarnation

    def note_listed(self, upstreams: Iterable[UpstreamAddress]) -> None:
        """Take the whole list of upstreams."""
        listed = {each.id: each for each in upstreams}
        self._leaving &= listed.keys()
        self._over &= listed.keys()
        for upstream in self._met.keys() - listed.keys():
            del self._met[upstream]
        for each in listed.values():
            if each.leaving:
                self._note_leaving(each.id, SOURCE_HOST_LIST)

    def note_met(self, description: EngineDescription) -> None:
        """Take the description of an engine met first, or after a restart."""
        upstream = description.upstream
        known = self._met.get(upstream)
        self._met[upstream] = description
        if known is not None and known.incarnation != description.incarnation:
            self._leaving.discard(upstream)
            log_event(
                log.UpstreamRestarted(
                    upstream_id=upstream, incarnation=description.incarnation
                )
            )
        log_event(
            log.UpstreamMet(
                upstream_id=upstream,
                incarnation=description.incarnation,
                memory_mb=description.memory_mb,
                checks_fences=description.checks_fences,
            )
        )

    def note_report(self, report: EngineReport) -> None:
        """Take an engine's report."""
        if report.leaving:
            self._note_leaving(report.upstream, SOURCE_UPSTREAM)
        self._check_memory(report)

    def _note_leaving(self, upstream: UpstreamId, source: str) -> None:
        if upstream not in self._leaving:
            self._leaving.add(upstream)
            log_event(log.UpstreamLeaving(upstream_id=upstream, source=source))

    def _check_memory(self, report: EngineReport) -> None:
        known = self._met.get(report.upstream)
        if known is None or known.incarnation != report.incarnation:
            return
        used_mb = report.kv_cache_used_mb + sum(
            resident.memory_mb for resident in report.residents
        )
        if used_mb <= known.memory_mb:
            self._over.discard(report.upstream)
            return
        if report.upstream not in self._over:
            self._over.add(report.upstream)
            log_event(
                log.MemoryExceeded(
                    upstream_id=report.upstream,
                    used_mb=used_mb,
                    size_mb=known.memory_mb,
                )
            )
