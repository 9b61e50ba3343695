"""One run: a site, its demand, a policy and a fault in virtual time."""

from collections.abc import Iterable
from random import Random

from attrs import frozen

from mangoway.models.artifact import Artifact
from mangoway.models.identifiers import CallerId, HostId, IncarnationId, UpstreamId
from mangoway.models.upstream import (
    EngineReport,
    Residency,
    UpstreamAddress,
    UpstreamKind,
)
from mangoway.policy.dispatch import events as dispatch_events
from mangoway.policy.dispatch.actions import ReportDemand
from mangoway.policy.placement import events as placement_events
from tests.fakes.engine import EngineModel, EngineSettings
from tests.fakes.link import LinkFaults, OrderLink
from tests.fakes.weight_store import WeightStoreModel

from .bound import Capacity, Loss
from .callers import Caller
from .clock import Clock
from .const import (
    COOL_DOWN_S,
    LATENCY_BETWEEN_S,
    REPORT_LAG_S,
    REPORT_PERIOD_S,
    WARM_UP_S,
)
from .controllers import ControllerIdentity, ControllerShell
from .demand import Arrival, Demand
from .disruption import schedule_fault
from .faults import Fault
from .gateways import GatewayIdentity, GatewayShell
from .ledgers import LedgerStore
from .milestones import Milestones, Step
from .outcomes import Outcome
from .policies import Policy
from .sites import SERVICE, Placed, Site, limit_callers
from .upstreams import EngineHost, ServiceHost

_LINK_FAULTS = LinkFaults(lost=0.01, delayed=0.02, doubled=0.01, answer_lost=0.01)
_CONTROLLERS = 2


@frozen(kw_only=True)
class RunResult:
    """What one run gave."""

    outcomes: tuple[Outcome, ...]
    flooder: CallerId | None
    loads: int
    unloads: int
    over_size: int
    """Engines whose memory was ever over its size."""

    doubled_runs: int
    """Service calls that may not be repeated but ran more than once."""

    steps: dict[str, dict[Step, float]]
    capacity: Capacity
    store_calls: int


class Simulation:
    """Gateways, controllers and fakes of one run."""

    def __init__(
        self, site: Site, demand: Demand, policy: Policy, fault: Fault, seed: int
    ) -> None:
        self._site = limit_callers(site, policy.caller_limit_rps)
        self.demand = demand
        self._policy = policy
        self._fault = fault
        self._seed = seed
        self._clock = Clock()
        self._random = Random(f"simulation {seed}")
        self._milestones = Milestones(self._clock)
        self.ledgers = LedgerStore()
        self._weights = WeightStoreModel(site.store)
        self.engines = {
            placed.item.upstream: self._build_engine(placed) for placed in site.runners
        }
        self.services = {
            placed.item: ServiceHost(
                self._clock, placed.item, placed.data_centre, f"{placed.item} {seed}"
            )
            for placed in site.service_hosts
        }
        self._upstreams: dict[UpstreamId, EngineHost | ServiceHost] = {}
        self._upstreams.update(self.engines)
        self._upstreams.update(self.services)
        self._unlisted: set[UpstreamId] = set()
        self.gateways = {
            placed.item: self._build_gateway(placed) for placed in site.gateways
        }
        self._known = list(self.gateways.values())
        self.controllers = [self._build_controller(n) for n in range(_CONTROLLERS)]
        self.reports_stopped = False
        self._ready: dict[UpstreamId, frozenset[Artifact]] = {}
        self._moves_before = 0, 0

    def run(self) -> RunResult:
        """Run from the first placement to the end of the cool-down."""
        self._start()
        self._clock.call_at(WARM_UP_S, self._begin_count)
        callers = [self._schedule_caller(arrival) for arrival in self.demand.arrivals]
        schedule_fault(self, self._clock, self._fault)
        self._clock.run(WARM_UP_S + self.demand.length_s + COOL_DOWN_S)
        return self._collect([caller.outcome for caller in callers])

    def _collect(self, outcomes: list[Outcome]) -> RunResult:
        for host in self.engines.values():
            host.touch()
        models = [host.model for host in self.engines.values()]
        writes = {
            outcome.arrival.number
            for outcome in outcomes
            if not outcome.arrival.idempotent
        }
        runs: dict[int, int] = {}
        for service in self.services.values():
            for number, count in service.runs.items():
                runs[number] = runs.get(number, 0) + count
        return RunResult(
            outcomes=tuple(outcomes),
            flooder=self.demand.flooder,
            loads=sum(model.loads for model in models) - self._moves_before[0],
            unloads=sum(model.unloads for model in models) - self._moves_before[1],
            over_size=sum(model.over_size for model in models),
            doubled_runs=sum(runs.get(number, 0) > 1 for number in writes),
            steps={
                surge.name: self._milestones.list_steps(surge.name)
                for surge in self.demand.surges
            },
            capacity=self._find_capacity(),
            store_calls=self.ledgers.calls,
        )

    def _find_capacity(self) -> Capacity:
        losses = [
            Loss(
                start=outage.start,
                end=min(outage.end, self._clock.now),
                tokens_per_second=host.model.settings.tokens_per_second,
            )
            for host in self.engines.values()
            for outage in host.outages
        ]
        return Capacity(self._site.tokens_per_second, tuple(losses))

    def _begin_count(self) -> None:
        models = [host.model for host in self.engines.values()]
        loads = sum(model.loads for model in models)
        unloads = sum(model.unloads for model in models)
        self._moves_before = loads, unloads

    def _build_engine(self, placed: Placed[EngineSettings]) -> EngineHost:
        model = EngineModel(
            placed.item, self._weights, IncarnationId(f"{placed.item.upstream}-0")
        )
        return EngineHost(self._clock, model, placed.data_centre)

    def _build_gateway(self, placed: Placed[HostId], life: int = 0) -> GatewayShell:
        identity = GatewayIdentity(
            host=placed.item,
            incarnation=IncarnationId(f"{placed.item}-{life}"),
            data_centre=placed.data_centre,
        )
        core = self._policy.dispatch(identity, self._seed)
        return GatewayShell(
            self._clock, identity, core, self._upstreams, self._pass_demand
        )

    def _build_controller(self, number: int) -> ControllerShell:
        identity = ControllerIdentity(
            host=HostId(f"controller{number}"),
            incarnation=IncarnationId(f"controller{number}-0"),
        )
        link = OrderLink(
            Random(f"link {number} {self._seed}"), LATENCY_BETWEEN_S, _LINK_FAULTS
        )
        return ControllerShell(
            self._clock,
            identity,
            self._policy.placement(identity, self._seed),
            self.ledgers,
            self.engines,
            link,
            self._milestones,
        )

    def _start(self) -> None:
        for gateway in self.gateways.values():
            self._introduce(gateway)
        configuration = self._site.configuration
        for number, controller in enumerate(self.controllers):
            controller.handle(
                placement_events.ConfigurationChanged(configuration=configuration)
            )
            controller.handle(
                placement_events.RunnersListed(runners=self._list_runners())
            )
            for host in self.engines.values():
                met = placement_events.EngineDescribed(
                    description=host.model.describe()
                )
                controller.handle(met)
            controller.handle(placement_events.Ticked())
            self._clock.call_later(0.5 * number, controller.keep_lease)
        for number, host in enumerate(self.engines.values()):
            phase = REPORT_PERIOD_S * number / len(self.engines)
            self._clock.call_later(phase, self._take_report, host)
        for surge in self.demand.surges:
            start = WARM_UP_S + surge.start_s
            self._milestones.watch(surge.name, surge.artifacts[0], start)

    def _introduce(self, gateway: GatewayShell) -> None:
        """Tell a new gateway what there is."""
        gateway.handle(
            dispatch_events.ConfigurationChanged(configuration=self._site.configuration)
        )
        gateway.handle(dispatch_events.UpstreamListChanged(upstreams=self._list_all()))
        for host in self.engines.values():
            if not host.model.is_down:
                met = dispatch_events.EngineDescribed(description=host.model.describe())
                gateway.handle(met)
        self._tell_members([gateway])
        gateway.handle(dispatch_events.Ticked())

    def _tell_members(self, gateways: Iterable[GatewayShell]) -> None:
        live = frozenset(gateway.identity.incarnation for gateway in self._known)
        for gateway in gateways:
            gateway.handle(dispatch_events.GatewayCountChanged(count=len(live)))
            gateway.handle(dispatch_events.HomesChanged(live=live))

    def _list_runners(self) -> tuple[UpstreamAddress, ...]:
        return tuple(
            UpstreamAddress(
                id=host.id,
                kind=UpstreamKind.ENGINE,
                address="127.0.0.1:1",
                data_centre=host.data_centre,
            )
            for host in self.engines.values()
            if host.id not in self._unlisted
        )

    def _list_all(self) -> tuple[UpstreamAddress, ...]:
        services = tuple(
            UpstreamAddress(
                id=host.id,
                kind=UpstreamKind.SERVICE,
                address="127.0.0.1:2",
                data_centre=host.data_centre,
                service=SERVICE,
            )
            for host in self.services.values()
            if host.id not in self._unlisted
        )
        return self._list_runners() + services

    def _schedule_caller(self, arrival: Arrival) -> Caller:
        caller = Caller(self._clock, arrival, self._random, self._list_addresses)
        self._clock.call_at(arrival.time, self._arrive, caller)
        return caller

    def _arrive(self, caller: Caller) -> None:
        if isinstance(caller.arrival.target, Artifact):
            self._milestones.note(Step.ARRIVED, caller.arrival.target)
        caller.start()

    def _list_addresses(self) -> list[GatewayShell]:
        return self._known

    def _pass_demand(self, gateway: GatewayShell, action: ReportDemand) -> None:
        event = placement_events.DemandReported(
            gateway=gateway.identity.host,
            incarnation=gateway.identity.incarnation,
            period_s=action.period_s,
            rates=tuple(
                placement_events.ArtifactRate(
                    artifact=demand.artifact,
                    arrived=demand.arrived,
                    queued=demand.queued,
                    tokens=demand.tokens,
                    refused=demand.refused,
                )
                for demand in action.demands
            ),
        )
        self._clock.call_later(LATENCY_BETWEEN_S, self._deliver_demand, event)

    def _deliver_demand(self, event: placement_events.DemandReported) -> None:
        for rate in event.rates:
            self._milestones.note(Step.DEMAND_REPORTED, rate.artifact)
        for controller in self.controllers:
            controller.handle(event)

    def _take_report(self, host: EngineHost) -> None:
        self._clock.call_later(REPORT_PERIOD_S, self._take_report, host)
        if host.model.is_down:
            return
        host.touch()
        report = host.model.report(self._clock.now)
        ready = frozenset(
            resident.artifact
            for resident in report.residents
            if resident.state is Residency.READY
        )
        added = ready - self._ready.get(host.id, frozenset())
        self._ready[host.id] = ready
        for artifact in added:
            self._milestones.note(Step.READY, artifact)
        if not self.reports_stopped:
            self._clock.call_later(REPORT_LAG_S, self._deliver_report, report, added)

    def _deliver_report(self, report: EngineReport, added: frozenset[Artifact]) -> None:
        for artifact in added:
            self._milestones.note(Step.ROUTED, artifact)
        for gateway in self.gateways.values():
            gateway.handle(dispatch_events.EngineReported(report=report))
        for controller in self.controllers:
            controller.handle(placement_events.EngineReported(report=report))

    def restart_gateway(self, host: HostId, life: int) -> None:
        """Start a new process on an entry host."""
        placed = next(one for one in self._site.gateways if one.item == host)
        gateway = self._build_gateway(placed, life)
        self.gateways[host] = gateway
        self._introduce(gateway)

    def note_gateways(self) -> None:
        """Let everybody know which gateways are live now."""
        self._known = [one for one in self.gateways.values() if not one.is_down]
        self._tell_members(self._known)

    def note_upstreams(self) -> None:
        """Let the host list show which upstreams are live now."""
        self._unlisted = {
            *(host.id for host in self.engines.values() if host.model.is_down),
            *(host.id for host in self.services.values() if host.is_down),
        }
        listed = dispatch_events.UpstreamListChanged(upstreams=self._list_all())
        runners = placement_events.RunnersListed(runners=self._list_runners())
        for gateway in self.gateways.values():
            gateway.handle(listed)
        for controller in self.controllers:
            controller.handle(runners)

    def note_silence(self, upstream: UpstreamId) -> None:
        """Let the controllers know that an engine does not answer probes."""
        for controller in self.controllers:
            controller.handle(placement_events.EngineSilent(upstream_id=upstream))

    def meet_engine(self, host: EngineHost) -> None:
        """Let everybody meet a restarted engine."""
        description = host.model.describe()
        for gateway in self.gateways.values():
            gateway.handle(dispatch_events.EngineDescribed(description=description))
        for controller in self.controllers:
            controller.handle(placement_events.EngineDescribed(description=description))
