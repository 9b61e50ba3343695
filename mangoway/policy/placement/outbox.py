"""Results of handling an event: actions, and state that must be re-evaluated."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .actions import Explain, PlacementAction
from .runners import Runner


@define
class Outbox:
    """Actions to return, and changes that the planner has not handled yet."""

    actions: list[PlacementAction] = field(factory=list)
    dirty_runners: set[UpstreamId] = field(factory=set)
    """Runners whose copies and ledgers must be re-evaluated."""

    changed_artifacts: set[Artifact] = field(factory=set)
    """Artifacts whose copies changed since the last plan."""

    def explain(
        self,
        artifact: Artifact | None,
        runner: Runner | None,
        reason: str,
        detail: str = "",
    ) -> None:
        """Add an explanation of why something was or was not done."""
        upstream_id = None if runner is None else runner.id
        action = Explain(
            artifact=artifact, upstream_id=upstream_id, reason=reason, detail=detail
        )
        self.actions.append(action)
