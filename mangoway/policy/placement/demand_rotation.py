"""Selection of the artifacts that one demand evaluation covers."""

from collections.abc import Iterable

from attrs import define, field

from ...models.artifact import Artifact
from .const import MAX_ARTIFACTS_PER_EVALUATION, MIN_SURGE_RPS, SURGE_FACTOR
from .gains import GainModel
from .state import PlacementState


@define
class DemandRotation:
    """Limits the number of artifacts in one evaluation and covers all in turn.

    Artifacts whose demand surged, whose copies changed, or that were proposed by
    the previous evaluation are evaluated out of turn.
    """

    _state: PlacementState
    _gains: GainModel
    _pass_number: int = 0
    _evaluated_rps: dict[Artifact, float] = field(factory=dict)
    """Lowest requests per second of each artifact since its last evaluation."""

    _prioritised: set[Artifact] = field(factory=set)

    def prioritise(self, artifacts: Iterable[Artifact]) -> None:
        """Include some artifacts in the next evaluation."""
        self._prioritised.update(artifacts)

    def select_due(self, reported: list[Artifact]) -> list[Artifact]:
        """Update the gains and return the artifacts to evaluate.

        Args:
            reported: Artifacts whose demand may have risen since the last evaluation.
        """
        demands = self._state.demand.list_all()
        passes = -(-len(demands) // MAX_ARTIFACTS_PER_EVALUATION)
        self._pass_number += 1
        if passes <= 1:
            self._prioritised.clear()
            self._gains.refresh_all()
            return self._gains.list_with_demand()
        due = [artifact for artifact in reported if self._has_surged(artifact)]
        due.extend(sorted(self._prioritised))
        self._prioritised.clear()
        due.extend(list(demands)[self._pass_number % passes :: passes])
        due = list(dict.fromkeys(due))
        for artifact in due:
            self._evaluated_rps[artifact] = self._find_rate(artifact)
        if len(self._evaluated_rps) > 2 * len(demands):
            evaluated = self._evaluated_rps.items()
            self._evaluated_rps = {
                each: rate for each, rate in evaluated if each in demands
            }
        self._gains.refresh(due)
        bases = (each.base for each in due if each.adapter is not None)
        return list(dict.fromkeys([*due, *filter(self._has_demand, bases)]))

    def _has_demand(self, base: Artifact) -> bool:
        """Return whether there is demand for further copies of a base."""
        return self._gains.find_demand(base).requests_per_second > 0.0

    def _has_surged(self, artifact: Artifact) -> bool:
        rate = self._find_rate(artifact)
        evaluated_rps = self._evaluated_rps.get(artifact, 0.0)
        if rate < evaluated_rps:
            self._evaluated_rps[artifact] = rate
        return rate > SURGE_FACTOR * evaluated_rps + MIN_SURGE_RPS

    def _find_rate(self, artifact: Artifact) -> float:
        return self._state.demand.find(artifact).requests_per_second
