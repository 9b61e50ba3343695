"""The components of one gateway, without the process and the platform around it."""

import asyncio
import os
import time
from collections.abc import Iterable
from random import Random, SystemRandom

from attrs import define, field

from ..callers.application import ApplicationParts, make_application
from ..callers.connection import ListenerState
from ..callers.gate import Gate
from ..callers.server import CallerServer
from ..engines.client import EngineClient
from ..key_value.store import KeyValueStore
from ..models.errors import MangowayError
from ..models.identifiers import DataCentreId, HostId, IncarnationId, UpstreamId
from ..models.member import Member, MemberState, ProcessRole
from ..models.offer import Configuration, SitePolicy
from ..models.upstream import (
    EngineDescription,
    EngineReport,
    UpstreamAddress,
    UpstreamKind,
)
from ..observability.connection_log import ConnectionLog
from ..observability.event_log import log_event
from ..observability.events import ReportFailed, TaskFailed
from ..observability.journal import Journal
from ..observability.metrics import Metrics
from ..observability.tracing import Tracing
from ..peers.client import PeerClients
from ..peers.demand import DemandSender
from ..peers.directory import Directory
from ..peers.forwarding import Forwarder
from ..peers.reports import ReportTracker
from ..peers.server import PeerReceivers, PeerServer, make_peer_limits
from ..policy.connections import ConnectionTable, choose_limits
from ..policy.dispatch.actions import ReportDemand
from ..policy.dispatch.core import DispatchCore
from ..policy.dispatch.events import (
    DispatchEvent,
    EngineDescribed,
    EngineReported,
    GatewayCountChanged,
    HomesChanged,
    Successor,
)
from ..policy.dispatch.options import DispatchOptions
from ..services.client import ServiceClient
from ..upstreams.session import UpstreamSession
from ..util.address import split_address
from ..util.descriptors import read_max_descriptors
from ..util.loop_watch import async_watch_loop
from ..util.rendezvous import is_chosen
from ..util.tasks import Tasks
from .attempts import AttemptRunner
from .claims import KeyClaims
from .const import POLLERS_PER_ENGINE
from .dispatcher import Dispatcher
from .engine_poller import EnginePoller
from .gateway_metrics import GatewayGauges
from .gateway_view import GatewaySelfView
from .key_hand_over import HandOverReceiver, HandOverSender
from .peer_router import ForwardedRequests, GatewayRouter
from .upstream_log import UpstreamLog


def make_incarnation() -> IncarnationId:
    """Return a random identifier for one incarnation of a process."""
    return IncarnationId(os.urandom(16).hex())


@define(kw_only=True)
class NodeSettings:
    """Settings of a gateway's components."""

    host: HostId
    data_centre: DataCentreId
    incarnation: IncarnationId = field(factory=make_incarnation)
    max_body_bytes: int = 1 << 20
    trace_sample_ratio: float = 1.0
    log_spans: bool = False


class GatewayNode:
    """The components of a gateway; created on the event loop that runs it."""

    def __init__(
        self,
        settings: NodeSettings,
        store: KeyValueStore,
        metrics: Metrics | None = None,
    ) -> None:
        self.settings = settings
        loop = asyncio.get_running_loop()
        self.metrics = metrics or Metrics()
        self.journal = Journal()
        self.tracing = Tracing(
            host=settings.host,
            role=ProcessRole.GATEWAY.value,
            sample_ratio=settings.trace_sample_ratio,
            log_spans=settings.log_spans,
        )
        self.tasks = Tasks(_log_failed_task)
        self.directory = Directory(settings.incarnation)
        self.report_tracker = ReportTracker()
        self.clients = PeerClients()
        self.forwarder = Forwarder(self.clients)
        self.session = UpstreamSession()
        self.engines = EngineClient(self.session, loop.time)
        self.core = DispatchCore(
            settings.incarnation,
            Random(SystemRandom().getrandbits(64)),
            DispatchOptions(
                data_centre=settings.data_centre,
                clock_offset_s=time.time() - loop.time(),
            ),
        )
        self.dispatcher = self._make_dispatcher(store)
        self.gate = Gate(
            self.dispatcher,
            settings.incarnation,
            self.metrics,
            self.tracing,
            self.journal,
        )
        self.receivers = PeerReceivers(
            forwards=ForwardedRequests(self.gate),
            keys=HandOverReceiver(records=self.dispatcher.records, send=self._send),
        )
        self.peer_server = PeerServer(self.receivers, make_peer_limits(self.metrics))
        self.view = GatewaySelfView(
            dispatcher=self.dispatcher,
            core=self.core,
            directory=self.directory,
            data_centre=settings.data_centre,
            journal=self.journal,
            gauges=GatewayGauges(
                metrics=self.metrics,
                core=self.core,
                dispatcher=self.dispatcher,
                directory=self.directory,
            ),
        )
        self.poller = EnginePoller(reader=self.engines, listener=self, tasks=self.tasks)
        callers_log = ConnectionLog("callers", self.metrics)
        shared = ListenerState(
            table=ConnectionTable(choose_limits(read_max_descriptors()).callers),
            on_displaced=callers_log.record_displaced,
            on_rejected=callers_log.record_rejected,
        )
        self.server = CallerServer(
            make_application(
                ApplicationParts(
                    gate=self.gate,
                    view=self.view,
                    max_body_bytes=settings.max_body_bytes,
                    input_budget=shared.budget,
                )
            ),
            shared,
        )
        self._upstream_log = UpstreamLog()
        self._live_gateways: frozenset[IncarnationId] | None = None
        """Live gateways among which polling of the engines is divided."""
        self.report_tracker.add_listener(self._handle_peer_report)

    @property
    def idle(self) -> bool:
        """Return whether no request is in progress."""
        return self.dispatcher.idle and not self.gate.open_count

    async def async_start(self, caller_listen: str, peer_listen: str) -> None:
        """Listen for peers and callers, and poll engines for reports.

        Raises:
            OSError: If an address can't be listened on.
        """
        await self.peer_server.async_start(*split_address(peer_listen))
        await self.server.async_start(*split_address(caller_listen))
        self.tasks.async_start(self.poller.async_run())
        self.tasks.async_start(async_watch_loop(self.metrics))

    async def async_stop(self, force: bool = False) -> None:
        """Stop serving; requests still in progress are interrupted."""
        await self.server.async_stop(force)
        await self.peer_server.async_stop()
        self.dispatcher.close()
        await self.dispatcher.runner.async_close()
        await self.tasks.async_cancel()
        self.clients.close()
        await self.session.async_close()

    def make_hand_over_sender(self) -> HandOverSender:
        """Return the sender that hands the idempotency records to a successor."""
        return HandOverSender(
            core=self.core,
            records=self.dispatcher.records,
            directory=self.directory,
            forwarder=self.forwarder,
        )

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.metrics.config_version.set(level=configuration.version)
        self.dispatcher.set_configuration(configuration)

    def set_upstreams(self, upstreams: Iterable[UpstreamAddress]) -> None:
        """Replace the list of known upstreams."""
        known = tuple(upstreams)
        self._upstream_log.record_listed(known)
        self.dispatcher.set_upstreams(known)
        self.report_tracker.retain(frozenset(self.dispatcher.upstreams))
        self._assign_engines()

    def set_members(self, members: Iterable[Member]) -> None:
        """Replace the list of processes of the system, which includes this one."""
        known = tuple(members)
        self.directory.set_members(known)
        gateways = [each for each in known if each.role is ProcessRole.GATEWAY]
        # A leaving gateway still serves the keys that name it as home; one that is
        # gone does not.
        homes = [each for each in gateways if each.state is not MemberState.GONE]
        successors = tuple(
            Successor(home=each.incarnation, successor=each.successor)
            for each in gateways
            if each.successor is not None
        )
        self.dispatcher.send(
            HomesChanged(
                live=frozenset(each.incarnation for each in homes),
                successors=successors,
            )
        )
        live = self.directory.list_live(ProcessRole.GATEWAY)
        incarnations = frozenset(each.incarnation for each in live)
        # Most changes are of members' configuration versions, which do not affect how
        # the engines are divided.
        if incarnations != self._live_gateways:
            self._live_gateways = incarnations
            self.dispatcher.send(GatewayCountChanged(count=max(1, len(live))))
            self._assign_engines()

    def async_handle_description(self, description: EngineDescription) -> None:
        """Handle the description of an engine that is new or was restarted."""
        self._upstream_log.record_description(description)
        self.dispatcher.send(EngineDescribed(description=description))

    def async_handle_report(self, report: EngineReport) -> None:
        """Handle a report that this gateway read; it is also passed on to peers."""
        self._upstream_log.record_report(report)
        if self.report_tracker.add_if_newer(report):
            self.dispatcher.send(EngineReported(report=report))

    def async_handle_silence(self, upstream: UpstreamId, error: MangowayError) -> None:
        """Log that an engine has stopped answering."""
        log_event(ReportFailed(upstream_id=upstream, error=str(error)))

    def async_report_demand(self, action: ReportDemand) -> None:
        """Report the demand of a period to the active controller."""
        self.tasks.async_start(
            self.demand.async_report(action.period_s, action.demands)
        )

    def _make_dispatcher(self, store: KeyValueStore) -> Dispatcher:
        settings = self.settings
        self.demand = DemandSender(
            gateway=settings.host,
            incarnation=settings.incarnation,
            clients=self.clients,
            directory=self.directory,
        )
        runner = AttemptRunner(
            engines=self.engines,
            services=ServiceClient(self.session),
            metrics=self.metrics,
            tracing=self.tracing,
            send=self._send,
        )
        return Dispatcher(
            core=self.core,
            journal=self.journal,
            tracing=self.tracing,
            runner=runner,
            claimer=KeyClaims(
                store=store,
                incarnation=settings.incarnation,
                tasks=self.tasks,
                send=self._send,
                get_site_policy=self._get_site_policy,
            ),
            router=GatewayRouter(
                forwarder=self.forwarder,
                directory=self.directory,
                rng=Random(SystemRandom().getrandbits(64)),
                tasks=self.tasks,
                metrics=self.metrics,
                tracing=self.tracing,
                now=asyncio.get_running_loop().time,
            ),
            demand=self,
        )

    def _get_site_policy(self) -> SitePolicy:
        configuration = self.dispatcher.configuration
        return SitePolicy() if configuration is None else configuration.site

    def _send(self, event: DispatchEvent) -> None:
        self.dispatcher.send(event)

    def _handle_peer_report(self, report: EngineReport) -> None:
        self.dispatcher.send(EngineReported(report=report))
        if self._upstream_log.find_incarnation(report.upstream) != report.incarnation:
            self.tasks.async_start(self._async_describe(report.upstream))

    async def _async_describe(self, upstream: UpstreamId) -> None:
        address = self.dispatcher.upstreams.get(upstream)
        if address is None:
            return
        try:
            self.async_handle_description(
                await self.engines.async_describe(address.address)
            )
        except MangowayError as error:
            log_event(ReportFailed(upstream_id=upstream, error=str(error)))

    def _assign_engines(self) -> None:
        """Poll only this gateway's share of the engines."""
        live = self.directory.list_live(ProcessRole.GATEWAY)
        names = [each.incarnation for each in live]
        own = self.settings.incarnation
        self.poller.async_set_engines(
            each
            for each in self.dispatcher.upstreams.values()
            if each.kind is UpstreamKind.ENGINE
            and is_chosen(own, names, each.id, POLLERS_PER_ENGINE)
        )


def _log_failed_task(error: BaseException) -> None:
    log_event(TaskFailed(task="gateway", error=repr(error)))
