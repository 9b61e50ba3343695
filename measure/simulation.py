"""Simulation of a site with a demand, a policy and a fault in virtual time."""

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
    INTER_DATA_CENTRE_LATENCY_S,
    REPORT_DELAY_S,
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
    """Result of one run."""

    outcomes: tuple[Outcome, ...]
    flooder: CallerId | None
    loads: int
    unloads: int
    over_size: int
    """Number of engines whose used memory ever exceeded their size."""

    doubled_runs: int
    """Number of non-idempotent service calls that ran more than once."""

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
        self._listed_gateways = list(self.gateways.values())
        self.controllers = [self._build_controller(n) for n in range(_CONTROLLERS)]
        self.reports_stopped = False
        self._ready_artifacts: dict[UpstreamId, frozenset[Artifact]] = {}
        self._warm_up_moves = 0, 0

    def run(self) -> RunResult:
        """Run from the first placement to the end of the cool-down."""
        self._start()
        self._clock.call_at(WARM_UP_S, self._record_warm_up_moves)
        callers = [self._schedule_caller(arrival) for arrival in self.demand.arrivals]
        schedule_fault(self, self._clock, self._fault)
        self._clock.run(WARM_UP_S + self.demand.length_s + COOL_DOWN_S)
        return self._build_result([caller.outcome for caller in callers])

    def _build_result(self, outcomes: list[Outcome]) -> RunResult:
        for host in self.engines.values():
            host.advance_and_reschedule()
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
            loads=sum(model.loads for model in models) - self._warm_up_moves[0],
            unloads=sum(model.unloads for model in models) - self._warm_up_moves[1],
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

    def _record_warm_up_moves(self) -> None:
        models = [host.model for host in self.engines.values()]
        loads = sum(model.loads for model in models)
        unloads = sum(model.unloads for model in models)
        self._warm_up_moves = loads, unloads

    def _build_engine(self, placed: Placed[EngineSettings]) -> EngineHost:
        model = EngineModel(
            placed.item, self._weights, IncarnationId(f"{placed.item.upstream}-0")
        )
        return EngineHost(self._clock, model, placed.data_centre)

    def _build_gateway(
        self, placed: Placed[HostId], incarnation_number: int = 0
    ) -> GatewayShell:
        identity = GatewayIdentity(
            host=placed.item,
            incarnation=IncarnationId(f"{placed.item}-{incarnation_number}"),
            data_centre=placed.data_centre,
        )
        core = self._policy.dispatch(identity, self._seed)
        return GatewayShell(
            self._clock, identity, core, self._upstreams, self._forward_demand
        )

    def _build_controller(self, number: int) -> ControllerShell:
        identity = ControllerIdentity(
            host=HostId(f"controller{number}"),
            incarnation=IncarnationId(f"controller{number}-0"),
        )
        link = OrderLink(
            Random(f"link {number} {self._seed}"),
            INTER_DATA_CENTRE_LATENCY_S,
            _LINK_FAULTS,
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
            self._initialize_gateway(gateway)
        configuration = self._site.configuration
        for number, controller in enumerate(self.controllers):
            controller.handle(
                placement_events.ConfigurationChanged(configuration=configuration)
            )
            controller.handle(
                placement_events.RunnersListed(runners=self._list_runners())
            )
            for host in self.engines.values():
                described = placement_events.EngineDescribed(
                    description=host.model.describe()
                )
                controller.handle(described)
            controller.handle(placement_events.Ticked())
            self._clock.call_later(0.5 * number, controller.maintain_lease)
        for number, host in enumerate(self.engines.values()):
            phase = REPORT_PERIOD_S * number / len(self.engines)
            self._clock.call_later(phase, self._send_report, host)
        for surge in self.demand.surges:
            start = WARM_UP_S + surge.start_s
            self._milestones.watch(surge.name, surge.artifacts[0], start)

    def _initialize_gateway(self, gateway: GatewayShell) -> None:
        """Send the current state to a new gateway."""
        gateway.handle(
            dispatch_events.ConfigurationChanged(configuration=self._site.configuration)
        )
        gateway.handle(
            dispatch_events.UpstreamListChanged(upstreams=self._list_upstreams())
        )
        for host in self.engines.values():
            if not host.model.is_down:
                described = dispatch_events.EngineDescribed(
                    description=host.model.describe()
                )
                gateway.handle(described)
        self._send_gateway_list([gateway])
        gateway.handle(dispatch_events.Ticked())

    def _send_gateway_list(self, gateways: Iterable[GatewayShell]) -> None:
        live = frozenset(
            gateway.identity.incarnation for gateway in self._listed_gateways
        )
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

    def _list_upstreams(self) -> tuple[UpstreamAddress, ...]:
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
        caller = Caller(self._clock, arrival, self._random, self._list_gateways)
        self._clock.call_at(arrival.time, self._start_caller, caller)
        return caller

    def _start_caller(self, caller: Caller) -> None:
        if isinstance(caller.arrival.target, Artifact):
            self._milestones.record(Step.ARRIVED, caller.arrival.target)
        caller.start()

    def _list_gateways(self) -> list[GatewayShell]:
        return self._listed_gateways

    def _forward_demand(self, gateway: GatewayShell, action: ReportDemand) -> None:
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
        self._clock.call_later(INTER_DATA_CENTRE_LATENCY_S, self._deliver_demand, event)

    def _deliver_demand(self, event: placement_events.DemandReported) -> None:
        for rate in event.rates:
            self._milestones.record(Step.DEMAND_REPORTED, rate.artifact)
        for controller in self.controllers:
            controller.handle(event)

    def _send_report(self, host: EngineHost) -> None:
        self._clock.call_later(REPORT_PERIOD_S, self._send_report, host)
        if host.model.is_down:
            return
        host.advance_and_reschedule()
        report = host.model.report(self._clock.now)
        ready = frozenset(
            resident.artifact
            for resident in report.residents
            if resident.state is Residency.READY
        )
        added = ready - self._ready_artifacts.get(host.id, frozenset())
        self._ready_artifacts[host.id] = ready
        for artifact in added:
            self._milestones.record(Step.READY, artifact)
        if not self.reports_stopped:
            self._clock.call_later(REPORT_DELAY_S, self._deliver_report, report, added)

    def _deliver_report(self, report: EngineReport, added: frozenset[Artifact]) -> None:
        for artifact in added:
            self._milestones.record(Step.ROUTED, artifact)
        for gateway in self.gateways.values():
            gateway.handle(dispatch_events.EngineReported(report=report))
        for controller in self.controllers:
            controller.handle(placement_events.EngineReported(report=report))

    def restart_gateway(self, host: HostId, incarnation_number: int) -> None:
        """Start a new gateway process on an entry host."""
        placed = next(one for one in self._site.gateways if one.item == host)
        gateway = self._build_gateway(placed, incarnation_number)
        self.gateways[host] = gateway
        self._initialize_gateway(gateway)

    def update_gateways(self) -> None:
        """Send the list of running gateways to the gateways and callers."""
        self._listed_gateways = [
            one for one in self.gateways.values() if not one.is_down
        ]
        self._send_gateway_list(self._listed_gateways)

    def update_host_list(self) -> None:
        """Update the host list, and send it to the gateways and controllers."""
        self._unlisted = {
            *(host.id for host in self.engines.values() if host.model.is_down),
            *(host.id for host in self.services.values() if host.is_down),
        }
        listed = dispatch_events.UpstreamListChanged(upstreams=self._list_upstreams())
        runners = placement_events.RunnersListed(runners=self._list_runners())
        for gateway in self.gateways.values():
            gateway.handle(listed)
        for controller in self.controllers:
            controller.handle(runners)

    def report_silence(self, upstream: UpstreamId) -> None:
        """Report to the controllers that an engine does not respond to probes."""
        for controller in self.controllers:
            controller.handle(placement_events.EngineSilent(upstream_id=upstream))

    def send_engine_description(self, host: EngineHost) -> None:
        """Send the description of a restarted engine to gateways and controllers."""
        description = host.model.describe()
        for gateway in self.gateways.values():
            gateway.handle(dispatch_events.EngineDescribed(description=description))
        for controller in self.controllers:
            controller.handle(placement_events.EngineDescribed(description=description))
