"""Simulation of placement cores with engines, a ledger store, time and faults."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import (
    ConfigVersion,
    DataCentreId,
    FenceNumber,
    IncarnationId,
    ModelName,
    OrderId,
    Revision,
    UpstreamId,
    VersionName,
)
from mangoway.models.offer import Configuration, ModelOffer, SitePolicy, VersionOffer
from mangoway.models.order import Ledger, Order, OrderKind, OrderOutcome
from mangoway.models.upstream import (
    EngineDescription,
    EngineReport,
    Residency,
    ResidentArtifact,
    UpstreamAddress,
    UpstreamKind,
)
from mangoway.models.verdict import Verdict
from mangoway.policy.placement import actions, events
from mangoway.policy.placement.const import MAX_REPORT_AGE_S
from mangoway.policy.placement.core import PlacementCore
from mangoway.policy.placement.options import PlacementOptions
from mangoway.policy.placement.runners import CopyState

KV_FLOOR_MB = 10
BOUND_S = 20.0
LOAD_S = 3.0
DC1 = DataCentreId("dc1")


def offer_models(
    version: int = 1,
    versions: tuple[str, ...] = ("1",),
    floor: int = 1,
    data_centres: int = 1,
    price: float = 1.0,
    **models_mb: int,
) -> Configuration:
    """Return a configuration of models without adapters of the given sizes."""
    return Configuration(
        version=ConfigVersion(version),
        models={
            ModelName(name): ModelOffer(
                default_version=VersionName(versions[-1]),
                versions={
                    VersionName(each): VersionOffer(memory_mb=memory_mb, floor=floor)
                    for each in versions
                },
                floor_data_centres=data_centres,
            )
            for name, memory_mb in models_mb.items()
        },
        site=SitePolicy(
            kv_cache_floor_mb=KV_FLOOR_MB,
            order_lateness_bound_s=BOUND_S,
            loads_per_second=10.0,
            loads_at_full_speed=8,
            move_price=price,
        ),
    )


@define
class Engine:
    """An engine that counts its memory and records each time it exceeds its size."""

    id: UpstreamId
    data_centre: DataCentreId = DC1
    size_mb: int = 100
    checks: bool = True
    """Whether it checks the fence numbers of orders."""

    checks_incarnations: bool = True
    """Whether it also rejects orders for another incarnation, if it checks fences."""

    run_number: int = 1
    up: bool = True
    leaving: bool = False
    fence: int = 0
    memory: dict[Artifact, int] = field(factory=dict)
    ready: set[Artifact] = field(factory=set)
    orders: list[Order] = field(factory=list)
    overruns: list[str] = field(factory=list)
    """Descriptions of the loads that made the memory exceed its size."""

    crashes: list[tuple[float, Artifact]] = field(factory=list)
    """Time of a restart and the ready copy that it lost, one entry per copy."""

    @property
    def incarnation(self) -> IncarnationId:
        return IncarnationId(f"{self.id}.{self.run_number}")

    @property
    def used_mb(self) -> int:
        return KV_FLOOR_MB + sum(self.memory.values())

    def restart(self, now: float) -> None:
        self.run_number += 1
        self.fence = 0
        self.crashes.extend((now, artifact) for artifact in self.ready)
        self.memory.clear()
        self.ready.clear()

    def describe(self) -> EngineDescription:
        return EngineDescription(
            upstream=self.id,
            incarnation=self.incarnation,
            memory_mb=self.size_mb,
            checks_fences=self.checks,
            max_running=8,
            tokens_per_second=1000.0,
        )

    def report(self, now: float) -> EngineReport:
        return EngineReport(
            upstream=self.id,
            incarnation=self.incarnation,
            reported_at=now,
            running=0,
            waiting=0,
            fence=FenceNumber(self.fence if self.checks else 0),
            residents=tuple(
                ResidentArtifact(
                    artifact=artifact,
                    memory_mb=memory_mb,
                    state=Residency.READY
                    if artifact in self.ready
                    else Residency.LOADING,
                )
                for artifact, memory_mb in self.memory.items()
            ),
            leaving=self.leaving,
        )

    def handle_order(self, order: Order) -> OrderOutcome:
        self.orders.append(order)
        if self.checks:
            if self.checks_incarnations and order.incarnation != self.incarnation:
                return OrderOutcome.REJECTED_INCARNATION
            if order.fence < self.fence:
                return OrderOutcome.REJECTED_STALE_FENCE
            self.fence = order.fence
        if order.kind is OrderKind.UNLOAD:
            self.ready.discard(order.artifact)
            if self.memory.pop(order.artifact, None) is None:
                return OrderOutcome.REJECTED_UNKNOWN
            return OrderOutcome.ACCEPTED
        self.memory[order.artifact] = order.memory_mb
        if self.used_mb > self.size_mb:
            self.overruns.append(f"{self.id} {self.used_mb} MB after {order}")
        return OrderOutcome.ACCEPTED


@define
class UnloadBasis:
    """State on which the sender of an unload based its decision."""

    controller: Controller
    is_withdrawn: bool
    """Whether the artifact was not offered when the order was sent."""

    remaining: dict[UpstreamId, float]
    """Time of the recent report that contains a ready copy, by engine."""


@define
class Controller:
    """Controller with one core; while it is paused, its events wait in an inbox."""

    core: PlacementCore
    alive: bool = True
    paused: bool = False
    inbox: list[events.PlacementEvent] = field(factory=list)
    wakeup: int = 0
    """Number of the latest `WakeAt`; earlier ones are obsolete."""


@define
class World:
    """Engines, a ledger store and controllers with a common virtual clock."""

    engines: dict[UpstreamId, Engine] = field(factory=dict)
    controllers: list[Controller] = field(factory=list)
    configuration: Configuration = field(factory=offer_models)
    rng: Random = field(factory=lambda: Random(1))
    now: float = 0.0
    ledgers: dict[UpstreamId, Ledger] = field(factory=dict)
    revisions: dict[UpstreamId, int] = field(factory=dict)
    reasons: list[actions.Explain] = field(factory=list)
    sent: list[tuple[float, Order]] = field(factory=list)
    writes: int = 0
    reads: int = 0
    store_up: bool = True
    lose_answers: int = 0
    """Number of future writes that take effect but whose answer is lost."""

    order_faults: list[str] = field(factory=list)
    """Faults of the next orders: lose, late, double, drop_answer or none ("")."""

    report_lag_s: float = 0.0
    read_s: float = 0.01
    """Time that a read from the store takes."""

    unload_bases: dict[OrderId, UnloadBasis] = field(factory=dict)
    last_copy_losses: list[str] = field(factory=list)
    """Avoidable unloads of the last ready copy of an artifact."""

    _heap: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: count[int] = field(factory=count)

    # Setup.

    def add_engine(self, name: str, **changes: object) -> Engine:
        engine = Engine(UpstreamId(name), **changes)  # type: ignore[arg-type]
        self.engines[engine.id] = engine
        return engine

    def add_controller(self, options: PlacementOptions | None = None) -> Controller:
        name = IncarnationId(f"c{len(self.controllers)}")
        controller = Controller(PlacementCore(name, options))
        self.controllers.append(controller)
        self.send_event(
            controller, events.ConfigurationChanged(configuration=self.configuration)
        )
        self.list_runners()
        self.send_event(controller, events.LeaseGained())
        return controller

    def start(
        self,
        *sizes: int,
        checks: bool = True,
        options: PlacementOptions | None = None,
    ) -> Controller:
        """Add engines r0, r1, ... in alternating data centres, and a controller."""
        for number, size_mb in enumerate(sizes):
            self.add_engine(
                f"r{number}",
                size_mb=size_mb,
                checks=checks,
                data_centre=DataCentreId(f"dc{number % 2 + 1}"),
            )
        self.call_later(0.0, self._poll)
        return self.add_controller(options)

    def configure(self, configuration: Configuration) -> None:
        self.configuration = configuration
        event = events.ConfigurationChanged(configuration=configuration)
        for controller in self.controllers:
            self.send_event(controller, event)

    def list_runners(self) -> None:
        runners = tuple(
            UpstreamAddress(
                id=engine.id,
                kind=UpstreamKind.ENGINE,
                address="127.0.0.1:1",
                data_centre=engine.data_centre,
                leaving=engine.leaving,
            )
            for engine in self.engines.values()
        )
        for controller in self.controllers:
            self.send_event(controller, events.RunnersListed(runners=runners))

    # Time.

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        heappush(self._heap, (self.now + delay_s, next(self._numbers), call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = end

    def _poll(self) -> None:
        """Deliver the description and the report of every engine once a second."""
        for engine in self.engines.values():
            if not engine.up:
                for controller in self.controllers:
                    self.send_event(
                        controller, events.EngineSilent(upstream_id=engine.id)
                    )
                continue
            described = events.EngineDescribed(description=engine.describe())
            reported = events.EngineReported(report=engine.report(self.now))
            for controller in self.controllers:
                self._deliver(controller, described, self.report_lag_s)
                self._deliver(controller, reported, self.report_lag_s)
        self.call_later(1.0, self._poll)

    # Controllers.

    def _deliver(
        self, controller: Controller, event: events.PlacementEvent, delay_s: float
    ) -> None:
        self.call_later(delay_s, lambda: self.send_event(controller, event))

    def send_event(self, controller: Controller, event: events.PlacementEvent) -> None:
        if not controller.alive:
            return
        if controller.paused:
            controller.inbox.append(event)
            return
        for action in controller.core.handle(event, self.now):
            self._perform(controller, action)

    def resume(self, controller: Controller) -> None:
        controller.paused = False
        inbox, controller.inbox = controller.inbox, []
        for event in inbox:
            self.send_event(controller, event)

    def _perform(self, controller: Controller, action: actions.PlacementAction) -> None:
        match action:
            case actions.ReadLedger(upstream_id=upstream_id):
                self.call_later(
                    self.read_s, lambda: self._read(controller, upstream_id)
                )
            case actions.WriteLedger():
                self.call_later(0.01, lambda: self._write(controller, action))
            case actions.SendOrder(order=order):
                self.sent.append((self.now, order))
                self._record_basis(controller, order)
                self.call_later(0.01, lambda: self._execute_order(controller, order))
            case actions.Explain():
                self.reasons.append(action)
            case actions.WakeAt(time=time):
                controller.wakeup += 1
                wakeup = controller.wakeup
                self.call_later(
                    max(time - self.now, 0.0), lambda: self._tick(controller, wakeup)
                )

    def _tick(self, controller: Controller, wakeup: int) -> None:
        if controller.wakeup == wakeup:
            self.send_event(controller, events.Ticked())

    def request_unload(
        self, controller: Controller, name: UpstreamId, artifact: str
    ) -> None:
        """Make a controller start an unload that it did not plan."""
        reservations = controller.core.reservations
        runner = controller.core.state.runners[name]
        assert reservations.request_unload(runner, Artifact.parse(artifact), self.now)
        for action in reservations.outbox.actions:
            self._perform(controller, action)
        reservations.outbox.actions.clear()

    # Ledger store.

    def _read(self, controller: Controller, upstream_id: UpstreamId) -> None:
        self.reads += 1
        event: events.PlacementEvent = events.LedgerUnavailable(upstream_id=upstream_id)
        if self.store_up:
            event = events.LedgerRead(
                upstream_id=upstream_id,
                ledger=self.ledgers.get(upstream_id),
                revision=Revision(self.revisions.get(upstream_id, 0)),
            )
        self._deliver(controller, event, 0.01)

    def _write(self, controller: Controller, action: actions.WriteLedger) -> None:
        self.writes += 1
        upstream_id = action.ledger.upstream
        unavailable = events.LedgerUnavailable(upstream_id=upstream_id)
        if not self.store_up:
            self._deliver(controller, unavailable, 0.01)
            return
        revision = Revision(self.revisions.get(upstream_id, 0))
        event: events.PlacementEvent
        if revision != action.expected:
            event = events.LedgerConflicted(
                upstream_id=upstream_id,
                ledger=self.ledgers.get(upstream_id),
                revision=revision,
            )
        else:
            revision = Revision(revision + 1)
            self.ledgers[upstream_id] = action.ledger
            self.revisions[upstream_id] = revision
            event = events.LedgerWritten(
                upstream_id=upstream_id, ledger=action.ledger, revision=revision
            )
        if self.lose_answers > 0:
            self.lose_answers -= 1
            event = unavailable
        self._deliver(controller, event, 0.01)

    # Orders.

    def _execute_order(self, controller: Controller, order: Order) -> None:
        fault = self.order_faults.pop(0) if self.order_faults else ""
        engine = self.engines[order.upstream]
        failed = events.OrderFailed(
            order_id=order.id,
            upstream_id=order.upstream,
            verdict=Verdict.MAY_HAVE_RUN,
        )
        if fault == "lose" or not engine.up:
            self._deliver(controller, failed, 1.0)
            return
        if fault == "late":
            self._deliver(controller, failed, 1.0)
            # The connection closes after one second. The lateness bound starts then.
            delay_s = self.rng.uniform(0.0, BOUND_S)
            self.call_later(1.0 + delay_s, lambda: self._apply_order(order))
            return
        outcome = self._apply_order(order)
        if fault == "double":
            self.call_later(
                self.rng.uniform(0.0, BOUND_S), lambda: self._apply_order(order)
            )
        answer: events.PlacementEvent = events.OrderAnswered(
            order_id=order.id,
            upstream_id=order.upstream,
            outcome=outcome,
            fence=FenceNumber(engine.fence),
        )
        self._deliver(controller, failed if fault == "drop_answer" else answer, 0.05)

    def _apply_order(self, order: Order) -> OrderOutcome:
        engine = self.engines[order.upstream]
        if not engine.up:
            return OrderOutcome.REJECTED_UNKNOWN
        artifact = order.artifact
        was_ready = artifact in engine.ready
        outcome = engine.handle_order(order)
        if was_ready and artifact not in engine.ready:
            self._check_last_copy(engine, artifact, order)
        run_number = engine.run_number
        if order.kind is OrderKind.LOAD and outcome is OrderOutcome.ACCEPTED:
            self.call_later(
                LOAD_S, lambda: self._finish_load(engine, artifact, run_number)
            )
        return outcome

    def _finish_load(self, engine: Engine, artifact: Artifact, run_number: int) -> None:
        if engine.run_number == run_number and artifact in engine.memory:
            engine.ready.add(artifact)

    def _record_basis(self, controller: Controller, order: Order) -> None:
        state = controller.core.state
        remaining = {
            each: report.reported_at
            for each in state.copies.list_ready(order.artifact)
            if (report := state.runners[each].report) is not None
            and report.reported_at >= self.now - MAX_REPORT_AGE_S
        }
        remaining.pop(order.upstream, None)
        is_withdrawn = order.artifact not in self.configuration.list_artifacts()
        self.unload_bases[order.id] = UnloadBasis(controller, is_withdrawn, remaining)

    def _check_last_copy(
        self, engine: Engine, artifact: Artifact, order: Order
    ) -> None:
        """Record an unload of the last ready copy that the core could have avoided."""
        if artifact not in self.configuration.list_artifacts():
            return
        others = [each for each in self.engines.values() if each is not engine]
        if any(artifact in each.ready for each in others):
            return
        basis = self.unload_bases[order.id]
        if self._is_loss_expected(basis, engine, artifact):
            return
        if self._is_remaining_crashed(basis, artifact):
            return
        self.last_copy_losses.append(f"{self.now}: {order}")

    def _is_loss_expected(
        self, basis: UnloadBasis, engine: Engine, artifact: Artifact
    ) -> bool:
        """Return whether the loss of a copy is expected by the sender of the order.

        An unload that was sent while its artifact was withdrawn may arrive after the
        artifact was offered again. Its sender must not count the copy as ready.
        """
        runner = basis.controller.core.state.runners[engine.id]
        counted_state = runner.list_copies(self.now).get(artifact)
        return basis.is_withdrawn and counted_state is not CopyState.READY

    def _is_remaining_crashed(self, basis: UnloadBasis, artifact: Artifact) -> bool:
        """Return whether a remaining copy was lost by a restart after its report."""
        return any(
            lost == artifact and at >= seen_at
            for each, seen_at in basis.remaining.items()
            for at, lost in self.engines[each].crashes
        )

    # Checks.

    def list_ready(self, name: str) -> list[str]:
        """Return the engines with a ready copy."""
        artifact = Artifact.parse(name)
        return [each.id for each in self.engines.values() if artifact in each.ready]

    def list_reasons(self) -> set[str]:
        """Return the codes of all explanations."""
        return {each.reason for each in self.reasons}

    def list_unmet_floors(self) -> list[str]:
        """Return the offered artifacts whose floors are not met."""
        missing = []
        for artifact in self.configuration.list_artifacts():
            holders = [
                engine
                for engine in self.engines.values()
                if engine.up
                and not engine.leaving
                and artifact in engine.ready
                and artifact.base in engine.ready
            ]
            if len(holders) < self.configuration.find_floor(artifact):
                missing.append(str(artifact))
        return missing

    def check_invariants(self) -> None:
        """Assert the invariants that must hold at any time."""
        for engine in self.engines.values():
            assert not engine.overruns, engine.overruns
        assert not self.last_copy_losses, self.last_copy_losses

    def count_moves(self) -> int:
        return len(self.sent)
