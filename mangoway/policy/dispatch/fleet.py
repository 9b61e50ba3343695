"""All upstreams, indexed by what they serve."""

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
from .const import BREAKER_MAX_OPEN_SHARE, REPORT_STALE_S, RETIRED_MAX, UNLISTED_MAX
from .entries import Attempt
from .options import DispatchOptions
from .pools import Pool
from .prefixes import PrefixIndex
from .upstreams import Resource, Upstream


@define(eq=False)
class Fleet:
    """The upstreams, and per resource those that are ready and those with room.

    The cost of a change is in proportion to what one upstream serves; a choice
    costs the same however many upstreams there are.
    """

    options: DispatchOptions
    rng: Random
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    gateways: int = 1
    upstreams: dict[UpstreamId, Upstream] = field(factory=dict)
    _ready: dict[Resource, Pool[Upstream]] = field(factory=dict)
    _open: dict[Resource, Pool[Upstream]] = field(factory=dict)
    _loading: dict[Artifact, int] = field(factory=dict)
    _listed: dict[ServiceName | None, set[UpstreamId]] = field(factory=dict)
    _tripped: dict[ServiceName | None, set[UpstreamId]] = field(factory=dict)
    _unlisted: dict[UpstreamId, None] = field(factory=dict)

    # Lookups.

    def count_ready(self, resource: Resource) -> int:
        """Return the listed upstreams that serve a resource and don't leave."""
        pool = self._ready.get(resource)
        return 0 if pool is None else len(pool)

    def count_loading(self, artifact: Artifact) -> int:
        """Return the engines that are loading an artifact."""
        return self._loading.get(artifact, 0)

    def draw_ready(self, resource: Resource, count: int, rng: Random) -> list[Upstream]:
        """Return some upstreams that serve a resource."""
        pool = self._ready.get(resource)
        return [] if pool is None else pool.draw(count, rng)

    def draw_open(self, resource: Resource, count: int, rng: Random) -> list[Upstream]:
        """Return some upstreams that serve a resource and have room."""
        pool = self._open.get(resource)
        return [] if pool is None else pool.draw(count, rng)

    def is_open(self, resource: Resource, upstream: Upstream) -> bool:
        """Return whether an upstream serves a resource and has room."""
        pool = self._open.get(resource)
        return pool is not None and upstream in pool

    # News.

    def follow_list(self, addresses: tuple[UpstreamAddress, ...]) -> list[Upstream]:
        """Take the whole list of upstreams; return those that changed."""
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
        """Give an upstream no new work until it comes back as a new process."""
        upstream = self._find_or_add(upstream_id)
        upstream.leaving = True
        self.refresh(upstream)
        return upstream

    def meet(self, description: EngineDescription) -> Upstream:
        """Take an engine's description of itself."""
        upstream = self._find_or_add(description.upstream)
        if description.incarnation in upstream.retired:
            return upstream
        if upstream.incarnation != description.incarnation:
            self._start_incarnation(upstream, description.incarnation)
        upstream.description = description
        upstream.window.size = max(1, description.max_running)
        self.refresh(upstream)
        return upstream

    def follow_report(self, report: EngineReport) -> Upstream | None:
        """Take a load report; return None if it is older than what is known."""
        upstream = self._find_or_add(report.upstream)
        last = upstream.reported_at
        if last is not None and report.reported_at <= last:
            return None
        if report.incarnation in upstream.retired:
            return None
        if upstream.incarnation != report.incarnation:
            self._start_incarnation(upstream, report.incarnation)
        upstream.reported_at = report.reported_at
        self._follow_load(upstream, report)
        self._follow_residents(upstream, report)
        upstream.leaving = upstream.leaving or report.leaving
        if self.options.prefix_affinity:
            self.prefixes.apply(upstream.id, report.cache_changes)
        self.refresh(upstream)
        return upstream

    def count_gateways(self, count: int) -> list[Upstream]:
        """Take the number of gateways that share the upstreams."""
        self.gateways = max(1, count)
        for upstream in self.upstreams.values():
            self.refresh(upstream)
        return list(self.upstreams.values())

    def deny(self, upstream: Upstream, resource: Resource, now: float) -> None:
        """Take an upstream's word that it doesn't have an artifact."""
        upstream.denied[resource] = now
        self._index(upstream, resource)

    def forget_old_reports(self, now: float) -> None:
        """Fall back to even shares where reports have stopped."""
        for upstream in self.upstreams.values():
            at = upstream.reported_at
            if at is not None and now - at > REPORT_STALE_S:
                upstream.window.forget_report()
                self.refresh(upstream)

    # Attempts.

    def begin(self, attempt: Attempt, upstream: Upstream) -> None:
        """Count an attempt at an upstream."""
        upstream.attempts[attempt.id] = attempt
        if upstream.breaker.state is BreakerState.HALF_OPEN:
            attempt.probe = upstream.breaker.probing = True
        self.refresh(upstream)

    def end(self, attempt: Attempt) -> Upstream:
        """Count an attempt no longer."""
        upstream = self.upstreams[attempt.upstream_id]
        upstream.attempts.pop(attempt.id, None)
        if attempt.probe:
            upstream.breaker.probing = False
        self.refresh(upstream)
        return upstream

    # Breakers.

    def may_trip(self, upstream: Upstream) -> bool:
        """Return whether another breaker may trip among the upstreams of a kind.

        When most of a kind look sick the fault is a common one. Then taking some out
        would only load the rest more.
        """
        listed = len(self._listed.get(upstream.kind, ()))
        tripped = len(self._tripped.get(upstream.kind, ()))
        return tripped + 1 <= listed * BREAKER_MAX_OPEN_SHARE

    def note_breaker(self, upstream: Upstream) -> None:
        """Follow a change of an upstream's breaker."""
        tripped = self._tripped.setdefault(upstream.kind, set())
        if upstream.breaker.state is BreakerState.CLOSED:
            tripped.discard(upstream.id)
        else:
            tripped.add(upstream.id)
        self.refresh(upstream)

    # Indexes.

    def refresh(self, upstream: Upstream) -> None:
        """Bring the indexes up to date with an upstream."""
        takes_work = upstream.takes_work
        has_room = upstream.has_room(self.gateways, self.options.windows)
        if (takes_work, has_room) == (upstream.indexed_ready, upstream.indexed_open):
            return
        upstream.indexed_ready = takes_work
        upstream.indexed_open = has_room
        for resource in upstream.ready:
            self._index(upstream, resource)

    def _index(self, upstream: Upstream, resource: Resource) -> None:
        has_it = resource in upstream.ready and resource not in upstream.denied
        _set_member(self._ready, resource, upstream, has_it and upstream.indexed_ready)
        _set_member(self._open, resource, upstream, has_it and upstream.indexed_open)

    def _set_resources(self, upstream: Upstream, ready: dict[Resource, None]) -> None:
        old = upstream.ready
        upstream.ready = ready
        # In a stable order, so that the same seed gives the same draws.
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

    def _follow_load(self, upstream: Upstream, report: EngineReport) -> None:
        load = report.running + report.waiting
        attempts = upstream.attempts.values()
        own = sum(item.started_at <= report.reported_at for item in attempts)
        upstream.others_load = max(0, load - own)
        upstream.window.dither = self.rng.random()
        upstream.window.follow_report(load, own)

    def _follow_residents(self, upstream: Upstream, report: EngineReport) -> None:
        for resource, denied_at in list(upstream.denied.items()):
            if report.reported_at > denied_at:
                del upstream.denied[resource]
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
            upstream.retired.append(upstream.incarnation)
            del upstream.retired[:-RETIRED_MAX]
            upstream.leaving = False
            upstream.breaker = Breaker()
            self.note_breaker(upstream)
        upstream.incarnation = incarnation
        upstream.denied.clear()
        upstream.window.forget_report()
        upstream.others_load = 0
        self._set_resources(upstream, {})
        self._set_loading(upstream, {})
        self.prefixes.drop(upstream.id)

    def _unlist(self, upstream: Upstream) -> None:
        self._listed.get(upstream.kind, set()).discard(upstream.id)
        self._tripped.get(upstream.kind, set()).discard(upstream.id)
        upstream.address = None
        upstream.breaker = Breaker()
        self.refresh(upstream)
        self._unlisted[upstream.id] = None
        if len(self._unlisted) > UNLISTED_MAX:
            self._forget_one()

    def _list(self, upstream: Upstream, address: UpstreamAddress) -> None:
        if upstream.address is None and upstream.incarnation is None:
            upstream.leaving = upstream.leaving and upstream.id not in self._unlisted
        self._unlisted.pop(upstream.id, None)
        upstream.address = address
        self._listed.setdefault(upstream.kind, set()).add(upstream.id)
        if address.service is not None:
            upstream.window.shared = False
            self._set_resources(upstream, {address.service: None})
        self.refresh(upstream)

    def _forget_one(self) -> None:
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


def _set_member(
    pools: dict[Resource, Pool[Upstream]],
    resource: Resource,
    upstream: Upstream,
    member: bool,
) -> None:
    pool = pools.get(resource)
    if member:
        if pool is None:
            pool = pools[resource] = Pool()
        pool.add(upstream)
    elif pool is not None:
        pool.discard(upstream)
        if not pool:
            del pools[resource]
