"""Connections of an edge to runners, and what they show about its reach."""

from collections.abc import Callable

from attrs import define, field

from ..coordination.view import FleetView
from ..http1.client import ConnectFailedError, Connection, async_connect
from ..models.runner import RunnerEntry
from ..observability import fleet_events as log
from ..observability.event_log import log_event
from ..observability.metrics import Metrics
from ..policy.edge.reach import RunnerReach


@define(eq=False)
class RunnerConnector:
    """Opens connections to runners."""

    view: FleetView
    metrics: Metrics
    clock: Callable[[], float]
    reach: RunnerReach = field(factory=RunnerReach, init=False)

    async def async_connect(self, runner: RunnerEntry) -> Connection:
        """Open a connection to a runner.

        Raises:
            ConnectFailedError: If the connection fails or times out.
        """
        try:
            connection = await async_connect(runner.address, self.clock())
        except ConnectFailedError:
            self._record_failure(runner)
            raise
        self._record_reached()
        return connection

    def _record_reached(self) -> None:
        lost_s = self.reach.record_reached(self.clock())
        self.metrics.unreachable_runners.set(level=0)
        if lost_s is not None:
            log_event(log.RunnerReachRegained(lost_s=round(lost_s, 3)))

    def _record_failure(self, runner: RunnerEntry) -> None:
        known = len(self.view.runners)
        is_newly_lost = self.reach.record_failure(runner.runner_id, self.clock(), known)
        unreachable = self.reach.unreachable
        self.metrics.unreachable_runners.set(level=unreachable)
        if is_newly_lost:
            log_event(log.RunnerReachLost(unreachable=unreachable, known=known))
