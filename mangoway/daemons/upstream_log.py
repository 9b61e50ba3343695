"""Logs changes that upstreams and the host list report, once for each change."""

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
    """Compares reports of upstreams with earlier ones and logs the changes."""

    _descriptions: dict[UpstreamId, EngineDescription] = field(factory=dict, init=False)
    _leaving: set[UpstreamId] = field(factory=set, init=False)
    _over_memory: set[UpstreamId] = field(factory=set, init=False)
    """Engines whose last report showed more memory in use than they have."""

    def find_incarnation(self, upstream: UpstreamId) -> IncarnationId | None:
        """Return the incarnation of an engine's last description, or None."""
        known = self._descriptions.get(upstream)
        return None if known is None else known.incarnation

    def record_listed(self, upstreams: Iterable[UpstreamAddress]) -> None:
        """Record the full list of upstreams; log those that are newly leaving."""
        listed = {each.id: each for each in upstreams}
        self._leaving &= listed.keys()
        self._over_memory &= listed.keys()
        for upstream in self._descriptions.keys() - listed.keys():
            del self._descriptions[upstream]
        for each in listed.values():
            if each.leaving:
                self._log_leaving(each.id, SOURCE_HOST_LIST)

    def record_description(self, description: EngineDescription) -> None:
        """Record and log the description of an engine that is new or was restarted."""
        upstream = description.upstream
        known = self._descriptions.get(upstream)
        self._descriptions[upstream] = description
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

    def record_report(self, report: EngineReport) -> None:
        """Record an engine's report; log if it leaves or exceeds its memory."""
        if report.leaving:
            self._log_leaving(report.upstream, SOURCE_UPSTREAM)
        self._check_memory(report)

    def _log_leaving(self, upstream: UpstreamId, source: str) -> None:
        if upstream not in self._leaving:
            self._leaving.add(upstream)
            log_event(log.UpstreamLeaving(upstream_id=upstream, source=source))

    def _check_memory(self, report: EngineReport) -> None:
        known = self._descriptions.get(report.upstream)
        if known is None or known.incarnation != report.incarnation:
            return
        used_mb = report.kv_cache_used_mb + sum(
            resident.memory_mb for resident in report.residents
        )
        if used_mb <= known.memory_mb:
            self._over_memory.discard(report.upstream)
            return
        if report.upstream not in self._over_memory:
            self._over_memory.add(report.upstream)
            log_event(
                log.MemoryExceeded(
                    upstream_id=report.upstream,
                    used_mb=used_mb,
                    size_mb=known.memory_mb,
                )
            )
