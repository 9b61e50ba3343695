"""Levels of a gateway that are read when its metrics are asked for."""

from collections import Counter
from collections.abc import Mapping

from attrs import define, field

from ..observability.metrics import GaugeFamily, Metrics
from ..peers.directory import Directory
from ..policy.dispatch.core import DispatchCore
from ..policy.dispatch.status import UpstreamStatus, describe_dispatch
from .dispatcher import Dispatcher

STATE_LISTED = "listed"
STATE_LEAVING = "leaving"


@define(eq=False, kw_only=True)
class GatewayGauges:
    """Sets the gauges; counters are kept where things happen."""

    metrics: Metrics
    core: DispatchCore
    dispatcher: Dispatcher
    directory: Directory
    _shown: dict[int, set[tuple[str, ...]]] = field(factory=dict, init=False)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        status = describe_dispatch(self.core)
        self.metrics.key_records.set(level=status.key_records)
        queues: dict[tuple[str, ...], int] = {
            (str(queue.target),): queue.urgent + queue.patient
            for queue in status.queues
        }
        self._set(self.metrics.queue_length, queues)
        self._set(self.metrics.upstreams, self._count_upstreams(status.upstreams))
        members: Counter[tuple[str, ...]] = Counter(
            (member.role.value, member.state.value)
            for member in self.directory.list_all()
        )
        self._set(self.metrics.members, members)
        return self.metrics.render()

    def _count_upstreams(
        self, upstreams: tuple[UpstreamStatus, ...]
    ) -> Counter[tuple[str, ...]]:
        counts: Counter[tuple[str, ...]] = Counter()
        for upstream in upstreams:
            known = self.dispatcher.upstreams.get(upstream.upstream_id)
            if known is not None:
                state = STATE_LEAVING if upstream.leaving else STATE_LISTED
                counts[known.kind.value, state] += 1
        return counts

    def _set(
        self,
        family: GaugeFamily,
        levels: Mapping[tuple[str, ...], int],
    ) -> None:
        """Set the levels, and drop those whose subject is gone."""
        for values in self._shown.get(id(family), set()) - set(levels):
            family.drop(*values)
        for values, level in levels.items():
            family.set(*values, level=level)
        self._shown[id(family)] = set(levels)
