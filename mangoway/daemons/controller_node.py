"""The components of one controller, without the process that runs them."""

import asyncio
import os
import time
from collections.abc import Iterable
from random import Random, SystemRandom

from attrs import define, field

from ..engines.control import EngineControl
from ..key_value.store import KeyValueStore
from ..models.identifiers import IncarnationId
from ..models.member import Member, ProcessRole
from ..models.upstream import UpstreamAddress, UpstreamKind
from ..observability.event_log import log_event
from ..observability.events import TaskFailed
from ..observability.journal import Journal
from ..observability.metrics import Metrics
from ..peers.client import PeerClients
from ..peers.directory import Directory
from ..peers.network import PeerNetwork
from ..peers.reports import ReportTracker
from ..peers.server import PeerReceivers, PeerServer, make_peer_limits
from ..policy.membership.core import MembershipCore
from ..policy.membership.events import ListedHost
from ..policy.placement.core import PlacementCore
from ..settings.process import ControllerSettings
from ..util.address import split_address
from ..util.loop_watch import async_watch_loop
from ..util.tasks import Tasks
from .const import INCARNATION_BYTES, LEAVE_PROPAGATION_S, STOP_CHECK_PERIOD_S
from .controller_metrics import ControllerGauges
from .controller_status import ControllerStatus
from .lease import LeaseHolder
from .placement_driver import PlacementDriver


@define(eq=False)
class ControllerNode:
    """The components of a controller; created on the event loop that runs it."""

    settings: ControllerSettings
    store: KeyValueStore
    metrics: Metrics
    own: Member = field(init=False)
    tasks: Tasks = field(init=False)
    clients: PeerClients = field(init=False)
    directory: Directory = field(init=False)
    placement: PlacementDriver = field(init=False)
    lease: LeaseHolder = field(init=False)
    network: PeerNetwork = field(init=False)
    server: PeerServer = field(init=False)
    gauges: ControllerGauges = field(init=False)
    _report_tracker: ReportTracker = field(factory=ReportTracker, init=False)
    _journal: Journal = field(factory=Journal, init=False)
    _lease_task: "asyncio.Task[None] | None" = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.own = make_member(self.settings)
        self.tasks = Tasks(_log_failed_task)
        self.clients = PeerClients()
        self.directory = Directory(self.own.incarnation)
        self.placement = self._make_placement()
        self.gauges = ControllerGauges(
            metrics=self.metrics,
            core=self.placement.core,
            directory=self.directory,
            clock=asyncio.get_running_loop().time,
        )
        self.lease = LeaseHolder(
            store=self.store,
            cell=self.settings.cell,
            owner=self.own.incarnation,
            ttl_s=self.settings.lease_s,
            on_gained=self.placement.async_start_planning,
            on_lost=self.placement.async_stop_planning,
        )
        self.network = self._make_network()
        limits = make_peer_limits(self.metrics)
        self.server = PeerServer(self._make_receivers(), limits)

    async def async_start(self) -> None:
        """Listen for peers, follow the configuration and request the lease.

        Raises:
            OSError: If the address can't be listened on.
        """
        await self.server.async_start(*split_address(self.settings.peer_listen))
        self.network.async_start(self.settings.seeds)
        self.placement.async_start()
        self.tasks.async_start(async_watch_loop(self.metrics))
        self._lease_task = self.tasks.async_start(self.lease.async_run())

    def async_update_hosts(
        self, upstreams: Iterable[UpstreamAddress], hosts: Iterable[ListedHost]
    ) -> None:
        """Update the runners and processes from the host list."""
        runners = tuple(
            upstream for upstream in upstreams if upstream.kind is UpstreamKind.ENGINE
        )
        self._report_tracker.retain(frozenset(runner.id for runner in runners))
        self.placement.async_set_runners(runners)
        self.network.async_update_hosts(hosts)

    async def async_leave(self, deadline_s: float) -> bool:
        """Release the lease and wait for orders in progress.

        Orders that were sent are waited for, since their answers free memory that
        would otherwise stay reserved for long. Returns False if the deadline passed
        first.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + deadline_s
        if self._lease_task is not None:
            self._lease_task.cancel()
        await self.lease.async_release()
        self.network.async_announce(None)
        propagated_at = min(loop.time() + LEAVE_PROPAGATION_S, ends_at)
        while loop.time() < propagated_at or self.placement.orders_in_progress:
            if loop.time() >= ends_at:
                return False
            await asyncio.sleep(STOP_CHECK_PERIOD_S)
        return True

    async def async_stop(self) -> None:
        """Stop all components; orders still in progress are interrupted."""
        self.placement.async_stop()
        self.network.async_stop()
        await self.tasks.async_cancel()
        await self.server.async_stop()
        self.clients.close()

    def _make_placement(self) -> PlacementDriver:
        return PlacementDriver(
            core=PlacementCore(self.own.incarnation),
            cell=self.settings.cell,
            store=self.store,
            engines=EngineControl(asyncio.get_running_loop().time),
            journal=self._journal,
            metrics=self.metrics,
            tasks=self.tasks,
        )

    def _make_network(self) -> PeerNetwork:
        rng = Random(SystemRandom().getrandbits(64))
        return PeerNetwork(
            own=self.own,
            site=self.settings.site,
            membership_core=MembershipCore(self.own, rng),
            store=self.store,
            clients=self.clients,
            directory=self.directory,
            report_tracker=self._report_tracker,
            journal=self._journal,
            tasks=self.tasks,
            rng=rng,
            on_members=lambda _: None,
            on_configuration=self.placement.async_apply_configuration,
        )

    def _make_receivers(self) -> PeerReceivers:
        receivers = PeerReceivers(demand=self.placement)
        receivers.status = ControllerStatus(
            cell=self.settings.cell,
            host=self.own.host,
            own=self.own.incarnation,
            directory=self.directory,
            placement=self.placement,
            journal=self._journal,
            clock=asyncio.get_running_loop().time,
        )
        self.network.add_to(receivers)
        return receivers


def make_member(settings: ControllerSettings) -> Member:
    """Return the member entry of this process at its start."""
    return Member(
        host=settings.host,
        role=ProcessRole.CONTROLLER,
        incarnation=IncarnationId(os.urandom(INCARNATION_BYTES).hex()),
        started_at=time.time(),
        data_centre=settings.data_centre,
        peer_address=settings.peer_address,
        caller_address=None,
    )


def _log_failed_task(error: BaseException) -> None:
    log_event(TaskFailed(task="controller", error=repr(error)))
