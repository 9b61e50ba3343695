"""Index of the copies of each artifact over all runners."""

from attrs import define, field

from ...models.artifact import Artifact
from ...models.identifiers import UpstreamId
from .runners import CopyState, Runner

Copies = dict[UpstreamId, CopyState]

_NONE: Copies = {}


@define
class CopyIndex:
    """Copies by artifact and by runner, updated one runner at a time."""

    by_runner: dict[UpstreamId, dict[Artifact, CopyState]] = field(factory=dict)
    by_artifact: dict[Artifact, Copies] = field(factory=dict)
    loading: int = 0
    """Loads in flight on all runners."""

    def update(self, runner: Runner, now: float) -> set[Artifact]:
        """Take over a runner's copies; return the artifacts that changed."""
        old = self.by_runner.get(runner.id, {})
        new = runner.list_copies(now)
        if old == new:
            return set()
        changed = {
            artifact
            for artifact in old.keys() | new.keys()
            if old.get(artifact) is not new.get(artifact)
        }
        for artifact in changed:
            self._replace(runner, artifact, old.get(artifact), new.get(artifact), now)
        self.by_runner[runner.id] = new
        return changed

    def _replace(
        self,
        runner: Runner,
        artifact: Artifact,
        old: CopyState | None,
        new: CopyState | None,
        now: float,
    ) -> None:
        self.loading += (new is CopyState.LOADING) - (old is CopyState.LOADING)
        if new is None:
            copies = self.by_artifact[artifact]
            del copies[runner.id]
            if not copies:
                del self.by_artifact[artifact]
            return
        self.by_artifact.setdefault(artifact, {})[runner.id] = new
        if new is CopyState.READY:
            runner.ready_at.setdefault(artifact, now)
        else:
            runner.ready_at.pop(artifact, None)

    def remove(self, upstream_id: UpstreamId) -> set[Artifact]:
        """Forget a runner; return the artifacts that it had copies of."""
        old = self.by_runner.pop(upstream_id, {})
        for artifact, state in old.items():
            self.loading -= state is CopyState.LOADING
            copies = self.by_artifact[artifact]
            del copies[upstream_id]
            if not copies:
                del self.by_artifact[artifact]
        return set(old)

    def find(self, artifact: Artifact) -> Copies:
        """Return the copies of an artifact."""
        return self.by_artifact.get(artifact, _NONE)

    def list_in(self, artifact: Artifact, *states: CopyState) -> list[UpstreamId]:
        """Return the runners that hold a copy in one of the states, in order."""
        copies = self.find(artifact).items()
        return sorted([upstream_id for upstream_id, state in copies if state in states])

    def list_on(self, upstream_id: UpstreamId) -> dict[Artifact, CopyState]:
        """Return the copies on a runner."""
        return self.by_runner.get(upstream_id, {})
