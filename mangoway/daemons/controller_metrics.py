"""Gauges of a controller that are updated when its metrics are requested."""

from collections.abc import Callable

from attrs import define, field

from ..observability.metrics import Metrics
from ..peers.directory import Directory
from ..policy.placement.core import PlacementCore
from .gauge_levels import GaugeLevels, LabelValues, count_members


@define(eq=False, kw_only=True)
class ControllerGauges:
    """Sets the gauges; counters are updated by the code that they count."""

    metrics: Metrics
    core: PlacementCore
    directory: Directory
    clock: Callable[[], float]
    _levels: GaugeLevels = field(factory=GaugeLevels, init=False)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        members = count_members(self.directory.list_all())
        self._levels.set(self.metrics.members, members)
        self._levels.set(self.metrics.memory_committed, self._list_committed())
        return self.metrics.render()

    def _list_committed(self) -> dict[LabelValues, int]:
        status = self.core.build_status(self.clock())
        return {
            (runner.upstream_id,): runner.ledger.committed_mb
            for runner in status.runners
            if runner.ledger is not None
        }
