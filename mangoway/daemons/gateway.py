"""The process `mangoway gateway`."""

import asyncio
import sys
import time
from random import Random, SystemRandom

from attrs import define, field

from ..host_list.listing import HostList, HostListing
from ..host_list.poller import HostListPoller
from ..host_list.registry import make_host_list
from ..key_value.registry import make_key_value_store
from ..key_value.store import KeyValueStore
from ..models.member import Member, ProcessRole
from ..observability import events as log
from ..observability.event_log import log_event, start_log
from ..observability.library_log import capture_library_logs
from ..observability.metrics import Metrics
from ..peers.network import PeerNetwork
from ..policy.membership.core import MembershipCore
from ..policy.membership.events import ListedHost
from ..settings.process import GatewaySettings
from ..util.collector import freeze_startup_objects
from ..util.signals import StopSignals
from .const import EXIT_CUT_OFF, EXIT_IDLE
from .gateway_node import GatewayNode, NodeSettings
from .gateway_status import GatewayStatus
from .gateway_stop import PlannedStop, StopOutcome


def run(settings: GatewaySettings) -> None:
    """Run a gateway until a signal stops it.

    Exits with 0 if it was idle when it ended, and with 1 if it interrupted requests.
    """
    stop_log = start_log(
        settings.log_level, host=settings.host, role=ProcessRole.GATEWAY.value
    )
    capture_library_logs()
    try:
        outcome = asyncio.run(async_run(settings))
    finally:
        stop_log()
    sys.exit(EXIT_IDLE if outcome is StopOutcome.IDLE else EXIT_CUT_OFF)


async def async_run(settings: GatewaySettings) -> StopOutcome:
    """Run a gateway on the running loop until a signal stops it.

    Raises:
        SettingError: If a setting names an adapter that does not exist.
        OSError: If an address can't be listened on.
    """
    metrics = Metrics()
    store = make_key_value_store(settings, metrics)
    process = GatewayProcess(settings, store, metrics)
    signals = StopSignals(process.force)
    signals.async_listen()
    outcome = StopOutcome.FORCED
    try:
        await process.async_start()
        freeze_startup_objects()
        outcome = await process.async_leave(await signals.async_wait())
    finally:
        await process.async_stop(force=outcome is not StopOutcome.IDLE)
        store.close()
    return outcome


@define(eq=False)
class GatewayProcess:
    """A gateway with its peer network, host list and planned stop."""

    settings: GatewaySettings
    store: KeyValueStore
    metrics: Metrics
    node: GatewayNode = field(init=False)
    network: PeerNetwork = field(init=False)
    stop: PlannedStop = field(init=False)
    _host_list: HostList | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        node_settings = NodeSettings(
            host=settings.host,
            data_centre=settings.data_centre,
            max_body_bytes=settings.max_body_bytes,
            trace_sample_ratio=settings.trace_sample_ratio,
            log_spans=settings.log_spans,
        )
        self.node = GatewayNode(node_settings, self.store, self.metrics)
        self.network = self._make_network()
        self.network.add_to(self.node.receivers)
        self.node.receivers.status = GatewayStatus(
            host=settings.host,
            own=node_settings.incarnation,
            directory=self.node.directory,
            core=self.node.core,
            journal=self.node.journal,
            tracing=self.node.tracing,
        )
        self.stop = PlannedStop(
            node=self.node,
            announcer=self.network,
            deadline_s=settings.stop_deadline_s,
        )

    async def async_start(self) -> None:
        """Open the listeners and follow peers, the configuration and the host list.

        Raises:
            OSError: If an address can't be listened on.
        """
        settings = self.settings
        await self.node.async_start(settings.caller_listen, settings.peer_listen)
        self.network.async_start(settings.seeds)
        self._host_list = make_host_list(settings)
        if self._host_list is not None:
            poller = HostListPoller(
                self._host_list,
                period_s=settings.host_list_period_s,
                metrics=self.metrics,
                on_change=self._apply_host_list,
            )
            self.node.tasks.async_start(poller.async_run())
        log_event(
            log.ProcessStarted(
                incarnation=self.node.settings.incarnation,
                data_centre=settings.data_centre,
                peer_address=settings.peer_address,
                caller_address=settings.caller_address,
            )
        )

    def force(self) -> None:
        """End a stop without waiting for open requests."""
        self.stop.force()

    async def async_leave(self, signal_name: str) -> StopOutcome:
        """Run the planned stop; the site policy may shorten its deadline."""
        configuration = self.node.dispatcher.configuration
        if configuration is not None:
            site_s = configuration.site.stop_deadline_s
            self.stop.deadline_s = min(self.stop.deadline_s, site_s)
        return await self.stop.async_run(signal_name)

    async def async_stop(self, force: bool) -> None:
        """Stop all components."""
        self.network.async_stop()
        await self.node.async_stop(force)
        if self._host_list is not None:
            await self._host_list.async_close()

    def _make_network(self) -> PeerNetwork:
        rng = Random(SystemRandom().getrandbits(64))
        own = self._make_member()
        node = self.node
        return PeerNetwork(
            own=own,
            site=self.settings.site,
            membership_core=MembershipCore(own, rng),
            store=self.store,
            clients=node.clients,
            directory=node.directory,
            report_tracker=node.report_tracker,
            journal=node.journal,
            tasks=node.tasks,
            rng=rng,
            on_members=node.set_members,
            on_configuration=node.set_configuration,
        )

    def _make_member(self) -> Member:
        settings = self.settings
        return Member(
            host=settings.host,
            role=ProcessRole.GATEWAY,
            incarnation=self.node.settings.incarnation,
            started_at=time.time(),
            data_centre=settings.data_centre,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
        )

    def _apply_host_list(self, listing: HostListing) -> None:
        self.node.set_upstreams(listing.upstreams)
        self.network.async_update_hosts(
            ListedHost(peer_address=each.peer_address, leaving=each.leaving)
            for each in listing.processes
        )
