"""The process `mangoway scheduler`."""

import asyncio
from random import Random
from typing import Final

from attrs import define, field

from ..coordination.absence import AbsentEdges
from ..coordination.leadership import Leadership
from ..coordination.statement_maintainer import StatementMaintainer
from ..models.fleet import Role
from ..models.signals import LeavingReport, RunnerSignals
from ..observability import fleet_events as log
from ..observability.event_log import log_event
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
from ..policy.scheduling.state import SchedulingState
from ..scheduling.messages import Message
from ..scheduling.server import SchedulerServer
from ..settings.fleet import SchedulerSettings
from ..util.collector import exempt_start
from ..util.ticks import async_sleep_to_tick
from .fleet_process import (
    FleetProcess,
    listen_for_signals,
    open_address,
    run_process,
)
from .order_sender import OrderSender
from .report_reader import ReportReader

FENCED_ORDER_DELAY_S: Final = 0.5
"""Time after a change of holder before it orders where runners check fence numbers:
an order of the one before is refused by each runner that the new one has ordered, so
that the wait only has to cover orders that are on their way."""

SUMMARY_S: Final = 2.0
"""Time between two summaries in the log: a line a second at two services."""

DESCRIBED_CUSTOMERS: Final = 8
"""Customers in one summary, to bound the length of its line."""

STOP_MARGIN_S: Final = 1.8
"""Time before the end of the grace at which a scheduler stops leading at the latest:
the call that ends its lease takes up to 1.2 s."""

LEAD_CHECK_S: Final = 0.05
"""Time between two looks at whether this process leads."""


def run(settings: SchedulerSettings) -> None:
    """Run a scheduler until a signal stops it."""
    run_process(settings, Role.SCHEDULER, async_run(settings))


async def async_run(settings: SchedulerSettings) -> None:
    """Run a scheduler on the running loop until a signal stops it."""
    scheduler = SchedulerProcess(settings)
    signals = listen_for_signals(lambda: None)
    await scheduler.async_start()
    exempt_start()
    await scheduler.async_leave(await signals.async_wait())


@define(eq=False)
class SchedulerProcess:
    """A scheduler: one leads, the others stand by."""

    settings: SchedulerSettings
    process: FleetProcess = field(init=False)
    leadership: Leadership = field(init=False)
    server: SchedulerServer = field(init=False)
    absent: AbsentEdges = field(init=False)
    statement_maintainer: StatementMaintainer = field(init=False)
    orders: OrderSender = field(init=False)
    reports: ReportReader = field(init=False)
    control: RunnerControl = field(factory=RunnerControl, init=False)
    _led: bool = field(default=False, init=False)
    _began_at: float = field(default=-1e9, init=False)
    """When this process last began or ceased to grant places."""

    _stopping: bool = field(default=False, init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.process = FleetProcess(
            settings, Role.SCHEDULER, peer_address=settings.peer_listen
        )
        process = self.process
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
        )
        self.server = SchedulerServer(
            core=self._make_core(),
            clock=process.clock,
            is_leading=self._is_granting,
            send_order=lambda order: self.orders.give(order),
            mirror=process.mirror,
            get_retention_s=lambda: process.view.get_retention_s(process.clock()),
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
            may_read=lambda: self._led,
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
        self.server.on_edge_connection = self._note_edge
        self.server.on_statement = process.take_told
        self.server.on_leaving = process.view.record_leaving
        self.server.list_leaving = process.view.list_leaving
        process.leader_link.on_message = self._take_passed_on
        self.control.on_signals = self._note_signals
        process.mirror.follower = self.server.feed
        process.view.on_change.append(self._note_view)

    async def async_start(self) -> None:
        """Listen for edges and follow the store.

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
            self._async_follow_lead,
            self.reports.async_run,
            self._async_sum_up,
        ):
            process.keep_running(run_task)

    async def async_leave(self, signal: str) -> None:
        """Give the lead up and end."""
        began = self.process.clock()
        self._stopping = True
        log_event(log.NodeStopping(signal=signal, in_progress=0))
        await self._async_outlast_outage(began + self.settings.grace_s - STOP_MARGIN_S)
        self.leadership.stop()
        await self.process.presence.async_leave()
        self.server.stop()
        await self.process.async_stop()
        self.control.client.pool.close()
        seconds = round(self.process.clock() - began, 3)
        log_event(log.NodeStopped(in_progress=0, after_s=seconds))

    async def _async_outlast_outage(self, last: float) -> None:
        """Lead on while the store can't give the lead to another, up to a time."""
        while self.process.clock() < last:
            if self.leadership.fence is None or not self.process.presence.failing:
                return
            await asyncio.sleep(LEAD_CHECK_S)

    def _make_core(self) -> SchedulingCore:
        settings = self.settings
        quotas = QuotaTracker(slack=settings.quota_slack, starts_full=False)
        quotas.begin(self.process.clock())
        state = SchedulingState(random=Random(), quotas=quotas)
        state.limits.get_share = lambda runner_id: quotas.share
        return SchedulingCore(state, _log_health)

    def _note_view(self) -> None:
        view = self.process.view
        if view.table is not None:
            fleet = FleetUpdated(table=view.table, runners=view.list_open_runners())
            self.server.handle(fleet)

    def _take_passed_on(self, message: Message) -> None:
        """Take what the leader passes on while this process stands by."""
        if isinstance(message, LeavingReport):
            self.server.handle_leaving(message)

    def _note_signals(self, runner_id: str, signals: RunnerSignals) -> None:
        """Take what a runner says in the answer to a report or an order."""
        entry = self.process.view.runners.get(runner_id)
        if entry is None:
            return
        if signals.leaving:
            said = LeavingReport(runner_id=runner_id, started_ms=entry.started_ms)
            self.server.handle_leaving(said)
        if signals.limit is not None:
            # Only answers to requests end a limit: reports may not name it.
            limit = LimitReport(
                runner_id=runner_id,
                started_ms=entry.started_ms,
                limit=signals.limit,
                request_age_s=0.0,
                response_age_s=0.0,
            )
            self.server.handle_limit(limit)

    def _is_granting(self) -> bool:
        """Return whether edges are to ask this process: it leads, or stands in."""
        return self.leadership.is_granting or self._stands_in()

    def _stands_in(self) -> bool:
        """Return whether edges came here that have lost the leader, as this has.

        It grants places and gives no orders: that takes the leader's key. Without it
        each edge would choose alone until the leader's lease ends, and with many edges
        even one request from each overfills a runner.
        """
        if self._stopping or self.server.edge_count == 0:
            return False
        process = self.process
        return process.view.table is not None and not process.leader_link.leading

    def _measure_share(self) -> float:
        """Return the part of each quota that this process grants.

        It is that of the edges which it hears: others may ask another scheduler, or
        choose alone.
        """
        if self.process.clock() < self._began_at + SCHEDULER_STARTUP_S:
            return 1.0
        heard = self.server.edge_count
        members = self.process.view.members.values()
        known = sum(1 for each in members if each.role is Role.EDGE)
        return max(1, heard) / known if heard < known else 1.0

    def _note_edge(self, incarnation: str, connected: bool) -> None:
        if connected:
            self.absent.record_reconnected(incarnation)
        else:
            self.absent.record_disconnected(incarnation)

    async def _async_follow_lead(self) -> None:
        """Tell the core and the edges when this process begins or ceases to lead."""
        while True:
            leading = self._is_granting()
            # Without edges nothing is known of demand: another may lead by now.
            allowed = self.leadership.may_order and self.server.edge_count > 0
            self.server.handle(OrdersAllowed(allowed=allowed))
            if leading != self._led:
                self._led = leading
                self._began_at = self.process.clock()
                self.server.send_heartbeats()
            self.server.core.state.quotas.share = self._measure_share()
            await async_sleep_to_tick(LEAD_CHECK_S)

    async def _async_sum_up(self) -> None:
        """Log now and then where this process stands while it leads."""
        while True:
            await asyncio.sleep(SUMMARY_S)
            table = self.process.view.table if self._led else None
            services = table.services if table is not None else {}
            if table is not None and table.customers is not None:
                self._log_quotas()
            for name, profile in services.items():
                if profile.engine is not None:
                    self._log_summary(name)

    def _log_quotas(self) -> None:
        quotas = self.server.core.state.quotas
        balances = quotas.describe(DESCRIBED_CUSTOMERS, self.process.clock())
        share = round(quotas.share, 3)
        log_event(log.QuotasSummed(share=share, balances=tuple(balances)))

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
