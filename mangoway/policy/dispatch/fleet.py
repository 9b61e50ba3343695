"""Index of all upstreams by the artifacts and services that they serve."""

from random import Random

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import IncarnationId, ServiceName, UpstreamId
from ...models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    UpstreamAddress,
)
from .breakers import Breaker, BreakerState
from .const import (
    BREAKER_MAX_OPEN_SHARE,
    EARLIER_INCARNATIONS_MAX,
    REPORT_STALE_S,
    UNLISTED_UPSTREAMS_MAX,
)
from .entries import Attempt
from .options import DispatchOptions
from .prefixes import PrefixIndex
from .random_sets import RandomSet
from .upstreams import Resource, Upstream


@define(eq=False)
class Fleet:
    """All upstreams, and per resource those that are ready and those with room.

    The cost of a change grows with the resources of the changed upstream; the cost
    of a lookup doesn't depend on the number of upstreams.
    """

    options: DispatchOptions
    rng: Random
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    gateway_count: int = 1
    upstreams: dict[UpstreamId, Upstream] = field(factory=dict)
    _ready: dict[Resource, RandomSet[Upstream]] = field(factory=dict)
    _available: dict[Resource, RandomSet[Upstream]] = field(factory=dict)
    _loading: dict[Artifact, int] = field(factory=dict)
    _listed: dict[ServiceName | None, set[UpstreamId]] = field(factory=dict)
    _tripped: dict[ServiceName | None, set[UpstreamId]] = field(factory=dict)
    _unlisted: dict[UpstreamId, None] = field(factory=dict)

    # Lookups.

    def count_ready(self, resource: Resource) -> int:
        """Return the number of upstreams that serve a resource and accept work."""
        members = self._ready.get(resource)
        return 0 if members is None else len(members)

    def count_loading(self, artifact: Artifact) -> int:
        """Return the number of engines that are loading an artifact."""
        return self._loading.get(artifact, 0)

    def sample_ready(
        self, resource: Resource, count: int, rng: Random
    ) -> list[Upstream]:
        """Return random upstreams that serve a resource."""
        members = self._ready.get(resource)
        return [] if members is None else members.sample(count, rng)

    def sample_available(
        self, resource: Resource, count: int, rng: Random
    ) -> list[Upstream]:
        """Return random upstreams that serve a resource and have room."""
        members = self._available.get(resource)
        return [] if members is None else members.sample(count, rng)

    def is_available(self, resource: Resource, upstream: Upstream) -> bool:
        """Return whether an upstream serves a resource and has room."""
        members = self._available.get(resource)
        return members is not None and upstream in members

    # Updates.

    def update_list(self, addresses: tuple[UpstreamAddress, ...]) -> list[Upstream]:
        """Apply the complete list of upstreams; return those that changed."""
        listed = {address.id: address for address in addresses}
        changed = []
        for upstream in list(self.upstreams.values()):
            if upstream.id not in listed and upstream.address is not None:
                self._unlist(upstream)
                changed.append(upstream)
        for address in listed.values():
            upstream = self._find_or_add(address.id)
            if upstream.address == address:
                continue
            self._list(upstream, address)
            changed.append(upstream)
        return changed

    def mark_leaving(self, upstream_id: UpstreamId) -> Upstream:
        """Mark an upstream as leaving, until it restarts as a new incarnation."""
        upstream = self._find_or_add(upstream_id)
        upstream.leaving = True
        self.refresh(upstream)
        return upstream

    def update_description(self, description: EngineDescription) -> Upstream:
        """Apply an engine's description."""
        upstream = self._find_or_add(description.upstream)
        if description.incarnation in upstream.earlier_incarnations:
            return upstream
        if upstream.incarnation != description.incarnation:
            self._start_incarnation(upstream, description.incarnation)
        upstream.description = description
        upstream.window.size = max(1, description.max_running)
        self.refresh(upstream)
        return upstream

    def apply_report(self, report: EngineReport) -> Upstream | None:
        """Apply a load report; return None if it is outdated."""
        upstream = self._find_or_add(report.upstream)
        last = upstream.reported_at
        if last is not None and report.reported_at <= last:
            return None
        if report.incarnation in upstream.earlier_incarnations:
            return None
        if upstream.incarnation != report.incarnation:
            self._start_incarnation(upstream, report.incarnation)
        upstream.reported_at = report.reported_at
        self._apply_load(upstream, report)
        self._apply_residents(upstream, report)
        upstream.leaving = upstream.leaving or report.leaving
        if self.options.prefix_affinity:
            self.prefixes.apply(upstream.id, report.cache_changes)
        self.refresh(upstream)
        return upstream

    def set_gateway_count(self, count: int) -> list[Upstream]:
        """Set the number of gateways that share the upstreams; return all upstreams."""
        self.gateway_count = max(1, count)
        for upstream in self.upstreams.values():
            self.refresh(upstream)
        return list(self.upstreams.values())

    def mark_missing(self, upstream: Upstream, resource: Resource, now: float) -> None:
        """Record an upstream's rejection for lack of a resource."""
        upstream.missing[resource] = now
        self._index(upstream, resource)

    def expire_reports(self, now: float) -> None:
        """Discard stale load reports, so that windows fall back to even shares."""
        for upstream in self.upstreams.values():
            at = upstream.reported_at
            if at is not None and now - at > REPORT_STALE_S:
                upstream.window.clear_report()
                self.refresh(upstream)

    # Attempts.

    def add_attempt(self, attempt: Attempt, upstream: Upstream) -> None:
        """Add an attempt to an upstream; it is a probe if the breaker is half open."""
        upstream.attempts[attempt.id] = attempt
        if upstream.breaker.state is BreakerState.HALF_OPEN:
            attempt.probe = upstream.breaker.probing = True
        self.refresh(upstream)

    def remove_attempt(self, attempt: Attempt) -> Upstream:
        """Remove an attempt that ended; return its upstream."""
        upstream = self.upstreams[attempt.upstream_id]
        upstream.attempts.pop(attempt.id, None)
        if attempt.probe:
            upstream.breaker.probing = False
        self.refresh(upstream)
        return upstream

    # Breakers.

    def may_trip(self, upstream: Upstream) -> bool:
        """Return whether one more breaker may trip among upstreams of one service.

        If most of them fail, the cause is probably common to all. Excluding some
        would then only increase the load of the rest. All engines count as one
        service.
        """
        listed = len(self._listed.get(upstream.service, ()))
        tripped = len(self._tripped.get(upstream.service, ()))
        return tripped + 1 <= listed * BREAKER_MAX_OPEN_SHARE

    def update_breaker(self, upstream: Upstream) -> None:
        """Update the indexes after a change of an upstream's breaker."""
        tripped = self._tripped.setdefault(upstream.service, set())
        if upstream.breaker.state is BreakerState.CLOSED:
            tripped.discard(upstream.id)
        else:
            tripped.add(upstream.id)
        self.refresh(upstream)

    # Indexes.

    def refresh(self, upstream: Upstream) -> None:
        """Update the indexes after a change of an upstream."""
        accepts_work = upstream.accepts_work
        has_room = upstream.has_room(self.gateway_count, self.options.windows)
        if (accepts_work, has_room) == (
            upstream.indexed_ready,
            upstream.indexed_available,
        ):
            return
        upstream.indexed_ready = accepts_work
        upstream.indexed_available = has_room
        for resource in upstream.ready:
            self._index(upstream, resource)

    def _index(self, upstream: Upstream, resource: Resource) -> None:
        has_it = resource in upstream.ready and resource not in upstream.missing
        _update_set(self._ready, resource, upstream, has_it and upstream.indexed_ready)
        _update_set(
            self._available, resource, upstream, has_it and upstream.indexed_available
        )

    def _set_resources(self, upstream: Upstream, ready: dict[Resource, None]) -> None:
        old = upstream.ready
        upstream.ready = ready
        # The order is stable, so that the same seed gives the same random samples.
        changed = [item for item in old if item not in ready]
        changed += [item for item in ready if item not in old]
        for resource in changed:
            self._index(upstream, resource)

    def _set_loading(self, upstream: Upstream, loading: dict[Artifact, None]) -> None:
        for artifact in upstream.loading:
            self._loading[artifact] -= 1
            if not self._loading[artifact]:
                del self._loading[artifact]
        for artifact in loading:
            self._loading[artifact] = self._loading.get(artifact, 0) + 1
        upstream.loading = loading

    def _apply_load(self, upstream: Upstream, report: EngineReport) -> None:
        load = report.running + report.waiting
        attempts = upstream.attempts.values()
        own = sum(item.started_at <= report.reported_at for item in attempts)
        upstream.others_load = max(0, load - own)
        upstream.window.dither = self.rng.random()
        upstream.window.apply_report(load, own)

    def _apply_residents(self, upstream: Upstream, report: EngineReport) -> None:
        for resource, missing_since in list(upstream.missing.items()):
            if report.reported_at > missing_since:
                del upstream.missing[resource]
                self._index(upstream, resource)
        ready: dict[Resource, None] = {}
        loading: dict[Artifact, None] = {}
        for resident in report.residents:
            if resident.state is Residency.READY:
                ready[resident.artifact] = None
            elif resident.state is Residency.LOADING:
                loading[resident.artifact] = None
        self._set_resources(upstream, ready)
        self._set_loading(upstream, loading)

    def _start_incarnation(
        self, upstream: Upstream, incarnation: IncarnationId
    ) -> None:
        if upstream.incarnation is not None:
            upstream.earlier_incarnations.append(upstream.incarnation)
            del upstream.earlier_incarnations[:-EARLIER_INCARNATIONS_MAX]
            upstream.leaving = False
            upstream.breaker = Breaker()
            self.update_breaker(upstream)
        upstream.incarnation = incarnation
        upstream.missing.clear()
        upstream.window.clear_report()
        upstream.others_load = 0
        self._set_resources(upstream, {})
        self._set_loading(upstream, {})
        self.prefixes.drop(upstream.id)

    def _unlist(self, upstream: Upstream) -> None:
        self._listed.get(upstream.service, set()).discard(upstream.id)
        self._tripped.get(upstream.service, set()).discard(upstream.id)
        upstream.address = None
        upstream.breaker = Breaker()
        self.refresh(upstream)
        self._unlisted[upstream.id] = None
        if len(self._unlisted) > UNLISTED_UPSTREAMS_MAX:
            self._drop_oldest_unlisted()

    def _list(self, upstream: Upstream, address: UpstreamAddress) -> None:
        if upstream.address is None and upstream.incarnation is None:
            upstream.leaving = upstream.leaving and upstream.id not in self._unlisted
        self._unlisted.pop(upstream.id, None)
        upstream.address = address
        self._listed.setdefault(upstream.service, set()).add(upstream.id)
        if address.service is not None:
            upstream.window.shared = False
            self._set_resources(upstream, {address.service: None})
        self.refresh(upstream)

    def _drop_oldest_unlisted(self) -> None:
        for upstream_id in self._unlisted:
            upstream = self.upstreams[upstream_id]
            if not upstream.attempts:
                break
        else:
            return
        del self._unlisted[upstream_id]
        self._set_loading(upstream, {})
        self.prefixes.drop(upstream_id)
        del self.upstreams[upstream_id]

    def _find_or_add(self, upstream_id: UpstreamId) -> Upstream:
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            upstream = Upstream(upstream_id)
            self.upstreams[upstream_id] = upstream
        return upstream


def _update_set(
    member_sets: dict[Resource, RandomSet[Upstream]],
    resource: Resource,
    upstream: Upstream,
    member: bool,
) -> None:
    members = member_sets.get(resource)
    if member:
        if members is None:
            members = member_sets[resource] = RandomSet()
        members.add(upstream)
    elif members is not None:
        members.discard(upstream)
        if not members:
            del member_sets[resource]
