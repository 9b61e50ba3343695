"""Placement of a simple system: floors, and optionally loads on demand.

Without `on_demand`, each artifact permanently gets one copy above its floor where
memory allows.

With `on_demand`, a copy is loaded whenever demand exceeds half the speed of the
existing copies, and the least recently used copies above the floors are evicted.
There is no ledger: one controller plans and keeps track of its own orders.
"""

import math

from attrs import define, field, frozen

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    FenceNumber,
    IncarnationId,
    OrderId,
    UpstreamId,
)
from mangoway.models.offer import Configuration
from mangoway.models.order import Order, OrderKind, OrderOutcome
from mangoway.models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
)
from mangoway.policy.placement.actions import PlacementAction, SendOrder, WakeAt
from mangoway.policy.placement.events import (
    ConfigurationChanged,
    DemandReported,
    EngineDescribed,
    EngineReported,
    EngineSilent,
    LeaseGained,
    LeaseLost,
    OrderAnswered,
    OrderFailed,
    PlacementEvent,
    RunnersListed,
    Ticked,
)

_PLAN_PERIOD_S = 1.0
_PENDING_TIMEOUT_S = 30.0
_RATE_DECAY = 0.5
_TARGET_UTILIZATION = 0.5
"""Share of a copy's speed above which demand causes another copy to be loaded."""


@define
class _Runner:
    """Last reported state of a runner."""

    description: EngineDescription
    residents: dict[Artifact, ResidentArtifact] = field(factory=dict)
    is_listed: bool = True
    is_silent: bool = False


@frozen
class _PendingOrder:
    """An order whose effect is not visible in a report yet."""

    order: Order
    sent_at: float


@define
class SimplePlacement:
    """Placement core of a simple system."""

    incarnation: IncarnationId
    on_demand: bool
    _configuration: Configuration | None = None
    _runners: dict[UpstreamId, _Runner] = field(factory=dict)
    _pending_orders: dict[OrderId, _PendingOrder] = field(factory=dict)
    _rates: dict[Artifact, float] = field(factory=dict)
    _used_at: dict[Artifact, float] = field(factory=dict)
    _arrived_tokens: dict[Artifact, int] = field(factory=dict)
    _is_active: bool = False
    _planned_at: float = -math.inf
    _order_count: int = 0

    def handle(self, event: PlacementEvent, now: float) -> list[PlacementAction]:
        """Handle one event; return the actions to execute."""
        match event:
            case LeaseGained():
                self._is_active = True
            case LeaseLost():
                self._is_active = False
            case ConfigurationChanged(configuration=configuration):
                self._configuration = configuration
            case EngineDescribed(description=description):
                self._runners[description.upstream] = _Runner(description)
            case RunnersListed(runners=runners):
                listed = {runner.id for runner in runners}
                for upstream, runner in self._runners.items():
                    runner.is_listed = upstream in listed
            case EngineSilent(upstream_id=upstream):
                self._runners[upstream].is_silent = True
                self._runners[upstream].residents = {}
            case EngineReported(report=report):
                self._apply_report(report)
            case DemandReported():
                self._count_demand(event, now)
            case OrderAnswered(order_id=order_id, outcome=outcome):
                if outcome is not OrderOutcome.ACCEPTED:
                    self._pending_orders.pop(order_id, None)
            case OrderFailed(order_id=order_id):
                self._pending_orders.pop(order_id, None)
            case Ticked():
                return self._tick(now)
        return []

    def _apply_report(self, report: EngineReport) -> None:
        runner = self._runners.get(report.upstream)
        if runner is None:
            return
        runner.is_silent = False
        runner.residents = {
            resident.artifact: resident for resident in report.residents
        }
        for order_id, pending in list(self._pending_orders.items()):
            order = pending.order
            if order.upstream != report.upstream:
                continue
            is_resident = order.artifact in runner.residents
            if is_resident == (order.kind is OrderKind.LOAD):
                del self._pending_orders[order_id]

    def _count_demand(self, event: DemandReported, now: float) -> None:
        for rate in event.rates:
            artifact = rate.artifact
            tokens = self._arrived_tokens.get(artifact, 0) + rate.tokens
            self._arrived_tokens[artifact] = tokens
            if rate.arrived:
                self._used_at[artifact] = now
                self._used_at[artifact.base] = now

    def _tick(self, now: float) -> list[PlacementAction]:
        actions: list[PlacementAction] = []
        if now >= self._planned_at + _PLAN_PERIOD_S:
            self._update_rates(now)
            self._planned_at = now
            if self._is_active and self._configuration is not None:
                self._expire_pending(now)
                actions.extend(self._plan(now))
        actions.append(WakeAt(time=now + _PLAN_PERIOD_S))
        return actions

    def _update_rates(self, now: float) -> None:
        elapsed = min(now - self._planned_at, 10.0)
        for artifact in sorted({*self._rates, *self._arrived_tokens}):
            rate = self._arrived_tokens.get(artifact, 0) / elapsed
            old = self._rates.get(artifact, 0.0)
            self._rates[artifact] = old * _RATE_DECAY + rate * (1 - _RATE_DECAY)
        self._arrived_tokens = {}

    def _expire_pending(self, now: float) -> None:
        for order_id, pending in list(self._pending_orders.items()):
            if now - pending.sent_at > _PENDING_TIMEOUT_S:
                del self._pending_orders[order_id]

    def _plan(self, now: float) -> list[PlacementAction]:
        assert self._configuration is not None
        actions: list[PlacementAction] = []
        for artifact in self._configuration.list_artifacts():
            wanted = self._configuration.find_floor(artifact)
            actions.extend(self._add_copy(artifact, wanted, False, now))
        if not self.on_demand and not actions:
            for artifact in self._configuration.list_artifacts():
                wanted = self._configuration.find_floor(artifact) + 1
                actions.extend(self._add_copy(artifact, wanted, False, now))
        if self.on_demand:
            for artifact in sorted(self._rates, key=lambda a: (-self._rates[a], a)):
                wanted = self._count_wanted(artifact)
                actions.extend(self._add_copy(artifact, wanted, True, now))
        return actions

    def _count_wanted(self, artifact: Artifact) -> int:
        available = self._list_available()
        if not available:
            return 0
        speed = max(
            runner.description.tokens_per_second for runner in available.values()
        )
        wanted = math.ceil(self._rates[artifact] / (_TARGET_UTILIZATION * speed))
        return min(wanted, len(available))

    def _list_available(self) -> dict[UpstreamId, _Runner]:
        return {
            upstream: runner
            for upstream, runner in self._runners.items()
            if runner.is_listed and not runner.is_silent
        }

    def _add_copy(
        self, artifact: Artifact, wanted: int, may_evict: bool, now: float
    ) -> list[PlacementAction]:
        """Order one more copy if there are fewer copies than wanted.

        An adapter is loaded beside a ready copy of its base. If no other runner has one
        and `may_evict` is set, another copy of the base is ordered first.
        """
        holders = self._find_holders(artifact)
        if len(holders) >= wanted:
            return []
        others = {u: r for u, r in self._list_available().items() if u not in holders}
        if artifact.adapter is not None:
            with_base = {
                upstream: runner
                for upstream, runner in others.items()
                if self._has_ready(runner, artifact.base)
            }
            if not with_base and may_evict:
                bases = len(self._find_holders(artifact.base))
                return self._add_copy(artifact.base, bases + 1, True, now)
            others = with_base
        return self._order_copy(artifact, others, may_evict, now)

    def _order_copy(
        self,
        artifact: Artifact,
        runners: dict[UpstreamId, _Runner],
        may_evict: bool,
        now: float,
    ) -> list[PlacementAction]:
        assert self._configuration is not None
        memory_mb = self._configuration.find_memory_mb(artifact)
        by_free_memory = sorted(
            runners, key=lambda upstream: -self._find_free_mb(upstream)
        )
        if by_free_memory and self._find_free_mb(by_free_memory[0]) >= memory_mb:
            return [self._build_order(by_free_memory[0], OrderKind.LOAD, artifact, now)]
        if not may_evict or not by_free_memory or self._has_pending_unload():
            return []
        return self._evict(by_free_memory, memory_mb, now)

    def _has_pending_unload(self) -> bool:
        kinds = (pending.order.kind for pending in self._pending_orders.values())
        return any(kind is OrderKind.UNLOAD for kind in kinds)

    def _evict(
        self, upstreams: list[UpstreamId], memory_mb: int, now: float
    ) -> list[PlacementAction]:
        """Evict the least recently used copies of the first suitable runner."""
        for upstream in upstreams:
            free = self._find_free_mb(upstream)
            victims: list[Artifact] = []
            for artifact in self._list_evictable(upstream):
                if free >= memory_mb:
                    break
                victims.append(artifact)
                free += self._runners[upstream].residents[artifact].memory_mb
            if free >= memory_mb:
                return [
                    self._build_order(upstream, OrderKind.UNLOAD, victim, now)
                    for victim in victims
                ]
        return []

    def _list_evictable(self, upstream: UpstreamId) -> list[Artifact]:
        assert self._configuration is not None
        residents = self._runners[upstream].residents
        found = [
            artifact
            for artifact, resident in residents.items()
            if resident.state is Residency.READY
            and self._count_ready(artifact) > self._configuration.find_floor(artifact)
            and not any(a.base == artifact and a != artifact for a in residents)
        ]
        return sorted(found, key=lambda a: self._used_at.get(a, 0.0))

    def _find_holders(self, artifact: Artifact) -> set[UpstreamId]:
        holders = {
            upstream
            for upstream, runner in self._list_available().items()
            if artifact in runner.residents
            and runner.residents[artifact].state is not Residency.UNLOADING
        }
        for pending in self._pending_orders.values():
            order = pending.order
            if order.artifact == artifact and order.kind is OrderKind.LOAD:
                holders.add(order.upstream)
        return holders

    def _count_ready(self, artifact: Artifact) -> int:
        return sum(
            self._has_ready(r, artifact) for r in self._list_available().values()
        )

    def _has_ready(self, runner: _Runner, artifact: Artifact) -> bool:
        resident = runner.residents.get(artifact)
        return resident is not None and resident.state is Residency.READY

    def _find_free_mb(self, upstream: UpstreamId) -> int:
        assert self._configuration is not None
        runner = self._runners[upstream]
        used_mb = sum(resident.memory_mb for resident in runner.residents.values())
        for pending in self._pending_orders.values():
            order = pending.order
            is_new = order.artifact not in runner.residents
            if order.upstream == upstream and order.kind is OrderKind.LOAD and is_new:
                used_mb += order.memory_mb
        floor_mb = self._configuration.site.kv_cache_floor_mb
        return runner.description.memory_mb - floor_mb - used_mb

    def _build_order(
        self, upstream: UpstreamId, kind: OrderKind, artifact: Artifact, now: float
    ) -> SendOrder:
        assert self._configuration is not None
        self._order_count += 1
        order = Order(
            id=OrderId(f"{self.incarnation}-{self._order_count}"),
            upstream=upstream,
            incarnation=self._runners[upstream].description.incarnation,
            fence=FenceNumber(0),
            kind=kind,
            artifact=artifact,
            memory_mb=self._configuration.find_memory_mb(artifact),
        )
        self._pending_orders[order.id] = _PendingOrder(order, now)
        return SendOrder(order=order)
