"""What a controller's plans cost, by runners and by models."""

import heapq
from itertools import count

from attrs import define, field, frozen

from mangoway.daemons.const import POLL_BUSY_PERIOD_S
from mangoway.models.identifiers import FenceNumber, HostId, IncarnationId, Revision
from mangoway.models.order import Ledger, LedgerEntry, OrderKind, OrderOutcome
from mangoway.models.upstream import EngineReport, Residency, ResidentArtifact
from mangoway.policy.placement.actions import (
    PlacementAction,
    ReadLedger,
    SendOrder,
    WakeAt,
    WriteLedger,
)
from mangoway.policy.placement.core import PlacementCore
from mangoway.policy.placement.events import (
    ArtifactRate,
    ConfigurationChanged,
    DemandReported,
    EngineMet,
    EngineReported,
    EngineSilent,
    LeaseGained,
    LedgerRead,
    LedgerWritten,
    OrderAnswered,
    PlacementEvent,
    RunnersListed,
    Ticked,
)

from .builders import (
    KV_CACHE_FLOOR_MB,
    RUNNER_MB,
    list_residents,
    make_artifact,
    make_configuration,
    make_description,
    make_incarnation,
    make_upstream,
)
from .meter import US_PER_S, CpuMeter

REPORT_PERIOD_S = 10.0
"""Time between two reports of a runner, as a controller reads them in a large cell."""

LOAD_S = 3.0
HURRIED_REPORTS = 8
"""Reports read soon after an order."""

RUNNER_SIZES = (6, 30, 100, 308)
MODEL_SIZES = (20, 200, 700, 1400)
FIXED_RUNNERS = 308
SMALL_MODELS = 20
GATEWAYS = 62
RATES_PER_GATEWAY = 40
"""Models that one gateway's callers asked for in a second, at 46 requests."""

SECONDS = 10
FIRST_LOST = 100
"""Runners from here on hold the only copies of their models."""
REPAIR_LIMIT_S = 120


@frozen(kw_only=True)
class PlanCost:
    """What a controller spent."""

    plan_us: float
    """Microseconds of a plan that is due."""

    core_share: float
    writes: int
    orders: int


@frozen(kw_only=True)
class RepairCost:
    """What it took until all floors held again after runners were lost."""

    seconds: float
    core_share: float
    writes: int
    orders: int
    reads: int


@define(eq=False)
class FakeRunner:
    """A runner that takes every order; its ledger is beside it."""

    number: int
    residents: dict[str, ResidentArtifact]
    ledger: Ledger | None
    revision: int = 1
    fence: int = 1
    is_down: bool = False
    loading: dict[str, float] = field(factory=dict)


@frozen
class _Hurry:
    """Read a runner with an order under way once more."""

    runner: FakeRunner


class ControllerLoad:
    """A placement core whose cell is in its steady state."""

    def __init__(self, runners: int, models: int, gateways: int = GATEWAYS) -> None:
        self.core = PlacementCore(IncarnationId("controller"))
        self.now = 0.0
        self.cpu = CpuMeter()
        self.plans = CpuMeter()
        self.writes = 0
        self.reads = 0
        self.orders = 0
        self._models = models
        self._gateways = gateways
        self._order = count()
        self._queue: list[tuple[float, int, PlacementEvent | _Hurry]] = []
        self._wake_at: float | None = None
        self.runners = [self._make_runner(number) for number in range(runners)]
        self._by_id = {make_upstream(r.number).id: r for r in self.runners}
        self._begin()

    def _make_runner(self, number: int) -> FakeRunner:
        residents = list_residents(number, self._models)
        ledger = Ledger(
            upstream=make_upstream(number).id,
            incarnation=make_incarnation(number),
            size_mb=RUNNER_MB,
            kv_cache_floor_mb=KV_CACHE_FLOOR_MB,
            fence=FenceNumber(1),
            resident=tuple(
                LedgerEntry(artifact=one.artifact, memory_mb=one.memory_mb)
                for one in residents
            ),
        )
        return FakeRunner(number, {str(one.artifact): one for one in residents}, ledger)

    def _begin(self) -> None:
        self.give(ConfigurationChanged(configuration=make_configuration(self._models)))
        listed = tuple(make_upstream(runner.number) for runner in self.runners)
        self.give(RunnersListed(runners=listed))
        for runner in self.runners:
            self.give(EngineMet(description=make_description(runner.number)))
        self.give(LeaseGained())
        for index, runner in enumerate(self.runners):
            share = index / len(self.runners)
            self._report(runner)
            self._plan(REPORT_PERIOD_S * share, self._make_report(runner))
        for gateway in range(self._gateways):
            self._plan(gateway / self._gateways, self._make_demand(gateway))

    def give(self, event: PlacementEvent) -> None:
        """Give the core an event and carry out what it decides."""
        with self.cpu.measure():
            actions = self.core.handle(event, self.now)
        for action in actions:
            self._carry_out(action)

    def run(self, seconds: float) -> None:
        """Let time pass; reports and demand come in their periods."""
        end = self.now + seconds
        while True:
            wake_at = end if self._wake_at is None else self._wake_at
            next_at = self._queue[0][0] if self._queue else end
            if min(wake_at, next_at) >= end:
                self.now = end
                return
            if wake_at <= next_at:
                self.now = max(self.now, wake_at)
                self._wake_at = None
                self._tick()
            else:
                self.now, _, event = heapq.heappop(self._queue)
                self._repeat(event)

    def _tick(self) -> None:
        before = self.cpu.seconds
        self.give(Ticked())
        self.plans.seconds += self.cpu.seconds - before
        self.plans.blocks += 1

    def _repeat(self, event: "PlacementEvent | _Hurry") -> None:
        match event:
            case EngineReported():
                runner = self._by_id[event.report.upstream]
                if not runner.is_down:
                    self._report(runner)
                    at = self.now + REPORT_PERIOD_S
                    self._plan(at, self._make_report(runner))
            case DemandReported():
                self.give(event)
                self._plan(self.now + 1.0, event)
            case _Hurry():
                if not event.runner.is_down:
                    self._report(event.runner)
            case _:
                self.give(event)

    def _plan(self, at: float, event: "PlacementEvent | _Hurry") -> None:
        heapq.heappush(self._queue, (at, next(self._order), event))

    def _report(self, runner: FakeRunner) -> None:
        for name, ready_at in list(runner.loading.items()):
            if ready_at <= self.now:
                del runner.loading[name]
                loaded = runner.residents[name]
                runner.residents[name] = ResidentArtifact(
                    artifact=loaded.artifact,
                    memory_mb=loaded.memory_mb,
                    state=Residency.READY,
                )
        self.give(self._make_report(runner))

    def _make_report(self, runner: FakeRunner) -> EngineReported:
        report = EngineReport(
            upstream=make_upstream(runner.number).id,
            incarnation=make_incarnation(runner.number),
            reported_at=self.now,
            running=8,
            waiting=0,
            fence=FenceNumber(runner.fence),
            residents=tuple(runner.residents.values()),
        )
        return EngineReported(report=report)

    def _make_demand(self, gateway: int) -> DemandReported:
        step = max(1, self._models // RATES_PER_GATEWAY)
        wanted = range(gateway % step, self._models, step)
        return DemandReported(
            gateway=HostId(f"gateway-{gateway}"),
            incarnation=IncarnationId(f"g{gateway}"),
            period_s=1.0,
            rates=tuple(
                ArtifactRate(
                    artifact=make_artifact(number),
                    arrived=1,
                    queued=0,
                    tokens=20,
                    refused=0,
                )
                for number in wanted
            ),
        )

    def _carry_out(self, action: PlacementAction) -> None:
        match action:
            case ReadLedger():
                self.reads += 1
                self._read(action)
            case WriteLedger():
                self.writes += 1
                self._write(action)
            case SendOrder():
                self.orders += 1
                self._send(action)
            case WakeAt():
                self._wake_at = action.time
            case _:
                pass

    def _read(self, action: ReadLedger) -> None:
        runner = self._by_id[action.upstream_id]
        event = LedgerRead(
            upstream_id=action.upstream_id,
            ledger=runner.ledger,
            revision=Revision(runner.revision),
        )
        self._plan(self.now, event)

    def _write(self, action: WriteLedger) -> None:
        runner = self._by_id[action.ledger.upstream]
        runner.ledger = action.ledger
        runner.revision += 1
        event = LedgerWritten(
            upstream_id=action.ledger.upstream,
            ledger=action.ledger,
            revision=Revision(runner.revision),
        )
        self._plan(self.now, event)

    def _send(self, action: SendOrder) -> None:
        order = action.order
        runner = self._by_id[order.upstream]
        runner.fence = max(runner.fence, order.fence)
        name = str(order.artifact)
        if order.kind is OrderKind.LOAD:
            runner.residents[name] = ResidentArtifact(
                artifact=order.artifact,
                memory_mb=order.memory_mb,
                state=Residency.LOADING,
            )
            runner.loading[name] = self.now + LOAD_S
        else:
            runner.residents.pop(name, None)
            runner.loading.pop(name, None)
        event = OrderAnswered(
            order_id=order.id,
            upstream_id=order.upstream,
            outcome=OrderOutcome.ACCEPTED,
            fence=order.fence,
        )
        self._plan(self.now + 0.002, event)
        for step in range(HURRIED_REPORTS):
            self._plan(self.now + (step + 1) * POLL_BUSY_PERIOD_S, _Hurry(runner))

    def lose(self, runners: int) -> None:
        """Let runners fail; the controller has noticed their silence."""
        for runner in self.runners[FIRST_LOST : FIRST_LOST + runners]:
            runner.is_down = True
            self.give(EngineSilent(upstream_id=make_upstream(runner.number).id))

    def count_missing(self) -> int:
        """Return the models without a ready copy on a runner that answers."""
        ready = {
            name
            for runner in self.runners
            if not runner.is_down
            for name, one in runner.residents.items()
            if one.state is Residency.READY
        }
        return self._models - len(ready)


def measure_plans(runners: int, models: int) -> PlanCost:
    """Return what a controller spends in the steady state."""
    load = ControllerLoad(runners, models)
    load.run(SECONDS)
    load.cpu, load.plans = CpuMeter(), CpuMeter()
    writes, orders = load.writes, load.orders
    load.run(SECONDS)
    return PlanCost(
        plan_us=load.plans.seconds / load.plans.blocks * US_PER_S,
        core_share=load.cpu.seconds / SECONDS,
        writes=load.writes - writes,
        orders=load.orders - orders,
    )


def measure_repair(lost: int) -> RepairCost:
    """Return what it takes until every model has a ready copy again."""
    load = ControllerLoad(FIXED_RUNNERS, MODEL_SIZES[-1])
    load.run(SECONDS)
    load.cpu = CpuMeter()
    writes, orders, reads, began_at = load.writes, load.orders, load.reads, load.now
    load.lose(lost)
    while load.count_missing() and load.now < began_at + REPAIR_LIMIT_S:
        load.run(0.5)
    seconds = load.now - began_at
    return RepairCost(
        seconds=seconds,
        core_share=load.cpu.seconds / max(seconds, 0.5),
        writes=load.writes - writes,
        orders=load.orders - orders,
        reads=load.reads - reads,
    )
