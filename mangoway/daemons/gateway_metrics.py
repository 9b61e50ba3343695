"""Gauges of a gateway that are updated when its metrics are requested."""

from collections import Counter

from attrs import define, field

from ..observability.metrics import Metrics
from ..peers.directory import Directory
from ..policy.dispatch.core import DispatchCore
from ..policy.dispatch.status import UpstreamStatus, describe_dispatch
from .dispatcher import Dispatcher
from .gauge_levels import GaugeLevels, LabelValues, count_members

STATE_LISTED = "listed"
STATE_LEAVING = "leaving"


@define(eq=False, kw_only=True)
class GatewayGauges:
    """Sets the gauges; counters are updated by the code that they count."""

    metrics: Metrics
    core: DispatchCore
    dispatcher: Dispatcher
    directory: Directory
    _levels: GaugeLevels = field(factory=GaugeLevels, init=False)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        status = describe_dispatch(self.core)
        self.metrics.key_records.set(level=status.key_records)
        queues: dict[LabelValues, int] = {
            (str(queue.target),): queue.urgent + queue.patient
            for queue in status.queues
        }
        self._levels.set(self.metrics.queue_length, queues)
        self._levels.set(
            self.metrics.upstreams, self._count_upstreams(status.upstreams)
        )
        members = count_members(self.directory.list_all())
        self._levels.set(self.metrics.members, members)
        return self.metrics.render()

    def _count_upstreams(
        self, upstreams: tuple[UpstreamStatus, ...]
    ) -> Counter[LabelValues]:
        counts: Counter[LabelValues] = Counter()
        for upstream in upstreams:
            known = self.dispatcher.upstreams.get(upstream.upstream_id)
            if known is not None:
                state = STATE_LEAVING if upstream.leaving else STATE_LISTED
                counts[known.kind.value, state] += 1
        return counts
