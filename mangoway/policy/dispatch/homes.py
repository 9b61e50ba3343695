"""Which gateway incarnation answers for a key's home."""

from attrs import define, field

from ...models.identifiers import IncarnationId
from .const import ADOPTED_MAX, SUCCESSORS_MAX_HOPS
from .events import HomesChanged


@define(eq=False)
class Homes:
    """Live homes, the successors of those that left, and homes taken over here."""

    identity: IncarnationId
    _live: frozenset[IncarnationId] = frozenset()
    _successors: dict[IncarnationId, IncarnationId] = field(factory=dict)
    _adopted: dict[IncarnationId, float] = field(factory=dict)

    def follow(self, event: HomesChanged) -> None:
        """Take the live homes and the successors."""
        self._live = event.live
        self._successors = {item.home: item.successor for item in event.successors}

    def adopt(self, home: IncarnationId, now: float) -> None:
        """Note that all records of a home were taken over at `now`."""
        self._adopted.setdefault(home, now)
        if len(self._adopted) > ADOPTED_MAX:
            del self._adopted[next(iter(self._adopted))]

    def find_adoption_time(self, home: IncarnationId) -> float | None:
        """Return when the records of a home were taken over here."""
        return self._adopted.get(home)

    def find_answering(self, home: IncarnationId) -> IncarnationId | None:
        """Return who answers for a home: itself, or the last of its successors."""
        current = home
        for _ in range(SUCCESSORS_MAX_HOPS):
            if current == self.identity or current in self._live:
                return current
            successor = self._successors.get(current)
            if successor is None:
                return None
            current = successor
        return None
