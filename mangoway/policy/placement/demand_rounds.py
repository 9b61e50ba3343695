"""Which artifacts are looked at for further copies in one look."""

from collections.abc import Iterable

from attrs import define, field

from ...models.artifact import Artifact
from .const import DEMAND_LOOKS, SURGE_FACTOR, SURGE_RPS
from .gains import GainModel
from .state import PlacementState


@define
class DemandRounds:
    """Bounds the artifacts of one look; each gets its turn after some looks.

    Artifacts whose demand rose, whose copies changed, or that were proposed in the
    last look do not wait for their turn.
    """

    _state: PlacementState
    _gains: GainModel
    _number: int = 0
    _looked: dict[Artifact, float] = field(factory=dict)
    """Requests per second of each artifact when it was looked at, or less since."""

    _urgent: set[Artifact] = field(factory=set)

    def hurry(self, artifacts: Iterable[Artifact]) -> None:
        """Look at some artifacts the next time."""
        self._urgent.update(artifacts)

    def start(self, named: list[Artifact]) -> list[Artifact]:
        """Bring the gains up to date and return the artifacts to look at.

        Args:
            named: Artifacts whose demand may have risen since the last look.
        """
        demands = self._state.demand.list_all()
        rounds = -(-len(demands) // DEMAND_LOOKS)
        self._number += 1
        if rounds <= 1:
            self._urgent.clear()
            self._gains.refresh_all()
            return self._gains.list_demanded()
        due = [artifact for artifact in named if self._has_risen(artifact)]
        due.extend(sorted(self._urgent))
        self._urgent.clear()
        due.extend(list(demands)[self._number % rounds :: rounds])
        due = list(dict.fromkeys(due))
        for artifact in due:
            self._looked[artifact] = self._find_rate(artifact)
        if len(self._looked) > 2 * len(demands):
            looked = self._looked.items()
            self._looked = {one: rate for one, rate in looked if one in demands}
        self._gains.refresh(due)
        bases = (one.base for one in due if one.adapter is not None)
        return list(dict.fromkeys([*due, *filter(self._has_family, bases)]))

    def _has_family(self, base: Artifact) -> bool:
        """Return whether demand asks for further copies of a base."""
        return self._gains.find_demand(base).requests_per_second > 0.0

    def _has_risen(self, artifact: Artifact) -> bool:
        rate = self._find_rate(artifact)
        before = self._looked.get(artifact, 0.0)
        if rate < before:
            self._looked[artifact] = rate
        return rate > SURGE_FACTOR * before + SURGE_RPS

    def _find_rate(self, artifact: Artifact) -> float:
        return self._state.demand.find(artifact).requests_per_second
