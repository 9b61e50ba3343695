"""The process `mangoway controller`."""

import asyncio
import sys

from ..host_list.listing import HostListing
from ..host_list.poller import HostListPoller
from ..host_list.registry import make_host_list
from ..key_value.registry import make_key_value_store
from ..models.member import ProcessRole
from ..observability import events as log
from ..observability.connection_log import ConnectionLog
from ..observability.event_log import log_event, start_log
from ..observability.library_log import capture_library_logs
from ..observability.metrics import Metrics
from ..policy.membership.events import ListedHost
from ..settings.process import ControllerSettings
from ..util.address import split_address
from ..util.collector import freeze_startup_objects
from ..util.signals import StopSignals
from .const import EXIT_CUT_OFF, EXIT_IDLE
from .controller_node import ControllerNode
from .metrics_server import MetricsServer

REASON_DEADLINE = "deadline"
REASON_FORCED = "forced"


def run(settings: ControllerSettings) -> None:
    """Run a controller until a signal stops it.

    Exits with 0 after a complete planned stop, and with 1 after a forced one.
    """
    stop_log = start_log(
        settings.log_level, host=settings.host, role=ProcessRole.CONTROLLER.value
    )
    capture_library_logs()
    try:
        is_done = asyncio.run(async_run(settings))
    finally:
        stop_log()
    sys.exit(EXIT_IDLE if is_done else EXIT_CUT_OFF)


async def async_run(settings: ControllerSettings) -> bool:
    """Run a controller on the running loop until a signal stops it.

    Returns whether the planned stop was completed.

    Raises:
        SettingError: If a setting names an adapter that does not exist.
        OSError: If an address can't be listened on.
    """
    forced = asyncio.Event()
    signals = StopSignals(forced.set)
    signals.async_listen()
    metrics = Metrics()
    store = make_key_value_store(settings, metrics)
    node = ControllerNode(settings, store, metrics)
    metrics_server = MetricsServer(
        node.gauges.render,
        on_displaced=ConnectionLog("metrics", metrics).record_displaced,
    )
    try:
        await _async_start(node, metrics_server)
        freeze_startup_objects()
        signal_name = await signals.async_wait()
        return await _async_leave(node, signal_name, forced)
    finally:
        metrics_server.stop()
        await node.async_stop()
        store.close()


async def _async_start(node: ControllerNode, metrics_server: MetricsServer) -> None:
    settings = node.settings
    await node.async_start()
    if settings.metrics_listen is not None:
        await metrics_server.async_start(*split_address(settings.metrics_listen))
    host_list = make_host_list(settings)
    if host_list is not None:
        poller = HostListPoller(
            host_list,
            period_s=settings.host_list_period_s,
            metrics=node.metrics,
            on_change=lambda listing: _apply_host_list(node, listing),
        )
        node.tasks.async_start(poller.async_run())
    log_event(
        log.ProcessStarted(
            incarnation=node.own.incarnation,
            data_centre=settings.data_centre,
            peer_address=settings.peer_address,
            caller_address=None,
        )
    )


def _apply_host_list(node: ControllerNode, listing: HostListing) -> None:
    hosts = (
        ListedHost(peer_address=each.peer_address, leaving=each.leaving)
        for each in listing.processes
    )
    node.async_update_hosts(listing.upstreams, hosts)


async def _async_leave(
    node: ControllerNode, signal_name: str, forced: asyncio.Event
) -> bool:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    deadline_s = node.settings.stop_deadline_s
    orders = node.placement.orders_in_progress
    log_event(
        log.StopRequested(signal=signal_name, in_progress=orders, deadline_s=deadline_s)
    )
    leaving = loop.create_task(node.async_leave(deadline_s))
    forcing = loop.create_task(forced.wait())
    done, pending = await asyncio.wait(
        (leaving, forcing), return_when=asyncio.FIRST_COMPLETED
    )
    for task in pending:
        task.cancel()
    if leaving in done and leaving.result():
        log_event(log.ProcessStopped(seconds=loop.time() - began_at))
        return True
    reason = REASON_FORCED if forcing in done else REASON_DEADLINE
    cut_off = node.placement.orders_in_progress
    log_event(log.StopForced(reason=reason, cut_off=cut_off))
    return False
