"""Common parts of edges and schedulers: the store, presence, metrics and signals."""

import asyncio
import secrets
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

from attrs import define, field

from ..coordination.crashes import StatementError, decode_statement
from ..coordination.era_marker import COMPLETE_ERA_KEY
from ..coordination.mirror import Mirror
from ..coordination.presence import EDGE_RENEW_S, RENEW_S, Presence
from ..coordination.store import NO_REVISION
from ..coordination.view import FleetView
from ..models.fleet import Member, Role
from ..observability import fleet_events as log
from ..observability.connection_log import ConnectionLog
from ..observability.event_log import log_event, start_log
from ..observability.failures import log_failure
from ..observability.library_log import capture_library_logs
from ..observability.metrics import Metrics
from ..platform.documents import OWN_PREFIX
from ..platform.receiver import StoreReceiver
from ..platform.store import PlatformStore
from ..policy.connections import ConnectionLimits, choose_limits
from ..policy.crashes.tracker import CrashTracker
from ..policy.scheduling.features import Features
from ..scheduling.leader_link import LeaderLink
from ..scheduling.messages import Hello, RelayedStatement
from ..settings.fleet import FleetSettings
from ..util.address import split_address
from ..util.clock import read_boot_clock
from ..util.descriptors import read_max_descriptors
from ..util.listener import open_listener
from ..util.signals import StopSignals
from ..util.tasks import Tasks
from ..util.ticks import async_sleep_to_tick
from .metrics_server import MetricsServer

EXPIRE_PERIOD_S: Final = 0.2
"""Interval between two checks for entries that vanished in an outage."""

MIN_LOGGED_PAUSE_S: Final = 0.5
"""Minimum delay of the event loop that is logged as a pause of the process."""

MS_PER_S: Final = 1000.0
RESTART_DELAY_S: Final = 0.5
"""Delay before a background task that failed is restarted."""


def make_features(settings: FleetSettings) -> Features:
    """Return the optional parts of the scheduling policy that the settings allow."""
    return Features(
        fair_shares=settings.fair_shares,
        stream_transfers=settings.stream_transfers,
        stream_backups=settings.stream_backups,
        runner_pace=settings.runner_pace,
        plain_grants=settings.plain_grants,
        placement_deferral=settings.placement_deferral,
        drain_s=settings.drain_ms / MS_PER_S,
    )


@define(eq=False)
class FleetProcess:
    """The store client, the view of the fleet, and the announcement of the process."""

    settings: FleetSettings
    role: Role
    peer_address: str = ""
    caller_address: str = ""
    metrics: Metrics = field(factory=Metrics)
    incarnation: str = field(factory=lambda: secrets.token_hex(6))
    view: FleetView = field(factory=FleetView)
    crashes: CrashTracker = field(factory=CrashTracker)
    store: PlatformStore = field(init=False)
    presence: Presence = field(init=False)
    mirror: Mirror = field(init=False)
    leader_link: LeaderLink = field(init=False)
    tasks: Tasks = field(init=False)
    connection_limits: ConnectionLimits = field(init=False)
    _metrics_server: MetricsServer | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.connection_limits = choose_limits(
            self.settings.max_descriptors or read_max_descriptors()
        )
        self.store = PlatformStore(self.settings.store, self.metrics)
        member = Member(
            host=self.settings.host,
            role=self.role,
            data_centre=self.settings.data_centre,
            incarnation=self.incarnation,
            peer_address=self.peer_address,
            caller_address=self.caller_address,
        )
        renew_s = EDGE_RENEW_S if self.role is Role.EDGE else RENEW_S
        self.presence = Presence(self.store, member, OWN_PREFIX, renew_s)
        receiver = StoreReceiver(self.view, self.clock, self.crashes)
        self.presence.count_processes = receiver.count_processes
        self.mirror = Mirror(self.store, receiver, self.clock, self._check_presence)
        self.leader_link = LeaderLink(
            hello=Hello(
                edge=self.incarnation,
                host=self.settings.host,
                data_centre=self.settings.data_centre,
                requests_grants=self.role is Role.EDGE,
                revision=NO_REVISION,
                grants_plain=self.role is Role.EDGE and self.settings.plain_grants,
                transfers_streams=(
                    self.role is Role.EDGE and self.settings.stream_transfers
                ),
            ),
            view=self.view,
            clock=self.clock,
            mirror=self.mirror,
            seeds=self._list_seeds(),
        )
        self.mirror.feed = self.leader_link
        self.mirror.complete_era_key = OWN_PREFIX + COMPLETE_ERA_KEY
        self.leader_link.on_statement = self.handle_statement
        self.tasks = Tasks(log_failure)

    def _list_seeds(self) -> tuple[str, ...]:
        """Return the schedulers to connect to at startup, without this process."""
        return tuple(each for each in self.settings.seeds if each != self.peer_address)

    @staticmethod
    def clock() -> float:
        """Return the monotonic time of the event loop in seconds."""
        return asyncio.get_running_loop().time()

    async def async_start(self, addresses: tuple[str, ...]) -> None:
        """Start following the store and serving metrics."""
        if self.settings.metrics_listen is not None:
            self._metrics_server = MetricsServer(
                self.metrics.render,
                max_connections=self.connection_limits.metrics,
                on_displaced=ConnectionLog("metrics", self.metrics).record_displaced,
            )
            await self._metrics_server.async_start(
                *split_address(self.settings.metrics_listen)
            )
        self.keep_running(self.mirror.async_run)
        self.keep_running(self.leader_link.async_run)
        self.keep_running(self._async_expire)
        log_event(
            log.NodeStarted(
                incarnation=self.incarnation,
                data_centre=self.settings.data_centre,
                addresses=addresses,
            )
        )

    def handle_statement(self, message: RelayedStatement) -> None:
        """Apply a crash statement relayed by another process."""
        try:
            decode_statement(message.key, message.value).apply_to(self.crashes)
        except StatementError as error:
            log_failure(error)

    def keep_running(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a background task until the process stops; restart it if it fails."""
        self.tasks.async_start(self._async_run_with_restarts(run))

    async def async_stop(self) -> None:
        """Stop the tasks and close the connections."""
        self.leader_link.close()
        await self.tasks.async_cancel()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        self.store.close()

    async def _async_run_with_restarts(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                log_failure(error)
            await asyncio.sleep(RESTART_DELAY_S)

    async def _async_expire(self) -> None:
        """Expire vanished entries, repeat failed notifications and log pauses."""
        while True:
            slept_from = read_boot_clock()
            await async_sleep_to_tick(EXPIRE_PERIOD_S)
            late_s = read_boot_clock() - slept_from - EXPIRE_PERIOD_S
            if late_s > MIN_LOGGED_PAUSE_S:
                log_event(log.ProcessPaused(seconds=round(late_s, 3)))
            self.metrics.store_age.set(level=round(self.mirror.measure_age(), 1))
            self.view.expire_missing(self.clock())
            self.view.expire_missing_members(self.clock())
            self.view.repeat_failed_notifications()

    def is_announced(self) -> bool:
        """Return whether the store shows this incarnation of the process."""
        announced = self.view.members.get(OWN_PREFIX + self.presence.member.key)
        return announced is not None and announced.incarnation == self.incarnation

    def _check_presence(self) -> None:
        """Announce the process again if the store does not show it."""
        self.presence.handle_state(self.mirror)


def run_process(
    settings: FleetSettings, role: Role, main: Coroutine[Any, Any, None]
) -> None:
    """Run a process, with its log on standard output, until its main task ends."""
    stop_log = start_log(settings.log_level, host=settings.host, role=role.value)
    capture_library_logs()
    try:
        asyncio.run(main)
    finally:
        stop_log()


def listen_for_signals() -> StopSignals:
    """Handle the signals to stop; log that others are ignored.

    A stop ends within the grace period, after which the platform kills the process, so
    that a repeated signal has no reason to cut off requests.
    """
    signals = StopSignals(lambda: log_event(log.StopRepeated()))
    signals.async_listen()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGHUP, lambda: log_event(log.ReloadIgnored(signal="SIGHUP"))
    )
    return signals


def open_address(address: str) -> Any:
    """Listen on an address from the settings.

    Raises:
        OSError: If the address can't be listened on.
    """
    return open_listener(*split_address(address))
