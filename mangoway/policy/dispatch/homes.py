"""Lookup of the gateway incarnation that handles the keys of a home."""

from attrs import define, field

from ...models.identifiers import IncarnationId
from .const import ADOPTED_HOMES_MAX, SUCCESSORS_MAX_HOPS
from .events import HomesChanged


@define(eq=False)
class Homes:
    """Live homes, successors of those that left, and homes adopted by this process."""

    identity: IncarnationId
    _live: frozenset[IncarnationId] = frozenset()
    _successors: dict[IncarnationId, IncarnationId] = field(factory=dict)
    _adopted: dict[IncarnationId, float] = field(factory=dict)

    def update(self, event: HomesChanged) -> None:
        """Replace the live homes and the successors."""
        self._live = event.live
        self._successors = {item.home: item.successor for item in event.successors}

    def adopt(self, home: IncarnationId, now: float) -> None:
        """Record that this process took over all records of a home at `now`."""
        self._adopted.setdefault(home, now)
        if len(self._adopted) > ADOPTED_HOMES_MAX:
            del self._adopted[next(iter(self._adopted))]

    def find_adoption_time(self, home: IncarnationId) -> float | None:
        """Return the time at which this process took over a home, if it did."""
        return self._adopted.get(home)

    def find_current_home(self, home: IncarnationId) -> IncarnationId | None:
        """Return the incarnation that handles the keys of a home.

        It is the home itself or the last of its successors; None if none of them is
        live.
        """
        current = home
        for _ in range(SUCCESSORS_MAX_HOPS):
            if current == self.identity or current in self._live:
                return current
            successor = self._successors.get(current)
            if successor is None:
                return None
            current = successor
        return None
