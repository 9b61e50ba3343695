"""Gauges whose label values are added and removed over time."""

from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import define, field

from ..models.member import Member
from ..observability.metrics import GaugeFamily

LabelValues = tuple[str, ...]


@define(eq=False)
class GaugeLevels:
    """Sets gauges and removes those whose label values are no longer present."""

    _known_values: dict[int, set[LabelValues]] = field(factory=dict, init=False)

    def set(self, family: GaugeFamily, levels: Mapping[LabelValues, int]) -> None:
        """Set all gauges of a family and remove the others."""
        for values in self._known_values.get(id(family), set()) - set(levels):
            family.drop(*values)
        for values, level in levels.items():
            family.set(*values, level=level)
        self._known_values[id(family)] = set(levels)


def count_members(members: Iterable[Member]) -> Counter[LabelValues]:
    """Return the number of processes by role and state."""
    return Counter((member.role.value, member.state.value) for member in members)
