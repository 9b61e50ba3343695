"""What edges and schedulers have in common: the store, presence, metrics, signals."""

import asyncio
import secrets
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

from attrs import define, field

from ..coordination.crashes import StatementError, decode_statement
from ..coordination.mirror import Mirror
from ..coordination.presence import EDGE_RENEW_S, RENEW_S, Presence
from ..coordination.view import FleetView
from ..models.fleet import Member, Role
from ..observability import fleet_events as log
from ..observability.event_log import log_event, start_log
from ..observability.library_log import capture_library_logs
from ..observability.metrics import Metrics
from ..platform.documents import OWN_PREFIX
from ..platform.receiver import StoreReceiver
from ..platform.store import PlatformStore
from ..policy.crashes.tracker import CrashTracker
from ..scheduling.leader_link import LeaderLink
from ..scheduling.messages import Hello, RelayedStatement
from ..settings.fleet import FleetSettings
from ..util.address import split_address
from ..util.clock import read_boot_clock
from ..util.listener import open_listener
from ..util.signals import StopSignals
from ..util.tasks import Tasks
from ..util.ticks import async_sleep_to_tick
from .metrics_server import MetricsServer

EXPIRE_S: Final = 0.2
"""Time between two looks at entries that vanished in an outage."""

PAUSE_LOGGED_S: Final = 0.5
"""Lateness of the loop from which a pause is logged."""

RESTART_S: Final = 0.5
"""Pause before a background task that failed is started again."""


@define(eq=False)
class FleetProcess:
    """The store, the view of it, and the process's announcement."""

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
    _metrics_server: MetricsServer | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
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
        self.mirror = Mirror(self.store, receiver, self.clock, self._check_presence)
        self.leader_link = LeaderLink(
            hello=Hello(
                edge=self.incarnation,
                host=self.settings.host,
                data_centre=self.settings.data_centre,
                requests_grants=self.role is Role.EDGE,
                revision=0,
            ),
            view=self.view,
            clock=self.clock,
            mirror=self.mirror,
            seeds=self._list_seeds(),
        )
        self.mirror.feed = self.leader_link
        self.leader_link.on_statement = self.take_told
        self.tasks = Tasks(_log_failure)

    def _list_seeds(self) -> tuple[str, ...]:
        """Return the schedulers to ask at a start, without this process itself."""
        return tuple(each for each in self.settings.seeds if each != self.peer_address)

    @staticmethod
    def clock() -> float:
        """Return the steady time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    async def async_start(self, addresses: tuple[str, ...]) -> None:
        """Start following the store and serving metrics."""
        if self.settings.metrics_listen is not None:
            self._metrics_server = MetricsServer(self.metrics.render)
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

    def take_told(self, message: RelayedStatement) -> None:
        """Take a statement on a crash that another process tells."""
        try:
            decode_statement(message.key, message.value).take(self.crashes)
        except StatementError as error:
            log_event(log.HandlerFailed(error=repr(error)))

    def keep_running(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a background task until the end; one that fails starts again."""
        self.tasks.async_start(self._async_keep(run))

    async def async_stop(self) -> None:
        """Stop the tasks and close the connections."""
        self.leader_link.close()
        await self.tasks.async_cancel()
        if self._metrics_server is not None:
            self._metrics_server.stop()
        self.store.close()

    async def _async_keep(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await run()
                return
            except Exception as error:
                _log_failure(error)
            await asyncio.sleep(RESTART_S)

    async def _async_expire(self) -> None:
        """Take vanished runners away in time, and notice pauses of the process."""
        while True:
            before = read_boot_clock()
            await async_sleep_to_tick(EXPIRE_S)
            late = read_boot_clock() - before - EXPIRE_S
            if late > PAUSE_LOGGED_S:
                log_event(log.ProcessPaused(seconds=round(late, 3)))
            self.view.expire_missing(self.clock())

    def is_announced(self) -> bool:
        """Return whether the store shows this life of the process."""
        shown = self.view.members.get(OWN_PREFIX + self.presence.member.key)
        return shown is not None and shown.incarnation == self.incarnation

    def _check_presence(self) -> None:
        """Announce the process again if the store does not show it."""
        if not self.is_announced():
            self.presence.note_key_lost(self.mirror.revision or 0)


def run_process(
    settings: FleetSettings, role: Role, main: Coroutine[Any, Any, None]
) -> None:
    """Run a process with its log on standard output until it ends by itself."""
    stop_log = start_log(settings.log_level, host=settings.host, role=role.value)
    capture_library_logs()
    try:
        asyncio.run(main)
    finally:
        stop_log()


def listen_for_signals(on_second: Callable[[], None]) -> StopSignals:
    """Take the signals to stop and to reload."""
    signals = StopSignals(on_second)
    signals.async_listen()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(
        signal.SIGHUP, lambda: log_event(log.ReloadIgnored(signal="SIGHUP"))
    )
    return signals


def open_address(address: str) -> Any:
    """Listen on an address of the settings.

    Raises:
        OSError: If it can't be used.
    """
    return open_listener(*split_address(address))


def _log_failure(error: BaseException) -> None:
    log_event(log.HandlerFailed(error=repr(error)))
