"""The process `mangoway edge`."""

import asyncio
from random import Random
from typing import Final

from attrs import define, field

from ..coordination.clearance_writer import ClearanceWriter
from ..coordination.crash_reporter import CrashReporter
from ..coordination.era_marker import EraMarker
from ..coordination.version_recorder import VersionRecorder
from ..edge.admission import Admission
from ..edge.caller_memory import make_response_memory
from ..edge.const import MAX_IDLE_PER_RUNNER, RETRY_AFTER_STOP_S, STOPPING_REASON
from ..edge.crash_detector import CrashDetector
from ..edge.crash_filter import CrashFilter
from ..edge.forwarder import Forwarder
from ..edge.listener_log import ListenerLog
from ..edge.pages import DirectoryPage, ReadyPage
from ..edge.peer_datagrams import PeerDatagrams
from ..edge.plain_grant_provider import PlainGrantProvider
from ..edge.relay import PeerRelay
from ..edge.request_log import log_unread
from ..edge.responses import make_error_response
from ..edge.retry_budgets import RetryBudgets
from ..edge.runner_connector import RunnerConnector
from ..edge.signal_tracker import SignalTracker
from ..edge.startup import StartupCheck
from ..edge.stream_origins import StreamOrigins
from ..http1.connection_pool import ConnectionPool
from ..http1.server import async_listen
from ..http1.server_options import ServerOptions
from ..models.crash import RequestIdentity
from ..models.fleet import Role
from ..models.routing import CallerLimits
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.failures import log_failure
from ..platform.documents import OWN_PREFIX
from ..policy.connections import ConnectionTable
from ..policy.crashes.probing import choose_prober
from ..policy.customers.quota import QuotaTracker
from ..policy.edge.const import MEMBERS_POLL_S, SHARE_HORIZON_WINDOWS
from ..policy.edge.relaying import RelayPeers
from ..policy.edge.retry_budget import RetryLimits
from ..policy.edge.shares import DisconnectedShare, FleetShare
from ..policy.edge.stopping import StopSchedule
from ..policy.edge.version_records import choose_edge_delay_s
from ..policy.scheduling.core import SchedulingCore
from ..policy.scheduling.events import FleetUpdated
from ..policy.scheduling.state import SchedulingState
from ..scheduling.client import SchedulerClient
from ..scheduling.local_grant_provider import LocalGrantProvider
from ..scheduling.messages import RelayedStatement
from ..settings.fleet import EdgeSettings
from ..util.clock import read_boot_clock
from ..util.collector import freeze_startup_objects
from ..util.ticks import async_sleep_to_tick
from .fleet_process import (
    FleetProcess,
    listen_for_signals,
    make_features,
    open_address,
    run_process,
)

SUMMARY_PERIOD_S: Final = 2.0
"""Interval between two summaries of the retry budgets in the log."""

SWEEP_PERIOD_S: Final = 0.5
"""Interval between two sweeps of idle connections to runners."""

STOP_ACCEPT_S: Final = 3.4
"""Time for which a stopping edge still accepts requests: callers keep an address for up
to three times the 1 s that the directory states."""

STOP_MARGIN_S: Final = 0.6
"""Time before the end of the grace period at which remaining requests are aborted."""

PAGE_LIMITS: Final = CallerLimits(max_body_bytes=4096)
"""Limits of requests for the directory and for readiness, which need no body."""

MS_PER_S: Final = 1000.0
STOP_CHECK_PERIOD_S: Final = 0.05

REJECT_BEFORE_END_S: Final = 2.5
"""Time before the end of a stop at which requests that still wait for a runner are
rejected: an answer takes about two seconds, and callers must be able to retry at
another edge before their deadline."""


def run(settings: EdgeSettings) -> None:
    """Run an edge until a signal stops it."""
    run_process(settings, Role.EDGE, async_run(settings))


async def async_run(settings: EdgeSettings) -> None:
    """Run an edge on the running loop until a signal stops it."""
    edge = EdgeProcess(settings)
    signals = listen_for_signals()
    await edge.async_start()
    freeze_startup_objects()
    await edge.async_leave(await signals.async_wait())


@define(eq=False)
class EdgeProcess:
    """An edge with its listeners and background tasks."""

    settings: EdgeSettings
    process: FleetProcess = field(init=False)
    client: SchedulerClient = field(init=False)
    reporter: CrashReporter = field(init=False)
    clearance_writer: ClearanceWriter = field(init=False)
    era_marker: EraMarker = field(init=False)
    admission: Admission = field(init=False)
    startup: StartupCheck = field(init=False)
    retry_budgets: RetryBudgets = field(init=False)
    signal_tracker: SignalTracker = field(init=False)
    stream_origins: StreamOrigins = field(init=False)
    version_recorder: VersionRecorder = field(init=False)
    datagrams: PeerDatagrams = field(init=False)
    disconnected_share: DisconnectedShare = field(factory=DisconnectedShare, init=False)
    forwarder: Forwarder = field(init=False)
    callers: ServerOptions = field(init=False)
    pages: list[ServerOptions] = field(factory=list, init=False)
    listener_logs: list[ListenerLog] = field(factory=list, init=False)
    _random: Random = field(factory=Random, init=False)
    _servers: list[asyncio.AbstractServer] = field(factory=list, init=False)
    _started_at: float = field(default=0.0, init=False)
    _stopping: bool = field(default=False, init=False)
    _ready_logged: bool = field(default=False, init=False)
    _fleet_changed: bool = field(default=False, init=False)
    """Whether the local grant provider has yet to receive the current fleet."""

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        peer_address = settings.datagram_listen or settings.caller_listen
        self.process = FleetProcess(
            settings,
            Role.EDGE,
            peer_address=peer_address,
            caller_address=settings.caller_listen,
        )
        self.client = self._make_client()
        self.signal_tracker = self._make_signal_tracker()
        self.retry_budgets = RetryBudgets(
            limits=RetryLimits(
                ratio=settings.retry_ratio,
                slack=settings.retry_slack,
                window_s=settings.retry_window_s,
            ),
            share=FleetShare(SHARE_HORIZON_WINDOWS * settings.retry_window_s),
            clock=self.process.clock,
            boot_clock=read_boot_clock,
        )
        self.reporter = CrashReporter(
            self.process.store, OWN_PREFIX, self._send_statement
        )
        self.clearance_writer = ClearanceWriter(
            self.reporter, self.process.mirror, self.process.crashes, OWN_PREFIX
        )
        self.era_marker = EraMarker(
            store=self.process.store,
            mirror=self.process.mirror,
            may_write=self._is_first_without_scheduler,
        )
        self.admission = Admission(
            view=self.process.view,
            measure_age=self.process.mirror.measure_operator_age,
            revoke_s=settings.revoke_ms / MS_PER_S if settings.revoke_closed else None,
            may_lack_writes=self.process.mirror.restores.may_lack_writes,
        )
        self.startup = StartupCheck(
            mirror=self.process.mirror,
            has_scheduler_state=lambda: self.process.leader_link.has_current_state,
            clock=self.process.clock,
        )
        self.stream_origins = StreamOrigins(
            incarnation=self.process.incarnation,
            data_centre=settings.data_centre,
            address=peer_address,
            view=self.process.view,
            metrics=self.process.metrics,
            clock=self.process.clock,
            measure_age=self.process.mirror.measure_certain_age,
        )
        self.version_recorder = VersionRecorder(
            store=self.process.store,
            mirror=self.process.mirror,
            view=self.process.view,
            clock=self.process.clock,
            prefix=OWN_PREFIX,
            choose_delay_s=self._choose_record_delay_s,
            history=self.stream_origins.history,
        )
        self.datagrams = PeerDatagrams(self.stream_origins.handle_datagram)
        self.stream_origins.send = self.datagrams.send
        self.forwarder = self._make_forwarder()
        self.callers = ServerOptions(
            handle=self.forwarder.async_handle,
            limits=self._get_limits,
            reject=make_error_response,
            on_error=log_failure,
            on_rejected=log_unread,
            memory=make_response_memory(self.process.metrics),
            table=ConnectionTable(self.process.connection_limits.callers),
        )
        self._make_listener_log("callers").add_to(self.callers)
        self.process.view.on_change += [
            self._handle_view_change,
            self.stream_origins.handle_view_change,
            self.version_recorder.handle_view_change,
        ]

    async def async_start(self) -> None:
        """Open the listeners and follow the store and the scheduler.

        Raises:
            OSError: If an address can't be listened on.
        """
        settings = self.settings
        self._started_at = self.process.clock()
        directory = DirectoryPage(self.process.view, self._random)
        ready = ReadyPage(lambda: self.is_ready)
        limits = self.process.connection_limits
        for name, address, handle, limit in (
            (
                "directory",
                settings.directory_listen,
                directory.async_handle,
                limits.directory,
            ),
            ("ready", settings.ready_listen, ready.async_handle, limits.ready),
        ):
            options = ServerOptions(
                handle,
                lambda: PAGE_LIMITS,
                make_error_response,
                log_failure,
                memory=self.callers.memory,
                responds_when_short=True,
                table=ConnectionTable(limit),
            )
            self._make_listener_log(name).add_to(options)
            self.pages.append(options)
            self._servers.append(await async_listen(options, open_address(address)))
        await self.datagrams.async_listen(
            settings.datagram_listen or settings.caller_listen
        )
        listener = open_address(settings.caller_listen)
        self._servers.insert(0, await async_listen(self.callers, listener))
        addresses = (
            settings.caller_listen,
            settings.directory_listen,
            settings.ready_listen,
        )
        await self.process.async_start(addresses)
        self.process.keep_running(self.reporter.async_run)
        self.process.keep_running(self.clearance_writer.async_run)
        self.process.keep_running(self.version_recorder.async_run)
        self.process.keep_running(self.era_marker.async_run)
        self.process.keep_running(self._async_sweep)
        self.process.keep_running(self._async_update_shares)
        self.process.keep_running(self._async_log_summaries)

    @property
    def is_ready(self) -> bool:
        """Return whether the edge accepts new callers."""
        if self._stopping or self.process.view.table is None:
            return False
        return self.startup.is_done() and self.admission.is_current()

    async def async_leave(self, signal: str) -> None:
        """Leave the directory, finish open requests and stop in the grace period."""
        began_at = self.process.clock()
        self._stopping = True
        finish_by = began_at + self.settings.grace_s - STOP_MARGIN_S
        self.forwarder.stop_schedule = StopSchedule(
            began_at=began_at, finish_by=finish_by
        )
        self.callers.closing = True
        log_event(log.NodeStopping(signal=signal, in_progress=self.callers.busy))
        self.process.tasks.async_start(self.process.presence.async_leave())
        await self._async_finish(began_at + STOP_ACCEPT_S, self.forwarder.stop_schedule)
        unfinished = self.callers.busy
        for server in self._servers:
            server.close()
        # Complete responses that the kernel holds still reach their callers.
        self.callers.close_idle()
        await asyncio.sleep(0)
        self.callers.abort()
        self.datagrams.close()
        await self.process.async_stop()
        seconds = round(self.process.clock() - began_at, 3)
        log_event(log.NodeStopped(in_progress=unfinished, after_s=seconds))

    async def _async_finish(self, accept_until: float, schedule: StopSchedule) -> None:
        while (now := self.process.clock()) < schedule.finish_by:
            is_idle = not self.callers.busy and not self.callers.undelivered
            if now >= accept_until and is_idle:
                return
            if now >= schedule.answer_at:
                self.forwarder.end_unanswered()
            if now >= schedule.finish_by - REJECT_BEFORE_END_S:
                self.client.reject_waiting(STOPPING_REASON, RETRY_AFTER_STOP_S)
            if now >= accept_until:
                # No callers are expected any more; requests already being read are
                # still answered.
                self._servers[0].close()
                self.callers.close_idle()
            await asyncio.sleep(STOP_CHECK_PERIOD_S)

    def _make_listener_log(self, listener: str) -> ListenerLog:
        log = ListenerLog(listener, self.process.metrics)
        self.listener_logs.append(log)
        return log

    def _make_client(self) -> SchedulerClient:
        state = SchedulingState(
            random=self._random,
            quotas=QuotaTracker(slack=self.settings.quota_slack),
            features=make_features(self.settings),
        )
        core = SchedulingCore(state)
        process = self.process
        local = LocalGrantProvider(
            core, process.incarnation, process.clock, self._read_fleet
        )
        return SchedulerClient(process.leader_link, local, process.incarnation)

    def _make_signal_tracker(self) -> SignalTracker:
        limits = self.client.local.core.state.limits
        limits.get_share = self.disconnected_share.measure
        tracker = SignalTracker(
            metrics=self.process.metrics,
            limits=limits,
            clock=self.process.clock,
            view=self.process.view,
            edge=self.process.incarnation,
            cooldowns=self.client.local.core.state.cooldowns,
            report_signal=self.client.report_signal,
        )
        self.client.on_limit = tracker.handle_relayed_limit
        self.client.on_leaving = tracker.handle_relayed_leaving
        self.client.list_leaving = self.process.view.list_leaving
        self.client.list_limits = tracker.list_limits
        return tracker

    def _make_forwarder(self) -> Forwarder:
        process = self.process
        plain_grant_provider = PlainGrantProvider(
            data_centre=self.settings.data_centre,
            view=process.view,
            clock=process.clock,
            random=self._random,
            scheduler=self.client.plain,
        )
        crash_filter = CrashFilter(
            edge=process.incarnation,
            tracker=process.crashes,
            statement_sender=self.clearance_writer,
            clock=process.clock,
            is_prober=self._is_prober,
        )
        pool = ConnectionPool(MAX_IDLE_PER_RUNNER)
        connector = RunnerConnector(
            view=process.view,
            metrics=process.metrics,
            pool=pool,
            clock=process.clock,
            random=self._random,
            start_task=process.tasks.async_start,
        )
        return Forwarder(
            data_centre=self.settings.data_centre,
            incarnation=process.incarnation,
            view=process.view,
            grant_provider=self.client,
            plain_grant_provider=plain_grant_provider,
            retry_budgets=self.retry_budgets,
            admission=self.admission,
            pool=pool,
            connector=connector,
            relay=PeerRelay(
                view=process.view,
                peers=RelayPeers(
                    process.incarnation, self.settings.data_centre, self._random
                ),
                metrics=process.metrics,
                clock=process.clock,
            ),
            metrics=process.metrics,
            crash_detector=CrashDetector(
                view=process.view,
                metrics=process.metrics,
                clock=process.clock,
                start_task=process.tasks.async_start,
                async_has_reach=connector.async_has_reach,
                on_crash=crash_filter.record_crash,
            ),
            crash_filter=crash_filter,
            signal_tracker=self.signal_tracker,
            stream_origins=self.stream_origins,
            random=self._random,
            start_task=process.tasks.async_start,
            uses_backups=self.settings.stream_backups,
            drain_s=self.settings.drain_ms / MS_PER_S,
            may_use_configuration=self.startup.is_done,
        )

    def _send_statement(self, key: str, value: bytes) -> bool:
        return self.process.leader_link.send_statement(
            RelayedStatement(key=key, value=value)
        )

    def _handle_view_change(self) -> None:
        """Handle a change of the fleet.

        The first configuration makes the edge ready.
        """
        table = self.process.view.table
        if table is None:
            return
        self._fleet_changed = True
        if not self._ready_logged:
            self._become_ready(table.version)

    def _read_fleet(self) -> FleetUpdated | None:
        """Return the fleet for the local grant provider, or None if it is unchanged."""
        view = self.process.view
        if view.table is None or not self._fleet_changed:
            return None
        self._fleet_changed = False
        state = self.client.local.core.state
        state.limit_scale = 1 / max(1, self._count_edges())
        state.quotas.share = state.limit_scale
        return FleetUpdated(table=view.table, runners=view.list_open_runners())

    def _become_ready(self, version: int) -> None:
        """Log that the edge can serve, and announce it."""
        self._ready_logged = True
        after_s = round(self.process.clock() - self._started_at, 3)
        log_event(log.NodeReady(version=version, after_s=after_s))
        self.process.keep_running(self.process.presence.async_run)

    def _count_edges(self) -> int:
        return len(self._list_edges())

    def _list_edges(self) -> list[str]:
        """Return the keys of the announced edges."""
        members = self.process.view.members.items()
        return [key for key, each in members if each.role is Role.EDGE]

    def _choose_record_delay_s(self) -> float:
        """Return for how long this edge leaves records of versions to others."""
        own = OWN_PREFIX + self.process.presence.member.key
        return choose_edge_delay_s(own, self._list_edges())

    def _is_first_without_scheduler(self) -> bool:
        """Return whether this edge does what a leader would do if there were one."""
        members = self.process.view.members.values()
        if any(each.role is Role.SCHEDULER for each in members):
            return False
        own = OWN_PREFIX + self.process.presence.member.key
        return own == min(self._list_edges(), default="")

    def _is_prober(self, shared: RequestIdentity) -> bool:
        """Return whether this edge probes a blocked property of requests."""
        own = OWN_PREFIX + self.process.presence.member.key
        return choose_prober(shared, self._list_edges()) == own

    def _get_limits(self) -> CallerLimits:
        table = self.process.view.table
        return CallerLimits() if table is None else table.limits

    async def _async_sweep(self) -> None:
        while True:
            await async_sleep_to_tick(SWEEP_PERIOD_S)
            self.forwarder.pool.sweep(self.process.clock())
            self.forwarder.relay.pool.sweep(self.process.clock())
            self.forwarder.transfers.client.pool.sweep(self.process.clock())
            self.forwarder.plain_grant_provider.forget_removed_runners()
            self.signal_tracker.keep_only(set(self.process.view.runners))
            self.stream_origins.update()
            for each in self.listener_logs:
                each.update_levels()

    async def _async_update_shares(self) -> None:
        """Update this edge's shares of fleet-wide limits from the announced edges."""
        process = self.process
        own = OWN_PREFIX + process.presence.member.key
        self.retry_budgets.share.own = own
        while True:
            edges = self._list_edges()
            self.disconnected_share.update(own, edges)
            self.retry_budgets.share.update(
                edges,
                known_at=self.process.mirror.known_at,
                now=read_boot_clock(),
                joined=self.process.is_announced(),
            )
            await async_sleep_to_tick(MEMBERS_POLL_S)

    async def _async_log_summaries(self) -> None:
        while True:
            await async_sleep_to_tick(SUMMARY_PERIOD_S)
            self.retry_budgets.log_summary()
