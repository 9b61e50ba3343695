"""What a step leaves behind: actions, and what has to be looked at again."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .actions import Explain, PlacementAction
from .runners import Runner


@define
class Outbox:
    """Actions to return, and changes that the planner has not looked at."""

    actions: list[PlacementAction] = field(factory=list)
    dirty: set[UpstreamId] = field(factory=set)
    """Runners whose copies have to be looked at again."""

    changed: set[Artifact] = field(factory=set)
    """Artifacts whose copies changed since the planner looked."""

    def explain(
        self,
        artifact: Artifact | None,
        runner: Runner | None,
        reason: str,
        detail: str = "",
    ) -> None:
        """Say why something was or was not done."""
        upstream_id = None if runner is None else runner.id
        action = Explain(
            artifact=artifact, upstream_id=upstream_id, reason=reason, detail=detail
        )
        self.actions.append(action)
