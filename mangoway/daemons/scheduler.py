"""The process `mangoway scheduler`."""

import asyncio
from math import inf
from random import Random
from typing import Final

from attrs import define, field

from ..coordination.absence import AbsentEdges
from ..coordination.era_marker import EraMarker
from ..coordination.leadership import Leadership
from ..coordination.statement_maintainer import StatementMaintainer
from ..coordination.version_recorder import VersionRecorder
from ..models.fleet import Role
from ..models.routing import RoutingTable
from ..models.signals import LeavingReport, RunnerSignals
from ..observability import fleet_events as log
from ..observability.connection_log import ConnectionLog
from ..observability.event_log import log_event
from ..observability.failures import log_failure
from ..platform.documents import OWN_PREFIX
from ..platform.runners import RunnerControl
from ..policy.customers.const import SCHEDULER_STARTUP_S
from ..policy.customers.quota import QuotaTracker
from ..policy.limits.tracker import LimitReport
from ..policy.scheduling.core import SchedulingCore
from ..policy.scheduling.events import (
    FleetUpdated,
    OrdersAllowed,
)
from ..policy.scheduling.memory_summary import summarize_memory
from ..policy.scheduling.protection import find_transferring
from ..policy.scheduling.runners import FinishedUnload
from ..policy.scheduling.state import SchedulingState
from ..scheduling.link_limits import LinkLimits
from ..scheduling.messages import Message
from ..scheduling.server import SchedulerServer
from ..settings.fleet import SchedulerSettings
from ..util.collector import freeze_startup_objects
from ..util.ticks import async_sleep_to_tick
from .fleet_process import (
    FleetProcess,
    listen_for_signals,
    make_features,
    open_address,
    run_process,
)
from .order_sender import OrderSender
from .pace_report import report_paces
from .report_reader import ReportReader
from .share_report import ShareReporter

FENCED_ORDER_DELAY_S: Final = 0.5
"""Delay of a new leader's first order where runners check fence numbers: a runner that
has received an order of the new leader rejects those of the previous one, so that the
delay only has to cover orders in transit."""

SUMMARY_PERIOD_S: Final = 2.0
"""Interval between two summaries in the log: one line per second with two services."""

DESCRIBED_CUSTOMERS: Final = 8
"""Maximum customers in one summary, which bounds the length of its line."""

STOP_MARGIN_S: Final = 1.8
"""Time before the end of the grace period at which a scheduler stops leading at the
latest: the call that ends its lease takes up to 1.2 s."""

LEAD_CHECK_PERIOD_S: Final = 0.05
"""Interval between two checks of whether this process leads."""


def run(settings: SchedulerSettings) -> None:
    """Run a scheduler until a signal stops it."""
    run_process(settings, Role.SCHEDULER, async_run(settings))


async def async_run(settings: SchedulerSettings) -> None:
    """Run a scheduler on the running loop until a signal stops it."""
    scheduler = SchedulerProcess(settings)
    signals = listen_for_signals()
    await scheduler.async_start()
    freeze_startup_objects()
    await scheduler.async_leave(await signals.async_wait())


@define(eq=False)
class SchedulerProcess:
    """A scheduler process; one of them leads, the others are standbys."""

    settings: SchedulerSettings
    process: FleetProcess = field(init=False)
    leadership: Leadership = field(init=False)
    server: SchedulerServer = field(init=False)
    absent: AbsentEdges = field(init=False)
    statement_maintainer: StatementMaintainer = field(init=False)
    version_recorder: VersionRecorder = field(init=False)
    era_marker: EraMarker = field(init=False)
    orders: OrderSender = field(init=False)
    reports: ReportReader = field(init=False)
    control: RunnerControl = field(factory=RunnerControl, init=False)
    _was_granting: bool = field(default=False, init=False)
    """Whether this process granted requests at the last check."""

    _granting_changed_at: float = field(default=-1e9, init=False)
    """Time at which this process last started or stopped granting requests."""

    _stopping: bool = field(default=False, init=False)
    _transferring: tuple[RoutingTable | None, frozenset[str]] = field(
        default=(None, frozenset()), init=False
    )
    """Configuration, and its services whose streams are transferred."""

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.process = FleetProcess(
            settings, Role.SCHEDULER, peer_address=settings.peer_listen
        )
        process = self.process
        peers_log = ConnectionLog("peers", process.metrics)
        self.leadership = Leadership(
            store=process.store,
            view=process.view,
            presence=process.presence,
            prefix=OWN_PREFIX,
            order_delay_s=(
                FENCED_ORDER_DELAY_S
                if settings.runners_check_fences
                else settings.order_delay_s
            ),
            runners_check_fences=settings.runners_check_fences,
            has_edges=lambda: self.server.edge_count > 0,
            find_item=lambda key: process.mirror.items.get(key),
        )
        self.server = SchedulerServer(
            core=self._make_core(),
            clock=process.clock,
            is_leading=self._is_granting,
            send_order=lambda order: self.orders.send(order),
            mirror=process.mirror,
            get_retention_s=lambda: process.view.get_retention_s(process.clock()),
            link_limits=LinkLimits(
                max_unnamed=process.connection_limits.unnamed_links,
                max_followers=process.connection_limits.followers,
                on_displaced=peers_log.record_displaced,
                on_rejected=peers_log.record_rejected,
            ),
        )
        self.orders = OrderSender(
            process, self.leadership, self.control, self.server.handle
        )
        self.reports = ReportReader(
            view=process.view,
            server=self.server,
            control=self.control,
            tasks=process.tasks,
            clock=process.clock,
            may_read=lambda: self._was_granting,
        )
        self.absent = AbsentEdges(
            store=process.store,
            mirror=process.mirror,
            view=process.view,
            clock=process.clock,
            may_remove=lambda: self.leadership.fence is not None,
        )
        self.statement_maintainer = StatementMaintainer(
            store=process.store,
            mirror=process.mirror,
            tracker=process.crashes,
            clock=process.clock,
            may_write=lambda: self.leadership.fence is not None,
            prefix=OWN_PREFIX,
        )
        self.version_recorder = VersionRecorder(
            store=process.store,
            mirror=process.mirror,
            view=process.view,
            clock=process.clock,
            prefix=OWN_PREFIX,
            choose_delay_s=lambda: inf if self.leadership.fence is None else 0.0,
        )
        self.era_marker = EraMarker(
            store=process.store,
            mirror=process.mirror,
            may_write=lambda: self.leadership.fence is not None,
        )
        self.server.list_absent = self.absent.list_absent
        self.server.plain.use_metrics(process.metrics)
        self.server.transfer_log.metrics = process.metrics
        self.server.on_edge_connection = self._handle_edge_connection
        self.server.on_statement = process.handle_statement
        self.server.on_leaving = process.view.record_leaving
        self.server.list_leaving = process.view.list_leaving
        process.leader_link.on_message = self._handle_leader_message
        self.control.on_signals = self._handle_signals
        process.mirror.follower = self.server.feed
        process.view.on_change += [
            self._handle_view_change,
            self.version_recorder.handle_view_change,
        ]

    async def async_start(self) -> None:
        """Listen for edges and start the background tasks.

        Raises:
            OSError: If an address can't be listened on.
        """
        process = self.process
        await self.server.async_start(open_address(self.settings.peer_listen))
        await process.async_start((self.settings.peer_listen,))
        for run_task in (
            process.presence.async_run,
            self.leadership.async_run,
            self.server.async_run,
            self.absent.async_run,
            self.statement_maintainer.async_run,
            self.version_recorder.async_run,
            self.era_marker.async_run,
            self._async_track_leadership,
            self.reports.async_run,
            self._async_log_summaries,
        ):
            process.keep_running(run_task)

    async def async_leave(self, signal: str) -> None:
        """Give up the leadership and stop."""
        began_at = self.process.clock()
        self._stopping = True
        log_event(log.NodeStopping(signal=signal, in_progress=0))
        await self._async_wait_for_store(
            began_at + self.settings.grace_s - STOP_MARGIN_S
        )
        self.leadership.stop()
        await self.process.presence.async_leave()
        self.server.stop()
        await self.process.async_stop()
        self.control.client.pool.close()
        seconds = round(self.process.clock() - began_at, 3)
        log_event(log.NodeStopped(in_progress=0, after_s=seconds))

    async def _async_wait_for_store(self, give_up_at: float) -> None:
        """Keep leading during a store outage, up to a time.

        The leadership can't be handed to another scheduler while the store is down.
        """
        while self.process.clock() < give_up_at:
            if self.leadership.fence is None or not self.process.presence.failing:
                return
            await asyncio.sleep(LEAD_CHECK_PERIOD_S)

    def _make_core(self) -> SchedulingCore:
        settings = self.settings
        quotas = QuotaTracker(slack=settings.quota_slack, starts_full=False)
        quotas.begin(self.process.clock())
        state = SchedulingState(
            random=Random(), quotas=quotas, features=make_features(settings)
        )
        state.limits.get_share = lambda runner_id: quotas.share
        return SchedulingCore(
            state, _log_health, _log_unload, on_plan_failed=log_failure
        )

    def _handle_view_change(self) -> None:
        view = self.process.view
        if view.table is not None:
            fleet = FleetUpdated(
                table=view.table,
                runners=view.list_open_runners(),
                leaving=view.list_leaving_runners(self._find_transferring(view.table)),
            )
            self.server.handle(fleet)

    def _find_transferring(self, table: RoutingTable) -> frozenset[str]:
        """Return the services whose streams are transferred, found once per table."""
        known_table, transferring = self._transferring
        if known_table is not table:
            features = self.server.core.state.features
            transferring = find_transferring(table, features)
            self._transferring = (table, transferring)
        return transferring

    def _handle_leader_message(self, message: Message) -> None:
        """Handle a message that the leader relays to this standby."""
        if isinstance(message, LeavingReport):
            self.server.handle_leaving(message)

    def _handle_signals(self, runner_id: str, signals: RunnerSignals) -> None:
        """Apply the signals in a runner's answer to a report request or an order."""
        entry = self.process.view.runners.get(runner_id)
        if entry is None:
            return
        if signals.leaving:
            report = LeavingReport(runner_id=runner_id, started_ms=entry.started_ms)
            self.server.handle_leaving(report)
        if signals.limit is not None:
            # An answer without a limit is ignored here: only answers to requests end a
            # limit, since reports may omit it.
            limit = LimitReport(
                runner_id=runner_id,
                started_ms=entry.started_ms,
                limit=signals.limit,
                request_age_s=0.0,
                response_age_s=0.0,
            )
            self.server.handle_limit(limit)

    def _is_granting(self) -> bool:
        """Return whether this process grants requests, as leader or as standby."""
        return self.leadership.is_granting or self._grants_without_lead()

    def _grants_without_lead(self) -> bool:
        """Return whether this standby grants requests, as the leader is unreachable.

        This holds while edges are connected and this process has no link to the leader.
        The standby sends no orders, since these require the leader's key. Without its
        grants each edge would choose runners on its own until the leader's lease ends,
        and with many edges even one request from each overloads a runner.
        """
        if self._stopping or self.server.edge_count == 0:
            return False
        process = self.process
        return process.view.table is not None and not process.leader_link.leading

    def _measure_share(self) -> float:
        """Return the share of each quota that this process grants.

        It is the share of the known edges that are connected to it: the others may use
        another scheduler, or choose runners on their own.
        """
        if self.process.clock() < self._granting_changed_at + SCHEDULER_STARTUP_S:
            return 1.0
        connected_edges = self.server.edge_count
        members = self.process.view.members.values()
        known_edges = sum(1 for each in members if each.role is Role.EDGE)
        return (
            max(1, connected_edges) / known_edges
            if connected_edges < known_edges
            else 1.0
        )

    def _handle_edge_connection(self, incarnation: str, connected: bool) -> None:
        if connected:
            self.absent.record_reconnected(incarnation)
        else:
            self.absent.record_disconnected(incarnation)

    async def _async_track_leadership(self) -> None:
        """Update the core and the edges when this process starts or stops granting."""
        while True:
            granting = self._is_granting()
            # Without connected edges the demand is unknown: another scheduler may
            # already lead.
            allowed = self.leadership.may_order and self.server.edge_count > 0
            self.server.handle(
                OrdersAllowed(
                    allowed=allowed,
                    may_load_from_store=self.leadership.may_load_from_store,
                )
            )
            if granting != self._was_granting:
                self._was_granting = granting
                self._granting_changed_at = self.process.clock()
                self.server.send_heartbeats()
            self.server.core.state.quotas.share = self._measure_share()
            await async_sleep_to_tick(LEAD_CHECK_PERIOD_S)

    async def _async_log_summaries(self) -> None:
        """Log summaries of quotas and placement periodically while granting."""
        reporter = ShareReporter(self.process.metrics)
        while True:
            await asyncio.sleep(SUMMARY_PERIOD_S)
            table = self.process.view.table if self._was_granting else None
            services = table.services if table is not None else {}
            if table is not None and table.customers is not None:
                self._log_quotas()
            for name, profile in services.items():
                if profile.engine is not None:
                    self._log_summary(name)
                    self._update_memory_gauge(name)
            if table is None:
                reporter.clear()
                continue
            for name, each in self.server.core.state.shares.items():
                reporter.report(name, each)
            report_paces(self.server.core.state, self.process.metrics)

    def _log_quotas(self) -> None:
        quotas = self.server.core.state.quotas
        balances = quotas.describe(DESCRIBED_CUSTOMERS, self.process.clock())
        share = round(quotas.share, 3)
        log_event(log.QuotasSummed(share=share, balances=tuple(balances)))

    def _update_memory_gauge(self, service: str) -> None:
        """Set the memory margins of a service whose memory is planned by lengths."""
        state = self.server.core.state
        if state.memory_estimator.applies(state.table, service):
            gauge = self.process.metrics.scheduler_kv_tokens
            for kind, level in summarize_memory(state.list_runners(service)).items():
                gauge.set(service, kind, level=level)

    def _log_summary(self, service: str) -> None:
        core = self.server.core
        models, runners = core.describe(service, self.process.clock())
        log_event(
            log.PlacementSummed(
                service=service,
                waiting=len(core.state.get_queue(service)),
                models=tuple(models),
                runners=tuple(runners),
            )
        )


def _log_health(runner_id: str, failures: int) -> None:
    if failures:
        log_event(
            log.RunnerAvoided(
                runner_id=runner_id, failures=failures, reason="failures in a row"
            )
        )
    else:
        log_event(log.RunnerTrusted(runner_id=runner_id))


def _log_unload(runner_id: str, unload: FinishedUnload) -> None:
    log_event(
        log.AdapterUnloadFinished(
            runner_id=runner_id,
            model=unload.model,
            adapter=unload.adapter,
            waited_s=round(unload.waited_s, 3),
        )
    )
